/**
 * Tests of when news is repeated.
 *
 * @module
 */
import { expect } from "chai";
import { RepeatSchedule } from "./repeat_schedule.ts";

const STEP_MS = 50;
/** All daemons know the news within this time, in milliseconds. */
const PROPAGATION_MS = 3_000;
/** Longer than the interval between two repeats, in milliseconds. */
const LONG_WAIT_MS = 1_000;
const ALL = 1_000;

/** Returns when a key is due, over some time. */
function listRepeats(
  schedule: RepeatSchedule,
  { key, startMs, endMs }: { key: string; startMs: number; endMs: number },
): number[] {
  return Array.from(
    { length: (endMs - startMs) / STEP_MS },
    (_, index) => startMs + index * STEP_MS,
  ).filter((nowMs) => schedule.takeDue(nowMs, ALL).includes(key));
}

describe("RepeatSchedule", () => {
  it("repeats nothing without news", () => {
    expect(RepeatSchedule.create().takeDue(0, ALL)).to.deep.equal([]);
  });

  it("repeats news at ever longer intervals for as long as it may take to spread, then ends", () => {
    const schedule = RepeatSchedule.create();
    schedule.add("a", 0);
    const window = { key: "a", startMs: 0, endMs: 3 * PROPAGATION_MS };
    const repeats = listRepeats(schedule, window);
    const intervals = repeats.slice(1).map((atMs, index) =>
      atMs - repeats[index]!
    );
    expect(intervals).to.deep.equal(intervals.toSorted((a, b) => a - b));
    expect(repeats.at(-1)).to.be.within(PROPAGATION_MS, 2 * PROPAGATION_MS);
    expect(schedule.has("a")).to.equal(false);
  });

  it("begins anew when the news changes", () => {
    const schedule = RepeatSchedule.create();
    schedule.add("a", 0);
    const window = { key: "a", startMs: 0, endMs: PROPAGATION_MS };
    const first = listRepeats(schedule, window);
    schedule.add("a", PROPAGATION_MS);
    const again = listRepeats(schedule, {
      key: "a",
      startMs: PROPAGATION_MS,
      endMs: 2 * PROPAGATION_MS,
    });
    expect(again.map((atMs) => atMs - PROPAGATION_MS)).to.deep.equal(first);
  });

  it("leaves items beyond the limit due", () => {
    const schedule = RepeatSchedule.create();
    ["a", "b", "c"].forEach((key) => schedule.add(key, 0));
    expect(schedule.takeDue(LONG_WAIT_MS, 2)).to.deep.equal(["a", "b"]);
    expect(schedule.takeDue(LONG_WAIT_MS, 2)).to.deep.equal(["c"]);
    expect(schedule.takeDue(LONG_WAIT_MS, 2)).to.deep.equal([]);
  });
});
