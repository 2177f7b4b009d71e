/**
 * Bounds how many lines of each event are written.
 *
 * @module
 */

/** Lines of one event in one second; rarer events are never cut by frequent ones. */
const LINES_PER_SECOND = 20;
/** Lines that one event may save up for a moment in which much happens. */
const SAVED_LINES = 60;

/** How many were left out is told at most so often, in milliseconds. */
const TELL_MS = 5_000;

interface Bucket {
  lines: number;
  toldAtMs: number;
  filledAtMs: number;
  leftOut: number;
}

/**
 * A bucket of lines for each event. Under overload the same refusal is decided thousands of times a
 * second: writing each would cost the time that requests need, and hide the rare lines that explain it.
 */
export class LineBudget {
  private readonly buckets = new Map<string, Bucket>();

  private constructor() {}

  /** Creates full buckets. */
  static create(): LineBudget {
    return new LineBudget();
  }

  /**
   * Asks for a line.
   *
   * @returns whether it may be written, and how many were left out that nobody was told of yet.
   */
  take(event: string, nowMs: number): { mayWrite: boolean; leftOut: number } {
    const bucket = this.bucketOf(event, nowMs);
    const passedSeconds = (nowMs - bucket.filledAtMs) / 1_000;
    bucket.lines = Math.min(
      SAVED_LINES,
      bucket.lines + passedSeconds * LINES_PER_SECOND,
    );
    bucket.filledAtMs = nowMs;
    if (bucket.lines < 1) {
      bucket.leftOut += 1;
      return { mayWrite: false, leftOut: bucket.leftOut };
    }
    bucket.lines -= 1;
    if (nowMs - bucket.toldAtMs < TELL_MS) {
      return { mayWrite: true, leftOut: 0 };
    }
    const { leftOut } = bucket;
    bucket.toldAtMs = nowMs;
    bucket.leftOut = 0;
    return { mayWrite: true, leftOut };
  }

  private bucketOf(event: string, nowMs: number): Bucket {
    const known = this.buckets.get(event);
    const bucket = known ??
      { lines: SAVED_LINES, toldAtMs: nowMs, filledAtMs: nowMs, leftOut: 0 };
    this.buckets.set(event, bucket);
    return bucket;
  }
}
