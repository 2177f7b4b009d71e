/**
 * The request queue of the `daemon` package for one backend server: bounded, ordered by priority class, and aware of
 * deadlines. `WorkQueue`, that of the router, also considers latency objectives, estimates the service time by route,
 * and limits the rate of requests to cold servers.
 *
 * Requests are refused as soon as it is certain that they can't be served, not when their deadline passes. The queue
 * refuses requests that would miss their deadline anyway, or that have a lower priority than a new one.
 *
 * @module
 */
import type { PriorityClass } from "@bamboolink/types";

/** A request for a slot. */
export interface SlotRequest {
  readonly id: string;
  readonly priority: PriorityClass;
  /** Deadline, in milliseconds on the clock of the times that are passed to the queue. */
  readonly deadlineMs: number;
}

/** The decision on an offered request. */
export type SlotDecision =
  | { readonly kind: "run" }
  | { readonly kind: "wait" }
  | {
    readonly kind: "refuse";
    readonly reason: "queue_full" | "too_late";
    readonly waitMs: number;
  };

/** The waiting requests to start or to refuse after a change. */
export interface SlotChanges {
  /** Ids of the requests that run now. */
  readonly run: readonly string[];
  /** Ids of the requests that are refused, with the reason. */
  readonly refuse: readonly {
    readonly id: string;
    readonly reason: "queue_full" | "too_late";
  }[];
}

/** Limits of a queue. */
export interface SlotQueueLimits {
  /** Maximum number of requests that run concurrently. */
  readonly slots: number;
  /** Maximum number of waiting requests. */
  readonly length: number;
}

/** Weight of the latest observation in the average service time (EWMA). */
const SERVICE_TIME_EWMA_WEIGHT = 0.1;
const PRIORITY_ORDER: Record<PriorityClass, number> = {
  interactive: 0,
  batch: 1,
};

/**
 * Maximum share of a request's remaining time that it may wait for a slot. A queue longer than needed to keep the slots
 * busy does not increase throughput but only the latency of all waiting requests. Batch requests may be late,
 * interactive ones may not.
 */
const MAX_WAIT_SHARE: Record<PriorityClass, number> = {
  interactive: 0.25,
  batch: 1,
};

/** The waiting and running requests of one backend server, with one average service time for all of them. */
export class SlotQueue {
  private waiting: SlotRequest[] = [];
  private readonly running = new Set<string>();
  private meanServiceMs = 0;

  private constructor(private limits: SlotQueueLimits) {}

  /** Creates an empty queue. */
  static create(limits: SlotQueueLimits): SlotQueue {
    return new SlotQueue(limits);
  }

  /** Changes the limits; running requests continue even if there are fewer slots now. */
  setLimits(limits: SlotQueueLimits): void {
    this.limits = limits;
  }

  /** Number of running requests. */
  get runningCount(): number {
    return this.running.size;
  }

  /** Number of waiting requests. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Average time for which a request holds a slot, in milliseconds. */
  get serviceMs(): number {
    return this.meanServiceMs;
  }

  /** Expected wait of a request with `ahead` others before it, in milliseconds. */
  expectedWaitMs(ahead: number): number {
    const busy = this.running.size >= this.limits.slots;
    return busy ? ((ahead + 1) / this.limits.slots) * this.meanServiceMs : 0;
  }

  /**
   * Offers a request.
   *
   * @returns the decision, and the ids of waiting requests of a lower class that were displaced by it.
   */
  offer(
    request: SlotRequest,
    nowMs: number,
  ): { decision: SlotDecision; displaced: readonly string[] } {
    if (this.running.size < this.limits.slots && this.waiting.length === 0) {
      this.running.add(request.id);
      return { decision: { kind: "run" }, displaced: [] };
    }
    const ahead = this.positionOf(request);
    const waitMs = this.expectedWaitMs(ahead);
    if (
      nowMs + this.meanServiceMs + waitMs / MAX_WAIT_SHARE[request.priority] >
        request.deadlineMs
    ) {
      return {
        decision: { kind: "refuse", reason: "too_late", waitMs },
        displaced: [],
      };
    }
    if (this.waiting.length < this.limits.length) {
      this.waiting.splice(ahead, 0, request);
      return { decision: { kind: "wait" }, displaced: [] };
    }
    const last = this.waiting.at(-1);
    if (
      last === undefined ||
      PRIORITY_ORDER[last.priority] <= PRIORITY_ORDER[request.priority]
    ) {
      return {
        decision: { kind: "refuse", reason: "queue_full", waitMs },
        displaced: [],
      };
    }
    this.waiting.pop();
    this.waiting.splice(ahead, 0, request);
    return { decision: { kind: "wait" }, displaced: [last.id] };
  }

  /**
   * Frees the slot of a request.
   *
   * @param at the time, and how long the request held the slot, where that should count in the average.
   */
  finish(id: string, at: { nowMs: number; tookMs?: number }): SlotChanges {
    if (this.running.delete(id) && at.tookMs !== undefined) {
      const first = this.meanServiceMs === 0;
      this.meanServiceMs = first ? at.tookMs : this.meanServiceMs +
        SERVICE_TIME_EWMA_WEIGHT * (at.tookMs - this.meanServiceMs);
    }
    return this.advance(at.nowMs);
  }

  /** Removes a waiting request whose caller disconnected; returns whether it was waiting. */
  cancel(id: string): boolean {
    const before = this.waiting.length;
    this.waiting = this.waiting.filter((request) => request.id !== id);
    return this.waiting.length < before;
  }

  /** Refuses requests that can no longer be served before their deadline, and fills free slots. */
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

  /** Removes all waiting requests, for example because ownership ended; returns their ids. */
  clear(): string[] {
    return this.waiting.splice(0).map((request) => request.id);
  }

  /** Position in the queue: behind all requests of the same and higher classes, before those of lower ones. */
  private positionOf(request: SlotRequest): number {
    const order = PRIORITY_ORDER[request.priority];
    const behind = this.waiting.findIndex((other) =>
      PRIORITY_ORDER[other.priority] > order
    );
    return behind < 0 ? this.waiting.length : behind;
  }
}
