/**
 * Counters, gauges and latency percentiles, rendered in the Prometheus text format.
 *
 * @module
 */
export { type CounterValue, type Labels, Metrics } from "./metrics.ts";
