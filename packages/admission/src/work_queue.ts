/**
 * Decides which requests run, wait or are refused beside one backend server.
 *
 * The load it answers: more work than the slots can do, for seconds at a time, in which requests of
 * different urgency and length compete, and in which work that is done too late is wasted.
 *
 * Requests wait in two lanes. Those that can still meet their objective go first, and nothing that is late
 * already takes a slot from them. The others wait behind, for slots that nobody in time wants, as long as they
 * can be expected to get one before their deadline: load comes in waves, and a late answer serves a caller
 * better than a refusal.
 *
 * @module
 */
import { ColdStartPacer } from "./cold_start_pacer.ts";
import { LateRequestQueue } from "./late_request_queue.ts";
import type { WorkRequest } from "./work_request.ts";

/** Why a request is refused: it surely has not run. */
export type QueueRefusalReason = "too_late" | "overloaded" | "queue_full";

/** What becomes of a request that has just arrived. */
export type AdmissionDecision =
  | { readonly kind: "run" }
  | { readonly kind: "wait" }
  | {
    readonly kind: "refuse";
    readonly reason: QueueRefusalReason;
    /** How long the work ahead of it takes, in milliseconds. */
    readonly waitMs: number;
  };

/** What changed when time passed or a slot became free. */
export interface QueueChanges {
  readonly run: readonly number[];
  readonly refuse: readonly { id: number; reason: QueueRefusalReason }[];
}

/**
 * The most requests that wait, for each slot. Deadlines bound the queue already; this bounds its memory
 * and the cost of keeping its order.
 */
const WAITING_PER_SLOT = 40;
/**
 * A request that has to wait in time must be expected to meet its objective even if it takes this share of its
 * estimate longer. Under overload the lane fills until the next request would just be late, so all
 * of them end at that limit: were it at the objective, half of them would be late, and with any
 * allowance beyond it all would (replayed in the test: 24 requests in time of 564).
 */
const ESTIMATE_MARGIN = 0.25;
/** A request is short up to this share of the mean estimate. */
const SHORT_SHARE = 0.4;
/** No request takes less than this, in milliseconds, whatever is expected of it. */
const LEAST_MS = 1;
/** Times of requests of one kind vary by this factor as a rule; few take longer. */
const USUAL_SPREAD = 1.3;
/** A running request is expected to take at least this share of its estimate still. */
const OVERDUE_SHARE = 0.2;

interface Running {
  readonly rank: number;
  readonly startedAtMs: number;
  readonly estimateMs: number;
}

/** The queue in front of the slots of one backend server. */
export class WorkQueue {
  private readonly running = new Map<number, Running>();
  /** Those that can meet their objective, the most urgent first. */
  private inTime: WorkRequest[] = [];
  /** Those that can't, but can be done before their deadline. */
  private readonly late = LateRequestQueue.create();
  private slots = 0;

  private constructor(private readonly pacer: ColdStartPacer) {}

  /**
   * Creates a queue without slots: everything waits.
   *
   * @param pacer limits starts while the backend server is cold.
   */
  static create(pacer: ColdStartPacer = ColdStartPacer.create(0)): WorkQueue {
    return new WorkQueue(pacer);
  }

  /** Sets how many requests may run at a time. */
  setSlots(slots: number): void {
    this.slots = slots;
    this.late.setSlots(slots);
  }

  /** How many requests run. */
  get runningCount(): number {
    return this.running.size;
  }

  /** How many requests wait. */
  get waitingCount(): number {
    return this.inTime.length + this.late.size;
  }

  /** Decides about a request that has just arrived. */
  offer(arrived: WorkRequest, nowMs: number): AdmissionDecision {
    const request = this.paced(arrived, nowMs);
    if (this.mayStart(nowMs) && this.waitingCount === 0) {
      this.start(arrived, nowMs);
      return { kind: "run" };
    }
    const waitMs = this.waitAhead(request, nowMs);
    if (nowMs + waitMs + request.estimateMs > request.deadlineAtMs) {
      return { kind: "refuse", reason: "too_late", waitMs };
    }
    if (this.waitingCount >= this.slots * WAITING_PER_SLOT) {
      return { kind: "refuse", reason: "queue_full", waitMs };
    }
    if (!endsLate(request, nowMs + waitMs) || this.makesRoom(request)) {
      this.insert(arrived);
      return { kind: "wait" };
    }
    const lateWaitMs = this.waitMs(nowMs) +
      this.late.waitAheadMs(request, nowMs);
    const startMs = nowMs + lateWaitMs;
    if (!request.mayEndLate || !this.late.offer(request, { nowMs, startMs })) {
      return { kind: "refuse", reason: "overloaded", waitMs: lateWaitMs };
    }
    return { kind: "wait" };
  }

  /** A request has left its slot. */
  finish(id: number, nowMs: number): QueueChanges {
    this.running.delete(id);
    return this.advance(nowMs);
  }

  /** A waiting request has gone away; returns whether it was waiting. */
  cancel(id: number): boolean {
    const before = this.inTime.length;
    this.inTime = this.inTime.filter((request) => request.id !== id);
    return this.inTime.length < before || this.late.remove(id);
  }

  /** Fills free slots, and refuses what can't be done in time any more. */
  advance(nowMs: number): QueueChanges {
    const hopeless = this.dropHopeless(nowMs);
    const overtaken = this.moveOvertaken(nowMs);
    const run: number[] = [];
    while (this.mayStart(nowMs) && this.waitingCount > 0) {
      const next = this.takeNext();
      this.start(next, nowMs);
      run.push(next.id);
    }
    return { run, refuse: [...hopeless, ...overtaken] };
  }

  /** Until a request of the lowest urgency that arrives now would start, in milliseconds. */
  waitMs(nowMs: number): number {
    return this.waitBehind(this.inTime, nowMs);
  }

  /** Whether a slot is free, and the server bears another request. */
  private mayStart(nowMs: number): boolean {
    return this.running.size < this.slots &&
      this.pacer.delayMs(0, nowMs) === 0;
  }

  private takeNext(): WorkRequest {
    return this.inTime.shift() ?? this.late.take();
  }

  private waitAhead(request: WorkRequest, nowMs: number): number {
    const ahead = this.inTime.filter((other) =>
      compareUrgency(other, request) <= 0
    );
    return this.waitBehind(ahead, nowMs);
  }

  private waitBehind(ahead: readonly WorkRequest[], nowMs: number): number {
    return Math.max(
      this.slotWaitMs(ahead, nowMs),
      this.pacer.delayMs(ahead.length, nowMs),
    );
  }

  /** Plays the slots forward: each request ahead takes the slot that is free first. */
  private slotWaitMs(ahead: readonly WorkRequest[], nowMs: number): number {
    if (this.slots === 0) {
      return Infinity;
    }
    const left = [...this.running.values()].map((running) =>
      leftOf(running, nowMs)
    );
    const free = Array.from(
      { length: Math.max(0, this.slots - left.length) },
      () => 0,
    );
    const ends = [...left, ...free];
    ahead.forEach(({ estimateMs }) => {
      const first = indexOfLeast(ends);
      ends[first] = ends[first]! + estimateMs;
    });
    return ends[indexOfLeast(ends)]!;
  }

  /**
   * The request with the time it takes at the pace of what runs. Estimates come from requests that have ended: of a
   * server that has just turned slow, as after a restart, none has, and it would be given many more
   * requests than it can do before their deadlines.
   */
  private paced(request: WorkRequest, nowMs: number): WorkRequest {
    const paces = [...this.running.values()].map((running) =>
      Math.max(1, (nowMs - running.startedAtMs) / longestUsual(running))
    );
    const sum = paces.reduce((total, pace) => total + pace, 0);
    const pace = paces.length === 0 ? 1 : sum / paces.length;
    return pace === 1
      ? request
      : { ...request, estimateMs: request.estimateMs * pace };
  }

  /** Whether a request is worth a slot also when it misses its objective, because others make room. */
  private makesRoom(request: WorkRequest): boolean {
    return this.hasLessUrgent(request) || this.isShort(request);
  }

  /**
   * Whether a request takes little of the slots' time beside the others. Short requests are mostly calls
   * that other work waits for while it holds a slot: refusing one saves little and wastes much.
   */
  private isShort(request: WorkRequest): boolean {
    const others = [...this.running.values(), ...this.inTime];
    const sum = others.reduce((total, { estimateMs }) => total + estimateMs, 0);
    return request.estimateMs * others.length <= sum * SHORT_SHARE;
  }

  /** Whether anything that runs or waits is less urgent, so that it makes room for the request. */
  private hasLessUrgent(request: WorkRequest): boolean {
    const isLess = ({ rank }: { rank: number }) => rank > request.rank;
    return this.inTime.some(isLess) || [...this.running.values()].some(isLess);
  }

  private start(request: WorkRequest, nowMs: number): void {
    this.pacer.recordStart(nowMs);
    this.running.set(request.id, {
      rank: request.rank,
      startedAtMs: nowMs,
      estimateMs: request.estimateMs,
    });
    if (!endsLate(request, nowMs)) {
      this.late.noteInTime(request, nowMs);
    }
  }

  private insert(request: WorkRequest): void {
    const at = this.inTime.findIndex((other) =>
      compareUrgency(other, request) > 0
    );
    this.inTime.splice(at < 0 ? this.inTime.length : at, 0, request);
  }

  private dropHopeless(nowMs: number): QueueChanges["refuse"] {
    const hopeless = this.inTime.filter((request) =>
      nowMs + request.estimateMs > request.deadlineAtMs
    );
    this.removeInTime(hopeless);
    const lateHopeless = this.late.size === 0
      ? []
      : this.late.dropHopeless(this.lateOutlook(nowMs));
    return [
      ...hopeless.map(({ id }) => ({ id, reason: "too_late" as const })),
      ...lateHopeless.map(({ id }) => ({ id, reason: "overloaded" as const })),
    ];
  }

  /**
   * Requests that were overtaken by more urgent ones and miss their objective now go behind those that can
   * still meet theirs, or away: a slot given to the first would make the second late, too.
   */
  private moveOvertaken(nowMs: number): QueueChanges["refuse"] {
    const overtaken = this.inTime.filter((request) =>
      endsLate(request, nowMs) && !this.makesRoom(request)
    );
    if (overtaken.length === 0) {
      return [];
    }
    this.removeInTime(overtaken);
    const outlook = this.lateOutlook(nowMs);
    return overtaken
      .filter((request) =>
        !request.mayEndLate || !this.late.offer(request, outlook)
      )
      .map(({ id }) => ({ id, reason: "overloaded" as const }));
  }

  /** When the first late request would start if nothing more came in time. */
  private lateOutlook(nowMs: number): { nowMs: number; startMs: number } {
    return { nowMs, startMs: nowMs + this.waitMs(nowMs) };
  }

  private removeInTime(requests: readonly WorkRequest[]): void {
    if (requests.length > 0) {
      this.inTime = this.inTime.filter((request) =>
        !requests.includes(request)
      );
    }
  }
}

/**
 * How long a running request is expected to take still, in milliseconds: one that is far overdue, as much longer
 * as it is so already.
 */
function leftOf(running: Running, nowMs: number): number {
  const { startedAtMs, estimateMs } = running;
  const ranMs = nowMs - startedAtMs;
  const overdueMs = Math.max(0, ranMs - longestUsual(running));
  return Math.max(estimateMs - ranMs, estimateMs * OVERDUE_SHARE + overdueMs);
}

/** How long a request may run before that says something of its server, in milliseconds. */
function longestUsual({ estimateMs }: Running): number {
  return Math.max(LEAST_MS, estimateMs * USUAL_SPREAD);
}

/** Whether a request that starts then must be expected to miss its objective. */
function endsLate(request: WorkRequest, startMs: number): boolean {
  return startMs + request.estimateMs * (1 + ESTIMATE_MARGIN) >
    request.objectiveAtMs;
}

function indexOfLeast(numbers: readonly number[]): number {
  return numbers.reduce(
    (least, number, index) => number < numbers[least]! ? index : least,
    0,
  );
}

/** More urgent ranks go first; among equals, those that must begin first to meet their objective. */
function compareUrgency(left: WorkRequest, right: WorkRequest): number {
  return left.rank - right.rank || beginBy(left) - beginBy(right);
}

function beginBy(request: WorkRequest): number {
  return request.objectiveAtMs - request.estimateMs;
}
