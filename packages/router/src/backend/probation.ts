/**
 * Runs suspect requests one at a time on the local backend server.
 *
 * @module
 */
import { ProbationQueue } from "@bamboolink/quarantine";
import type { Cancellation } from "../attempts/cancellation.ts";
import { monotonicMs } from "../clock.ts";
import {
  notRun,
  type Outcome,
  type RoutedRequest,
} from "../attempts/routed_request.ts";

/** How a suspect request is run. */
export interface ProbationOptions {
  readonly cancellation: Cancellation;
  /** Typical service time of its route, in milliseconds. */
  readonly estimateMs: number;
}

/** The queue of suspect requests at one backend server. */
export class Probation {
  private readonly queue = ProbationQueue.create();
  private readonly startsById = new Map<number, () => void>();
  private lastId = 0;

  private constructor() {}

  static create(): Probation {
    return new Probation();
  }

  /**
   * Runs a suspect once no other one runs here, or refuses it if it would miss its deadline.
   *
   * @param runNow runs the request; called at most once.
   */
  async run(
    request: RoutedRequest,
    options: ProbationOptions,
    runNow: () => Promise<Outcome>,
  ): Promise<Outcome> {
    const { cancellation, estimateMs } = options;
    const waitMs = this.queue.length * estimateMs;
    if (monotonicMs() + waitMs + estimateMs > request.deadlineAtMs) {
      return notRun("too_late", { waitMs });
    }
    this.lastId += 1;
    const id = this.lastId;
    try {
      await this.awaitTurn(id, cancellation);
      return cancellation.isCancelled ? notRun("cancelled") : await runNow();
    } finally {
      const next = this.queue.leave(id);
      this.startsById.get(next ?? 0)?.();
    }
  }

  private awaitTurn(id: number, cancellation: Cancellation): Promise<void> {
    if (this.queue.enter(id)) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const finish = () => {
        this.startsById.delete(id);
        cancellation.remove(finish);
        resolve();
      };
      this.startsById.set(id, finish);
      cancellation.onCancel(finish);
    });
  }
}
