/**
 * Estimates service times at a backend server that is cold, or that holds cold keys, and learns from running requests.
 *
 * Designed for the seconds after all hosts have lost power: nothing is known of the servers, requests take many times
 * as long as usual, and the first of them ends only when most callers have already been refused.
 *
 * @module
 */
import { ColdKeyTime } from "./cold_key_time.ts";
import { ASSUMED_FACTORS, type Coldness, toColdness } from "./coldness.ts";
import { minInferredMs, type ServiceTimes } from "./service_times.ts";
import type { ColdEstimate } from "./work_request.ts";

/**
 * A request for a key that counts as warm shows that it is cold if it takes longer than this multiple of its estimate;
 * requests of one route differ by less.
 */
const COLD_KEY_FACTOR = 2.5;
/** A request for a key that counts as cold shows that it is warm if it takes less than this share of its estimate. */
const WARM_KEY_SHARE = 0.4;

/** A request to estimate. */
export interface ColdRequest {
  readonly route: string;
  /** When its key was granted without a handover; `undefined` for other keys and requests without a key. */
  readonly keyColdSinceMs: number | undefined;
}

/** A running request, as returned by `begin`. */
export interface RunningColdRequest extends ColdRequest {
  readonly startedAtMs: number;
  readonly coldness: Coldness;
}

/** Expected service times of one request. */
export interface ServiceEstimate {
  readonly estimateMs: number;
  readonly coldEstimate: ColdEstimate | undefined;
}

/** Estimates for one backend server. */
export class ColdStartEstimator {
  private readonly keyTime = ColdKeyTime.create();
  private readonly runningOnWarmKeys = new Set<RunningColdRequest>();
  private serverColdUntilMs = -Infinity;
  /** Least time on a warm server that is assumed by the deadlines of a route's requests, in milliseconds. */
  private readonly minWarmMs = new Map<string, number>();

  private constructor(private readonly times: ServiceTimes) {}

  /**
   * Creates an estimator of a server that is not cold.
   *
   * @param times the measured service times, to which completed requests are added.
   */
  static create(times: ServiceTimes): ColdStartEstimator {
    return new ColdStartEstimator(times);
  }

  /** Forgets what was learned, because another process of the backend server runs now. */
  reset(): void {
    this.keyTime.reset();
    this.runningOnWarmKeys.clear();
  }

  /** Sets until when the server is cold, in milliseconds. */
  setServerColdUntil(coldUntilMs: number): void {
    this.serverColdUntilMs = coldUntilMs;
  }

  /** For how long keys are assumed to be cold after a grant without a handover, in milliseconds. */
  get keyColdMs(): number {
    return this.keyTime.durationMs;
  }

  /** Estimates how long a request that arrives now will hold a slot. */
  estimate(
    request: ColdRequest,
    remainingMs: number,
    nowMs: number,
  ): ServiceEstimate {
    const { route } = request;
    const coldness = this.coldnessAt(request, nowMs);
    this.minWarmMs.set(
      route,
      Math.max(this.minWarmMs.get(route) ?? 0, minInferredMs(remainingMs)),
    );
    const estimateMs = this.times.estimate(route, remainingMs, coldness);
    if (coldness === "warm") {
      return { estimateMs, coldEstimate: undefined };
    }
    const { times } = this;
    const coldnessAt = (atMs: number) => this.coldnessAt(request, atMs);
    const warmAtMs = () => this.warmAtMs(request);
    const coldEstimate: ColdEstimate = {
      at: (startMs) => times.estimate(route, remainingMs, coldnessAt(startMs)),
      isMeasured: (startMs) =>
        times.measuredMs(route, coldnessAt(startMs)) !== undefined,
      get warmAtMs() {
        return warmAtMs();
      },
    };
    return { estimateMs, coldEstimate };
  }

  /** Records the start of a request; `end` is to be called with the result. */
  begin(request: ColdRequest, nowMs: number): RunningColdRequest {
    const running = {
      ...request,
      startedAtMs: nowMs,
      coldness: this.coldnessAt(request, nowMs),
    };
    const { keyColdSinceMs = -Infinity } = request;
    if (this.keyTime.mayBeCold(nowMs - keyColdSinceMs)) {
      this.runningOnWarmKeys.add(running);
    }
    return running;
  }

  /**
   * Records the end of a request.
   *
   * @param result `isServed`: whether it was completed by the server, so that its duration counts; `tookMs`: its
   *   duration at the mean speed of the server, if that differs from the elapsed time.
   */
  end(
    running: RunningColdRequest,
    result: { nowMs: number; isServed: boolean; tookMs?: number },
  ): void {
    this.runningOnWarmKeys.delete(running);
    const { nowMs, isServed, tookMs = nowMs - running.startedAtMs } = result;
    if (!isServed) {
      return;
    }
    const mayHaveBeenCold = this.learnKeyTime(running, tookMs);
    const coldness = this.coldnessAt(running, running.startedAtMs);
    if (mayHaveBeenCold && !isColdKey(coldness)) {
      // It is not known yet to which average it belongs.
      return;
    }
    this.times.record(running.route, { tookMs, endedAtMs: nowMs, coldness });
  }

  /**
   * Learns from requests that run longer than they would with warm keys; called by a timer.
   *
   * @param slowness how many times as long as usual all work takes on the server now.
   */
  checkRunning(nowMs: number, slowness = 1): void {
    this.runningOnWarmKeys.forEach((running) => {
      const { route, startedAtMs, keyColdSinceMs, coldness } = running;
      const warmMs = this.times.measuredMs(route, coldness) ??
        this.expectedWarmMs(running);
      if (
        warmMs !== undefined &&
        nowMs - startedAtMs > warmMs * COLD_KEY_FACTOR * Math.max(1, slowness)
      ) {
        this.keyTime.recordCold(startedAtMs - keyColdSinceMs!);
        this.runningOnWarmKeys.delete(running);
      }
    });
  }

  /** Learns from a completed request; returns whether its key may have been cold although it counted as warm. */
  private learnKeyTime(running: RunningColdRequest, tookMs: number): boolean {
    const { route, startedAtMs, keyColdSinceMs, coldness } = running;
    if (keyColdSinceMs === undefined) {
      return false;
    }
    const ageMs = startedAtMs - keyColdSinceMs;
    if (isColdKey(coldness)) {
      const coldMs = this.times.measuredMs(route, coldness);
      if (coldMs !== undefined && tookMs < coldMs * WARM_KEY_SHARE) {
        this.keyTime.recordWarm(ageMs);
      }
      return false;
    }
    const warmMs = this.times.measuredMs(route, coldness) ??
      this.expectedWarmMs(running);
    if (warmMs === undefined || !this.keyTime.mayBeCold(ageMs)) {
      return false;
    }
    const isSlow = tookMs > warmMs * COLD_KEY_FACTOR;
    if (isSlow) {
      this.keyTime.recordCold(ageMs);
    } else {
      this.keyTime.recordUsual(ageMs);
    }
    return isSlow;
  }

  /**
   * Time of a request with a warm key, derived from requests for cold keys by the assumed factor, but no less than the
   * deadline suggests: the server may not be slow on cold keys at all.
   */
  private expectedWarmMs(
    { route, coldness }: RunningColdRequest,
  ): number | undefined {
    const counterparts: Coldness[] = coldness === "cold_server"
      ? ["cold_server_and_key"]
      : ["cold_key", "cold_server_and_key"];
    return counterparts.flatMap((counterpart) => {
      const coldMs = this.times.measuredMs(route, counterpart);
      const share = ASSUMED_FACTORS[coldness] / ASSUMED_FACTORS[counterpart];
      return coldMs === undefined
        ? []
        : [Math.max(coldMs * share, this.minWarmMs.get(route) ?? 0)];
    })[0];
  }

  private coldnessAt(request: ColdRequest, atMs: number): Coldness {
    const { keyColdSinceMs = -Infinity } = request;
    return toColdness({
      isServerCold: atMs < this.serverColdUntilMs,
      isKeyCold: atMs < keyColdSinceMs + this.keyTime.durationMs,
    });
  }

  private warmAtMs({ keyColdSinceMs }: ColdRequest): number[] {
    const keyWarmAtMs = keyColdSinceMs === undefined
      ? []
      : [keyColdSinceMs + this.keyTime.durationMs];
    return [this.serverColdUntilMs, ...keyWarmAtMs].toSorted((left, right) =>
      left - right
    );
  }
}

function isColdKey(coldness: Coldness): boolean {
  return coldness === "cold_key" || coldness === "cold_server_and_key";
}
