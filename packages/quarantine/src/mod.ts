/**
 * Decides which requests are kept from backend servers, because servers ended under them. Pure.
 *
 * @module
 */
export { chooseProbation } from "./choose_probation.ts";
export { type LostRun, LostRuns } from "./lost_runs.ts";
export { ProbationLane } from "./probation_lane.ts";
export { RecentAnswers } from "./recent_answers.ts";
export {
  fingerprintRequest,
  type RequestContent,
} from "./request_fingerprint.ts";
export {
  type CrashOutcome,
  type CrashReport,
  PoisonRequestTracker,
  type ServerCrash,
  type Standing,
} from "./poison_request_tracker.ts";
