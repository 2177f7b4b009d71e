/**
 * Lengths of promises and the sizes of quorums.
 *
 * @module
 */

/** The times that every daemon of a fleet must agree on. */
export interface LeaseTiming {
  /** How long a witness's promise lasts, in milliseconds. */
  readonly promiseMs: number;
  /** How often a holder renews its promises, in milliseconds. */
  readonly renewIntervalMs: number;
  /**
   * The most by which the rates of two monotonic clocks may differ. 0.01 means that one second on one
   * host lasts between 0.99 and 1.01 seconds on any other.
   */
  readonly drift: number;
}

/** The times used unless the settings say otherwise. */
export const DEFAULT_TIMING: LeaseTiming = {
  promiseMs: 1_000,
  renewIntervalMs: 400,
  drift: 0.01,
};

/** How many of `witnesses` must have promised before a session may serve. */
export function quorumOf(witnesses: number): number {
  return Math.ceil(witnesses / 2);
}

/**
 * How many of `witnesses` must refuse before no quorum is left. One more than the rest, so that every
 * quorum and every set of refusals share a witness.
 */
export function refusalsNeeded(witnesses: number): number {
  return witnesses - quorumOf(witnesses) + 1;
}

/** How long the holder counts on a promise: shorter than it lasts, because its clock may be slow. */
export function holderDurationMs(timing: LeaseTiming): number {
  return timing.promiseMs * (1 - timing.drift);
}

/** How long anybody else waits for a promise to end: longer, because the waiter's clock may be fast. */
export function waiterDurationMs(
  timing: LeaseTiming,
  promiseMs: number = timing.promiseMs,
): number {
  return promiseMs * (1 + timing.drift);
}
