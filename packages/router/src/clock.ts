/**
 * The clocks of this process. Decision code never reads them; it is given their readings.
 *
 * @module
 */
import { createRequire } from "node:module";

/** CLOCK_BOOTTIME of `clock_gettime`, from the Linux headers. */
const CLOCK_BOOTTIME = 7;

type ReadClock = () => number;

/**
 * A clock that goes on while the machine is suspended, in milliseconds.
 *
 * What goes wrong with any other: the steady clock stands still during a suspension, so a daemon that
 * wakes up takes its long-expired right to grant keys for valid and renews what a successor already has.
 */
export const bootMs: ReadClock = openBootClock() ?? createSubstitute();

/** The steady clock in milliseconds, for durations within one request. */
export function steadyMs(): number {
  return performance.now();
}

function openBootClock(): ReadClock | undefined {
  try {
    const koffi = createRequire(import.meta.url)("koffi");
    const read = koffi
      .load("libc.so.6")
      .func("clock_gettime", "int", ["int", "void *"]);
    // Seconds and nanoseconds, 64 bits each. Making an object for each reading takes 1.3 us in place of
    // 0.3 (200,000 readings).
    const now = new BigInt64Array(2);
    return () => {
      read(CLOCK_BOOTTIME, now);
      return Number(now[0]) * 1_000 + Number(now[1]) / 1e6;
    };
  } catch {
    // Without the native library the substitute below is used; it only ever ends a right too early.
    return undefined;
  }
}

/** The larger of the steady clock's and the time of day's advance, so that no suspension is missed. */
function createSubstitute(): ReadClock {
  const startedAt = { steady: performance.now(), day: Date.now() };
  let furthest = 0;
  return () => {
    const steady = performance.now() - startedAt.steady;
    const day = Date.now() - startedAt.day;
    furthest = Math.max(furthest, steady, day);
    return furthest;
  };
}
