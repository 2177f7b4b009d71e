/**
 * Decides which backend server owns which range of keys, and for how long. Pure: time comes in,
 * decisions go out.
 *
 * @module
 */
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
  SHORT_TENURE_MS,
  TAKEOVER_WAIT_MS,
  TakeoverWaits,
  Tenure,
  TENURE_MS,
} from "./tenure.ts";
export {
  type FreedRange,
  type Grant,
  GrantBook,
  type GrantedRange,
  type HeldRange,
  USUAL_HOLD_MS,
} from "./grant_book.ts";
export {
  assignUnowned,
  type Candidate,
  type FirstSight,
  isFirstAssignmentDue,
} from "./plan_assignment.ts";
export { PromiseBook, type PromiseQuestion } from "./promise_book.ts";
export { RepairWait } from "./repair_wait.ts";
export { RestoreWait } from "./restore_wait.ts";
export { LoadProfile } from "./load_profile.ts";
export type { OwnerLoad } from "./balance_loads.ts";
export { CONFIRM_MS, ConfirmTurns, gatherForMs } from "./confirm_turns.ts";
export { WriteTurns } from "./write_turns.ts";
export { type PlannedMove, planShedding } from "./plan_shedding.ts";
export {
  type Heartbeat,
  type HeartbeatVerdict,
  type Incarnation,
  InstanceBook,
  isSame,
  type Patience,
  type Presence,
  type Succession,
} from "./instance_book.ts";
