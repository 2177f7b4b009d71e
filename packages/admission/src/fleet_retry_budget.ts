/**
 * Bounds how often requests are sent to a second backend server, over the whole fleet.
 *
 * @module
 */

/** What the operators allow. */
export interface FleetRetryLimits {
  /** Resends for each request. */
  readonly ratio: number;
  /** Resends beyond the ratio, for the whole fleet in one window. */
  readonly extra: number;
  readonly windowMs: number;
}

/** Pieces of a window in which events are counted. */
const PIECES = 10;
/**
 * Share of the allowance that is used: resends that are under way count where and when they arrive, and
 * a request counts only once it is over.
 */
const USED_SHARE = 0.7;

interface Count {
  readonly piece: number;
  requests: number;
  resends: number;
}

/**
 * Resends of one daemon by service.
 *
 * The bound must hold for all daemons together without any agreement among them: each takes the ratio of
 * its own requests, and an equal part of the extra. The sum can't exceed the allowance, whoever is cut
 * off from whom, as long as nobody counts on fewer daemons than there are.
 */
export class FleetRetryBudget {
  private readonly counts = new Map<string, Count[]>();

  private constructor(private limits: FleetRetryLimits) {}

  /** Creates a budget without history. */
  static create(limits: FleetRetryLimits): FleetRetryBudget {
    return new FleetRetryBudget(limits);
  }

  /** Changes the limits. */
  setLimits(limits: FleetRetryLimits): void {
    this.limits = limits;
  }

  /** Notes a caller's request for a service. */
  recordRequest(service: string, nowMs: number): void {
    this.countOf(service, nowMs).requests += 1;
  }

  /** Notes that a request was sent once more. */
  recordRetry(service: string, nowMs: number): void {
    this.countOf(service, nowMs).resends += 1;
  }

  /**
   * Whether a request may be sent once more.
   *
   * @param daemons how many daemons there may be.
   */
  allows(service: string, now: { nowMs: number; daemons: number }): boolean {
    const recent = this.recent(service, now.nowMs);
    const requests = recent.reduce((sum, count) => sum + count.requests, 0);
    const resends = recent.reduce((sum, count) => sum + count.resends, 0);
    const { ratio, extra } = this.limits;
    const allowance = ratio * requests + extra / Math.max(1, now.daemons);
    return resends + 1 <= USED_SHARE * allowance;
  }

  private countOf(service: string, nowMs: number): Count {
    const piece = this.pieceOf(nowMs);
    const recent = this.recent(service, nowMs);
    const last = recent.at(-1);
    if (last?.piece === piece) {
      return last;
    }
    const count = { piece, requests: 0, resends: 0 };
    this.counts.set(service, [...recent, count]);
    return count;
  }

  private recent(service: string, nowMs: number): Count[] {
    const piece = this.pieceOf(nowMs);
    return (this.counts.get(service) ?? [])
      .filter((count) => count.piece > piece - PIECES);
  }

  private pieceOf(nowMs: number): number {
    return Math.floor(nowMs / (this.limits.windowMs / PIECES));
  }
}
