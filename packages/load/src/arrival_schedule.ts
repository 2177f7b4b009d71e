/**
 * When requests arrive. Arrivals do not wait for answers, so a slow system can't slow down the load
 * that measures it (no coordinated omission).
 *
 * @module
 */

/** The shape of the arrivals over the time of a run. */
export interface ArrivalShape {
  /** Mean rate in requests a second. */
  readonly rate: number;
  readonly seconds: number;
  /** A wave in the middle third, as many times the mean rate outside it; 1 for none. */
  readonly wave: number;
}

/** Arrival times of one run. */
export class ArrivalSchedule {
  private constructor(
    private readonly shape: ArrivalShape,
    private readonly random: () => number,
  ) {}

  /** Creates a schedule; `random` gives numbers from 0 up to 1. */
  static create(shape: ArrivalShape, random: () => number): ArrivalSchedule {
    return new ArrivalSchedule(shape, random);
  }

  /** Arrival times in milliseconds from the start: a Poisson process whose rate follows the shape. */
  *times(): Generator<number> {
    const endMs = this.shape.seconds * 1_000;
    for (
      let atMs = this.nextGapMs(0);
      atMs < endMs;
      atMs += this.nextGapMs(atMs)
    ) {
      yield atMs;
    }
  }

  private nextGapMs(atMs: number): number {
    return (-Math.log(1 - this.random()) * 1_000) / this.rateAt(atMs);
  }

  private rateAt(atMs: number): number {
    const third = (this.shape.seconds * 1_000) / 3;
    const base = (this.shape.rate * 3) / (2 + this.shape.wave);
    return atMs >= third && atMs < 2 * third ? base * this.shape.wave : base;
  }
}
