/**
 * Has suspects run one at a time on the backend server here.
 *
 * @module
 */
import { ProbationQueue } from "@bamboolink/quarantine";
import type { Cancellation } from "./cancellation.ts";
import { steadyMs } from "./clock.ts";
import { notRun, type Outcome, type RoutedRequest } from "./routed_request.ts";

/** One suspect's way through the lane. */
export interface ProbationEntry {
  readonly cancellation: Cancellation;
  /** What a request of its route takes as a rule, in milliseconds. */
  readonly estimateMs: number;
}

/** The suspects at one backend server. */
export class Probation {
  private readonly lane = ProbationQueue.create();
  private readonly turns = new Map<number, () => void>();
  private lastId = 0;

  private constructor() {}

  /** Creates one without suspects. */
  static create(): Probation {
    return new Probation();
  }

  /** Runs a suspect when no other one runs here, or refuses it if that would be too late. */
  async run(
    work: RoutedRequest,
    entry: ProbationEntry,
    runNow: () => Promise<Outcome>,
  ): Promise<Outcome> {
    const { cancellation, estimateMs } = entry;
    const waitMs = this.lane.length * estimateMs;
    if (steadyMs() + waitMs + estimateMs > work.deadlineAtMs) {
      return notRun("too_late", { waitMs });
    }
    this.lastId += 1;
    const id = this.lastId;
    try {
      await this.awaitTurn(id, cancellation);
      return cancellation.isCancelled ? notRun("cancelled") : await runNow();
    } finally {
      const next = this.lane.leave(id);
      this.turns.get(next ?? 0)?.();
    }
  }

  private awaitTurn(id: number, cancellation: Cancellation): Promise<void> {
    if (this.lane.enter(id)) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const end = () => {
        this.turns.delete(id);
        cancellation.remove(end);
        resolve();
      };
      this.turns.set(id, end);
      cancellation.onCancel(end);
    });
  }
}
