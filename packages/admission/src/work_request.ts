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
  /**
   * Whether it may be served late. Not if others wait behind it on its caller's connection: answers go out in the
   * order of the requests, so its lateness would be theirs, too.
   */
  readonly mayEndLate: boolean;
  /** How long it is expected to hold a slot, in milliseconds. */
  readonly estimateMs: number;
}
