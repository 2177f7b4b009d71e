/**
 * Admission control of the router for one backend server: decides which requests run, wait or are refused, and when the
 * callers of those that are refused are to come back. The `daemon` package uses `SlotQueue` instead, which has only two
 * priority classes and deadlines.
 *
 * Designed for overload that lasts for seconds, in which requests of different urgency and length compete for the slots,
 * and in which a response after the deadline is wasted work.
 *
 * A request is refused as soon as it is known that it won't be served: if it can't end before its deadline, or if the
 * queue has been standing for so long that further waiting serves nobody. The most urgent rank starts first, and within
 * a rank the request that must begin first to meet its deadline.
 *
 * @module
 */
import { EstimateSpread } from "./estimate_spread.ts";
import { RankWork } from "./rank_work.ts";
import { ReturnTimes } from "./return_times.ts";
import { ServerLoadEstimator } from "./server_load_estimator.ts";
import {
  overrunOf,
  type RunningRequest,
  scaledBySlowdown,
  SlotForecast,
} from "./slot_forecast.ts";
import {
  type ServerPace,
  StandingQueue,
  usefulBacklogMs,
} from "./standing_queue.ts";
import { StartRateLimiter } from "./start_rate_limiter.ts";
import {
  bestStartMs,
  canMeetDeadline,
  endsInTimeIfCold,
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
    /** When its caller is to come back, in milliseconds from now. */
    readonly waitMs: number;
  };

/** A request that waited and is refused. */
export interface QueueRefusal {
  readonly id: number;
  readonly reason: QueueRefusalReason;
  /** When its caller is to come back, in milliseconds from now. */
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
/** Delay of a start that nothing holds back any more, in milliseconds; 0 stands for no start. */
const IMMEDIATE_START_DELAY_MS = 1;
/** Weight of the latest request in the mean estimate (EWMA). */
const ESTIMATE_EWMA_WEIGHT = 0.1;
/** Lower bound of a capacity, in slots: without any, waits would be infinite, and no server could own keys. */
const MIN_CAPACITY = 0.01;

/** The waiting and running requests of one backend server. */
export class WorkQueue {
  private readonly running = new Map<number, RunningRequest>();
  /** Waiting requests, the one that starts next first. */
  private waiting: WorkRequest[] = [];
  private slots = 0;
  /** Moving average of the estimates of offered requests, in milliseconds; 0 before the first. */
  private meanEstimateMs = 0;
  private readonly rankWork = RankWork.create();
  private readonly standing = StandingQueue.create();
  private readonly spread = EstimateSpread.create();
  private readonly returnTimes: ReturnTimes;

  private constructor(
    private readonly limiter: StartRateLimiter,
    private readonly load: ServerLoadEstimator,
    random: () => number,
  ) {
    this.returnTimes = ReturnTimes.create(random);
  }

  /**
   * Creates a queue without slots. Requests can't start until `setSlots` is called.
   *
   * @param limiter limits the rate of starts at the backend server.
   * @param load how much longer than its estimate work takes there now.
   * @param random returns numbers from 0 up to 1.
   */
  static create(
    limiter: StartRateLimiter = StartRateLimiter.create(0),
    load: ServerLoadEstimator = ServerLoadEstimator.create(),
    random: () => number = () => 0,
  ): WorkQueue {
    return new WorkQueue(limiter, load, random);
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

  /** Number of waiting requests. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Starts, queues or refuses a request that has just arrived. */
  offer(arrived: WorkRequest, nowMs: number): AdmissionDecision {
    this.recordEstimate(arrived.estimateMs);
    const request = this.scaled(arrived, nowMs);
    if (
      this.canStart(nowMs) && shouldStart(request, nowMs) &&
      this.findNext(nowMs) === undefined
    ) {
      this.start(arrived, nowMs);
      return { kind: "run" };
    }
    const { rank } = request;
    const ahead = this.waiting.filter((other) =>
      compareUrgency(other, request) <= 0
    );
    const waitMs = this.waitBehindMs(ahead, { rank, nowMs });
    const reason = this.findRefusal(request, { ahead, waitMs, nowMs });
    if (reason === undefined) {
      this.waiting.splice(ahead.length, 0, arrived);
      return { kind: "wait" };
    }
    return {
      kind: "refuse",
      reason,
      waitMs: this.chooseReturn(request, { reason, waitMs, nowMs }),
    };
  }

  /** Frees the slot of a request that has ended; returns the resulting changes to the queue. */
  finish(id: number, nowMs: number): QueueChanges {
    const ended = this.running.get(id);
    if (ended !== undefined) {
      const { estimateMs, startedAtMs } = ended;
      const run = { startedAtMs, endedAtMs: nowMs };
      const tookMs = this.load.meanSpeedMs(run);
      this.spread.record({ estimateMs, tookMs });
    }
    this.running.delete(id);
    return this.advance(nowMs);
  }

  /** Removes a waiting request, for example because its caller disconnected; returns whether it was waiting. */
  cancel(id: number): boolean {
    const before = this.waiting.length;
    this.waiting = this.waiting.filter((request) => request.id !== id);
    return this.waiting.length < before;
  }

  /** Fills free slots, and refuses requests that can no longer be served before their deadline. */
  advance(nowMs: number): QueueChanges {
    const refuse = this.refuseHopeless(nowMs);
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
    this.standing.ranks.forEach((rank) => this.recordBacklog(rank, nowMs));
    return { run, refuse };
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
    const warmAtMs = this.waiting
      .flatMap(({ coldEstimate }) => coldEstimate?.warmAtMs ?? [])
      .filter((atMs) => atMs > nowMs);
    return warmAtMs.length === 0 ? 0 : Math.min(...warmAtMs) - nowMs;
  }

  /** Expected wait of a request of the lowest urgency that arrives now, in milliseconds. */
  waitMs(nowMs: number): number {
    return this.waitBehindMs(this.waiting, { rank: 0, nowMs });
  }

  /** Whether a slot is free and the limiter allows another start. */
  private canStart(nowMs: number): boolean {
    return this.running.size < this.slots &&
      this.limiter.delayMs(0, nowMs) === 0;
  }

  /**
   * The waiting request that should start next; `undefined` if none should start now. While it is only assumed that the
   * server is warm, it is one that would also be served by a cold server: the first to end shows which one it is.
   */
  private findNext(nowMs: number): WorkRequest | undefined {
    const first = this.waiting.find((request) => shouldStart(request, nowMs));
    return first === undefined || endsInTimeIfCold(first, nowMs)
      ? first
      : this.waiting.find((request) =>
        request.rank === first.rank && shouldStart(request, nowMs) &&
        endsInTimeIfCold(request, nowMs)
      ) ?? first;
  }

  private recordEstimate(estimateMs: number): void {
    const mean = this.meanEstimateMs;
    this.meanEstimateMs = mean === 0
      ? estimateMs
      : mean + ESTIMATE_EWMA_WEIGHT * (estimateMs - mean);
  }

  /** The request with its estimate at the current speed of the server. */
  private scaled(request: WorkRequest, nowMs: number): WorkRequest {
    const { load } = this;
    const running = this.running.values();
    return scaledBySlowdown(request, { running, load, nowMs });
  }

  /** Why a request is refused that can't start at once; `undefined` if it may wait. */
  private findRefusal(
    request: WorkRequest,
    at: { ahead: readonly WorkRequest[]; waitMs: number; nowMs: number },
  ): QueueRefusalReason | undefined {
    const { ahead, waitMs, nowMs } = at;
    const isLimited = waitMs > 0 &&
      this.limiter.delayMs(ahead.length, nowMs) >= waitMs;
    const spread = marginOf(request, this.spreadAt(nowMs));
    if (!canMeetDeadline(request, { nowMs, waitMs, spread })) {
      return isLimited ? "rate_limited" : "too_late";
    }
    if (this.waitingCount >= this.slots * MAX_WAITING_PER_SLOT) {
      return "queue_full";
    }
    if (
      !this.isWaitOfUse(request, nowMs) ||
      this.wouldDisplace(request, ahead.length, nowMs)
    ) {
      return isLimited ? "rate_limited" : "overloaded";
    }
    return undefined;
  }

  /**
   * How far times deviate from their estimates, as a share of them: as measured, or as the running requests exceed
   * theirs, since none has ended soon after a server has become slow.
   */
  private spreadAt(nowMs: number): number {
    const { load } = this;
    const running = this.running.values();
    const overrun = overrunOf({ running, load, nowMs }) - 1;
    return Math.max(this.spread.share, Math.min(1, overrun));
  }

  /**
   * Whether the queue is short enough for another request. A request that takes less than the mean, by more than
   * estimates are wrong, may wait behind more work in proportion: refusing it would leave little room to others.
   */
  private isWaitOfUse(request: WorkRequest, nowMs: number): boolean {
    const { rank, estimateMs, blocksOthers } = request;
    const { pace } = this;
    const backlogMs = this.recordBacklog(rank, nowMs);
    const limitMs = blocksOthers
      ? usefulBacklogMs(pace.meanMs)
      : this.standing.limitMs(rank, { pace, nowMs });
    const longestMs = estimateMs * (1 + this.spread.share);
    const brevity = Math.max(1, pace.meanMs / Math.max(1, longestMs));
    return backlogMs <= limitMs * brevity;
  }

  /**
   * Whether a waiting request of the same rank could no longer meet its deadline behind this one. It has waited already,
   * so its caller has less time left to come back.
   */
  private wouldDisplace(
    request: WorkRequest,
    index: number,
    nowMs: number,
  ): boolean {
    const after = this.waiting.toSpliced(index, 0, request);
    return this.findHopeless(after, nowMs)
      .some(({ request: { rank, id } }) =>
        rank === request.rank && id !== request.id
      );
  }

  /** Records the work that waits for a slot, of a rank and of more urgent ones; returns it, in milliseconds. */
  private recordBacklog(rank: number, nowMs: number): number {
    const sumMs = this.waiting
      .filter((other) => other.rank <= rank && shouldStart(other, nowMs))
      .reduce((sum, other) => sum + serviceMsAt(other, nowMs), 0);
    const { pace } = this;
    const backlogMs = sumMs / pace.capacity;
    this.standing.record(rank, backlogMs, { pace, nowMs });
    return backlogMs;
  }

  private get pace(): ServerPace {
    return { meanMs: this.meanEstimateMs, capacity: this.capacity };
  }

  private waitBehindMs(
    ahead: readonly WorkRequest[],
    { rank, nowMs }: { rank: number; nowMs: number },
  ): number {
    const forecast = this.createForecast(nowMs);
    ahead.forEach((other) => forecast.add(other));
    return this.withUrgentArrivals(
      Math.max(forecast.waitMs, this.limiter.delayMs(ahead.length, nowMs)),
      rank,
    );
  }

  private createForecast(nowMs: number): SlotForecast {
    const { slots, load } = this;
    const running = this.running.values();
    return SlotForecast.create({ running, slots, load, nowMs });
  }

  /** A wait, with what more urgent requests that arrive meanwhile add to it. */
  private withUrgentArrivals(waitMs: number, rank: number): number {
    return waitMs / this.rankWork.shareLeftTo(rank);
  }

  private start(request: WorkRequest, nowMs: number): void {
    this.limiter.recordStart(nowMs);
    this.rankWork.recordStart(request);
    this.running.set(request.id, {
      rank: request.rank,
      startedAtMs: nowMs,
      estimateMs: serviceMsAt(request, nowMs),
    });
  }

  /** Refuses waiting requests as soon as they are not expected to end before their deadline. */
  private refuseHopeless(nowMs: number): QueueRefusal[] {
    const hopeless = this.findHopeless(this.waiting, nowMs);
    if (hopeless.length > 0) {
      const ids = new Set(hopeless.map(({ request }) => request.id));
      this.waiting = this.waiting.filter(({ id }) => !ids.has(id));
    }
    return hopeless.map(({ request, reason, waitMs }) => ({
      id: request.id,
      reason,
      waitMs: this.chooseReturn(request, { reason, waitMs, nowMs }),
    }));
  }

  private findHopeless(
    ordered: readonly WorkRequest[],
    nowMs: number,
  ): { request: WorkRequest; reason: QueueRefusalReason; waitMs: number }[] {
    if (ordered.length === 0) {
      return [];
    }
    const forecast = this.createForecast(nowMs);
    const spread = this.spreadAt(nowMs);
    let keptCount = 0;
    return ordered.flatMap((request) => {
      const delayMs = this.limiter.delayMs(keptCount, nowMs);
      const waitMs = this.withUrgentArrivals(
        Math.max(forecast.waitMs, delayMs),
        request.rank,
      );
      const margin = marginOf(request, spread);
      if (canMeetDeadline(request, { nowMs, waitMs, spread: margin })) {
        forecast.add(request);
        keptCount += 1;
        return [];
      }
      const isLimited = delayMs > 0 && delayMs >= forecast.waitMs;
      const reason = isLimited ? "rate_limited" : "too_late";
      return [{ request, reason, waitMs } as const];
    });
  }

  /** When the caller of a refused request is to come back, in milliseconds from now. */
  private chooseReturn(
    request: WorkRequest,
    at: { reason: QueueRefusalReason; waitMs: number; nowMs: number },
  ): number {
    const { rank, deadlineAtMs } = request;
    const { reason, waitMs, nowMs } = at;
    if (this.slots === 0) {
      return 0;
    }
    const startMs = bestStartMs(request, nowMs + waitMs);
    const { capacity, meanEstimateMs } = this;
    const excessMs = this.recordBacklog(rank, nowMs) -
      usefulBacklogMs(meanEstimateMs);
    return this.returnTimes.choose({
      rank,
      roomMs: reason === "overloaded"
        ? Math.max(meanEstimateMs / capacity, excessMs)
        : startMs - nowMs,
      uncertaintyMs: this.standing.standingMs(rank, nowMs),
      remainingMs: Math.max(0, deadlineAtMs - nowMs),
      serviceMs: serviceMsAt(request, startMs) * (1 + this.spread.share),
      capacity,
    }, nowMs);
  }
}

/**
 * The margin by which a request must be expected to meet its deadline, as a share of the expected time: none for a cold one,
 * since the server is cold for a repeat, too, and an early refusal would not help the caller.
 */
function marginOf({ coldEstimate }: WorkRequest, spread: number): number {
  return coldEstimate === undefined ? spread : 0;
}

/** Orders by rank, then by the latest start with which the deadline can still be met. */
function compareUrgency(left: WorkRequest, right: WorkRequest): number {
  return left.rank - right.rank || latestStartMs(left) - latestStartMs(right);
}

function latestStartMs({ deadlineAtMs, estimateMs }: WorkRequest): number {
  return deadlineAtMs - estimateMs;
}
