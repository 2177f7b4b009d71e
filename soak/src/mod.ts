/**
 * A randomized soak test of real router processes with injected faults.
 *
 * @module
 */
export { runSoak, type SoakResult } from "./soak_run.ts";
export { REGRESSION_SEEDS, type RegressionSeed } from "./regression_seeds.ts";
