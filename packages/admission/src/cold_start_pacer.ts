/**
 * Limits the rate of requests to a cold backend server (slow start).
 *
 * Without it, a server that has just started is sent as many requests as fit its slots, crashes under that load, and
 * restarts cold again.
 *
 * @module
 */

/**
 * Window in which starts are counted, in milliseconds: one second, plus the jitter of the path to the server.
 */
const WINDOW_MS = 1_050;

/** Sliding-window rate limiter for the requests started at one backend server while it is cold. */
export class ColdStartPacer {
  /** Times of the latest starts, the oldest first; as many as the limit. */
  private starts: number[] = [];
  private coldUntilMs = -Infinity;

  private constructor(private lastUntrackedStartMs: number) {}

  /**
   * Creates a pacer without a limit.
   *
   * @param startedAtMs when this process started. An earlier process may have sent requests just before, so the window
   *   is assumed to be full at that time.
   */
  static create(startedAtMs: number): ColdStartPacer {
    return new ColdStartPacer(startedAtMs);
  }

  /** Sets the maximum number of requests per second while the server is cold; 0 for no limit. */
  setLimit(requests: number): void {
    if (requests === this.starts.length) {
      return;
    }
    // Start times that were not kept may be as recent as this.
    const latestMs = this.starts[0] ?? this.lastUntrackedStartMs;
    const missingCount = Math.max(0, requests - this.starts.length);
    const untracked = Array.from({ length: missingCount }, () => latestMs);
    const allStarts = [...untracked, ...this.starts];
    this.starts = allStarts.slice(allStarts.length - requests);
  }

  /** Sets until when the server is cold, in milliseconds on the daemon's clock. */
  setColdUntil(coldUntilMs: number): void {
    this.coldUntilMs = coldUntilMs;
  }

  /** Whether the limit is in effect. */
  isPacing(nowMs: number): boolean {
    return this.starts.length > 0 && nowMs < this.coldUntilMs;
  }

  /** Records the start of a request. Starts at a warm server count, too, because it may turn cold at any time. */
  recordStart(nowMs: number): void {
    if (this.starts.length === 0) {
      this.lastUntrackedStartMs = nowMs;
      return;
    }
    this.starts.shift();
    this.starts.push(nowMs);
  }

  /** Delay until a request with `ahead` others before it may start, in milliseconds. */
  delayMs(ahead: number, nowMs: number): number {
    if (!this.isPacing(nowMs)) {
      return 0;
    }
    const { length } = this.starts;
    const windows = Math.floor(ahead / length) + 1;
    const startAtMs = this.starts[ahead % length]! + windows * WINDOW_MS;
    return Math.max(0, Math.min(startAtMs, this.coldUntilMs) - nowMs);
  }

  /** Share of the limit that is used in the current window; 0 while the limit is not in effect. */
  utilization(nowMs: number): number {
    if (!this.isPacing(nowMs)) {
      return 0;
    }
    const recentStarts = this.starts.filter((startedAtMs) =>
      nowMs - startedAtMs < WINDOW_MS
    );
    return recentStarts.length / this.starts.length;
  }
}
