/**
 * Moving averages of how long requests hold a slot of one backend server.
 *
 * @module
 */

/** Weight of the latest request in the moving averages (EWMA). */
const SERVICE_TIME_EWMA_WEIGHT = 0.1;
/**
 * Half-life of the weight of earlier requests while none are completed, in milliseconds. A server that appears slow is
 * sent few requests, and each of them must show that it no longer is.
 */
const HISTORY_HALF_LIFE_MS = 2_000;
/**
 * Estimate for a route without history, as a share of the time to the objective: operators set objectives at about
 * three times the typical duration. With a lower estimate, a server that has just started would be sent many more
 * requests than it can serve on time before the first of them ends.
 */
const DEFAULT_OBJECTIVE_SHARE = 0.35;
/** The same as a share of the time to the deadline, where the objective has passed. */
const DEFAULT_DEADLINE_SHARE = 0.1;

/**
 * Number of requests from which the average may be compared with those of other servers. With only a few, a slow server
 * can appear ten times as fast as the others and be assigned the hottest keys.
 */
const MIN_STABLE_COUNT = 20;

interface Average {
  readonly valueMs: number;
  /** When the latest request was completed. */
  readonly updatedAtMs: number;
}

/** Moving averages of the service time by route, and over all requests. */
export class ServiceTimes {
  private readonly averages = new Map<string, Average>();
  private overall: Average | undefined;
  private count = 0;

  private constructor() {}

  /** Creates an instance without history. */
  static create(): ServiceTimes {
    return new ServiceTimes();
  }

  /** Records how long a request held its slot, and when that was completed, in milliseconds. */
  record(route: string, request: { tookMs: number; endedAtMs: number }): void {
    this.averages.set(route, updated(this.averages.get(route), request));
    this.overall = updated(this.overall, request);
    this.count += 1;
  }

  /**
   * Estimates how long a request of a route will hold a slot, in milliseconds.
   *
   * @param remaining the time to the objective and to the deadline of the request, used for routes without history.
   */
  estimate(
    route: string,
    remaining: { objectiveMs: number; deadlineMs: number },
  ): number {
    return this.averages.get(route)?.valueMs ??
      Math.max(
        0,
        remaining.objectiveMs * DEFAULT_OBJECTIVE_SHARE,
        remaining.deadlineMs * DEFAULT_DEADLINE_SHARE,
      );
  }

  /** Average of a route, in milliseconds; 0 without history. */
  averageOf(route: string): number {
    return this.averages.get(route)?.valueMs ?? 0;
  }

  /** When a request of a route was last completed, in milliseconds; `undefined` without history. */
  lastCompletedAtMs(route: string): number | undefined {
    return this.averages.get(route)?.updatedAtMs;
  }

  /** Average over all requests, in milliseconds; 0 without history. */
  get averageMs(): number {
    return this.overall?.valueMs ?? 0;
  }

  /** The same, but 0 until there are enough requests to compare servers by it. */
  get stableAverageMs(): number {
    return this.count < MIN_STABLE_COUNT ? 0 : this.averageMs;
  }

  /** Discards all history, because a new incarnation of the server may be slower or faster. */
  clear(): void {
    this.averages.clear();
    this.overall = undefined;
    this.count = 0;
  }
}

function updated(
  known: Average | undefined,
  { tookMs, endedAtMs }: { tookMs: number; endedAtMs: number },
): Average {
  if (known === undefined) {
    return { valueMs: tookMs, updatedAtMs: endedAtMs };
  }
  const idleMs = Math.max(0, endedAtMs - known.updatedAtMs);
  const historyWeight = (1 - SERVICE_TIME_EWMA_WEIGHT) *
    (tookMs < known.valueMs ? 0.5 ** (idleMs / HISTORY_HALF_LIFE_MS) : 1);
  return {
    valueMs: tookMs + historyWeight * (known.valueMs - tookMs),
    updatedAtMs: endedAtMs,
  };
}
