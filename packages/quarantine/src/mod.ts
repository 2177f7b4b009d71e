/**
 * Decides which requests are withheld from backend servers because servers crashed while running them. No I/O: time and
 * randomness are parameters.
 *
 * @module
 */
export { chooseProbationDaemon } from "./choose_probation_daemon.ts";
export { type InterruptedRun, InterruptedRuns } from "./interrupted_runs.ts";
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
