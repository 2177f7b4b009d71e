/**
 * The queue of requests that miss their latency objective but can still finish before their deadline.
 *
 * Designed for load peaks and bursts of a few seconds, in which more requests arrive than can be served on time,
 * separated by quieter periods in which slots become free.
 *
 * @module
 */
import type { WorkRequest } from "./work_request.ts";

/** Half-life of the weight of started on-time work, in milliseconds; load peaks last a few seconds. */
const HALF_LIFE_MS = 1_000;
/**
 * Minimum share of slot time that late requests are assumed to get. Without it, a moment of full load would also keep
 * requests out in the moment after it; with more, requests would wait only to be refused.
 */
const MIN_SPARE_SHARE = 0.05;
/**
 * A late request must be expected to finish at least this share of its estimate before its deadline. A request that
 * is refused after a wait has gained nothing, and its caller has less time left for a retry.
 */
const ESTIMATE_MARGIN = 0.25;

/** Lower bound of a capacity, in slots: without any, waits would be infinite, and no server could own keys. */
export const MIN_CAPACITY = 0.01;

/** When slots are expected to become free for late requests. */
interface StartForecast {
  readonly nowMs: number;
  /** When the first request of this queue would start if no more on-time requests arrived. */
  readonly startMs: number;
}

/** Waiting late requests, by rank and then by the latest start that meets the deadline. */
export class LateRequestQueue {
  private waiting: WorkRequest[] = [];
  private capacity = MIN_CAPACITY;
  /** Exponentially decayed sum of the estimates of requests started on time, in milliseconds. */
  private onTimeWorkMs = 0;
  private decayedAtMs = 0;

  private constructor() {}

  /** Creates an empty queue. */
  static create(): LateRequestQueue {
    return new LateRequestQueue();
  }

  /** Sets how many slots of the backend server can be kept busy. */
  setCapacity(slots: number): void {
    this.capacity = Math.max(MIN_CAPACITY, slots);
  }

  /** Number of waiting late requests. */
  get size(): number {
    return this.waiting.length;
  }

  /** Records that a request started on time; its slot time is not available to late requests. */
  recordOnTimeStart(request: WorkRequest, nowMs: number): void {
    this.decay(nowMs);
    this.onTimeWorkMs += request.estimateMs;
  }

  /** Expected wait behind the late requests that are ahead of a new one, in milliseconds. */
  waitAheadMs(request: WorkRequest, nowMs: number): number {
    const ahead = this.waiting.filter((other) =>
      compareUrgency(other, request) <= 0
    );
    return this.drainTimeMs(ahead, nowMs);
  }

  /** Rank of the least urgent waiting request; 0 without any. */
  get maxRank(): number {
    return Math.max(0, ...this.waiting.map(({ rank }) => rank));
  }

  /** Expected wait behind all late requests of a rank and of more urgent ones, in milliseconds. */
  waitOfRankMs(rank: number, nowMs: number): number {
    return this.drainTimeMs(
      this.waiting.filter((other) => other.rank <= rank),
      nowMs,
    );
  }

  /** Queues a request; returns false, without queueing it, if it is not expected to meet its deadline. */
  offer(request: WorkRequest, forecast: StartForecast): boolean {
    if (missesDeadline(request, toHopefulStart(request, forecast))) {
      return false;
    }
    const index = this.waiting.findIndex((other) =>
      compareUrgency(other, request) > 0
    );
    this.waiting.splice(index < 0 ? this.waiting.length : index, 0, request);
    return true;
  }

  /** Removes and returns the first request. The queue must not be empty. */
  take(): WorkRequest {
    return this.waiting.shift()!;
  }

  /** Removes a cancelled request; returns whether it was in this queue. */
  remove(id: number): boolean {
    const before = this.waiting.length;
    this.waiting = this.waiting.filter((request) => request.id !== id);
    return this.waiting.length < before;
  }

  /**
   * Removes and returns requests that are no longer expected to meet their deadline, so that they are refused while
   * their callers still have time for a retry, and not when the deadline has passed.
   */
  dropUnmeetable(forecast: StartForecast): WorkRequest[] {
    const kept: WorkRequest[] = [];
    const unmeetable = this.waiting.filter((request) => {
      const startMs = forecast.startMs + this.drainTimeMs(kept, forecast.nowMs);
      const isUnmeetable = missesDeadline(
        request,
        toHopefulStart(request, { ...forecast, startMs }),
      );
      if (!isUnmeetable) {
        kept.push(request);
      }
      return isUnmeetable;
    });
    this.waiting = kept;
    return unmeetable;
  }

  /** Time to serve late requests in the slot time that on-time requests leave over, in milliseconds. */
  private drainTimeMs(requests: readonly WorkRequest[], nowMs: number): number {
    if (requests.length === 0) {
      return 0;
    }
    const workMs = requests.reduce(
      (sum, { estimateMs }) => sum + estimateMs,
      0,
    );
    return workMs / (this.capacity * this.spareShareAt(nowMs));
  }

  /** Share of slot time that on-time requests leave over. */
  private spareShareAt(nowMs: number): number {
    this.decay(nowMs);
    const perSecondMs = this.onTimeWorkMs * Math.LN2 / (HALF_LIFE_MS / 1_000);
    const usedShare = perSecondMs / (this.capacity * 1_000);
    return Math.max(MIN_SPARE_SHARE, 1 - usedShare);
  }

  private decay(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.decayedAtMs);
    this.decayedAtMs = nowMs;
    this.onTimeWorkMs *= 0.5 ** (elapsedMs / HALF_LIFE_MS);
  }
}

/**
 * The start of a request by which it is decided whether it waits on. That of a returning caller waits as long as it
 * could meet its deadline if it started now: its caller doesn't come again, so an early refusal would be of no use, and
 * at the end of a burst slots become free sooner than forecast.
 */
function toHopefulStart(
  { isReturning = false }: WorkRequest,
  { nowMs, startMs }: StartForecast,
): number {
  return isReturning ? nowMs : startMs;
}

function missesDeadline(request: WorkRequest, startMs: number): boolean {
  return startMs + request.estimateMs * (1 + ESTIMATE_MARGIN) >
    request.deadlineAtMs;
}

/**
 * Orders by rank, then those of returning callers before others, then by the latest start with which the deadline can still be
 * met.
 */
function compareUrgency(left: WorkRequest, right: WorkRequest): number {
  return left.rank - right.rank ||
    Number(right.isReturning ?? false) - Number(left.isReturning ?? false) ||
    latestStartMs(left) - latestStartMs(right);
}

function latestStartMs({ deadlineAtMs, estimateMs }: WorkRequest): number {
  return deadlineAtMs - estimateMs;
}
