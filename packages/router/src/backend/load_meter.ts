/**
 * Measures the load offered to the backend server, and the share of requests that fail there.
 *
 * @module
 */

/** Half-life of the offered load, in milliseconds. */
const LOAD_HALF_LIFE_MS = 1_000;
/** Weight of the latest request in the share of failures (EWMA). */
const FAILURE_EWMA_WEIGHT = 0.1;
/** Half-life of the share of failures, in milliseconds, so that a failing server is sent requests again. */
const FAILURE_HALF_LIFE_MS = 1_500;

/** Exponentially decaying sums and averages of load and failures. */
export class LoadMeter {
  private offeredMs = 0;
  private failureAverage = 0;
  private decayedAtMs = 0;

  private constructor() {}

  /** Creates a meter without measurements. */
  static create(): LoadMeter {
    return new LoadMeter();
  }

  /** Adds offered work, in slot milliseconds. */
  recordOffered(workMs: number): void {
    this.offeredMs += workMs;
  }

  /** Records whether the backend server failed a request. */
  recordResult(isFailure: boolean): void {
    this.failureAverage += FAILURE_EWMA_WEIGHT *
      ((isFailure ? 1 : 0) - this.failureAverage);
  }

  /** Decays the measurements up to now. */
  decay(nowMs: number): void {
    const elapsedMs = nowMs - this.decayedAtMs;
    this.decayedAtMs = nowMs;
    this.offeredMs *= 0.5 ** (elapsedMs / LOAD_HALF_LIFE_MS);
    this.failureAverage *= 0.5 ** (elapsedMs / FAILURE_HALF_LIFE_MS);
  }

  /** Offered load, in slot milliseconds per second. */
  get offeredPerSecondMs(): number {
    return this.offeredMs * Math.LN2 / (LOAD_HALF_LIFE_MS / 1_000);
  }

  /** Share of recent requests that failed, from 0 to 1. */
  get failureShare(): number {
    return this.failureAverage;
  }
}
