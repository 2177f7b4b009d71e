/**
 * Decides which session may serve which keys. All functions are pure: time and messages are arguments, decisions
 * are results, and nothing here imports sockets, timers or clocks.
 *
 * @module
 */
export {
  Chart,
  HANDOVER_CHART,
  SESSION_CHART,
  TAKEOVER_CHART,
} from "./chart.ts";
export { LeaseHolder } from "./lease_holder.ts";
export {
  DEFAULT_TIMING,
  type LeaseTiming,
  quorumOf,
  refusalsNeeded,
  waiterDurationMs,
} from "./timing.ts";
export { type PromiseResponse, WitnessLedger } from "./witness_ledger.ts";
export { chooseWitnesses, reviewWitnesses } from "./witness_choice.ts";
export {
  type EndedSession,
  findEndTimes,
  type SealedSession,
} from "./end_evidence.ts";
export { SuspicionLedger } from "./suspicion_ledger.ts";
export { type AssignmentId, ReleaseLedger } from "./release_ledger.ts";
export {
  assignPartitions,
  type Candidate,
  createShards,
  ownersOf,
  type PartitionChange,
  rewriteShard,
} from "./assign_partitions.ts";
export { type Move, type OwnedPartition, planMoves } from "./plan_moves.ts";
export { rankWatchers } from "./watcher_choice.ts";
export { TakeoverTracker } from "./takeover_tracker.ts";
