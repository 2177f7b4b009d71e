/**
 * Collects the requests that a backend server was running when it crashed.
 *
 * A run is one execution of a request by a backend server. It is interrupted if its connection breaks before its
 * response is complete.
 *
 * @module
 */

/**
 * All connections of a crashing server break within this time, in milliseconds: they break at once, and a daemon reads
 * the closes over a few turns of its event loop.
 */
const SAME_CRASH_WINDOW_MS = 100;
/** How long it may take to establish that a server has crashed, in milliseconds: its restart on a busy host. */
const MAX_PROOF_DELAY_MS = 10_000;
const MAX_RUNS = 64;

/** A run whose connection to the backend server broke before its response was complete. */
export interface InterruptedRun {
  readonly requestId: string;
  /** Identifies the request by its content. */
  readonly fingerprint: string;
  /** Whether the request ran as the only suspect on that server. */
  readonly isOnProbation: boolean;
  /** When the connection broke, on the daemon's clock. */
  readonly interruptedAtMs: number;
}

/**
 * Interrupted runs of one backend server for which it is not known yet whether the server crashed or only a connection
 * broke.
 *
 * A connection also breaks when the network resets it or the server aborts a response; other requests are still
 * answered after that.
 */
export class InterruptedRuns {
  private runs: InterruptedRun[] = [];

  private constructor() {}

  /** Creates an empty collection. */
  static create(): InterruptedRuns {
    return new InterruptedRuns();
  }

  /** Records an interrupted run. */
  recordInterrupted(run: InterruptedRun): void {
    this.runs = [...this.runs, run].slice(-MAX_RUNS);
  }

  /** Records a response: the server has survived the runs that were interrupted well before it. */
  recordAnswered(nowMs: number): void {
    this.runs = this.runs.filter(({ interruptedAtMs }) =>
      nowMs - interruptedAtMs <= SAME_CRASH_WINDOW_MS
    );
  }

  /** Returns the runs that were interrupted when the server crashed, and clears the collection. */
  takeRunsAtCrash(nowMs: number): readonly InterruptedRun[] {
    const { runs } = this;
    const lastInterruptedAtMs = runs.at(-1)?.interruptedAtMs ?? -Infinity;
    this.runs = [];
    return nowMs - lastInterruptedAtMs > MAX_PROOF_DELAY_MS
      ? []
      : runs.filter(({ interruptedAtMs }) =>
        lastInterruptedAtMs - interruptedAtMs <= SAME_CRASH_WINDOW_MS
      );
  }
}
