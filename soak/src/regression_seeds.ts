/**
 * Seeds that broke a promise once, each with its cause. CI runs them all.
 *
 * @module
 */

/** A seed that broke a promise, and why. */
export interface RegressionSeed {
  readonly seed: number;
  readonly cause: string;
  /** Whether it was found with restarts under the same id and callers that keep connections. */
  readonly hasRestarts: boolean;
  /** Whether with a store that comes back from an older copy, and requests that end servers. */
  readonly hasRollbacksAndLethalRequests: boolean;
}

/** Seeds that broke a promise once. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {
    seed: 309,
    hasRestarts: false,
    hasRollbacksAndLethalRequests: false,
    cause:
      "open: the fleet once did not serve everything again within 25 s after a drain and a cut of the store",
  },
];
