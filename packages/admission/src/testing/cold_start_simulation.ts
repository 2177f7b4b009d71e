/**
 * A simulation of the seconds after all hosts have lost power: the queue in front of each server, and callers that
 * retry a refused request once.
 *
 * The queue, its estimates and the retry delay are the real decision code; servers and callers are simulated.
 *
 * @module
 */
import {
  type ColdStartScenario,
  drawRequests,
  endOf,
  type ScenarioRequest,
} from "./cold_start_scenario.ts";

/** Interval of the daemon's control loop, which checks the waiting requests, in milliseconds. */
const TICK_INTERVAL_MS = 50;
/** Round trip between a caller and the daemon, in milliseconds. */
const CALLER_ROUND_TRIP_MS = 16;
/** Callers ignore a retry delay above this share of their remaining time. */
const MAX_RETRY_SHARE = 1 / 3;
/** Length of the windows for which results are counted, in milliseconds. */
const WINDOW_MS = 2_000;

/** What became of the requests that arrived in one window. */
export interface WindowResult {
  offered: number;
  onTime: number;
  /** Requests that ended before their deadlines, those on time included. */
  served: number;
  /** Requests that were refused, retries included, and never run. */
  refused: number;
  /** Requests that were started and reached their deadlines while they ran. */
  wasted: number;
  /** Requests that reached their deadlines while they waited. */
  expired: number;
}

/** The outcome of an offer or a change of a server's queue. */
export interface OwnerDecisions {
  readonly run: readonly number[];
  readonly refuse: readonly { id: number; waitMs: number }[];
}

/** Decides which requests run at one server. */
export abstract class OwnerPolicy {
  /** Handles an arrival. */
  abstract offer(request: ScenarioRequest, nowMs: number): OwnerDecisions;
  /** Handles the end of a running request; `isServed` is false if it has reached its deadline. */
  abstract finish(
    request: ScenarioRequest,
    end: { nowMs: number; isServed: boolean },
  ): OwnerDecisions;
  /** Called by the control loop. */
  abstract advance(nowMs: number): OwnerDecisions;
  /** Whether the policy is to be called now, although nothing else happens; for timers. */
  abstract isTimerDue(nowMs: number): boolean;
}

interface RunningRequest {
  readonly request: ScenarioRequest;
  readonly endsAtMs: number;
}

/** One run of a scenario. */
class ColdStartSimulation {
  private readonly windows: WindowResult[];
  private readonly known = new Map<number, ScenarioRequest>();
  private readonly running = new Map<number, RunningRequest>();
  private readonly retried = new Set<number>();
  private readonly retries: { atMs: number; request: ScenarioRequest }[] = [];

  constructor(
    private readonly scenario: ColdStartScenario,
    private readonly policies: readonly OwnerPolicy[],
  ) {
    this.windows = Array.from(
      { length: Math.ceil(scenario.durationMs / WINDOW_MS) },
      () => ({
        offered: 0,
        onTime: 0,
        served: 0,
        refused: 0,
        wasted: 0,
        expired: 0,
      }),
    );
  }

  run(): WindowResult[] {
    const arrivals = drawRequests(this.scenario);
    const endMs = this.scenario.durationMs + this.scenario.deadlineMs;
    let next = 0;
    for (let nowMs = 0; nowMs <= endMs; nowMs += 1) {
      this.endRequests(nowMs);
      while (next < arrivals.length && arrivals[next]!.arrivedAtMs <= nowMs) {
        const request = arrivals[next]!;
        this.windowOf(request).offered += 1;
        this.offer(request, nowMs);
        next += 1;
      }
      this.offerRetries(nowMs);
      this.policies.forEach((policy) => {
        if (nowMs % TICK_INTERVAL_MS === 0 || policy.isTimerDue(nowMs)) {
          this.apply(policy.advance(nowMs), nowMs);
        }
      });
    }
    return this.windows;
  }

  private windowOf({ arrivedAtMs }: ScenarioRequest): WindowResult {
    return this.windows[Math.floor(arrivedAtMs / WINDOW_MS)]!;
  }

  private offer(request: ScenarioRequest, nowMs: number): void {
    this.known.set(request.id, request);
    this.apply(this.policies[request.owner]!.offer(request, nowMs), nowMs);
  }

  private offerRetries(nowMs: number): void {
    const due = this.retries.filter(({ atMs }) => atMs <= nowMs);
    due.forEach((retry) => {
      this.retries.splice(this.retries.indexOf(retry), 1);
      this.offer(retry.request, nowMs);
    });
  }

  private endRequests(nowMs: number): void {
    [...this.running.values()].forEach(({ request, endsAtMs }) => {
      const isServed = endsAtMs <= nowMs && endsAtMs <= request.deadlineAtMs;
      if (!isServed && nowMs < request.deadlineAtMs) {
        return;
      }
      this.running.delete(request.id);
      const window = this.windowOf(request);
      window.served += isServed ? 1 : 0;
      window.onTime += isServed && endsAtMs <= request.objectiveAtMs ? 1 : 0;
      window.wasted += isServed ? 0 : 1;
      const end = { nowMs, isServed };
      this.apply(this.policies[request.owner]!.finish(request, end), nowMs);
    });
    [...this.known.values()]
      .filter(({ deadlineAtMs }) => deadlineAtMs < nowMs)
      .forEach((request) => {
        this.known.delete(request.id);
        this.windowOf(request).expired += 1;
      });
  }

  private apply({ run, refuse }: OwnerDecisions, nowMs: number): void {
    run.forEach((id) => {
      const request = this.known.get(id)!;
      this.known.delete(id);
      const endsAtMs = endOf(this.scenario, {
        workMs: request.workMs,
        startMs: nowMs,
      });
      this.running.set(id, { request, endsAtMs });
    });
    refuse.forEach(({ id, waitMs }) => {
      const request = this.known.get(id)!;
      this.known.delete(id);
      this.refuse(request, { waitMs, nowMs });
    });
  }

  private refuse(
    request: ScenarioRequest,
    { waitMs, nowMs }: { waitMs: number; nowMs: number },
  ): void {
    const remainingMs = request.deadlineAtMs - nowMs;
    if (
      this.retried.has(request.id) ||
      waitMs > remainingMs * MAX_RETRY_SHARE
    ) {
      this.windowOf(request).refused += 1;
      return;
    }
    this.retried.add(request.id);
    const atMs = Math.ceil(nowMs + waitMs + CALLER_ROUND_TRIP_MS);
    this.retries.push({ atMs, request });
  }
}

/** Runs a scenario with one policy for each owner; returns the results by window of arrival. */
export function simulateColdStart(
  scenario: ColdStartScenario,
  createPolicy: (scenario: ColdStartScenario) => OwnerPolicy,
): WindowResult[] {
  const policies = Array.from(
    { length: scenario.owners },
    () => createPolicy(scenario),
  );
  return new ColdStartSimulation(scenario, policies).run();
}
