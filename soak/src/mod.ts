/**
 * A randomized soak of real processes with faults from outside.
 *
 * @module
 */
export { runSoak, type SoakResult } from "./soak_run.ts";
export { REGRESSION_SEEDS, type RegressionSeed } from "./regression_seeds.ts";
