/**
 * Lets requests wait for a slot of the backend server; the decisions are those of `SlotQueue`.
 *
 * @module
 */
import {
  SlotQueue,
  type SlotQueueLimits,
  type SlotRequest,
} from "@bamboolink/admission";
import { monotonicMs } from "./clock.ts";

/** How a request got out of the gate. */
export type SlotOutcome =
  | { readonly kind: "run" }
  | {
    readonly kind: "refuse";
    readonly reason: "queue_full" | "too_late";
    readonly waitMs: number;
  }
  | { readonly kind: "cancelled" };

/** The gate in front of the backend server's slots. */
export class SlotLimiter {
  private readonly queue: SlotQueue;
  private readonly waiting = new Map<string, (outcome: SlotOutcome) => void>();

  private constructor(limits: SlotQueueLimits) {
    this.queue = SlotQueue.create(limits);
  }

  /** Creates an open gate. */
  static create(limits: SlotQueueLimits): SlotLimiter {
    return new SlotLimiter(limits);
  }

  /** Changes the limits. */
  setLimits(limits: SlotQueueLimits): void {
    this.queue.setLimits(limits);
  }

  /** How many requests run and wait. */
  get counts(): { running: number; waiting: number } {
    return {
      running: this.queue.runningCount,
      waiting: this.queue.waitingCount,
    };
  }

  /** Waits for a slot. */
  acquire(request: SlotRequest, signal: AbortSignal): Promise<SlotOutcome> {
    const { verdict, displaced } = this.queue.offer(request, monotonicMs());
    displaced.forEach((id) =>
      this.settle(id, {
        kind: "refuse",
        reason: "queue_full",
        waitMs: this.fullWaitMs(),
      })
    );
    if (verdict.kind !== "wait") {
      return Promise.resolve(verdict);
    }
    return new Promise((resolve) => {
      const onAbort = () => {
        if (this.queue.cancel(request.id)) {
          this.settle(request.id, { kind: "cancelled" });
        }
      };
      signal.addEventListener("abort", onAbort, { once: true });
      this.waiting.set(request.id, (outcome) => {
        signal.removeEventListener("abort", onAbort);
        resolve(outcome);
      });
    });
  }

  /** Gives a slot back. Pass how long it was held, where that says something of the backend server. */
  release(id: string, tookMs?: number): void {
    const at = {
      nowMs: monotonicMs(),
      ...(tookMs === undefined ? {} : { tookMs }),
    };
    this.apply(this.queue.finish(id, at));
  }

  /** Gives up waiting requests that can't be served in time any more. */
  tick(nowMs: number): void {
    this.apply(this.queue.advance(nowMs));
  }

  private apply(changes: ReturnType<SlotQueue["advance"]>): void {
    changes.run.forEach((id) => this.settle(id, { kind: "run" }));
    changes.refuse.forEach(({ id, reason }) =>
      this.settle(id, { kind: "refuse", reason, waitMs: this.fullWaitMs() })
    );
  }

  private fullWaitMs(): number {
    return this.queue.expectedWaitMs(this.queue.waitingCount);
  }

  private settle(id: string, outcome: SlotOutcome): void {
    const resolve = this.waiting.get(id);
    this.waiting.delete(id);
    resolve?.(outcome);
  }
}
