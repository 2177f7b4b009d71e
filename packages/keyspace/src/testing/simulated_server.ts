/**
 * A backend server of a simulation, with the queue beside it: requests that can be on time run first, others run in
 * slots that are left, and those that can't end before their deadline are refused.
 *
 * @module
 */
import type { EventQueue } from "@bamboolink/simulation";

/** Weight of the latest request in the average service time, as in the product. */
const SERVICE_TIME_EWMA_WEIGHT = 0.1;
/** Safety margin on estimates, as in the product. */
const ESTIMATE_MARGIN = 0.25;
/** Length of a phase of constant speed, in milliseconds. */
export const PHASE_MS = 400;

/** A request, with its work on a server of speed 1 in milliseconds. */
export interface SimulatedRequest {
  readonly key: number;
  readonly workMs: number;
  readonly objectiveAtMs: number;
  readonly deadlineAtMs: number;
  readonly isRetry: boolean;
}

/** How a request ended; `waitMs`: when there would have been room for a refused one. */
export type SimulatedOutcome =
  | { readonly kind: "served"; readonly isLate: boolean }
  | { readonly kind: "refused"; readonly waitMs: number };

/** Parameters of a server. */
export interface SimulatedServerOptions {
  readonly events: EventQueue;
  readonly slots: number;
  readonly speed: number;
  /** Service time of a typical request on a server of speed 1, in milliseconds. */
  readonly typicalMs: number;
  /** Factor by which work takes longer in a phase of `PHASE_MS`. */
  readonly slownessOf: (phase: number) => number;
  readonly onEnd: (
    request: SimulatedRequest,
    outcome: SimulatedOutcome,
  ) => void;
}

/** One simulated server. */
export class SimulatedServer {
  /** Average service time, in milliseconds. */
  serviceMs: number;
  private readonly running = new Map<SimulatedRequest, number>();
  private mainQueue: SimulatedRequest[] = [];
  private lateQueue: SimulatedRequest[] = [];

  private constructor(private readonly options: SimulatedServerOptions) {
    this.serviceMs = options.typicalMs / options.speed;
  }

  /** Creates a server without requests. */
  static create(options: SimulatedServerOptions): SimulatedServer {
    return new SimulatedServer(options);
  }

  /** Starts, queues or refuses a request. */
  offer(request: SimulatedRequest): void {
    const { slots, events, onEnd } = this.options;
    const { serviceMs, mainQueue, lateQueue } = this;
    const waiting = mainQueue.length + lateQueue.length;
    if (this.running.size < slots && waiting === 0) {
      this.start(request);
      return;
    }
    const waitMs = this.waitMs();
    const startMs = events.nowMs + waitMs;
    if (
      startMs + serviceMs * (1 + ESTIMATE_MARGIN) <= request.objectiveAtMs
    ) {
      mainQueue.push(request);
      return;
    }
    const lateStartMs = startMs + lateQueue.length * serviceMs / slots;
    if (lateStartMs + serviceMs > request.deadlineAtMs) {
      onEnd(request, { kind: "refused", waitMs });
      return;
    }
    lateQueue.push(request);
  }

  /** Removes the waiting requests for keys that the server no longer holds. */
  takeWaiting(isMoved: (key: number) => boolean): SimulatedRequest[] {
    const waiting = [...this.mainQueue, ...this.lateQueue];
    this.mainQueue = this.mainQueue.filter(({ key }) => !isMoved(key));
    this.lateQueue = this.lateQueue.filter(({ key }) => !isMoved(key));
    return waiting.filter(({ key }) => isMoved(key));
  }

  /** Expected wait of a request in the main queue, in milliseconds. */
  waitMs(): number {
    const { slots, events: { nowMs } } = this.options;
    const free = [...this.running.values()].map((startedAtMs) =>
      Math.max(0.2 * this.serviceMs, startedAtMs + this.serviceMs - nowMs)
    );
    while (free.length < slots) {
      free.push(0);
    }
    this.mainQueue.forEach(() => {
      free[free.indexOf(Math.min(...free))]! += this.serviceMs;
    });
    return Math.min(...free);
  }

  private start(request: SimulatedRequest): void {
    const { events, onEnd } = this.options;
    const startedAtMs = events.nowMs;
    const tookMs = this.durationOf(request.workMs, startedAtMs);
    this.running.set(request, startedAtMs);
    events.after(tookMs, () => {
      this.running.delete(request);
      this.serviceMs += SERVICE_TIME_EWMA_WEIGHT * (tookMs - this.serviceMs);
      const isLate = events.nowMs > request.objectiveAtMs;
      onEnd(
        request,
        events.nowMs > request.deadlineAtMs
          ? { kind: "refused", waitMs: 0 }
          : { kind: "served", isLate },
      );
      this.startNext();
    });
  }

  private startNext(): void {
    const { slots, events: { nowMs }, onEnd } = this.options;
    while (this.running.size < slots) {
      const next = this.mainQueue.shift() ?? this.lateQueue.shift();
      if (next === undefined) {
        return;
      }
      if (nowMs + this.serviceMs > next.deadlineAtMs) {
        onEnd(next, { kind: "refused", waitMs: this.waitMs() });
      } else {
        this.start(next);
      }
    }
  }

  private durationOf(workMs: number, startedAtMs: number): number {
    const { speed, slownessOf } = this.options;
    let remainingMs = workMs / speed;
    let atMs = startedAtMs;
    for (;;) {
      const phase = Math.floor(atMs / PHASE_MS);
      const slowness = slownessOf(phase);
      const leftMs = (phase + 1) * PHASE_MS - atMs;
      if (remainingMs * slowness <= leftMs) {
        return atMs + remainingMs * slowness - startedAtMs;
      }
      remainingMs -= leftMs / slowness;
      atMs = (phase + 1) * PHASE_MS;
    }
  }
}
