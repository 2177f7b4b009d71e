/**
 * Moving averages of how long requests hold a slot of one backend server.
 *
 * @module
 */
import { ASSUMED_FACTORS, type Coldness } from "./coldness.ts";

/** Weight of the latest request in the moving averages (EWMA). */
const SERVICE_TIME_EWMA_WEIGHT = 0.1;
/**
 * Half-life of the weight of earlier requests while none are completed, in milliseconds. A server that appears slow is
 * sent few requests, and each of them must show that it no longer is.
 */
const HISTORY_HALF_LIFE_MS = 2_000;
/**
 * Estimate for a route without history, as a share of the time to the deadline: a few others can then wait for the same
 * slot and end in time. With a lower estimate, a server that has just started would be sent many more requests than it
 * can serve in time before the first of them ends.
 */
const DEFAULT_DEADLINE_SHARE = 1 / 6;
/**
 * Maximum assumed time of a request on a cold server, as a share of the time to its deadline. With a longer one, no
 * request would be started, and nothing would be learned of how slow the server is.
 */
const MAX_ASSUMED_DEADLINE_SHARE = 0.7;
/**
 * Minimum time on a warm server that is derived from requests on a cold one, as a share of that without history. Without
 * it, a server that is not slow at all while it is cold would be expected to become far faster.
 */
const MIN_INFERRED_SHARE = 0.5;

/**
 * Number of requests from which the average may be compared with those of other servers. With only a few, a slow server
 * can appear ten times as fast as the others and be assigned the hottest keys.
 */
const MIN_STABLE_COUNT = 20;

interface Average {
  readonly valueMs: number;
  /** When the latest request was completed. */
  readonly updatedAtMs: number;
  /** Whether the server was cold when that request was started. */
  readonly isOfColdServer: boolean;
}

/** A completed request. */
export interface CompletedRequest {
  /** For how long it held its slot, in milliseconds. */
  readonly tookMs: number;
  /** When it was completed, in milliseconds. */
  readonly endedAtMs: number;
  /** What was cold when it was started. */
  readonly coldness?: Coldness;
}

/** Moving averages of the service time by route, and over all requests. */
export class ServiceTimes {
  private readonly averages = new Map<string, Average>();
  /** The same by what was cold when requests were started. */
  private readonly averagesByColdness: Readonly<
    Record<Coldness, Map<string, Average>>
  > = {
    warm: new Map(),
    cold_server: new Map(),
    cold_key: new Map(),
    cold_server_and_key: new Map(),
  };
  private overall: Average | undefined;
  private count = 0;

  private constructor() {}

  /** Creates an instance without history. */
  static create(): ServiceTimes {
    return new ServiceTimes();
  }

  /** Records a completed request of a route. */
  record(route: string, request: CompletedRequest): void {
    const { coldness = "warm" } = request;
    this.averages.set(route, updated(this.averages.get(route), request));
    const averages = this.averagesByColdness[coldness];
    averages.set(route, updated(averages.get(route), request));
    this.overall = updated(this.overall, request);
    this.count += 1;
  }

  /**
   * Estimates how long a request of a route will hold a slot, in milliseconds.
   *
   * @param remainingMs the time to the deadline of the request, used without history.
   * @param coldness what is cold when the request starts.
   */
  estimate(
    route: string,
    remainingMs: number,
    coldness: Coldness = "warm",
  ): number {
    return this.measuredMs(route, coldness) ??
      this.inferMs(route, remainingMs, coldness);
  }

  /** Average of the completed requests of a route that were started with the given coldness. */
  measuredMs(route: string, coldness: Coldness): number | undefined {
    return this.averagesByColdness[coldness].get(route)?.valueMs;
  }

  /**
   * Estimates the time from requests of the route that were started with another coldness, or from the deadline. The
   * assumed factors between them are upper bounds: a server may be hardly slower when it is cold.
   */
  private inferMs(
    route: string,
    remainingMs: number,
    coldness: Coldness,
  ): number {
    const factor = ASSUMED_FACTORS[coldness];
    const defaultMs = factor * defaultServiceMs(remainingMs);
    const other = (Object.keys(ASSUMED_FACTORS) as Coldness[])
      .find((key) => this.measuredMs(route, key) !== undefined);
    const maxAssumedMs = coldness === "warm"
      ? Infinity
      : Math.max(0, remainingMs * MAX_ASSUMED_DEADLINE_SHARE);
    if (other === undefined) {
      return Math.min(defaultMs, maxAssumedMs);
    }
    const measuredMs = this.measuredMs(route, other)!;
    const scaledMs = measuredMs * factor / ASSUMED_FACTORS[other];
    return scaledMs > measuredMs
      ? Math.max(measuredMs, Math.min(scaledMs, maxAssumedMs))
      : Math.min(
        measuredMs,
        Math.max(scaledMs, defaultMs * MIN_INFERRED_SHARE),
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
    Object.values(this.averagesByColdness).forEach((averages) =>
      averages.clear()
    );
    this.overall = undefined;
    this.count = 0;
  }
}

/** Assumed time on a warm server, in milliseconds. */
function defaultServiceMs(remainingMs: number): number {
  return Math.max(0, remainingMs * DEFAULT_DEADLINE_SHARE);
}

/**
 * Lower bound of the time on a warm server that is derived from requests on a cold one, in milliseconds.
 *
 * @param remainingMs the time to the deadline of a new request.
 */
export function minInferredMs(remainingMs: number): number {
  return defaultServiceMs(remainingMs) * MIN_INFERRED_SHARE;
}

function updated(
  known: Average | undefined,
  { tookMs, endedAtMs, coldness = "warm" }: CompletedRequest,
): Average {
  const isOfColdServer = coldness === "cold_server" ||
    coldness === "cold_server_and_key";
  // The times of the cold server say nothing about those of the warm one.
  const isOutdated = known?.isOfColdServer === true && !isOfColdServer;
  if (known === undefined || isOutdated) {
    return { valueMs: tookMs, updatedAtMs: endedAtMs, isOfColdServer };
  }
  const idleMs = Math.max(0, endedAtMs - known.updatedAtMs);
  const historyWeight = (1 - SERVICE_TIME_EWMA_WEIGHT) *
    (tookMs < known.valueMs ? 0.5 ** (idleMs / HISTORY_HALF_LIFE_MS) : 1);
  return {
    valueMs: tookMs + historyWeight * (known.valueMs - tookMs),
    updatedAtMs: endedAtMs,
    isOfColdServer,
  };
}
