/**
 * A request that wants a slot of a backend server.
 *
 * @module
 */

/** A request that wants a slot. */
export interface WorkRequest {
  readonly id: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** By when the answer is worth most, on the daemon's clock. */
  readonly objectiveAtMs: number;
  /** After which it is worth nothing. */
  readonly deadlineAtMs: number;
  /** How long it is expected to hold a slot, in milliseconds. */
  readonly estimateMs: number;
}
