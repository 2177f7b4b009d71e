/**
 * Bounds retries to a share of the requests, so that they can't multiply an overload.
 *
 * @module
 */

/** Retries that may be saved up. */
const MAXIMUM_SAVED = 100;

/** A budget of retries. */
export class RetryBudget {
  private saved: number;

  private constructor(private readonly ratio: number) {
    this.saved = MAXIMUM_SAVED / 10;
  }

  /** Creates a budget that allows `ratio` retries for each request, for example 0.1. */
  static create(ratio: number): RetryBudget {
    return new RetryBudget(ratio);
  }

  /** Notes a first attempt. */
  noteRequest(): void {
    this.saved = Math.min(MAXIMUM_SAVED, this.saved + this.ratio);
  }

  /** Takes one retry out of the budget, if there is one. */
  tryRetry(): boolean {
    if (this.saved < 1) {
      return false;
    }
    this.saved -= 1;
    return true;
  }
}
