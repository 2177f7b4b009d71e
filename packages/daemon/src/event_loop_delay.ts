/**
 * How late the event loop of this process runs.
 *
 * @module
 */

/** Sums up by how much the turns of a periodic timer were late. */
export class EventLoopDelay {
  private lastTurnMs: number | undefined;
  private finishedLateMs = 0;

  private constructor(private readonly intervalMs: number) {}

  /** Creates a measurement by a timer of the given interval. */
  static create(intervalMs: number): EventLoopDelay {
    return new EventLoopDelay(intervalMs);
  }

  /** Records a turn of the timer; returns by how much it was late, in milliseconds. */
  recordTurn(nowMs: number): number {
    const lateMs = this.overdueMs(nowMs);
    this.finishedLateMs += lateMs;
    this.lastTurnMs = nowMs;
    return lateMs;
  }

  /** Sum of all lateness so far, in milliseconds, including that of a turn which is overdue now. */
  totalLateMs(nowMs: number): number {
    return this.finishedLateMs + this.overdueMs(nowMs);
  }

  private overdueMs(nowMs: number): number {
    return this.lastTurnMs === undefined
      ? 0
      : Math.max(0, nowMs - this.lastTurnMs - this.intervalMs);
  }
}
