/**
 * The queue in front of one backend server's slots: bounded, by class, aware of deadlines.
 *
 * Whoever is refused is told so when it is known, not when its time is up. What the queue sheds is
 * what could not be served in time anyway, or what matters less than what just came.
 *
 * @module
 */
import type { PriorityClass } from "@bamboolink/types";

/** One request that asks for a slot. */
export interface SlotRequest {
  readonly id: string;
  readonly priority: PriorityClass;
  /** When its time is up, in milliseconds on the clock that the queue is given. */
  readonly deadlineMs: number;
}

/** What becomes of an offered request. */
export type SlotVerdict =
  | { readonly kind: "run" }
  | { readonly kind: "wait" }
  | {
    readonly kind: "refuse";
    readonly reason: "queue_full" | "too_late";
    readonly waitMs: number;
  };

/** What becomes of waiting requests when something changes. */
export interface SlotChanges {
  /** Identities of requests that run now. */
  readonly run: readonly string[];
  /** Identities of requests that are given up, with the reason. */
  readonly refuse: readonly {
    readonly id: string;
    readonly reason: "queue_full" | "too_late";
  }[];
}

/** Limits of a queue. */
export interface SlotQueueLimits {
  /** How many requests run at once. */
  readonly slots: number;
  /** How many requests may wait. */
  readonly length: number;
}

/** Weight of the newest observation in the average time of service. */
const SMOOTHING = 0.1;
const CLASS_ORDER: Record<PriorityClass, number> = { interactive: 0, batch: 1 };

/**
 * The share of a request's time that it may wait for a slot. Beyond what keeps the slots busy a longer
 * queue serves nobody more, it only makes all who wait slower; a report may be late, a quote may not.
 */
const WAIT_SHARE: Record<PriorityClass, number> = {
  interactive: 0.25,
  batch: 1,
};

/** The queue in front of one backend server. */
export class SlotQueue {
  private waiting: SlotRequest[] = [];
  private readonly running = new Set<string>();
  private meanServiceMs = 0;

  private constructor(private limits: SlotQueueLimits) {}

  /** Creates an empty queue. */
  static create(limits: SlotQueueLimits): SlotQueue {
    return new SlotQueue(limits);
  }

  /** Changes the limits; requests that run stay, also where there are fewer slots now. */
  setLimits(limits: SlotQueueLimits): void {
    this.limits = limits;
  }

  /** How many requests run. */
  get runningCount(): number {
    return this.running.size;
  }

  /** How many requests wait. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Average time that a request holds a slot, in milliseconds. */
  get serviceMs(): number {
    return this.meanServiceMs;
  }

  /** How long a request would wait behind `ahead` others, in milliseconds. */
  expectedWaitMs(ahead: number): number {
    const busy = this.running.size >= this.limits.slots;
    return busy ? ((ahead + 1) / this.limits.slots) * this.meanServiceMs : 0;
  }

  /**
   * Offers a request.
   *
   * @returns the verdict, and waiting requests of a lower class that made room.
   */
  offer(
    request: SlotRequest,
    nowMs: number,
  ): { verdict: SlotVerdict; displaced: readonly string[] } {
    if (this.running.size < this.limits.slots && this.waiting.length === 0) {
      this.running.add(request.id);
      return { verdict: { kind: "run" }, displaced: [] };
    }
    const ahead = this.positionOf(request);
    const waitMs = this.expectedWaitMs(ahead);
    if (
      nowMs + this.meanServiceMs + waitMs / WAIT_SHARE[request.priority] >
        request.deadlineMs
    ) {
      return {
        verdict: { kind: "refuse", reason: "too_late", waitMs },
        displaced: [],
      };
    }
    if (this.waiting.length < this.limits.length) {
      this.waiting.splice(ahead, 0, request);
      return { verdict: { kind: "wait" }, displaced: [] };
    }
    const last = this.waiting.at(-1);
    if (
      last === undefined ||
      CLASS_ORDER[last.priority] <= CLASS_ORDER[request.priority]
    ) {
      return {
        verdict: { kind: "refuse", reason: "queue_full", waitMs },
        displaced: [],
      };
    }
    this.waiting.pop();
    this.waiting.splice(ahead, 0, request);
    return { verdict: { kind: "wait" }, displaced: [last.id] };
  }

  /** Notes that a request left its slot. Pass how long it held it, where that says something. */
  finish(id: string, at: { nowMs: number; tookMs?: number }): SlotChanges {
    if (this.running.delete(id) && at.tookMs !== undefined) {
      const first = this.meanServiceMs === 0;
      this.meanServiceMs = first
        ? at.tookMs
        : this.meanServiceMs + SMOOTHING * (at.tookMs - this.meanServiceMs);
    }
    return this.advance(at.nowMs);
  }

  /** Takes a waiting request out, because its caller left. */
  cancel(id: string): boolean {
    const before = this.waiting.length;
    this.waiting = this.waiting.filter((request) => request.id !== id);
    return this.waiting.length < before;
  }

  /** Gives up requests that can't be served in time any more and fills free slots. */
  advance(nowMs: number): SlotChanges {
    const late = this.waiting.filter((request) =>
      nowMs + this.meanServiceMs > request.deadlineMs
    );
    this.waiting = this.waiting.filter((request) => !late.includes(request));
    const free = Math.max(0, this.limits.slots - this.running.size);
    const run = this.waiting.splice(0, free).map((request) => request.id);
    run.forEach((id) => this.running.add(id));
    return {
      run,
      refuse: late.map(({ id }) => ({ id, reason: "too_late" as const })),
    };
  }

  /** Takes all waiting requests out, for example because ownership ended. */
  clear(): string[] {
    return this.waiting.splice(0).map((request) => request.id);
  }

  /** Behind all of its own and of higher classes, before lower ones. */
  private positionOf(request: SlotRequest): number {
    const order = CLASS_ORDER[request.priority];
    const behind = this.waiting.findIndex((other) =>
      CLASS_ORDER[other.priority] > order
    );
    return behind < 0 ? this.waiting.length : behind;
  }
}
