/**
 * Retry budget for requests that are sent to a second backend server, which holds for the whole fleet.
 *
 * @module
 */

/** Limits that the operators configure. */
export interface FleetRetryLimits {
  /** Retries per request. */
  readonly ratio: number;
  /** Additional retries of the whole fleet in one window. */
  readonly extra: number;
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
}

/** Number of buckets into which a window is divided for counting. */
const BUCKET_COUNT = 10;
/**
 * Share of the allowance that may be used. The rest is a margin for whoever checks the limit by the requests that
 * backend servers receive: there, a retry counts as soon as it arrives, and a request only once it has ended.
 */
const USABLE_SHARE = 0.7;

interface Bucket {
  readonly index: number;
  requests: number;
  retries: number;
}

/**
 * Counts one daemon's requests and retries by service.
 *
 * The bound must hold for all daemons together without coordination between them: each daemon takes the ratio of its
 * own requests and an equal part of the extra retries. The sum can't exceed the allowance, even under network
 * partitions, as long as no daemon assumes fewer daemons than there are.
 */
export class FleetRetryBudget {
  private readonly buckets = new Map<string, Bucket[]>();

  private constructor(private limits: FleetRetryLimits) {}

  /** Creates a budget without history. */
  static create(limits: FleetRetryLimits): FleetRetryBudget {
    return new FleetRetryBudget(limits);
  }

  /** Changes the limits. */
  setLimits(limits: FleetRetryLimits): void {
    this.limits = limits;
  }

  /** Records a caller's request for a service. */
  recordRequest(service: string, nowMs: number): void {
    this.bucketAt(service, nowMs).requests += 1;
  }

  /** Records a retry of a request for a service. */
  recordRetry(service: string, nowMs: number): void {
    this.bucketAt(service, nowMs).retries += 1;
  }

  /**
   * Whether the budget allows another retry.
   *
   * @param now the time, and an upper bound for the number of daemons in the fleet.
   */
  allows(service: string, now: { nowMs: number; daemons: number }): boolean {
    const recent = this.recentBuckets(service, now.nowMs);
    const requests = recent.reduce((sum, bucket) => sum + bucket.requests, 0);
    const retries = recent.reduce((sum, bucket) => sum + bucket.retries, 0);
    const { ratio, extra } = this.limits;
    const allowance = ratio * requests + extra / Math.max(1, now.daemons);
    return retries + 1 <= USABLE_SHARE * allowance;
  }

  private bucketAt(service: string, nowMs: number): Bucket {
    const index = this.bucketIndexAt(nowMs);
    const recent = this.recentBuckets(service, nowMs);
    const last = recent.at(-1);
    if (last?.index === index) {
      return last;
    }
    const bucket = { index, requests: 0, retries: 0 };
    this.buckets.set(service, [...recent, bucket]);
    return bucket;
  }

  private recentBuckets(service: string, nowMs: number): Bucket[] {
    const index = this.bucketIndexAt(nowMs);
    return (this.buckets.get(service) ?? [])
      .filter((bucket) => bucket.index > index - BUCKET_COUNT);
  }

  private bucketIndexAt(nowMs: number): number {
    return Math.floor(nowMs / (this.limits.windowMs / BUCKET_COUNT));
  }
}
