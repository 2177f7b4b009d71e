/**
 * Open-loop arrival times of requests. Arrivals do not wait for responses, so a slow system can't slow down
 * the load that measures it (no coordinated omission).
 *
 * @module
 */

/** How the arrival rate changes over a run. */
export interface ArrivalShape {
  /** Mean arrival rate in requests per second. */
  readonly rate: number;
  /** Length of the run in seconds. */
  readonly seconds: number;
  /** Rate in the middle third of the run as a multiple of the rate outside it; 1 for a constant rate. */
  readonly peakFactor: number;
}

/** Generates the arrival times of one run. */
export class ArrivalSchedule {
  private constructor(
    private readonly shape: ArrivalShape,
    private readonly random: () => number,
  ) {}

  /** Creates a schedule; `random` returns uniformly distributed numbers from 0 (inclusive) to 1 (exclusive). */
  static create(shape: ArrivalShape, random: () => number): ArrivalSchedule {
    return new ArrivalSchedule(shape, random);
  }

  /** Yields arrival times in milliseconds from the start, drawn from a Poisson process whose rate follows the shape. */
  *arrivalTimesMs(): Generator<number> {
    const endMs = this.shape.seconds * 1_000;
    for (
      let arrivalMs = this.nextGapMs(0);
      arrivalMs < endMs;
      arrivalMs += this.nextGapMs(arrivalMs)
    ) {
      yield arrivalMs;
    }
  }

  private nextGapMs(elapsedMs: number): number {
    return (-Math.log(1 - this.random()) * 1_000) /
      this.ratePerSecondAt(elapsedMs);
  }

  private ratePerSecondAt(elapsedMs: number): number {
    const thirdMs = (this.shape.seconds * 1_000) / 3;
    const baseRate = (this.shape.rate * 3) / (2 + this.shape.peakFactor);
    return elapsedMs >= thirdMs && elapsedMs < 2 * thirdMs
      ? baseRate * this.shape.peakFactor
      : baseRate;
  }
}
