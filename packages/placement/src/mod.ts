/**
 * Chooses the backend server for a request without a key. Pure.
 *
 * @module
 */
export {
  chooseBackend,
  expectedMs,
  type PlacementCandidate,
} from "./choose_backend.ts";
export { isOwnFailure } from "./judge_failure.ts";
export { RouteTimes } from "./route_times.ts";
export { sampleBackends } from "./sample_backends.ts";
