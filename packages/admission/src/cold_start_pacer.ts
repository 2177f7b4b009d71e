/**
 * Paces requests to a cold backend server.
 *
 * Guards against a server that has just started being given all that fits its slots, crashing under it, and coming
 * back cold again.
 *
 * @module
 */

/**
 * Window in which starts are counted, in milliseconds: one second, and what the way to the server may vary by.
 */
const WINDOW_MS = 1_050;

/** The times of the latest starts at one backend server, against the rate that it bears while it is cold. */
export class ColdStartPacer {
  /** The latest starts, the oldest first; as many as the window may hold. */
  private starts: number[] = [];
  private coldUntilMs = -Infinity;

  private constructor(private lastUncountedMs: number) {}

  /**
   * Creates a pacer without a limit.
   *
   * @param startedAtMs when this process started. What an earlier one sent just before is unknown, so the window counts
   *   as full then.
   */
  static create(startedAtMs: number): ColdStartPacer {
    return new ColdStartPacer(startedAtMs);
  }

  /** Sets how many requests the server may get in a second while it is cold; 0 for no limit. */
  setLimit(requests: number): void {
    if (requests === this.starts.length) {
      return;
    }
    // Starts that were not kept may have been as late as this.
    const latestMs = this.starts[0] ?? this.lastUncountedMs;
    const missing = Math.max(0, requests - this.starts.length);
    const uncounted = Array.from({ length: missing }, () => latestMs);
    const counted = [...uncounted, ...this.starts];
    this.starts = counted.slice(counted.length - requests);
  }

  /** Sets until when the server is cold, on the daemon's clock. */
  setColdUntil(atMs: number): void {
    this.coldUntilMs = atMs;
  }

  /** Whether starts are limited now. */
  isPacing(nowMs: number): boolean {
    return this.starts.length > 0 && nowMs < this.coldUntilMs;
  }

  /** Notes that a request has started. Starts at a warm server count, too: it may turn cold at any moment. */
  recordStart(nowMs: number): void {
    if (this.starts.length === 0) {
      this.lastUncountedMs = nowMs;
      return;
    }
    this.starts.shift();
    this.starts.push(nowMs);
  }

  /** Until a request may start behind so many others, in milliseconds. */
  delayMs(ahead: number, nowMs: number): number {
    if (!this.isPacing(nowMs)) {
      return 0;
    }
    const { length } = this.starts;
    const windows = Math.floor(ahead / length) + 1;
    const startAtMs = this.starts[ahead % length]! + windows * WINDOW_MS;
    return Math.max(0, Math.min(startAtMs, this.coldUntilMs) - nowMs);
  }

  /** Share of the window that is used, 0 where nothing is limited. */
  utilization(nowMs: number): number {
    if (!this.isPacing(nowMs)) {
      return 0;
    }
    const recent = this.starts.filter((atMs) => nowMs - atMs < WINDOW_MS);
    return recent.length / this.starts.length;
  }
}
