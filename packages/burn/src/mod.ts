/**
 * A report on how fast the services use up what their objectives allow.
 *
 * @module
 */
export {
  type BurnReport,
  type BurnSample,
  computeBurn,
  type CounterSample,
} from "./burn_report.ts";
export { formatBurn, writeBurnPage } from "./burn_output.ts";
