/**
 * The lane for requests that miss their objective and can be done before their deadline.
 *
 * The load it answers: waves and bursts of a few seconds, in which more arrives than can be done in time, with
 * valleys between them in which slots come free.
 *
 * @module
 */
import type { WorkRequest } from "./work_request.ts";

/** What was started in time is forgotten by half in this time, in milliseconds: a wave lasts some seconds. */
const HALF_LIFE_MS = 1_000;
/**
 * Share of the slots' time that is counted on at least for late requests. With none, one that was refused for
 * a moment of full load would not be taken in the next; with more, they would wait for nothing.
 */
const LEAST_SPARE = 0.05;
/**
 * A late request must be expected to end so much of its estimate before its deadline: one that waits and is then
 * refused has waited in vain, and has less time left to come back in.
 */
const ESTIMATE_MARGIN = 0.25;

/** What the slots are expected to do. */
interface Outlook {
  readonly nowMs: number;
  /** When the first request of this lane would start if nothing more came in time. */
  readonly startMs: number;
}

/** Late requests, those that must start first at the front. */
export class LateRequestQueue {
  private waiting: WorkRequest[] = [];
  private slots = 0;
  /** Work that was started in time, in milliseconds, decaying. */
  private startedMs = 0;
  private decayedAtMs = 0;

  private constructor() {}

  /** Creates an empty lane. */
  static create(): LateRequestQueue {
    return new LateRequestQueue();
  }

  /** Sets how many slots there are. */
  setSlots(slots: number): void {
    this.slots = slots;
  }

  /** How many requests wait here. */
  get size(): number {
    return this.waiting.length;
  }

  /** Notes a request that was started in time: it takes time that late ones don't get. */
  noteInTime(request: WorkRequest, nowMs: number): void {
    this.decay(nowMs);
    this.startedMs += request.estimateMs;
  }

  /** How long the late requests that go before a new one keep it waiting, in milliseconds. */
  waitAheadMs(request: WorkRequest, nowMs: number): number {
    const ahead = this.waiting.filter((other) =>
      compareUrgency(other, request) <= 0
    );
    return this.timeFor(ahead, nowMs);
  }

  /** Takes a request, unless it can't be expected to be done before its deadline. */
  offer(request: WorkRequest, outlook: Outlook): boolean {
    if (endsTooLate(request, outlook.startMs)) {
      return false;
    }
    const at = this.waiting.findIndex((other) =>
      compareUrgency(other, request) > 0
    );
    this.waiting.splice(at < 0 ? this.waiting.length : at, 0, request);
    return true;
  }

  /** Takes the first request out; there must be one. */
  take(): WorkRequest {
    return this.waiting.shift()!;
  }

  /** Takes a request out that has gone away; returns whether it was here. */
  remove(id: number): boolean {
    const before = this.waiting.length;
    this.waiting = this.waiting.filter((request) => request.id !== id);
    return this.waiting.length < before;
  }

  /**
   * Takes out what can't be expected to be done before its deadline any more. It is told so now, while its caller
   * has time left to come back, and not when the deadline has passed.
   */
  dropHopeless(outlook: Outlook): WorkRequest[] {
    const kept: WorkRequest[] = [];
    const hopeless = this.waiting.filter((request) => {
      const startMs = outlook.startMs + this.timeFor(kept, outlook.nowMs);
      const isHopeless = endsTooLate(request, startMs);
      if (!isHopeless) {
        kept.push(request);
      }
      return isHopeless;
    });
    this.waiting = kept;
    return hopeless;
  }

  /** How long late requests take on the slots' time that those in time leave, in milliseconds. */
  private timeFor(requests: readonly WorkRequest[], nowMs: number): number {
    if (requests.length === 0) {
      return 0;
    }
    const workMs = requests.reduce(
      (sum, { estimateMs }) => sum + estimateMs,
      0,
    );
    return workMs / (Math.max(1, this.slots) * this.spareAt(nowMs));
  }

  /** Share of the slots' time that requests in time leave. */
  private spareAt(nowMs: number): number {
    this.decay(nowMs);
    const perSecondMs = this.startedMs * Math.LN2 / (HALF_LIFE_MS / 1_000);
    const taken = perSecondMs / (Math.max(1, this.slots) * 1_000);
    return Math.max(LEAST_SPARE, 1 - taken);
  }

  private decay(nowMs: number): void {
    const passedMs = Math.max(0, nowMs - this.decayedAtMs);
    this.decayedAtMs = nowMs;
    this.startedMs *= 0.5 ** (passedMs / HALF_LIFE_MS);
  }
}

function endsTooLate(request: WorkRequest, startMs: number): boolean {
  return startMs + request.estimateMs * (1 + ESTIMATE_MARGIN) >
    request.deadlineAtMs;
}

/** More urgent ranks go first; among equals, those that must start first. */
function compareUrgency(left: WorkRequest, right: WorkRequest): number {
  return left.rank - right.rank || startBy(left) - startBy(right);
}

function startBy({ deadlineAtMs, estimateMs }: WorkRequest): number {
  return deadlineAtMs - estimateMs;
}
