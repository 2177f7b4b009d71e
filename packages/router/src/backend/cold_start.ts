/**
 * The time in which the backend server on this host, or most of its keys, are cold: estimates of service times, and
 * what became of requests meanwhile.
 *
 * @module
 */
import {
  ColdStartEstimator,
  type RunningColdRequest,
  type ServiceEstimate,
  type ServiceTimes,
} from "@bamboolink/admission";
import type { GrantTracker } from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import type { RoutedRequest } from "../attempts/routed_request.ts";
import { bootMs, monotonicMs } from "../clock.ts";

/** Share of the owned keys from which on the server counts as cold because of its keys. */
const MIN_COLD_KEY_SHARE = 0.5;

/** Dependencies of {@link ColdStart}. */
export interface ColdStartContext {
  readonly logger: Logger;
  readonly grants: GrantTracker;
  /** Measured service times of the backend server. */
  readonly times: ServiceTimes;
}

/** How the admission or the run of a request ended. */
export type ColdStartEnd = "served" | "missed" | "refused";

/** Tracks the cold time of one backend server. */
export class ColdStart {
  private readonly estimator: ColdStartEstimator;
  private serverColdUntilMs = -Infinity;
  private counts = { served: 0, missed: 0, refused: 0 };
  private wasCold = false;
  private loggedKeyColdMs: number;

  private constructor(private readonly context: ColdStartContext) {
    this.estimator = ColdStartEstimator.create(context.times);
    this.loggedKeyColdMs = this.estimator.keyColdMs;
  }

  /** Creates a tracker of a backend server that is not cold. */
  static create(context: ColdStartContext): ColdStart {
    return new ColdStart(context);
  }

  /** Forgets what was learned of an earlier process of the backend server. */
  reset(): void {
    this.estimator.reset();
  }

  /** Sets until when the server is cold, on the monotonic clock. */
  setServerColdUntil(coldUntilMs: number): void {
    this.serverColdUntilMs = coldUntilMs;
    this.estimator.setServerColdUntil(coldUntilMs);
  }

  /** Whether the server or most of its keys are cold, so that its load does not show its usual one. */
  get isCold(): boolean {
    return monotonicMs() < this.serverColdUntilMs || this.hasColdKeys;
  }

  /** Whether most of the server's keys are cold. */
  get hasColdKeys(): boolean {
    const sinceMs = bootMs() - this.estimator.keyColdMs;
    return this.context.grants.acquiredShareSince(sinceMs) >=
      MIN_COLD_KEY_SHARE;
  }

  /** For how long keys are assumed to be cold after a grant without a handover, in milliseconds. */
  get keyColdMs(): number {
    return this.estimator.keyColdMs;
  }

  /** Estimates how long a request will hold a slot. */
  estimate(request: RoutedRequest): ServiceEstimate {
    const nowMs = monotonicMs();
    return this.estimator.estimate(
      this.toColdRequest(request),
      request.deadlineAtMs - nowMs,
      nowMs,
    );
  }

  /** Estimates how long a request would hold a slot if nothing were cold, in milliseconds. */
  estimateWarmMs(request: RoutedRequest): number {
    const remainingMs = request.deadlineAtMs - monotonicMs();
    return this.context.times.estimate(request.route, remainingMs);
  }

  /** Records that a request is sent to the server. */
  begin(request: RoutedRequest): RunningColdRequest {
    return this.estimator.begin(this.toColdRequest(request), monotonicMs());
  }

  /**
   * Records that a request that was sent to the server has ended.
   *
   * @param result `isServed`: whether the server responded to it; `tookMs`: its duration at the server's mean speed.
   */
  end(
    running: RunningColdRequest,
    result: { isServed: boolean; tookMs: number },
  ): void {
    this.estimator.end(running, { nowMs: monotonicMs(), ...result });
  }

  /** Counts a request by its end while the server is cold. */
  count(end: ColdStartEnd): void {
    if (this.wasCold) {
      this.counts[end] += 1;
    }
  }

  /**
   * Learns from running requests, and logs what has changed; called by a timer.
   *
   * @param slowness how many times as long as usual all work takes on the server now.
   */
  tick(slowness: number): void {
    this.estimator.checkRunning(monotonicMs(), slowness);
    const { logger } = this.context;
    const { keyColdMs } = this.estimator;
    if (keyColdMs !== this.loggedKeyColdMs) {
      logger.log("cold_key_time_learned", {
        from_ms: Math.round(this.loggedKeyColdMs),
        to_ms: Math.round(keyColdMs),
      });
      this.loggedKeyColdMs = keyColdMs;
    }
    const { isCold } = this;
    if (this.wasCold && !isCold) {
      logger.log("cold_start_ended", this.counts);
      this.counts = { served: 0, missed: 0, refused: 0 };
    }
    this.wasCold = isCold;
  }

  private toColdRequest({ route, key }: RoutedRequest) {
    const acquiredAtMs = key === undefined
      ? undefined
      : this.context.grants.acquiredAtMs(key);
    // Grants are timed on the boot clock, requests on the monotonic one.
    const keyColdSinceMs = acquiredAtMs === undefined
      ? undefined
      : monotonicMs() - (bootMs() - acquiredAtMs);
    return { route, keyColdSinceMs };
  }
}
