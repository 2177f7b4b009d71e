/**
 * Decides which requests are kept from backend servers, because servers ended under them. Pure.
 *
 * @module
 */
export { chooseProbationDaemon } from "./choose_probation_daemon.ts";
export { type LostRun, LostRuns } from "./lost_runs.ts";
export { ProbationQueue } from "./probation_queue.ts";
export { RecentResponses } from "./recent_responses.ts";
export {
  fingerprintRequest,
  type RequestContent,
} from "./request_fingerprint.ts";
export {
  type CrashOutcome,
  type CrashReport,
  PoisonRequestTracker,
  type RequestClassification,
  type ServerCrash,
} from "./poison_request_tracker.ts";
