/**
 * Limits the requests that run on the backend server to its slots. `SlotQueue` decides; this class resolves the
 * promises of the waiting requests.
 *
 * @module
 */
import {
  SlotQueue,
  type SlotQueueLimits,
  type SlotRequest,
} from "@bamboolink/admission";
import { monotonicMs } from "./clock.ts";

/** Result of waiting for a slot; `waitMs` is the expected wait in the queue, in milliseconds. */
export type SlotOutcome =
  | { readonly kind: "run" }
  | {
    readonly kind: "refuse";
    readonly reason: "queue_full" | "too_late";
    readonly waitMs: number;
  }
  | { readonly kind: "cancelled" };

/** Hands out the backend server's slots, and queues requests while none is free. */
export class SlotLimiter {
  private readonly queue: SlotQueue;
  private readonly waiting = new Map<string, (outcome: SlotOutcome) => void>();

  private constructor(limits: SlotQueueLimits) {
    this.queue = SlotQueue.create(limits);
  }

  static create(limits: SlotQueueLimits): SlotLimiter {
    return new SlotLimiter(limits);
  }

  setLimits(limits: SlotQueueLimits): void {
    this.queue.setLimits(limits);
  }

  /** Numbers of running and of waiting requests. */
  get counts(): { running: number; waiting: number } {
    return {
      running: this.queue.runningCount,
      waiting: this.queue.waitingCount,
    };
  }

  /** Waits for a slot. Abort of the signal removes the request from the queue. */
  acquire(request: SlotRequest, signal: AbortSignal): Promise<SlotOutcome> {
    const { decision, displaced } = this.queue.offer(request, monotonicMs());
    displaced.forEach((id) =>
      this.settle(id, {
        kind: "refuse",
        reason: "queue_full",
        waitMs: this.expectedQueueWaitMs(),
      })
    );
    if (decision.kind !== "wait") {
      return Promise.resolve(decision);
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

  /** Releases a slot. Pass `tookMs`, how long it was held, only if that measures the backend server's service time. */
  release(id: string, tookMs?: number): void {
    const at = {
      nowMs: monotonicMs(),
      ...(tookMs === undefined ? {} : { tookMs }),
    };
    this.applyChanges(this.queue.finish(id, at));
  }

  /** Refuses waiting requests that can no longer be served before their deadline. */
  tick(nowMs: number): void {
    this.applyChanges(this.queue.advance(nowMs));
  }

  private applyChanges(changes: ReturnType<SlotQueue["advance"]>): void {
    changes.run.forEach((id) => this.settle(id, { kind: "run" }));
    changes.refuse.forEach(({ id, reason }) =>
      this.settle(id, {
        kind: "refuse",
        reason,
        waitMs: this.expectedQueueWaitMs(),
      })
    );
  }

  private expectedQueueWaitMs(): number {
    return this.queue.expectedWaitMs(this.queue.waitingCount);
  }

  private settle(id: string, outcome: SlotOutcome): void {
    const resolve = this.waiting.get(id);
    this.waiting.delete(id);
    resolve?.(outcome);
  }
}
