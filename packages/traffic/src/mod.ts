/**
 * Finds the route of a request and the service that runs it, and tracks zone evacuations and pipelining. No I/O: time
 * and randomness are parameters.
 *
 * @module
 */
export {
  ConfigurationEvidence,
  type ConfigurationObservation,
  MAX_EVIDENCE_AGE_MS,
} from "./configuration_evidence.ts";
export { PipelineTracker } from "./pipeline_tracker.ts";
export { PrefixRouter } from "./prefix_router.ts";
export { RequestTarget } from "./request_target.ts";
export { restoreUnreadableRows, UnreadableRows } from "./unreadable_rows.ts";
export { TrafficSplit } from "./traffic_split.ts";
export {
  type EvacuationChange,
  type EvacuationState,
  ZoneEvacuations,
} from "./zone_evacuations.ts";
