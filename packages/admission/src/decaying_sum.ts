/**
 * A sum of events whose weight halves in a fixed time.
 *
 * @module
 */

/** An exponentially decayed sum, which measures a rate of the recent past. */
export class DecayingSum {
  private sum = 0;
  private decayedAtMs = 0;

  private constructor(private readonly halfLifeMs: number) {}

  /** Creates an empty sum. */
  static create(halfLifeMs: number): DecayingSum {
    return new DecayingSum(halfLifeMs);
  }

  /** Adds an amount at a time. */
  add(amount: number, nowMs: number): void {
    this.decay(nowMs);
    this.sum += amount;
  }

  /** The amount a second in the recent past. */
  perSecond(nowMs: number): number {
    this.decay(nowMs);
    return this.sum * Math.LN2 / (this.halfLifeMs / 1_000);
  }

  private decay(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.decayedAtMs);
    this.decayedAtMs = nowMs;
    this.sum *= 0.5 ** (elapsedMs / this.halfLifeMs);
  }
}
