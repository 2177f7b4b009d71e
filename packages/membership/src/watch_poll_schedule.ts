/**
 * Chooses the timeouts of the long polls by which a daemon watches the store.
 *
 * A watch whose connection is dead is indistinguishable from one without changes until its poll is renewed.
 *
 * @module
 */

/** Maximum poll timeout; it bounds the number of renewals, each of which is a call to the store. */
const MAX_TIMEOUT_MS = 28_000;
/** Mean time between two renewals in the whole fleet. A daemon that receives a change notifies the others. */
const MEAN_RENEWAL_INTERVAL_MS = 350;
/**
 * Maximum timeout of a daemon that knows no other, in milliseconds. Such a daemon can't rely on renewals of others: even
 * if its connection is dead and the store takes 600 ms to respond, it receives a change within 2 s.
 */
const MAX_LONE_TIMEOUT_MS = 750;

/** The poll timeouts of one daemon's watch. */
export class WatchPollSchedule {
  private fullTimeoutMs = 0;

  private constructor(private readonly random: () => number) {}

  /** Creates a schedule without history; `random` returns numbers in [0, 1). */
  static create(random: () => number): WatchPollSchedule {
    return new WatchPollSchedule(random);
  }

  /**
   * Chooses the next timeout, in milliseconds.
   *
   * Anything but a timeout may end the polls of all daemons at the same time, so the next timeout is then drawn at
   * random: synchronized renewals would leave the whole fleet without updates between two of them.
   *
   * @param daemons number of daemons that watch.
   * @param endedUnchanged whether the last poll reached its timeout without a change.
   */
  nextTimeoutMs(
    { daemons, endedUnchanged }: { daemons: number; endedUnchanged: boolean },
  ): number {
    const fullTimeoutMs = Math.min(
      MAX_TIMEOUT_MS,
      daemons * MEAN_RENEWAL_INTERVAL_MS,
    );
    const isStaggered = endedUnchanged && fullTimeoutMs === this.fullTimeoutMs;
    this.fullTimeoutMs = fullTimeoutMs;
    return Math.ceil(
      isStaggered ? fullTimeoutMs : fullTimeoutMs * (1 - this.random()),
    );
  }

  /**
   * Draws the next timeout of a daemon that knows no other, in milliseconds; drawn at random, so that daemons that start
   * together don't renew at the same time.
   */
  drawLoneTimeoutMs(): number {
    return Math.ceil(MAX_LONE_TIMEOUT_MS * (1 - this.random() / 2));
  }
}
