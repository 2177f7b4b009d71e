/**
 * The clocks of this process. The packages of decision code, such as admission and keyspace, never read them; they get
 * the current time as a parameter.
 *
 * @module
 */
import { createRequire } from "node:module";

/** `CLOCK_BOOTTIME` of `clock_gettime`, from the Linux headers. */
const CLOCK_BOOTTIME = 7;

type ReadClock = () => number;

/**
 * The boot-time clock in milliseconds, which also advances while the machine is suspended.
 *
 * The monotonic clock stops during a suspension: after the resume, a daemon would consider its long-expired ownership
 * lease valid and renew grants of keys that a successor already holds.
 */
export const bootMs: ReadClock = openBootClock() ?? createFallbackClock();

/** The monotonic clock in milliseconds, for durations that need not include suspensions of the machine. */
export function monotonicMs(): number {
  return performance.now();
}

function openBootClock(): ReadClock | undefined {
  try {
    const koffi = createRequire(import.meta.url)("koffi");
    const read = koffi
      .load("libc.so.6")
      .func("clock_gettime", "int", ["int", "void *"]);
    // Seconds and nanoseconds, 64 bits each. The array is reused, since with an object per reading, a reading takes
    // 1.3 us instead of 0.3 us.
    const now = new BigInt64Array(2);
    return () => {
      read(CLOCK_BOOTTIME, now);
      return Number(now[0]) * 1_000 + Number(now[1]) / 1e6;
    };
  } catch {
    // Without the native library the fallback clock below is used; it can only make a lease expire too early.
    return undefined;
  }
}

/**
 * Creates a clock by the larger advance of the monotonic clock and the time of day, so that no suspension is missed.
 */
function createFallbackClock(): ReadClock {
  const start = { monotonic: performance.now(), wall: Date.now() };
  let maxElapsedMs = 0;
  return () => {
    const monotonicElapsedMs = performance.now() - start.monotonic;
    const wallElapsedMs = Date.now() - start.wall;
    maxElapsedMs = Math.max(maxElapsedMs, monotonicElapsedMs, wallElapsedMs);
    return maxElapsedMs;
  };
}
