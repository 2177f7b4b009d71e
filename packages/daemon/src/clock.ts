/**
 * The clocks of this process. Decision code never reads them; the time is passed to it.
 *
 * @module
 */

/**
 * Returns CLOCK_MONOTONIC in milliseconds. All processes of a host share this clock, so a backend server can compare
 * the expiry of a grant with it. It continues to advance while a process is stopped.
 */
export function monotonicMs(): number {
  return Number(process.hrtime.bigint()) / 1e6;
}

/** Returns the wall-clock time in milliseconds since the Unix epoch. */
export function wallClockMs(): number {
  return Date.now();
}
