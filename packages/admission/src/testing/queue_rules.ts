/**
 * Simple rules for the queue of a server, which `WorkQueue` is compared with.
 *
 * @module
 */
import type { AdmissionDecision, QueueChanges } from "../work_queue.ts";
import type { WorkRequest } from "../work_request.ts";
import type { SimulatedQueue } from "./admission_model.ts";

/** A queue that refuses only what can't end before its deadline; rules differ in what starts next. */
abstract class DeadlineQueue implements SimulatedQueue {
  private readonly running = new Map<number, number>();
  private waiting: WorkRequest[] = [];

  protected constructor(private readonly slots: number) {}

  /** Whether a request starts before another one that has waited for longer. */
  protected abstract goesBefore(
    request: WorkRequest,
    other: WorkRequest,
  ): boolean;

  get waitingCount(): number {
    return this.waiting.length;
  }

  get runningCount(): number {
    return this.running.size;
  }

  waitMs(nowMs: number): number {
    return this.waitBehindMs(this.waiting, nowMs);
  }

  offer(request: WorkRequest, nowMs: number): AdmissionDecision {
    if (this.running.size < this.slots) {
      this.start(request, nowMs);
      return { kind: "run" };
    }
    const found = this.waiting.findIndex((other) =>
      this.goesBefore(request, other)
    );
    const index = found < 0 ? this.waiting.length : found;
    const waitMs = this.waitBehindMs(this.waiting.slice(0, index), nowMs);
    if (nowMs + waitMs + request.estimateMs > request.deadlineAtMs) {
      return { kind: "refuse", reason: "too_late", waitMs };
    }
    this.waiting.splice(index, 0, request);
    return { kind: "wait" };
  }

  finish(id: number, nowMs: number): QueueChanges {
    this.running.delete(id);
    return this.advance(nowMs);
  }

  advance(nowMs: number): QueueChanges {
    const hopeless = this.waiting.filter(({ deadlineAtMs, estimateMs }) =>
      nowMs + estimateMs > deadlineAtMs
    );
    this.waiting = this.waiting.filter((request) =>
      !hopeless.includes(request)
    );
    const started = this.waiting.splice(
      0,
      Math.max(0, this.slots - this.running.size),
    );
    started.forEach((request) => this.start(request, nowMs));
    const waitMs = this.waitMs(nowMs);
    return {
      run: started.map(({ id }) => id),
      refuse: hopeless.map(({ id }) => ({ id, reason: "too_late", waitMs })),
    };
  }

  private start({ id, estimateMs }: WorkRequest, nowMs: number): void {
    this.running.set(id, nowMs + estimateMs);
  }

  private waitBehindMs(ahead: readonly WorkRequest[], nowMs: number): number {
    if (this.running.size < this.slots) {
      return 0;
    }
    const remainingMs = [...this.running.values()].reduce(
      (sum, endsAtMs) => sum + Math.max(0, endsAtMs - nowMs),
      0,
    );
    return ahead.reduce(
      (sum, { estimateMs }) => sum + estimateMs,
      remainingMs,
    ) /
      this.slots;
  }
}

/** The deadline alone: by rank, the earliest deadline first. */
export class EarliestDeadlineQueue extends DeadlineQueue {
  static create(this: void, slots: number): EarliestDeadlineQueue {
    return new EarliestDeadlineQueue(slots);
  }

  protected override goesBefore(
    request: WorkRequest,
    other: WorkRequest,
  ): boolean {
    return request.rank < other.rank ||
      request.rank === other.rank && request.deadlineAtMs < other.deadlineAtMs;
  }
}

/** By rank, the newest request first. */
export class NewestFirstQueue extends DeadlineQueue {
  static create(this: void, slots: number): NewestFirstQueue {
    return new NewestFirstQueue(slots);
  }

  protected override goesBefore(
    request: WorkRequest,
    other: WorkRequest,
  ): boolean {
    return request.rank <= other.rank;
  }
}
