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
export const bootMs: ReadClock = openBootClock() ??
  createFallbackClock({ monotonicMs, wallMs: Date.now });

/** The monotonic clock in milliseconds, for durations that need not include suspensions of the machine. */
export function monotonicMs(): number {
  return performance.now();
}

/** Longest time of a timer of Node.js, in milliseconds: one with a longer time fires after 1 ms. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Limits a time in milliseconds, which may be infinite, to the longest time of a timer. */
export function toTimerMs(milliseconds: number): number {
  return Math.min(MAX_TIMER_MS, Math.max(0, Math.ceil(milliseconds)));
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
 * Creates a clock that advances between two readings by the larger advance of the monotonic clock and the time of day,
 * so that no suspension is missed, and a step of the time of day never stops it.
 */
export function createFallbackClock(
  clocks: { monotonicMs: ReadClock; wallMs: ReadClock },
): ReadClock {
  let monotonic = clocks.monotonicMs();
  let wall = clocks.wallMs();
  let elapsedMs = 0;
  return () => {
    const [nextMonotonic, nextWall] = [clocks.monotonicMs(), clocks.wallMs()];
    elapsedMs += Math.max(0, nextMonotonic - monotonic, nextWall - wall);
    [monotonic, wall] = [nextMonotonic, nextWall];
    return elapsedMs;
  };
}
