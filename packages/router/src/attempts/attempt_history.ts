/**
 * Outcomes of the attempts for one request, and the final outcome that follows from them.
 *
 * @module
 */
import { notRun, type Outcome } from "./routed_request.ts";

/** Final outcome of a request, with details for the log. */
export interface FinalOutcome {
  readonly outcome: Outcome;
  /** The daemon of the last attempt; `undefined` if there was none. */
  readonly peer: string | undefined;
  readonly attempts: number;
}

/** The attempts for one request. */
export class AttemptHistory {
  private readonly triedDaemons = new Set<string>();
  private sentCount = 0;
  private brokenCount = 0;
  private lastOutcome: Outcome = notRun("no_backend");
  /** The latest outcome of an attempt that may have run. */
  private lastPossibleRun: Outcome | undefined;
  private peer: string | undefined;
  private attempts = 0;

  private constructor() {}

  /** Creates an empty history. */
  static create(): AttemptHistory {
    return new AttemptHistory();
  }

  /** Addresses of the daemons that the request was sent to. */
  get tried(): ReadonlySet<string> {
    return this.triedDaemons;
  }

  /** The daemon whose backend server rejected the latest attempt without running it; `undefined` otherwise. */
  get rejectedBy(): string | undefined {
    const { lastOutcome, peer } = this;
    return lastOutcome.kind === "not_run" && lastOutcome.hasArrived
      ? peer
      : undefined;
  }

  /** Number of attempts that reached a backend server, or may have. */
  get sentAttempts(): number {
    return this.sentCount;
  }

  /** Number of connections to backend servers that broke while the request was running. */
  get brokenConnections(): number {
    return this.brokenCount;
  }

  /** Records an attempt at a daemon and its outcome. */
  record(daemon: string, outcome: Outcome): void {
    this.attempts += 1;
    this.peer = daemon;
    this.lastOutcome = outcome;
    this.triedDaemons.add(daemon);
    if (outcome.kind !== "not_run") {
      this.lastPossibleRun = outcome;
    }
    if (outcome.kind !== "not_run" || outcome.hasArrived) {
      this.sentCount += 1;
    }
    if (outcome.kind === "unknown" && outcome.reason === "backend_lost") {
      this.brokenCount += 1;
    }
  }

  /**
   * Returns the request's outcome if no further attempt is made. The last outcome alone would be wrong: when a request
   * is retried after a failure and the retry is refused, its caller would receive the response that the request has not
   * run, although the first attempt may have.
   */
  toFinalOutcome(): FinalOutcome {
    const { peer, attempts } = this;
    const hasResponse = this.lastOutcome.kind === "answer";
    const outcome = hasResponse
      ? this.lastOutcome
      : this.lastPossibleRun ?? this.lastOutcome;
    return { outcome, peer, attempts };
  }
}
