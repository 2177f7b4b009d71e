/**
 * What the attempts for one request have come to so far.
 *
 * @module
 */
import { notRun, type Outcome } from "./routed_request.ts";

/** How a request ended, with what explains it afterwards. */
export interface Ending {
  readonly outcome: Outcome;
  /** The daemon of the last attempt; `undefined` where there was none. */
  readonly peer: string | undefined;
  readonly attempts: number;
}

/** The attempts for one request. */
export class AttemptHistory {
  private readonly triedDaemons = new Set<string>();
  private arrived = 0;
  private lost = 0;
  private last: Outcome = notRun("no_backend");
  /** The latest outcome of an attempt that may have run. */
  private mayHaveRun: Outcome | undefined;
  private peer: string | undefined;
  private attempts = 0;

  private constructor() {}

  /** Creates the history of a request of which no attempt was made. */
  static create(): AttemptHistory {
    return new AttemptHistory();
  }

  /** Daemons that were tried. */
  get tried(): ReadonlySet<string> {
    return this.triedDaemons;
  }

  /** How often the request arrived at a backend server, or may have. */
  get arrivals(): number {
    return this.arrived;
  }

  /** How many connections to backend servers broke under the request. */
  get brokenConnections(): number {
    return this.lost;
  }

  /** Notes an attempt and its outcome. */
  note(daemon: string, outcome: Outcome): void {
    this.attempts += 1;
    this.peer = daemon;
    this.last = outcome;
    this.triedDaemons.add(daemon);
    if (outcome.kind !== "not_run") {
      this.mayHaveRun = outcome;
    }
    if (outcome.kind !== "not_run" || outcome.hasArrived) {
      this.arrived += 1;
    }
    if (outcome.kind === "unknown" && outcome.reason === "backend_lost") {
      this.lost += 1;
    }
  }

  /**
   * How the request ends if no further attempt is made. What goes wrong with the last outcome alone: a
   * request is sent once more after a failure and refused there, and its caller is told that it has not
   * run, although the first attempt may have.
   */
  end(): Ending {
    const { peer, attempts } = this;
    const isAnswered = this.last.kind === "answer";
    const outcome = isAnswered ? this.last : this.mayHaveRun ?? this.last;
    return { outcome, peer, attempts };
  }
}
