/**
 * Measures the event loop's lag, which grows when the process is short of processor time.
 *
 * @module
 */
import { setImmediate as nextTurn } from "node:timers/promises";

/** Number of recent ticks whose maximum lag counts. */
const RECENT_TICKS = 4;
/**
 * Maximum lag, as a share of the time that a caller gives its request: further turns on its way and on that of its
 * response are late by as much.
 */
const MAX_LAG_SHARE = 0.25;
/** The same for urgent requests. */
const URGENT_MAX_LAG_SHARE = 0.4;
/** Lag that any request may suffer, in milliseconds, however little time it has: lags of this size end by themselves. */
const MIN_MAX_LAG_MS = 120;
/** The same for urgent requests, in milliseconds. */
const URGENT_MIN_MAX_LAG_MS = 240;
/** Time of a caller that counts at most, in milliseconds. The lag that long requests allow delays the others, too. */
const MAX_COUNTED_MS = 4_000;
/** Half-life of the sum of lags, in milliseconds. */
const LAG_SUM_HALF_LIFE_MS = 2_000;
/**
 * A sum of lags that a start does not exceed, in milliseconds. The maximum share is halved above it, and again above
 * twice as much: if the processor is too slow for seconds, all requests would be read as late as their time allows.
 */
const TRANSIENT_LAG_SUM_MS = 1_200;
/** How often the maximum share is halved at most; a deadline of 1.6 s then allows 100 ms, or 160 ms if urgent. */
const MAX_HALVINGS = 2;
/** Requests up to this rank are urgent; 0 is the most urgent. */
const MAX_URGENT_RANK = 1;
/** Minimum lag at which a caller may have disconnected before its request is read, in milliseconds. */
const MIN_RELEVANT_LAG_MS = 40;

/**
 * Measures how late the event loop reads requests.
 *
 * After a restart on a slow processor, requests may stay unread for a second. Without the measured lag, they would be
 * taken for new ones and run for callers that disconnected long ago, at the expense of those that are still connected.
 */
export class LoopLag {
  private recentLags: number[] = [];
  private lastTickAtMs: number;
  private maxMs = 0;
  private totalMs = 0;
  /** Exponentially decayed sum of lags, in milliseconds. */
  private lagSumMs = 0;

  private constructor(
    private readonly tickMs: number,
    private readonly now: () => number,
  ) {
    this.lastTickAtMs = now();
  }

  /**
   * Creates a lag meter that is driven by a timer.
   *
   * @param tickMs the period of the timer, in milliseconds.
   * @param now returns the time on the monotonic clock, in milliseconds.
   */
  static create(tickMs: number, now: () => number): LoopLag {
    return new LoopLag(tickMs, now);
  }

  /** Records the lag of a tick. To be called whenever the timer fires. */
  recordTick(): void {
    const lagMs = this.overdueLagMs();
    this.maxMs = Math.max(this.maxMs, lagMs);
    this.totalMs += lagMs;
    this.recentLags = [...this.recentLags, lagMs].slice(-RECENT_TICKS);
    this.lagSumMs = this.currentLagSumMs;
    this.lastTickAtMs = this.now();
  }

  /** Returns the maximum lag since the last call, in milliseconds, for the log. */
  takeMaxMs(): number {
    const { maxMs } = this;
    this.maxMs = 0;
    return maxMs;
  }

  /** The time on the monotonic clock without all lag, in milliseconds; it stops while a tick is overdue. */
  get runningMs(): number {
    return this.now() - this.totalMs - this.overdueLagMs();
  }

  /**
   * How long input that is read now may have waited, in milliseconds; 0 below the relevant lag. The time since the last
   * tick counts, too: a long event-loop turn delays the timer.
   */
  get currentMs(): number {
    const maxLagMs = Math.max(this.overdueLagMs(), ...this.recentLags);
    return maxLagMs >= MIN_RELEVANT_LAG_MS ? maxLagMs : 0;
  }

  /**
   * Whether the lag leaves a request too little of its time, so that it should be refused at once. Otherwise every
   * request is read late, is still run, and delays the next one further.
   *
   * @param request.timeMs how long its sender waits for the response, from when it was sent, in milliseconds.
   */
  isOverloaded(request: { rank: number; timeMs: number }): boolean {
    const { rank, timeMs } = request;
    const isUrgent = rank <= MAX_URGENT_RANK;
    const maxShare = isUrgent ? URGENT_MAX_LAG_SHARE : MAX_LAG_SHARE;
    const maxLagMs = Math.max(
      isUrgent ? URGENT_MIN_MAX_LAG_MS : MIN_MAX_LAG_MS,
      Math.min(timeMs, MAX_COUNTED_MS) * maxShare,
    );
    const lagMs = this.currentMs;
    return lagMs > 0 && lagMs > maxLagMs * 0.5 ** this.halvings;
  }

  /** How often the maximum lag is halved because the lag lasts. */
  private get halvings(): number {
    return Math.min(
      MAX_HALVINGS,
      Math.floor(this.currentLagSumMs / TRANSIENT_LAG_SUM_MS),
    );
  }

  private get currentLagSumMs(): number {
    const elapsedMs = this.now() - this.lastTickAtMs;
    return this.lagSumMs * 0.5 ** (elapsedMs / LAG_SUM_HALF_LIFE_MS) +
      this.overdueLagMs();
  }

  /**
   * Waits until the process has had the chance to read that a caller has disconnected, which may be queued right behind
   * the caller's request. It waits only under lag, and for the first request of a connection: a connection whose
   * opening packet was lost arrives about a second late, together with all that its caller has sent meanwhile. The end
   * of a connection is read in the event-loop turn after its last bytes, so the wait takes the rest of this turn and
   * all of the next.
   *
   * @param request.isFirst whether the request is the first one of its connection.
   */
  async awaitPendingReads(request: { isFirst: boolean }): Promise<void> {
    if (request.isFirst || this.currentMs > 0) {
      await nextTurn();
      await nextTurn();
    }
  }

  private overdueLagMs(): number {
    return Math.max(0, this.now() - this.lastTickAtMs - this.tickMs);
  }
}
