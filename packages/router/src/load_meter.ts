/**
 * How much work is offered to the backend server, and how much of it fails.
 *
 * @module
 */

/** The meter forgets half of what it has seen in this time, in milliseconds. */
const HALF_LIFE_MS = 1_000;
/** Weight of the latest request in the share of failures. */
const FAILURE_RATE = 0.1;
/** Without requests, the share of failures halves in this time, in milliseconds: it gets another try. */
const FORGIVE_HALF_LIFE_MS = 1_500;

/** Decaying sums and averages. */
export class LoadMeter {
  private offeredMs = 0;
  private failures = 0;
  private decayedAtMs = 0;

  private constructor() {}

  /** Creates a meter that has seen nothing. */
  static create(): LoadMeter {
    return new LoadMeter();
  }

  /** Notes offered work, in milliseconds of a slot. */
  recordOffered(workMs: number): void {
    this.offeredMs += workMs;
  }

  /** Notes whether the backend server failed a request. */
  recordResult(isFailure: boolean): void {
    this.failures += FAILURE_RATE * ((isFailure ? 1 : 0) - this.failures);
  }

  /** Forgets old work. */
  decay(nowMs: number): void {
    const passedMs = nowMs - this.decayedAtMs;
    this.decayedAtMs = nowMs;
    this.offeredMs *= 0.5 ** (passedMs / HALF_LIFE_MS);
    this.failures *= 0.5 ** (passedMs / FORGIVE_HALF_LIFE_MS);
  }

  /** Offered work, in milliseconds of a slot a second. */
  get offeredPerSecondMs(): number {
    return this.offeredMs * Math.LN2 / (HALF_LIFE_MS / 1_000);
  }

  /** Share of recent requests that failed. */
  get failureShare(): number {
    return this.failures;
  }
}
