/**
 * Counters, gauges and latency percentiles in the text format that scrapers read.
 *
 * @module
 */
export { Metrics } from "./metrics.ts";
