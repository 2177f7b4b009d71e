/**
 * Durations of witness promises and sizes of quorums.
 *
 * @module
 */

/** Durations of leases. All daemons of a fleet must use the same values. */
export interface LeaseTiming {
  /** Duration of a witness's promise, in milliseconds. */
  readonly promiseMs: number;
  /** Interval at which a holder renews its promises, in milliseconds. */
  readonly renewIntervalMs: number;
  /**
   * Maximum difference between the rates of two monotonic clocks, as a share. With 0.01, one second on one
   * host lasts between 0.99 and 1.01 seconds on any other host.
   */
  readonly drift: number;
}

/** Default durations of leases. */
export const DEFAULT_TIMING: LeaseTiming = {
  promiseMs: 1_000,
  renewIntervalMs: 400,
  drift: 0.01,
};

/** Number of witnesses, out of `witnesses`, whose promises a session needs to serve. */
export function quorumOf(witnesses: number): number {
  return Math.ceil(witnesses / 2);
}

/**
 * Number of witnesses, out of `witnesses`, that must refuse before no quorum is possible. It is one more than
 * the number outside a quorum, so that every quorum and every such set of refusals share a witness.
 */
export function refusalsNeeded(witnesses: number): number {
  return witnesses - quorumOf(witnesses) + 1;
}

/**
 * How long the holder relies on a promise, in milliseconds of its own clock. This is shorter than the promise,
 * because the holder's clock may be slow.
 */
export function holderDurationMs(timing: LeaseTiming): number {
  return timing.promiseMs * (1 - timing.drift);
}

/**
 * How long any other process waits for a promise to end, in milliseconds of its own clock. This is longer than
 * the promise, because that clock may be fast.
 */
export function waiterDurationMs(
  timing: LeaseTiming,
  promiseMs: number = timing.promiseMs,
): number {
  return promiseMs * (1 + timing.drift);
}
