/**
 * Chooses the backend server for a request without a key. No I/O: time and randomness are parameters.
 *
 * @module
 */
export {
  chooseBackend,
  DEFAULT_CROSS_ZONE_MS_PER_KILOBYTE,
  expectedLatencyMs,
  hasStandingQueue,
  type PlacementCandidate,
} from "./choose_backend.ts";
export { isServerFault } from "./server_fault.ts";
export { RouteServiceTimes } from "./route_service_times.ts";
export { chooseWithAffinity, type PlacementRequest } from "./zone_affinity.ts";
export { type ServerLoad, ZoneShareTracker } from "./zone_share_tracker.ts";
