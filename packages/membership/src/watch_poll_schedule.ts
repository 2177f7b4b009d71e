/**
 * Decides how long a watch of the store waits until it is renewed.
 *
 * A watch whose connection has gone silent says nothing, as one without changes does. Its renewal tells the two apart.
 *
 * @module
 */

/** The longest wait, in milliseconds. Each renewal counts as a call. */
const LONGEST_WAIT_MS = 28_000;
/** Mean time between two renewals among all daemons, in milliseconds. One that learns of a change tells the others. */
const MEAN_RENEWAL_GAP_MS = 350;

/** Chooses the waits of one daemon's watch. */
export class WatchPollSchedule {
  private fullMs = 0;

  private constructor(private readonly random: () => number) {}

  /** Creates waits without history; `random` returns numbers from 0 to 1. */
  static create(random: () => number): WatchPollSchedule {
    return new WatchPollSchedule(random);
  }

  /**
   * Chooses the next wait, in milliseconds.
   *
   * Whatever else ends a wait may end those of all daemons at once, so the next is drawn: renewals in step would leave
   * the whole fleet without news between two of them.
   *
   * @param daemons how many daemons watch.
   * @param hasTimedOut whether the last wait ran to its end without a change.
   */
  nextTimeoutMs(
    { daemons, hasTimedOut }: { daemons: number; hasTimedOut: boolean },
  ): number {
    const fullMs = Math.min(LONGEST_WAIT_MS, daemons * MEAN_RENEWAL_GAP_MS);
    const isSpread = hasTimedOut && fullMs === this.fullMs;
    this.fullMs = fullMs;
    return Math.ceil(isSpread ? fullMs : fullMs * (1 - this.random()));
  }
}
