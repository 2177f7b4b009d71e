/**
 * Learns for how long keys remain cold that a backend server was granted without a handover. Servers don't state it.
 *
 * @module
 */

/** Assumed time until requests show another one, in milliseconds. */
const INITIAL_MS = 2_000;
/** Factor by which the assumed time grows when a request shows that keys are still cold after it. */
const GROWTH_FACTOR = 2.5;
/**
 * By how many the requests that are as slow as with cold keys must exceed the others for the assumed time to grow. Some
 * requests of any route take several times as long as usual; at warm keys most others are fast.
 */
const MIN_EXCESS = 2;
/** Upper bound of the assumed time, in milliseconds. */
const MAX_MS = 30_000;

/** The time for which keys are assumed to be cold after their grant. */
export class ColdKeyTime {
  private assumedMs = INITIAL_MS;
  /** Requests started after the assumed time that were slow, less those that were not; never negative. */
  private slowExcess = 0;

  private constructor() {}

  /** Creates an instance that has not learned anything. */
  static create(): ColdKeyTime {
    return new ColdKeyTime();
  }

  /** The assumed time, in milliseconds. */
  get durationMs(): number {
    return this.assumedMs;
  }

  /**
   * Whether requests that are started `ageMs` after the grant of their key may show that keys are cold for longer than
   * assumed. Much later, a request is slow for another reason.
   */
  mayBeCold(ageMs: number): boolean {
    return ageMs >= this.assumedMs &&
      ageMs < Math.min(MAX_MS, this.assumedMs * GROWTH_FACTOR);
  }

  /** Records that a request, started `ageMs` after the grant of its key, was as slow as one for a cold key. */
  recordCold(ageMs: number): void {
    if (!this.mayBeCold(ageMs)) {
      return;
    }
    this.slowExcess += 1;
    if (this.slowExcess >= MIN_EXCESS) {
      this.slowExcess = 0;
      this.assumedMs = Math.min(MAX_MS, this.assumedMs * GROWTH_FACTOR);
    }
  }

  /** Records that a request, started `ageMs` after the grant of its key, took no longer than with a warm key. */
  recordUsual(ageMs: number): void {
    if (this.mayBeCold(ageMs)) {
      this.slowExcess = Math.max(0, this.slowExcess - 1);
    }
  }

  /** Records that a request, started `ageMs` after the grant of its key, was as fast as one for a warm key. */
  recordWarm(ageMs: number): void {
    this.assumedMs = Math.min(this.assumedMs, Math.max(1, ageMs));
  }

  /** Forgets what was learned, because another process of the backend server runs now. */
  reset(): void {
    this.assumedMs = INITIAL_MS;
    this.slowExcess = 0;
  }
}
