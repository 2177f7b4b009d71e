/**
 * The clocks of this process. Decision code never reads them; it is given their readings.
 *
 * @module
 */

/**
 * CLOCK_MONOTONIC in milliseconds. All processes of a host read the same clock, so a backend server can
 * compare a grant's expiry with it. It goes on while a process is stopped.
 */
export function monotonicMs(): number {
  return Number(process.hrtime.bigint()) / 1e6;
}

/** Wall-clock time in milliseconds since 1970. */
export function wallClockMs(): number {
  return Date.now();
}
