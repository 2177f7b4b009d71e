/**
 * Decides which requests are kept from backend servers, because servers ended under them. Pure.
 *
 * @module
 */
export {
  fingerprintRequest,
  type RequestContent,
} from "./request_fingerprint.ts";
export { type LostRun, LostRuns } from "./lost_runs.ts";
