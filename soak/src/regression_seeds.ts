/**
 * Seeds that broke a promise once, each with its cause. CI runs them all.
 *
 * @module
 */

/** A seed that broke a promise, and why. */
export interface RegressionSeed {
  readonly seed: number;
  readonly cause: string;
}

/** Seeds that broke a promise once. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [];
