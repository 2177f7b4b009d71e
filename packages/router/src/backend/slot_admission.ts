/**
 * Admits requests to the slots of the backend server on this host: holds those that must wait, and starts them once a
 * slot is free and the rate limits allow it.
 *
 * @module
 */
import {
  type QueueChanges,
  type ServerLoadEstimator,
  type ServiceEstimate,
  StartRateLimiter,
  WorkQueue,
} from "@bamboolink/admission";
import type { Cancellation } from "../attempts/cancellation.ts";
import { monotonicMs, toTimerMs } from "../clock.ts";
import {
  notRun,
  type Outcome,
  type RoutedRequest,
} from "../attempts/routed_request.ts";

/**
 * For how long a computed queue wait is reported unchanged, in milliseconds. Every response carries it, and computing
 * it simulates the slots.
 */
const WAIT_CACHE_TTL_MS = 5;
/** Start of this process on the monotonic clock, in milliseconds. */
const PROCESS_START_MS = 0;

/** What a backend server's heartbeats report about the requests that it can take. */
export interface ServerLimits {
  readonly slots: number;
  /** End of its cold start, on the monotonic clock. */
  readonly coldUntilMs: number;
  /** Maximum requests per second during its cold start; 0 where that is not known. */
  readonly coldLimit: number;
}

const NO_SERVER: ServerLimits = {
  slots: 0,
  coldUntilMs: -Infinity,
  coldLimit: 0,
};

/** A request that holds a slot until `release` is called. */
export interface AdmittedRequest {
  readonly kind: "admitted";
  readonly release: () => void;
}

/** The queue of one backend server, with the requests that wait in it. */
export class SlotAdmission {
  private readonly limiter = StartRateLimiter.create(PROCESS_START_MS);
  private readonly queue: WorkQueue;
  private readonly waiting = new Map<
    number,
    (outcome: "run" | Outcome) => void
  >();
  private lastId = 0;
  private slots = 0;
  private startTimer: NodeJS.Timeout | undefined;
  private wait = { waitMs: 0, computedAtMs: -Infinity };

  private constructor(load: ServerLoadEstimator, random: () => number) {
    this.queue = WorkQueue.create(this.limiter, load, random);
  }

  /**
   * Creates an instance without slots.
   *
   * @param load how much longer than usual work takes at the backend server now.
   * @param random returns numbers from 0 up to 1.
   */
  static create(
    load: ServerLoadEstimator,
    random: () => number,
  ): SlotAdmission {
    return new SlotAdmission(load, random);
  }

  /** Applies what heartbeats report; `undefined` while there is no backend server. */
  setServerLimits(limits: ServerLimits = NO_SERVER): void {
    const { slots, coldLimit, coldUntilMs } = limits;
    this.slots = slots;
    this.limiter.setColdLimit(coldLimit);
    this.limiter.setColdUntil(coldUntilMs);
    this.queue.setSlots(slots);
    this.advance();
  }

  /** Applies the limit that responses state, in requests per second; `undefined` without one. */
  setAdvertisedLimit(perSecond: number | undefined): void {
    this.limiter.setAdvertisedLimit(perSecond);
  }

  /** Waits for a slot; resolves with a refusal if the request should not, or can't, be served. */
  async admit(
    request: RoutedRequest,
    entry: { estimate: ServiceEstimate; cancellation: Cancellation },
  ): Promise<AdmittedRequest | Outcome> {
    this.lastId += 1;
    const id = this.lastId;
    const admitted = await this.awaitStart(request, { id, ...entry });
    return admitted === "run"
      ? { kind: "admitted", release: () => this.finish(id) }
      : admitted;
  }

  /** Starts the requests for which there are slots, and refuses those that can no longer be served in time. */
  advance(): void {
    this.applyChanges(this.queue.advance(monotonicMs()));
  }

  /** Estimated wait of a request that arrives now, in milliseconds. */
  get waitMs(): number {
    const nowMs = monotonicMs();
    if (nowMs - this.wait.computedAtMs > WAIT_CACHE_TTL_MS) {
      // Without slots the wait is infinite, which can't be encoded. The phase already keeps others from sending.
      this.wait = {
        waitMs: this.slots > 0 ? this.queue.waitMs(nowMs) : 0,
        computedAtMs: nowMs,
      };
    }
    return this.wait.waitMs;
  }

  /** Slots that requests can keep busy: fewer than there are if the server limits the rate of requests. */
  get capacity(): number {
    return this.queue.capacity;
  }

  /** Whether the limit of a cold start is in effect. */
  get isCold(): boolean {
    return this.limiter.isCold(monotonicMs());
  }

  /** Share of the limit of a cold start that is used, from 0 to 1. */
  get coldUtilization(): number {
    return this.limiter.coldUtilization(monotonicMs());
  }

  /** Number of requests that were started in the last second. */
  get startsInLastSecond(): number {
    return this.limiter.startsInLastSecond(monotonicMs());
  }

  /** Numbers of running and of waiting requests. */
  get counts(): { running: number; waiting: number } {
    return {
      running: this.queue.runningCount,
      waiting: this.queue.waitingCount,
    };
  }

  /** Stops the timer of the next start. */
  close(): void {
    clearTimeout(this.startTimer);
  }

  private awaitStart(
    request: RoutedRequest,
    entry: {
      id: number;
      estimate: ServiceEstimate;
      cancellation: Cancellation;
    },
  ): Promise<"run" | Outcome> {
    const { id, estimate, cancellation } = entry;
    if (cancellation.isCancelled) {
      return Promise.resolve(notRun("cancelled"));
    }
    const { rank, deadlineAtMs, blocksOthers } = request;
    const decision = this.queue.offer({
      id,
      rank,
      deadlineAtMs,
      blocksOthers,
      ...estimate,
    }, monotonicMs());
    if (decision.kind === "run") {
      return Promise.resolve("run");
    }
    if (decision.kind === "refuse") {
      return Promise.resolve(
        notRun(decision.reason, { waitMs: decision.waitMs }),
      );
    }
    return this.awaitTurn(id, cancellation);
  }

  private awaitTurn(
    id: number,
    cancellation: Cancellation,
  ): Promise<"run" | Outcome> {
    return new Promise((resolve) => {
      const cancelWait = () => {
        if (this.queue.cancel(id)) {
          this.resolveWaiting(id, notRun("cancelled"));
        }
      };
      cancellation.onCancel(cancelWait);
      this.waiting.set(id, (outcome) => {
        cancellation.remove(cancelWait);
        resolve(outcome);
      });
      this.scheduleNextStart();
    });
  }

  private finish(id: number): void {
    this.applyChanges(this.queue.finish(id, monotonicMs()));
  }

  private applyChanges(changes: QueueChanges): void {
    changes.run.forEach((id) => this.resolveWaiting(id, "run"));
    changes.refuse.forEach(({ id, reason, waitMs }) =>
      this.resolveWaiting(
        id,
        notRun(reason, { waitMs: this.slots > 0 ? waitMs : 0 }),
      )
    );
    this.scheduleNextStart();
  }

  private resolveWaiting(id: number, outcome: "run" | Outcome): void {
    const resolve = this.waiting.get(id);
    this.waiting.delete(id);
    resolve?.(outcome);
  }

  /** Sets a timer for the next request that only the rate limit or the cold server holds back. */
  private scheduleNextStart(): void {
    clearTimeout(this.startTimer);
    const delayMs = this.queue.nextStartDelayMs(monotonicMs());
    this.startTimer = delayMs === 0
      ? undefined
      : setTimeout(() => this.advance(), toTimerMs(delayMs));
  }
}
