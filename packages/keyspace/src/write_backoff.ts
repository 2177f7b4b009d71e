/**
 * Decides when a writer tries again to change a record that other writers change, too.
 *
 * @module
 */

/**
 * The pause after the first lost race, in milliseconds: within it the news of the other's write has come, and need not
 * be read from the store.
 */
const FIRST_PAUSE_MS = 15;
/** The longest pause, in milliseconds: what is to be written may be keys that have no owner until then. */
const LONGEST_PAUSE_MS = 120;

/** The pauses of one writer of one record. */
export class WriteBackoff {
  private losses = 0;

  private constructor(private readonly random: () => number) {}

  /** Creates the turns of a writer that has lost no race. */
  static create(random: () => number): WriteBackoff {
    return new WriteBackoff(random);
  }

  /** A write took effect. */
  recordSuccess(): void {
    this.losses = 0;
  }

  /**
   * A write came after another one.
   *
   * @returns how long to wait before the next try, in milliseconds: longer after each loss, and by chance, so that
   *   those who lost to the same write don't meet again.
   */
  recordConflict(): number {
    const longestMs = Math.min(
      LONGEST_PAUSE_MS,
      FIRST_PAUSE_MS * 2 ** (this.losses + 1),
    );
    this.losses += 1;
    return FIRST_PAUSE_MS + this.random() * (longestMs - FIRST_PAUSE_MS);
  }
}
