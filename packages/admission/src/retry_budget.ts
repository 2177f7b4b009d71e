/**
 * Retry budget: bounds retries to a share of the requests, so that they can't amplify an overload.
 *
 * @module
 */

/** Maximum number of unused retries that accumulate. */
const MAX_TOKENS = 100;

/** Token bucket that requests fill and retries empty. */
export class RetryBudget {
  private tokens: number;

  private constructor(private readonly ratio: number) {
    this.tokens = MAX_TOKENS / 10;
  }

  /** Creates a budget that allows `ratio` retries for each request, for example 0.1. */
  static create(ratio: number): RetryBudget {
    return new RetryBudget(ratio);
  }

  /** Records a first attempt, which adds to the budget. */
  recordRequest(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + this.ratio);
  }

  /** Takes one retry out of the budget; returns whether there was one. */
  tryRetry(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
