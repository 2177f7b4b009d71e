/**
 * Estimates how much longer than usual work takes on one backend server now, from the slowness that it states in its
 * responses and from running requests that are overdue.
 *
 * It is designed for servers that become two to three times as slow for some 400 ms at a time. Averages of service
 * times follow such a change only after some ten requests, when it has ended: requests that arrive within it are
 * accepted although they will be late, and those after it are refused although there is time.
 *
 * @module
 */

/**
 * Half-life of a statement, in milliseconds: most of a slow phase. In the replay of the test with work of 100 ms, the
 * mean error of the expected duration relative to that of plain averages is 0.59 with 100 ms, 0.53 with 200 ms, 0.51
 * with 300 ms and 0.51 with 1,000 ms; with work of 250 ms it is 0.86, 0.84, 0.87 and 0.99.
 */
const STATEMENT_HALF_LIFE_MS = 300;
/** A statement describes the time up to this long before and after it, in milliseconds: the length of a slow phase. */
const MAX_DISTANCE_MS = 400;
/**
 * Half-life of the mean speed, in milliseconds: a dozen slow phases, so that one of them hardly changes the mean,
 * but short against the time for which a server keeps a speed.
 */
const MEAN_HALF_LIFE_MS = 10_000;
/** Number of statements that are kept: those of about a second of a busy server, longer than a typical request. */
const MAX_STATEMENTS = 64;
/** Steps of Newton's method; after three the error is below a millisecond for requests of several seconds. */
const NEWTON_STEPS = 4;

/** The slowness that a server stated. */
interface Statement {
  readonly atMs: number;
  readonly slowness: number;
}

/** A running request. */
export interface RunningWork {
  readonly startedAtMs: number;
  /** Longest typical duration, in milliseconds; beyond it the server is assumed to be slow. */
  readonly maxTypicalMs: number;
}

/**
 * The current slowness of one backend server relative to its mean. Service times are learned at the mean, so a server
 * that always states the same slowness has the factor 1, whatever it states.
 */
export class ServerLoadEstimator {
  private statements: Statement[] = [];
  /** Mean of the reciprocal of the slowness: the work that is done in a long time is that at the mean speed. */
  private meanSpeed = 1;

  private constructor() {}

  /** Creates an estimator for a server that has stated nothing; all its factors are 1. */
  static create(): ServerLoadEstimator {
    return new ServerLoadEstimator();
  }

  /** The newest stated slowness, and its age in milliseconds; `undefined` if nothing was stated. */
  stated(nowMs: number): { slowness: number; ageMs: number } | undefined {
    const newest = this.statements.at(-1);
    return newest && {
      slowness: newest.slowness,
      ageMs: Math.max(0, nowMs - newest.atMs),
    };
  }

  /**
   * Records a statement.
   *
   * @param slowness how much longer than usual work takes: 1 is usual, 3 three times as long.
   */
  record(slowness: number, nowMs: number): void {
    const { statements } = this;
    const newest = statements.at(-1);
    // Responses may be handled out of order; an older one adds nothing to a newer statement.
    if (newest !== undefined && nowMs < newest.atMs) {
      return;
    }
    const elapsedMs = nowMs - (newest?.atMs ?? nowMs);
    const weight = 1 - 0.5 ** (elapsedMs / MEAN_HALF_LIFE_MS);
    this.meanSpeed += weight * (1 / slowness - this.meanSpeed);
    statements.push({ atMs: nowMs, slowness });
    if (statements.length > 2 * MAX_STATEMENTS) {
      this.statements = statements.slice(-MAX_STATEMENTS);
    }
  }

  /** Forgets all statements, because a new incarnation of the server may be slower or faster. */
  clear(): void {
    this.statements = [];
    this.meanSpeed = 1;
  }

  /** The factor by which work takes longer now than its mean; it decays to 1 as the newest statement ages. */
  factor(nowMs: number): number {
    return 1 + this.excess(nowMs);
  }

  /** How long work takes that is begun now, in milliseconds, if it takes `workMs` at the mean speed. */
  durationMs(workMs: number, nowMs: number): number {
    const excess = this.excess(nowMs);
    if (excess === 0 || !Number.isFinite(workMs)) {
      return workMs;
    }
    // The work done after t ms is the integral of 1 / (1 + excess * 2^(-t / half-life)); solved for t.
    const decay = Math.LN2 / STATEMENT_HALF_LIFE_MS;
    let durationMs = workMs * (1 + Math.max(0, excess));
    for (let step = 0; step < NEWTON_STEPS; step += 1) {
      const factor = 1 + excess * Math.exp(-decay * durationMs);
      const doneMs = durationMs + Math.log(factor / (1 + excess)) / decay;
      // A server that has become ten times as fast would otherwise lead to negative times, which have no logarithm.
      durationMs = Math.max(0, durationMs - (doneMs - workMs) * factor);
    }
    return durationMs;
  }

  /** How long a run would have taken at the mean speed, in milliseconds. */
  meanSpeedMs(run: { startedAtMs: number; endedAtMs: number }): number {
    const { startedAtMs, endedAtMs } = run;
    const { statements, meanSpeed } = this;
    let adjustedMs = endedAtMs - startedAtMs;
    let laterAtMs = Infinity;
    for (let index = statements.length - 1; index >= 0; index -= 1) {
      const { atMs, slowness } = statements[index]!;
      // Each statement describes the time that is closer to it than to any other.
      const untilMs = Math.min(
        endedAtMs,
        atMs + MAX_DISTANCE_MS,
        (atMs + laterAtMs) / 2,
      );
      if (untilMs <= startedAtMs) {
        break;
      }
      const earlierAtMs = statements[index - 1]?.atMs ?? -Infinity;
      const fromMs = Math.max(
        startedAtMs,
        atMs - MAX_DISTANCE_MS,
        (atMs + earlierAtMs) / 2,
      );
      const describedMs = Math.max(0, untilMs - fromMs);
      adjustedMs += describedMs * (1 / (slowness * meanSpeed) - 1);
      laterAtMs = atMs;
    }
    return Math.max(0, adjustedMs);
  }

  /**
   * Factor by which running requests exceed their typical durations, beyond what the statements explain; 1 if none
   * does. For a server that states nothing, it is the only sign of a change before a request ends.
   */
  overrunFactor(running: readonly RunningWork[], nowMs: number): number {
    if (running.length === 0) {
      return 1;
    }
    const sum = running.reduce(
      (total, { startedAtMs, maxTypicalMs }) =>
        total + Math.max(
          1,
          this.meanSpeedMs({ startedAtMs, endedAtMs: nowMs }) / maxTypicalMs,
        ),
      0,
    );
    return sum / running.length;
  }

  private excess(nowMs: number): number {
    const newest = this.statements.at(-1);
    if (newest === undefined) {
      return 0;
    }
    const ageMs = Math.max(0, nowMs - newest.atMs);
    return (newest.slowness * this.meanSpeed - 1) *
      0.5 ** (ageMs / STATEMENT_HALF_LIFE_MS);
  }
}
