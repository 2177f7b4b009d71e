/**
 * Bounds the calls that one process makes to the store.
 *
 * What goes wrong without it: after an outage every daemon comes back with everything at once, and the
 * store, whose rates grow more slowly than the fleet, is down again. It shows as a second outage right
 * after the first. With a bound in each process the sum is bounded too.
 *
 * @module
 */

/** A token bucket of calls. */
export class CallRateLimiter {
  private tokens: number;
  private lastMs: number | undefined;

  private constructor(
    private readonly limits: { perSecond: number; burst: number },
  ) {
    this.tokens = limits.burst;
  }

  /** Creates a full budget. */
  static create(limits: { perSecond: number; burst: number }): CallRateLimiter {
    return new CallRateLimiter(limits);
  }

  /** Takes one call out of the budget, if there is one. */
  tryAcquire(nowMs: number): boolean {
    const elapsedMs = nowMs - (this.lastMs ?? nowMs);
    this.lastMs = nowMs;
    this.tokens = Math.min(
      this.limits.burst,
      this.tokens + (elapsedMs / 1_000) * this.limits.perSecond,
    );
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
