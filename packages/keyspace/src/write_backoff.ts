/**
 * Exponential backoff with jitter for compare-and-swap writes of a record that several writers change.
 *
 * @module
 */

/**
 * Minimum delay after a conflict, in milliseconds: within it, the update about the other writer's change has typically
 * been received, and the record need not be read from the store.
 */
const MIN_DELAY_MS = 15;
/** Maximum delay, in milliseconds: the pending write may concern keys that have no owner until it succeeds. */
const MAX_DELAY_MS = 120;

/** The backoff state of one writer of one record. */
export class WriteBackoff {
  private conflicts = 0;

  private constructor(private readonly random: () => number) {}

  /**
   * Creates the state of a writer without conflicts.
   *
   * @param random source of numbers from 0 up to 1, for jitter.
   */
  static create(random: () => number): WriteBackoff {
    return new WriteBackoff(random);
  }

  /** Records that a write succeeded, which resets the backoff. */
  recordSuccess(): void {
    this.conflicts = 0;
  }

  /**
   * Records that a write failed because another one took effect first.
   *
   * @returns the delay before the next attempt, in milliseconds. Its upper bound grows with each conflict; the jitter
   *   keeps writers that conflicted with the same write from conflicting again.
   */
  recordConflict(): number {
    const maxDelayMs = Math.min(
      MAX_DELAY_MS,
      MIN_DELAY_MS * 2 ** (this.conflicts + 1),
    );
    this.conflicts += 1;
    return MIN_DELAY_MS + this.random() * (maxDelayMs - MIN_DELAY_MS);
  }
}
