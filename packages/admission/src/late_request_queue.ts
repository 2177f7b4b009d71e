/**
 * The queue of requests that miss their latency objective but can still finish before their deadline.
 *
 * Designed for load peaks and bursts of a few seconds, in which more requests arrive than can be served on time,
 * separated by quieter periods in which slots become free.
 *
 * @module
 */
import {
  bestStartMs,
  serviceMsAt,
  shouldStart,
  type WorkRequest,
} from "./work_request.ts";

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
/**
 * The same for a cold request, which has few callers' retries left to gain by a refusal: the server is cold for them,
 * too. In the replay of a power loss 0.745 of the first requests are served with it, and 0.718 with the usual margin.
 */
const COLD_ESTIMATE_MARGIN = 0.05;

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
    this.onTimeWorkMs += serviceMsAt(request, nowMs);
  }

  /** Expected start of a new request behind the late requests that are ahead of it, in milliseconds. */
  startBehindMs(request: WorkRequest, forecast: StartForecast): number {
    return this.startAfterMs(
      this.waiting.filter((other) => compareUrgency(other, request) <= 0),
      forecast,
    );
  }

  /** Queues a request; returns false, without queueing it, if it is not expected to meet its deadline. */
  offer(request: WorkRequest, forecast: StartForecast): boolean {
    if (missesDeadline(request, forecast.startMs)) {
      return false;
    }
    const index = this.waiting.findIndex((other) =>
      compareUrgency(other, request) > 0
    );
    this.waiting.splice(index < 0 ? this.waiting.length : index, 0, request);
    return true;
  }

  /** The waiting requests, the first one first. */
  get requests(): readonly WorkRequest[] {
    return this.waiting;
  }

  /** The first request that should start now, if there is any. */
  findNext(nowMs: number): WorkRequest | undefined {
    return this.waiting.find((request) => shouldStart(request, nowMs));
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
    const slots = this.capacity * this.spareShareAt(forecast.nowMs);
    const kept: WorkRequest[] = [];
    let { startMs } = forecast;
    const unmeetable = this.waiting.filter((request) => {
      const isUnmeetable = missesDeadline(request, startMs);
      if (!isUnmeetable) {
        kept.push(request);
        startMs = nextStartMs(request, { startMs, slots });
      }
      return isUnmeetable;
    });
    this.waiting = kept;
    return unmeetable;
  }

  /** Expected start of a request behind others, in the slot time that on-time requests leave over, in milliseconds. */
  private startAfterMs(
    requests: readonly WorkRequest[],
    { nowMs, startMs }: StartForecast,
  ): number {
    const slots = this.capacity * this.spareShareAt(nowMs);
    return requests.reduce(
      (requestStartMs, ahead) =>
        nextStartMs(ahead, { startMs: requestStartMs, slots }),
      startMs,
    );
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

/** When the next request starts if this one starts at a time, with a number of slots (also fractional) for both. */
function nextStartMs(
  request: WorkRequest,
  { startMs, slots }: { startMs: number; slots: number },
): number {
  const ownStartMs = bestStartMs(request, startMs);
  return ownStartMs + serviceMsAt(request, ownStartMs) / slots;
}

function missesDeadline(request: WorkRequest, earliestMs: number): boolean {
  const startMs = bestStartMs(request, earliestMs);
  const margin = request.coldEstimate === undefined
    ? ESTIMATE_MARGIN
    : COLD_ESTIMATE_MARGIN;
  return startMs + serviceMsAt(request, startMs) * (1 + margin) >
    request.deadlineAtMs;
}

/** Orders by rank, then by the latest start with which the deadline can still be met. */
function compareUrgency(left: WorkRequest, right: WorkRequest): number {
  return left.rank - right.rank ||
    latestStartMs(left) - latestStartMs(right);
}

function latestStartMs({ deadlineAtMs, estimateMs }: WorkRequest): number {
  return deadlineAtMs - estimateMs;
}
