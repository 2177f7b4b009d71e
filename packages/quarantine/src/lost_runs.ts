/**
 * Collects what a backend server ran when it ended.
 *
 * @module
 */

/**
 * The connections of a server that ends break within this time, in milliseconds: at once, and are read over a few turns
 * of a daemon's loop.
 */
const TOGETHER_MS = 100;
/** How long the proof that a server has ended may take to come, in milliseconds: the restart of one on a busy host. */
const PROOF_MS = 10_000;
const MAX_RUNS = 64;

/** A request whose connection to the backend server broke before its answer was whole. */
export interface LostRun {
  readonly requestId: string;
  /** Names the request by what it asks. */
  readonly fingerprint: string;
  /** Whether it ran as the only one under suspicion there. */
  readonly isOnProbation: boolean;
  /** When the connection broke, on the daemon's clock. */
  readonly lostAtMs: number;
}

/**
 * Lost runs of one backend server of which it is not known yet whether the server ended, or just a connection of it.
 *
 * A connection also breaks when a network resets it or a server breaks off an answer; then others are answered after.
 */
export class LostRuns {
  private runs: LostRun[] = [];

  private constructor() {}

  /** Creates an empty collection. */
  static create(): LostRuns {
    return new LostRuns();
  }

  /** Notes a run whose connection broke. */
  recordLost(run: LostRun): void {
    this.runs = [...this.runs, run].slice(-MAX_RUNS);
  }

  /** Notes an answer: the server has outlived the runs that were lost well before. */
  recordAnswered(nowMs: number): void {
    this.runs = this.runs.filter(({ lostAtMs }) =>
      nowMs - lostAtMs <= TOGETHER_MS
    );
  }

  /** The server has ended: returns what it ran then, and forgets all. */
  takeRunsAtCrash(nowMs: number): readonly LostRun[] {
    const { runs } = this;
    const lastMs = runs.at(-1)?.lostAtMs ?? -Infinity;
    this.runs = [];
    return nowMs - lastMs > PROOF_MS
      ? []
      : runs.filter(({ lostAtMs }) => lastMs - lostAtMs <= TOGETHER_MS);
  }
}
