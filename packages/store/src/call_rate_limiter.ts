/**
 * Limits the rate of calls that one process makes to the store.
 *
 * Without it, after an outage every daemon sends all of its calls at once, and the store, whose permitted rates
 * grow more slowly than the fleet, goes down again: a second outage right after the first. A limit in each process
 * also bounds the sum.
 *
 * @module
 */

/** A token bucket. */
export class CallRateLimiter {
  private tokens: number;
  private refilledAtMs: number | undefined;

  private constructor(
    private readonly limits: { perSecond: number; burst: number },
  ) {
    this.tokens = limits.burst;
  }

  /** Creates a limiter with a full bucket. */
  static create(limits: { perSecond: number; burst: number }): CallRateLimiter {
    return new CallRateLimiter(limits);
  }

  /** Takes one token; `false` if there is none, so that the call must not be made. */
  tryAcquire(nowMs: number): boolean {
    const elapsedMs = nowMs - (this.refilledAtMs ?? nowMs);
    this.refilledAtMs = nowMs;
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
