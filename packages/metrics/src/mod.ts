/**
 * Counters, gauges and latency percentiles in the text format that scrapers read.
 *
 * @module
 */
export { type CounterValue, type Labels, Metrics } from "./metrics.ts";
