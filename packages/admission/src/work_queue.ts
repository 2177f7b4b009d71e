/**
 * Admission control of the router for one backend server: decides which requests run, wait or are refused. The `daemon`
 * package uses `SlotQueue` instead, which has only two priority classes and deadlines.
 *
 * Designed for overload that lasts for seconds, in which requests of different urgency and length compete for the
 * slots, and in which a response after the deadline is wasted work.
 *
 * Requests wait in two queues. Those of the main queue run first, and no request of the late queue takes a slot from
 * them. The main queue holds requests that can still meet their latency objective and, although they will miss it,
 * short ones and those that are more urgent than another one that runs or waits in it. Other late requests get the
 * remaining slots, as long as they are expected to finish before their deadline: load fluctuates, and a late response
 * serves a caller better than a refusal.
 *
 * @module
 */
import { StartRateLimiter } from "./start_rate_limiter.ts";
import { LateRequestQueue, MIN_CAPACITY } from "./late_request_queue.ts";
import { ServerLoadEstimator } from "./server_load_estimator.ts";
import {
  type RunningRequest,
  scaledBySlowdown,
  slotWaitMs,
} from "./slot_forecast.ts";
import {
  bestStartMs,
  canMeetDeadline,
  serviceMsAt,
  shouldStart,
  type WorkRequest,
} from "./work_request.ts";

/** Why a request was refused. A refused request has certainly not run. */
export type QueueRefusalReason =
  | "too_late"
  | "overloaded"
  | "queue_full"
  /** The backend server's rate limit allows its start only too late. */
  | "rate_limited";

/** The decision on a request that has just arrived. */
export type AdmissionDecision =
  | { readonly kind: "run" }
  | { readonly kind: "wait" }
  | {
    readonly kind: "refuse";
    readonly reason: QueueRefusalReason;
    /** Expected time until such a request could start, in milliseconds. */
    readonly waitMs: number;
  };

/** A request that waited and is refused. */
export interface QueueRefusal {
  readonly id: number;
  readonly reason: QueueRefusalReason;
  /** Expected time until such a request could start, in milliseconds. */
  readonly waitMs: number;
}

/** Ids of the waiting requests to start, and those to refuse, after time passed or a slot became free. */
export interface QueueChanges {
  readonly run: readonly number[];
  readonly refuse: readonly QueueRefusal[];
}

/**
 * Maximum number of waiting requests per slot. Deadlines already bound the queue; this bounds its memory use and the
 * cost of keeping it sorted.
 */
const MAX_WAITING_PER_SLOT = 40;
/**
 * Safety margin on estimates: a request counts as on time only if it is expected to meet its objective even when it
 * takes this share of its estimate longer. Under overload the queue fills until the next request would
 * just miss the limit, so all requests finish close to it. With the limit at the objective itself, half of them are
 * late; with any allowance beyond it, nearly all are, and only 24 of 564 requests are on time.
 */
const ESTIMATE_MARGIN = 0.25;
/** A request counts as short up to this share of the mean estimate. */
const SHORT_REQUEST_SHARE = 0.4;
/** Delay of a start that nothing holds back any more, in milliseconds; 0 stands for no start. */
const IMMEDIATE_START_DELAY_MS = 1;

/** Weight of the latest request in the mean estimate (EWMA). */
const ESTIMATE_EWMA_WEIGHT = 0.1;

/** The waiting and running requests of one backend server, on time and late. */
export class WorkQueue {
  private readonly running = new Map<number, RunningRequest>();
  /** Requests that can meet their objective or are worth running late, the most urgent first. */
  private mainQueue: WorkRequest[] = [];
  /** Other requests that miss their objective but can finish before their deadline. */
  private readonly lateQueue = LateRequestQueue.create();
  private slots = 0;
  /** Moving average of the estimates of offered requests, in milliseconds; 0 before the first. */
  private meanEstimateMs = 0;

  private constructor(
    private readonly limiter: StartRateLimiter,
    private readonly load: ServerLoadEstimator,
  ) {}

  /**
   * Creates a queue without slots. Requests can't start until `setSlots` is called.
   *
   * @param limiter limits the rate of starts at the backend server.
   * @param load how much longer than its estimate work takes there now.
   */
  static create(
    limiter: StartRateLimiter = StartRateLimiter.create(0),
    load: ServerLoadEstimator = ServerLoadEstimator.create(),
  ): WorkQueue {
    return new WorkQueue(limiter, load);
  }

  /** Sets how many requests may run concurrently. */
  setSlots(slots: number): void {
    this.slots = slots;
  }

  /** Slots that requests can keep busy: fewer than there are if the rate limit allows too few starts. */
  get capacity(): number {
    if (this.meanEstimateMs === 0) {
      return this.slots;
    }
    const atLimit = this.limiter.advertisedPerSecond * this.meanEstimateMs /
      1_000;
    return Math.min(this.slots, Math.max(MIN_CAPACITY, atLimit));
  }

  /** Number of running requests. */
  get runningCount(): number {
    return this.running.size;
  }

  /** Number of waiting requests in both queues. */
  get waitingCount(): number {
    return this.mainQueue.length + this.lateQueue.size;
  }

  /** Starts, queues or refuses a request that has just arrived. */
  offer(arrived: WorkRequest, nowMs: number): AdmissionDecision {
    this.recordEstimate(arrived.estimateMs);
    const { load } = this;
    const running = this.running.values();
    const request = scaledBySlowdown(arrived, { running, load, nowMs });
    if (
      this.canStart(nowMs) && shouldStart(request, nowMs) &&
      this.findNext(nowMs) === undefined
    ) {
      this.start(arrived, nowMs);
      return { kind: "run" };
    }
    const ahead = this.requestsAhead(request);
    const waitMs = this.waitBehindMs(ahead, nowMs);
    const toWaitMs = (earliestMs: number) =>
      bestStartMs(request, earliestMs) - nowMs;
    if (!canMeetDeadline(request, nowMs + waitMs)) {
      const reason = this.isHeldByLimit(ahead.length, { waitMs, nowMs })
        ? "rate_limited"
        : "too_late";
      return { kind: "refuse", reason, waitMs: toWaitMs(nowMs + waitMs) };
    }
    if (this.waitingCount >= this.slots * MAX_WAITING_PER_SLOT) {
      return { kind: "refuse", reason: "queue_full", waitMs };
    }
    if (
      !missesObjective(request, nowMs + waitMs) ||
      this.isWorthRunningLate(request)
    ) {
      this.insert(arrived);
      return { kind: "wait" };
    }
    const startMs = this.lateQueue.startBehindMs(
      request,
      this.forecastLateStart(nowMs),
    );
    if (
      !request.mayEndLate || !this.lateQueue.offer(request, { nowMs, startMs })
    ) {
      const reason = this.isHeldByLimit(ahead.length, { waitMs, nowMs })
        ? "rate_limited"
        : "overloaded";
      return { kind: "refuse", reason, waitMs: toWaitMs(startMs) };
    }
    return { kind: "wait" };
  }

  /** Frees the slot of a request that has ended; returns the resulting changes to the queue. */
  finish(id: number, nowMs: number): QueueChanges {
    this.running.delete(id);
    return this.advance(nowMs);
  }

  /** Removes a waiting request, for example because its caller disconnected; returns whether it was waiting. */
  cancel(id: number): boolean {
    const before = this.mainQueue.length;
    this.mainQueue = this.mainQueue.filter((request) => request.id !== id);
    return this.mainQueue.length < before || this.lateQueue.remove(id);
  }

  /** Fills free slots, and refuses requests that can no longer be served before their deadline. */
  advance(nowMs: number): QueueChanges {
    this.lateQueue.setCapacity(this.capacity);
    const unmeetable = this.dropUnmeetable(nowMs);
    const overtaken = this.demoteOvertaken(nowMs);
    const run: number[] = [];
    while (this.canStart(nowMs)) {
      const next = this.findNext(nowMs);
      if (next === undefined) {
        break;
      }
      this.cancel(next.id);
      this.start(next, nowMs);
      run.push(next.id);
    }
    return { run, refuse: [...unmeetable, ...overtaken] };
  }

  /**
   * Delay after which `advance` can start a waiting request that only the rate limit or the cold server holds back; 0
   * if there is none.
   */
  nextStartDelayMs(nowMs: number): number {
    if (this.waitingCount === 0 || this.running.size >= this.slots) {
      return 0;
    }
    const delayMs = this.limiter.delayMs(0, nowMs);
    if (delayMs > 0) {
      return delayMs;
    }
    if (this.findNext(nowMs) !== undefined) {
      // The timer of an earlier call may be due, and is replaced by that of this one.
      return IMMEDIATE_START_DELAY_MS;
    }
    const warmAtMs = [...this.mainQueue, ...this.lateQueue.requests]
      .flatMap(({ coldEstimate }) => coldEstimate?.warmAtMs ?? [])
      .filter((atMs) => atMs > nowMs);
    return warmAtMs.length === 0 ? 0 : Math.min(...warmAtMs) - nowMs;
  }

  /** Expected wait of a request of the lowest urgency that arrives now, in milliseconds. */
  waitMs(nowMs: number): number {
    return this.waitBehindMs(this.mainQueue, nowMs);
  }

  /** Whether a slot is free and the limiter allows another start. */
  private canStart(nowMs: number): boolean {
    return this.running.size < this.slots &&
      this.limiter.delayMs(0, nowMs) === 0;
  }

  /** The waiting request that should start next; `undefined` if none should start now. */
  private findNext(nowMs: number): WorkRequest | undefined {
    return this.mainQueue.find((request) => shouldStart(request, nowMs)) ??
      this.lateQueue.findNext(nowMs);
  }

  private recordEstimate(estimateMs: number): void {
    const mean = this.meanEstimateMs;
    this.meanEstimateMs = mean === 0
      ? estimateMs
      : mean + ESTIMATE_EWMA_WEIGHT * (estimateMs - mean);
    this.lateQueue.setCapacity(this.capacity);
  }

  private requestsAhead(request: WorkRequest): WorkRequest[] {
    return this.mainQueue.filter((other) =>
      compareUrgency(other, request) <= 0
    );
  }

  /** Whether the rate limit, and not the slots, determines the wait behind a number of requests. */
  private isHeldByLimit(
    ahead: number,
    { waitMs, nowMs }: { waitMs: number; nowMs: number },
  ): boolean {
    return waitMs > 0 && this.limiter.delayMs(ahead, nowMs) >= waitMs;
  }

  private waitBehindMs(ahead: readonly WorkRequest[], nowMs: number): number {
    return Math.max(
      this.slotWaitMs(ahead, nowMs),
      this.limiter.delayMs(ahead.length, nowMs),
    );
  }

  private slotWaitMs(ahead: readonly WorkRequest[], nowMs: number): number {
    const { slots, load } = this;
    const running = this.running.values();
    return slotWaitMs(ahead, { running, slots, load, nowMs });
  }

  /** Whether a request keeps its place in the main queue even though it is expected to miss its objective. */
  private isWorthRunningLate(request: WorkRequest): boolean {
    return this.hasLessUrgent(request) || this.isShort(request);
  }

  /**
   * Whether a request takes little slot time compared with the others. Short requests are mostly calls that other
   * work waits for while it holds a slot: refusing one saves little slot time and wastes that of the work that waits.
   */
  private isShort(request: WorkRequest): boolean {
    const others = [...this.running.values(), ...this.mainQueue];
    const sum = others.reduce((total, { estimateMs }) => total + estimateMs, 0);
    return request.estimateMs * others.length <= sum * SHORT_REQUEST_SHARE;
  }

  /** Whether any request that runs or waits in the main queue is less urgent. */
  private hasLessUrgent(request: Pick<WorkRequest, "rank">): boolean {
    const isLess = ({ rank }: { rank: number }) => rank > request.rank;
    return this.mainQueue.some(isLess) ||
      [...this.running.values()].some(isLess);
  }

  private start(request: WorkRequest, nowMs: number): void {
    this.limiter.recordStart(nowMs);
    this.running.set(request.id, {
      rank: request.rank,
      startedAtMs: nowMs,
      estimateMs: serviceMsAt(request, nowMs),
    });
    if (!missesObjective(request, nowMs)) {
      this.lateQueue.recordOnTimeStart(request, nowMs);
    }
  }

  private insert(request: WorkRequest): void {
    const index = this.mainQueue.findIndex((other) =>
      compareUrgency(other, request) > 0
    );
    this.mainQueue.splice(
      index < 0 ? this.mainQueue.length : index,
      0,
      request,
    );
  }

  private dropUnmeetable(nowMs: number): QueueRefusal[] {
    const kept: WorkRequest[] = [];
    const unmeetable = this.mainQueue.flatMap((request) => {
      const delayMs = this.limiter.delayMs(kept.length, nowMs);
      if (canMeetDeadline(request, nowMs + delayMs)) {
        kept.push(request);
        return [];
      }
      const reason = delayMs > 0 ? "rate_limited" : "too_late";
      return [{ request, reason } as const];
    });
    this.mainQueue = kept;
    const lateUnmeetable = this.lateQueue.size === 0
      ? []
      : this.lateQueue.dropUnmeetable(this.forecastLateStart(nowMs));
    return [
      ...unmeetable.map(({ request, reason }) =>
        this.toRefusal(request, { reason, nowMs })
      ),
      ...lateUnmeetable.map((request) =>
        this.toRefusal(request, { reason: "overloaded", nowMs })
      ),
    ];
  }

  /** The refusal of a request that has waited. */
  private toRefusal(
    request: WorkRequest,
    { reason, nowMs }: { reason: QueueRefusalReason; nowMs: number },
  ): QueueRefusal {
    const startMs = bestStartMs(request, nowMs + this.waitMs(nowMs));
    return { id: request.id, reason, waitMs: startMs - nowMs };
  }

  /**
   * Moves requests that were overtaken by more urgent ones, and now miss their objective, to the late queue, or
   * refuses them. Kept in place, they would make the requests behind them late, too.
   */
  private demoteOvertaken(nowMs: number): QueueRefusal[] {
    const overtaken = this.mainQueue.filter((request) =>
      missesObjective(request, nowMs) && !this.isWorthRunningLate(request)
    );
    if (overtaken.length === 0) {
      return [];
    }
    this.removeFromMainQueue(overtaken);
    const forecast = this.forecastLateStart(nowMs);
    return overtaken
      .filter((request) =>
        !request.mayEndLate || !this.lateQueue.offer(request, forecast)
      )
      .map((request) =>
        this.toRefusal(request, { reason: "overloaded", nowMs })
      );
  }

  /** When the first request of the late queue would start if no more requests joined the main queue. */
  private forecastLateStart(nowMs: number): { nowMs: number; startMs: number } {
    return { nowMs, startMs: nowMs + this.waitMs(nowMs) };
  }

  private removeFromMainQueue(requests: readonly WorkRequest[]): void {
    if (requests.length > 0) {
      this.mainQueue = this.mainQueue.filter((request) =>
        !requests.includes(request)
      );
    }
  }
}

/** Whether a request that may start from the given time on is expected to miss its objective. */
function missesObjective(request: WorkRequest, earliestMs: number): boolean {
  const startMs = bestStartMs(request, earliestMs);
  return startMs + serviceMsAt(request, startMs) * (1 + ESTIMATE_MARGIN) >
    request.objectiveAtMs;
}

/** Orders by rank, then by the latest start with which the objective can still be met. */
function compareUrgency(left: WorkRequest, right: WorkRequest): number {
  return left.rank - right.rank ||
    latestStartMs(left) - latestStartMs(right);
}

function latestStartMs(request: WorkRequest): number {
  return request.objectiveAtMs - request.estimateMs;
}
