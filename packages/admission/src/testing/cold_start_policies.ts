/**
 * The policies that the simulation of a cold start compares.
 *
 * @module
 */
import {
  type ColdStartScenario,
  endOf,
  type ScenarioRequest,
} from "./cold_start_scenario.ts";
import { type OwnerDecisions, OwnerPolicy } from "./cold_start_simulation.ts";
import {
  ColdStartEstimator,
  type RunningColdRequest,
} from "../cold_start_estimator.ts";
import { ServiceTimes } from "../service_times.ts";
import { StartRateLimiter } from "../start_rate_limiter.ts";
import { type QueueChanges, WorkQueue } from "../work_queue.ts";

/** All keys are granted without a handover when the servers start. */
const COLD_REQUEST = { route: "route", keyColdSinceMs: 0 };
/** Time of a start before the scenario that leaves the windows of the start rate limiter empty. */
const LONG_BEFORE_START_MS = -1_000_000;

const NO_DECISIONS: OwnerDecisions = { run: [], refuse: [] };

/** The queue beside a server, with the estimates that a daemon gives it. */
export class QueuePolicy extends OwnerPolicy {
  private readonly estimator = ColdStartEstimator.create(ServiceTimes.create());
  private readonly running = new Map<number, RunningColdRequest>();
  private readonly queue: WorkQueue;
  private timerAtMs = Infinity;

  private constructor(scenario: ColdStartScenario) {
    super();
    const limiter = StartRateLimiter.create(LONG_BEFORE_START_MS);
    limiter.setColdLimit(scenario.coldLimit);
    limiter.setColdUntil(scenario.serverColdMs);
    this.queue = WorkQueue.create(limiter);
    this.queue.setSlots(scenario.slots);
    this.estimator.setServerColdUntil(scenario.serverColdMs);
  }

  static create(scenario: ColdStartScenario): QueuePolicy {
    return new QueuePolicy(scenario);
  }

  override offer(request: ScenarioRequest, nowMs: number): OwnerDecisions {
    const { id, deadlineAtMs } = request;
    const estimate = this.estimator.estimate(
      COLD_REQUEST,
      deadlineAtMs - nowMs,
      nowMs,
    );
    const decision = this.queue.offer({
      id,
      rank: 2,
      deadlineAtMs,
      blocksOthers: false,
      ...estimate,
    }, nowMs);
    this.setTimer(nowMs);
    switch (decision.kind) {
      case "run":
        this.begin(id, nowMs);
        return { run: [id], refuse: [] };
      case "wait":
        return NO_DECISIONS;
      case "refuse":
        return { run: [], refuse: [{ id, waitMs: decision.waitMs }] };
    }
  }

  override finish(
    { id }: ScenarioRequest,
    end: { nowMs: number; isServed: boolean },
  ): OwnerDecisions {
    const { nowMs } = end;
    this.estimator.end(this.running.get(id)!, end);
    this.running.delete(id);
    return this.toDecisions(this.queue.finish(id, nowMs), nowMs);
  }

  override advance(nowMs: number): OwnerDecisions {
    this.estimator.checkRunning(nowMs);
    return this.toDecisions(this.queue.advance(nowMs), nowMs);
  }

  override isTimerDue(nowMs: number): boolean {
    return nowMs >= this.timerAtMs;
  }

  private toDecisions(changes: QueueChanges, nowMs: number): OwnerDecisions {
    this.setTimer(nowMs);
    changes.run.forEach((id) => this.begin(id, nowMs));
    return changes;
  }

  private begin(id: number, nowMs: number): void {
    this.running.set(id, this.estimator.begin(COLD_REQUEST, nowMs));
  }

  private setTimer(nowMs: number): void {
    const delayMs = this.queue.nextStartDelayMs(nowMs);
    this.timerAtMs = delayMs === 0 ? Infinity : nowMs + Math.ceil(delayMs);
  }
}

/** Orders in which requests that can end before their deadlines are started. */
export type KnowledgeOrder =
  | "earliest_deadline"
  /** Requests that can still meet their objectives first, then by deadline. */
  | "on_time_first";

/**
 * A planner that knows for how long each request will run, and when servers and keys become warm. It refuses nothing,
 * starts only requests that end before their deadlines, and leaves a slot free if its request would end sooner by
 * starting later. It does not know which requests will arrive, so it is no upper bound, but close to one.
 */
export class FullKnowledgePolicy extends OwnerPolicy {
  private waiting: ScenarioRequest[] = [];
  private runningCount = 0;
  private readonly limiter = StartRateLimiter.create(LONG_BEFORE_START_MS);

  private constructor(
    private readonly scenario: ColdStartScenario,
    private readonly order: KnowledgeOrder,
  ) {
    super();
    this.limiter.setColdLimit(scenario.coldLimit);
    this.limiter.setColdUntil(scenario.serverColdMs);
  }

  static create(
    scenario: ColdStartScenario,
    order: KnowledgeOrder,
  ): FullKnowledgePolicy {
    return new FullKnowledgePolicy(scenario, order);
  }

  override offer(request: ScenarioRequest, nowMs: number): OwnerDecisions {
    this.waiting.push(request);
    return this.advance(nowMs);
  }

  override finish(
    _request: ScenarioRequest,
    { nowMs }: { nowMs: number },
  ): OwnerDecisions {
    this.runningCount -= 1;
    return this.advance(nowMs);
  }

  override advance(nowMs: number): OwnerDecisions {
    const run: number[] = [];
    const startable = this.waiting
      .filter((request) => this.shouldStart(request, nowMs))
      .toSorted((left, right) =>
        this.lateness(left, nowMs) - this.lateness(right, nowMs) ||
        left.deadlineAtMs - right.deadlineAtMs
      );
    startable.forEach((request) => {
      if (
        this.runningCount < this.scenario.slots &&
        this.limiter.delayMs(0, nowMs) === 0
      ) {
        this.limiter.recordStart(nowMs);
        this.runningCount += 1;
        run.push(request.id);
      }
    });
    this.waiting = this.waiting.filter(({ id, deadlineAtMs }) =>
      !run.includes(id) && deadlineAtMs > nowMs
    );
    return { run, refuse: [] };
  }

  override isTimerDue(): boolean {
    return true;
  }

  /** 1 for requests that come last because they can no longer meet their objectives, otherwise 0. */
  private lateness(request: ScenarioRequest, startMs: number): number {
    const { workMs, objectiveAtMs } = request;
    return this.order === "on_time_first" &&
        endOf(this.scenario, { workMs, startMs }) > objectiveAtMs
      ? 1
      : 0;
  }

  private shouldStart(request: ScenarioRequest, nowMs: number): boolean {
    const { workMs, deadlineAtMs } = request;
    const endsAtMs = endOf(this.scenario, { workMs, startMs: nowMs });
    const { serverColdMs, keyColdMs } = this.scenario;
    return endsAtMs <= deadlineAtMs &&
      [serverColdMs, keyColdMs].every((startMs) =>
        startMs <= nowMs ||
        endsAtMs <= endOf(this.scenario, { workMs, startMs })
      );
  }
}
