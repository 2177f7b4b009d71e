/**
 * A report on how fast services use up the error budgets of their service-level objectives.
 *
 * @module
 */
export {
  type BurnReport,
  type BurnSample,
  computeBurn,
  type CounterSample,
} from "./burn_report.ts";
export { formatBurnTable, renderBurnPage } from "./burn_output.ts";
