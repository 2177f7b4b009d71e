/**
 * Tests of the clock that is used where the boot-time clock can't be read.
 *
 * @module
 */
import { expect } from "chai";
import { createFallbackClock } from "./clock.ts";

const SECOND_MS = 1_000;
const STEP_MS = 60_000;

describe("fallback clock", () => {
  const now = { monotonicMs: 0, wallMs: 0 };
  const advance = (monotonicMs: number, wallMs: number) => {
    now.monotonicMs += monotonicMs;
    now.wallMs += wallMs;
  };
  const createClock = () =>
    createFallbackClock({
      monotonicMs: () => now.monotonicMs,
      wallMs: () => now.wallMs,
    });

  it("includes suspensions, in which the monotonic clock stands still", () => {
    const read = createClock();
    advance(SECOND_MS, 5 * SECOND_MS);
    expect(read()).to.equal(5 * SECOND_MS);
  });

  // Guards against leases that don't expire while the clock stands still after the time of day was set and set back.
  it("goes on after the time of day stepped forward and back", () => {
    const read = createClock();
    advance(0, STEP_MS);
    const steppedMs = read();
    advance(0, -STEP_MS);
    read();
    advance(SECOND_MS, SECOND_MS);
    expect(read()).to.equal(steppedMs + SECOND_MS);
  });
});
