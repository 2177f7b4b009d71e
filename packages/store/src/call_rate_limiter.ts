/**
 * Limits the rate of calls that one process makes to the store.
 *
 * Without it, all daemons send all their calls at once after an outage. That is more than the store can handle, since
 * its permitted rates grow more slowly than the fleet, and it fails again right after it has recovered. A limit per
 * process also bounds the rate of the whole fleet.
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
