/**
 * Measures how far the process is behind, for want of processor time.
 *
 * @module
 */
import { setImmediate as nextTurn } from "node:timers/promises";

/** Ticks over which the largest lag counts. */
const REMEMBERED = 4;
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

  private constructor(private readonly tickMs: number) {}

  /** Creates a measure that is fed by a timer of the given period, in milliseconds. */
  static create(tickMs: number): LoopLag {
    return new LoopLag(tickMs);
  }

  /** Notes the time since the last tick. */
  noteTick(passedMs: number): void {
    const lagMs = Math.max(0, passedMs - this.tickMs);
    this.lags = [...this.lags, lagMs].slice(-REMEMBERED);
  }

  /** For how long what is read now may have waited, in milliseconds. */
  get currentMs(): number {
    const largest = Math.max(0, ...this.lags);
    return largest >= NOTEWORTHY_MS ? largest : 0;
  }

  /**
   * While the process is behind, gives it the chance to read that a caller has left, which lies right
   * behind the caller's request.
   */
  async catchUp(): Promise<void> {
    if (this.currentMs > 0) {
      await nextTurn();
    }
  }
}
