/**
 * Measures how far the times that requests take deviate from their estimates.
 *
 * @module
 */

/** Assumed before any request has ended. */
const INITIAL_SHARE = 0.3;
/** Weight of the latest request in the mean (EWMA). */
const EWMA_WEIGHT = 0.1;

/** Mean deviation of one server's requests. */
export class EstimateSpread {
  private meanShare = INITIAL_SHARE;

  private constructor() {}

  /** Creates an instance without measurements. */
  static create(): EstimateSpread {
    return new EstimateSpread();
  }

  /** Records a request that has ended; times in milliseconds. */
  record({ estimateMs, tookMs }: { estimateMs: number; tookMs: number }): void {
    if (estimateMs > 0) {
      const share = Math.min(1, Math.abs(tookMs - estimateMs) / estimateMs);
      this.meanShare += EWMA_WEIGHT * (share - this.meanShare);
    }
  }

  /** Mean deviation as a share of the estimate, from 0 to 1. */
  get share(): number {
    return this.meanShare;
  }
}
