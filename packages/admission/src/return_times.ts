/**
 * Chooses when the callers that a server's queue refuses are to come back.
 *
 * @module
 */
import { drawReturnMs } from "./retry_after.ts";

/** A refusal of a queue. */
export interface QueueRefusalTimes {
  /** Urgency of the request; 0 is the most urgent. */
  readonly rank: number;
  /** Expected time until the queue has room for the request, in milliseconds. */
  readonly roomMs: number;
  /** How much later that may be, in milliseconds. */
  readonly uncertaintyMs: number;
  /** Remaining time until the deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Expected time for which the request holds a slot, in milliseconds. */
  readonly serviceMs: number;
  /** Slots that requests can keep busy. */
  readonly capacity: number;
}

/**
 * Reserved capacity of one queue for the retries of refused callers. Retries are spaced by their service times, in the
 * order of their ranks.
 */
export class ReturnTimes {
  /** Until when room is promised to the callers of each rank, in milliseconds. */
  private readonly promisedUntilMs: number[] = [];

  private constructor(private readonly random: () => number) {}

  /**
   * Creates an instance that has promised nothing.
   *
   * @param random returns numbers from 0 up to 1.
   */
  static create(random: () => number): ReturnTimes {
    return new ReturnTimes(random);
  }

  /** Returns when a refused caller is to come back, in milliseconds from now. */
  choose(refusal: QueueRefusalTimes, nowMs: number): number {
    const { rank, roomMs, serviceMs, capacity, ...rest } = refusal;
    const promisedMs = Math.max(
      nowMs,
      ...this.promisedUntilMs.slice(0, rank + 1).filter(Boolean),
    );
    const atMs = Math.max(nowMs + roomMs, promisedMs);
    const { returnMs, isHonoured } = drawReturnMs(
      { ...rest, roomMs: atMs - nowMs, serviceMs },
      this.random,
    );
    if (isHonoured) {
      this.promisedUntilMs[rank] = atMs + serviceMs / capacity;
    }
    return returnMs;
  }
}
