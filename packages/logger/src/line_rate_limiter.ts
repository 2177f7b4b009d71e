/**
 * Limits the rate of log lines of each event.
 *
 * @module
 */

/** Sustained rate of one event. The limit is per event, so that frequent events never suppress rare ones. */
const LINES_PER_SECOND = 20;
/** Capacity of the token bucket of one event, in lines. */
const MAX_BURST_LINES = 60;

/** Minimum interval between two reports of the number of suppressed lines of one event, in milliseconds. */
const REPORT_INTERVAL_MS = 5_000;

interface Bucket {
  availableLines: number;
  reportedAtMs: number;
  refilledAtMs: number;
  suppressedLines: number;
}

/**
 * Token buckets, one per event. Under overload the same refusal occurs thousands of times a second: a line
 * for each would take processor time from requests and bury the rare lines that explain the overload.
 */
export class LineRateLimiter {
  private readonly buckets = new Map<string, Bucket>();

  private constructor() {}

  /** Creates a limiter; the bucket of each event is full at first. */
  static create(): LineRateLimiter {
    return new LineRateLimiter();
  }

  /**
   * Takes one line from the bucket of an event.
   *
   * @param nowMs a monotonic time, in milliseconds.
   * @returns whether the line may be written and, if so, the number of suppressed lines to report now: 0
   * within `REPORT_INTERVAL_MS` of the last report.
   */
  take(
    event: string,
    nowMs: number,
  ): { mayWrite: boolean; suppressedLines: number } {
    const bucket = this.bucketOf(event, nowMs);
    const elapsedSeconds = (nowMs - bucket.refilledAtMs) / 1_000;
    bucket.availableLines = Math.min(
      MAX_BURST_LINES,
      bucket.availableLines + elapsedSeconds * LINES_PER_SECOND,
    );
    bucket.refilledAtMs = nowMs;
    if (bucket.availableLines < 1) {
      bucket.suppressedLines += 1;
      return { mayWrite: false, suppressedLines: bucket.suppressedLines };
    }
    bucket.availableLines -= 1;
    if (nowMs - bucket.reportedAtMs < REPORT_INTERVAL_MS) {
      return { mayWrite: true, suppressedLines: 0 };
    }
    const { suppressedLines } = bucket;
    bucket.reportedAtMs = nowMs;
    bucket.suppressedLines = 0;
    return { mayWrite: true, suppressedLines };
  }

  private bucketOf(event: string, nowMs: number): Bucket {
    const known = this.buckets.get(event);
    const bucket = known ??
      {
        availableLines: MAX_BURST_LINES,
        reportedAtMs: nowMs,
        refilledAtMs: nowMs,
        suppressedLines: 0,
      };
    this.buckets.set(event, bucket);
    return bucket;
  }
}
