/**
 * Seeds that once violated a guarantee, each with its cause. CI runs them all.
 *
 * @module
 */

import { type FaultSelection, NO_FAULTS } from "./fault_schedule.ts";

/** A seed that violated a guarantee, why, and the faults of its run. */
export interface RegressionSeed extends FaultSelection {
  readonly seed: number;
  readonly cause: string;
  /** Time within which faults start, in milliseconds, if it is not the default; another time draws other faults. */
  readonly durationMs?: number;
}

export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {
    seed: 309,
    hasRestarts: false,
    hasRollbacksAndLethalRequests: false,
    hasStatedStatus: false,
    hasSingleFaults: true,
    hasSeries: false,
    hasLateEffects: false,
    cause:
      "open: the fleet once did not serve everything again within 25 s after a drain and a cut of the store",
  },
  {
    seed: 91_046,
    hasRestarts: true,
    hasRollbacksAndLethalRequests: true,
    hasStatedStatus: true,
    hasSingleFaults: true,
    hasSeries: false,
    hasLateEffects: false,
    durationMs: 10_000,
    cause:
      "a daemon that restarts beside a server that is leaving by its responses only sends it requests again",
  },
  {
    ...NO_FAULTS,
    seed: 2_007,
    hasSeries: true,
    durationMs: 10_000,
    cause:
      "heads of more than 64 KiB got 431 although the configurations allowed them",
  },
  {
    seed: 12_024,
    hasRestarts: true,
    hasRollbacksAndLethalRequests: true,
    hasStatedStatus: true,
    hasSingleFaults: true,
    hasSeries: true,
    hasLateEffects: false,
    durationMs: 12_000,
    cause:
      "the first of two overlapping statements of a limit ended, and the server stated none while the second was checked",
  },
  {
    ...NO_FAULTS,
    seed: 3,
    hasLateEffects: true,
    durationMs: 8_000,
    cause:
      "a late write of a killed daemon took effect, and late repetitions of rejections counted for orders that ran",
  },
];
