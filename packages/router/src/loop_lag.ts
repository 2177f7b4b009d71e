/**
 * Measures how far the process is behind, for want of processor time.
 *
 * @module
 */
import { setImmediate as nextTurn } from "node:timers/promises";

/** Ticks over which the largest lag counts. */
const REMEMBERED = 4;
/** From this lag on requests are refused, in milliseconds: about half of a short latency objective. */
const LIMIT_MS = 120;
/** The same for urgent requests, in milliseconds. */
const URGENT_LIMIT_MS = 240;
/** Requests up to this rank are urgent; 0 is the most urgent. */
const URGENT_RANK = 1;
/** From this lag on a request may have been overtaken by its caller's leaving, in milliseconds. */
const NOTEWORTHY_MS = 40;

/**
 * The lag of the event loop.
 *
 * What goes wrong without it: after a restart on a small processor requests lie unread for a second. Read
 * at last, they look new, and are run for callers that have long left, at the cost of those that have not.
 */
export class LoopLag {
  private lags: number[] = [];
  private tickedAtMs: number;
  private largestMs = 0;

  private constructor(
    private readonly tickMs: number,
    private readonly now: () => number,
  ) {
    this.tickedAtMs = now();
  }

  /**
   * Creates a measure that is fed by a timer.
   *
   * @param tickMs the period of the timer, in milliseconds.
   * @param now the steady clock.
   */
  static create(tickMs: number, now: () => number): LoopLag {
    return new LoopLag(tickMs, now);
  }

  /** The timer has fired. */
  recordTick(): void {
    const lagMs = this.overdueMs();
    this.largestMs = Math.max(this.largestMs, lagMs);
    this.lags = [...this.lags, lagMs].slice(-REMEMBERED);
    this.tickedAtMs = this.now();
  }

  /** The largest lag since the last call, in milliseconds, for the log. */
  takeMaxMs(): number {
    const { largestMs } = this;
    this.largestMs = 0;
    return largestMs;
  }

  /**
   * For how long what is read now may have waited, in milliseconds. A turn in which much is read goes on
   * for long before the timer can fire, so the time since it fired last counts, too.
   */
  get currentMs(): number {
    const largest = Math.max(this.overdueMs(), ...this.lags);
    return largest >= NOTEWORTHY_MS ? largest : 0;
  }

  /**
   * Whether the process is so far behind that a request of a rank is better refused at once. Without
   * this, every request is read late, is run for too long, and makes the next one later.
   */
  isOverloaded(rank: number): boolean {
    const limitMs = rank <= URGENT_RANK ? URGENT_LIMIT_MS : LIMIT_MS;
    return this.currentMs > limitMs;
  }

  /**
   * Gives the process the chance to read that a caller has left, which lies right behind the caller's
   * request: while the process is behind, and for the first request of a connection. A connection whose
   * opening packet was lost comes about a second late, with all that its caller has sent meanwhile. The
   * end of a connection is read in the turn after its last bytes, so it takes the rest of this turn and
   * all of the next.
   */
  async awaitPendingReads(request: { isFirst: boolean }): Promise<void> {
    if (request.isFirst || this.currentMs > 0) {
      await nextTurn();
      await nextTurn();
    }
  }

  private overdueMs(): number {
    return Math.max(0, this.now() - this.tickedAtMs - this.tickMs);
  }
}
