/**
 * Learns for how long keys remain cold that a backend server was granted without a handover. Servers don't state it.
 *
 * @module
 */

/** Assumed time until requests show another one, in milliseconds. */
const INITIAL_MS = 2_000;
/** Factor by which the assumed time grows when a request shows that keys are still cold after it. */
const GROWTH_FACTOR = 2.5;
/** Upper bound of the assumed time, in milliseconds. */
const MAX_MS = 30_000;

/** The time for which keys are assumed to be cold after their grant. */
export class ColdKeyTime {
  private assumedMs = INITIAL_MS;

  private constructor() {}

  /** Creates an instance that has not learned anything. */
  static create(): ColdKeyTime {
    return new ColdKeyTime();
  }

  /** The assumed time, in milliseconds. */
  get durationMs(): number {
    return this.assumedMs;
  }

  /** Records that a request, started `ageMs` after the grant of its key, was as slow as one for a cold key. */
  recordCold(ageMs: number): void {
    while (ageMs >= this.assumedMs && this.assumedMs < MAX_MS) {
      this.assumedMs = Math.min(MAX_MS, this.assumedMs * GROWTH_FACTOR);
    }
  }

  /** Records that a request, started `ageMs` after the grant of its key, was as fast as one for a warm key. */
  recordWarm(ageMs: number): void {
    this.assumedMs = Math.min(this.assumedMs, Math.max(1, ageMs));
  }
}
