/**
 * Estimates how long the caller of a request has already waited, from the deadlines that are typical of its route.
 *
 * @module
 */

/** Maximum number of deadlines kept per route. */
const MAX_SAMPLES = 200;
/** Minimum share of the kept deadlines that a deadline must make up to count as typical. */
const FREQUENT_SHARE = 0.2;

/** How deadlines are compared. */
export interface DeadlineComparison {
  /**
   * Deadlines that differ by less count as the same, in milliseconds. At the daemon beside a backend server they vary
   * by the time that requests have taken to reach it.
   */
  readonly resolutionMs: number;
  /** Whether a route's typical deadline is also updated while few of its requests are known, as after a start. */
  readonly isEager: boolean;
}

/**
 * Learns the typical deadline of each route.
 *
 * A caller that retries after a refusal has only the rest of its time left. Its latency objective counts from its first
 * attempt, so the retry is already late. Treated as a new request, it would go before others that can still be on time.
 * Callers of one route mostly start with the same deadline, so the difference between the typical deadline and that of
 * a request is the time for which its caller has already waited.
 */
export class ElapsedWaitEstimator {
  private readonly samples = new Map<string, number[]>();
  private readonly typicalDeadlines = new Map<string, number>();

  private constructor(private readonly comparison: DeadlineComparison) {}

  /** Creates an estimator without history, which compares deadlines as callers have stated them by default. */
  static create(
    comparison: DeadlineComparison = { resolutionMs: 1, isEager: false },
  ): ElapsedWaitEstimator {
    return new ElapsedWaitEstimator(comparison);
  }

  /**
   * Records the deadline of a request, in milliseconds from now; returns how long its caller has already waited, in
   * milliseconds.
   */
  recordDeadline(route: string, deadlineMs: number): number {
    const routeSamples = this.samples.get(route) ?? [];
    const { resolutionMs, isEager } = this.comparison;
    routeSamples.push(Math.round(deadlineMs / resolutionMs) * resolutionMs);
    this.samples.set(route, routeSamples);
    const { length } = routeSamples;
    const isPowerOfTwo = (length & (length - 1)) === 0;
    if (
      length >= MAX_SAMPLES || isEager && isPowerOfTwo ||
      this.typicalDeadlines.get(route) === undefined
    ) {
      this.updateTypicalDeadline(route, routeSamples);
    }
    if (routeSamples.length >= MAX_SAMPLES) {
      this.samples.set(route, routeSamples.slice(MAX_SAMPLES / 2));
    }
    return Math.max(
      0,
      (this.typicalDeadlines.get(route) ?? deadlineMs) - deadlineMs,
    );
  }

  /** Sets the typical deadline to the longest frequent one. */
  private updateTypicalDeadline(
    route: string,
    routeSamples: readonly number[],
  ): void {
    const counts = new Map<number, number>();
    routeSamples.forEach((value) =>
      counts.set(value, (counts.get(value) ?? 0) + 1)
    );
    const frequent = [...counts]
      .filter(([, count]) => count >= routeSamples.length * FREQUENT_SHARE)
      .map(([value]) => value);
    if (frequent.length > 0) {
      this.typicalDeadlines.set(route, Math.max(...frequent));
    }
  }
}
