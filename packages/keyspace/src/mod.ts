/**
 * Decides which backend server owns which range of keys, and for how long. Without side effects: the current time is
 * passed in, decisions are returned.
 *
 * @module
 */
export { type DepartureAnnouncement, DrainTracker } from "./drain_tracker.ts";
export {
  intersect,
  KEY_COUNT,
  type KeyRange,
  RangeMap,
  type Segment,
  sizeOf,
} from "./range_map.ts";
export { type ArbiterCandidate, chooseArbiters } from "./choose_arbiters.ts";
export {
  type Arbiter,
  type Assignment,
  type Owner,
  OwnershipRecord,
  type SealedOwner,
} from "./ownership_record.ts";
export {
  ARBITER_WAIT_MS,
  CLOCK_DRIFT,
  MAX_LEASE_MS,
  OwnershipLease,
  SHORT_LEASE_MS,
  TAKEOVER_WAIT_MS,
  TakeoverTimers,
} from "./ownership_lease.ts";
export {
  type Grant,
  type GrantedRange,
  GrantTracker,
  type HeldRange,
  MAX_HOLD_MS,
  type ReleasedRange,
} from "./grant_tracker.ts";
export { type GrantLimit } from "./join_ranges.ts";
export {
  assignUnowned,
  type Candidate,
  type FirstAssignmentState,
  isFirstAssignmentDue,
} from "./plan_assignment.ts";
export { ArbiterState, type PromiseRequest } from "./arbiter_state.ts";
export { RepairTimer } from "./repair_timer.ts";
export { RestoreTimer } from "./restore_timer.ts";
export { LoadProfile } from "./load_profile.ts";
export type { OwnerLoad } from "./balance_loads.ts";
export {
  batchDelayMs,
  CONFIRM_INTERVAL_MS,
  ConfirmationSchedule,
} from "./confirmation_schedule.ts";
export { WriteBackoff } from "./write_backoff.ts";
export { type PlannedMove, planRebalance } from "./plan_rebalance.ts";
export {
  type MoveAnnouncements,
  type RebalanceInput,
  RebalancePlanner,
} from "./rebalance_planner.ts";
export {
  type Heartbeat,
  type HeartbeatStatus,
  type Incarnation,
  IncarnationTracker,
  isSameIncarnation,
  type ProbeResult,
  type Succession,
  type SuccessionTimeouts,
} from "./incarnation_tracker.ts";
