/**
 * Tests of when watches of the store are renewed.
 *
 * @module
 */
import { expect } from "chai";
import { WatchPollSchedule } from "./watch_poll_schedule.ts";

/** Fleets of all sizes that are served, in daemons. */
const FLEETS = [1, 3, 12, 59, 195, 470];
/** Runs of each fleet. */
const RUNS = 200;
/** How long a fleet is watched, in milliseconds. */
const PLAYED_MS = 90_000;
const CHANGE_MS = PLAYED_MS / 2;
/** Mean time between renewals that callers are served well by, in milliseconds. */
const MEAN_GAP_MS = 500;
/** Operators' changes are to be in force after 2 s at the least, in milliseconds. */
const LARGEST_GAP_MS = 2_000;
/** Share of the time that may lie in larger gaps, since waits are drawn at random. */
const LARGE_SHARE = 0.02;
/** Until a daemon that starts knows the others, in milliseconds. */
const ACQUAINTED_MS = 400;

/** A generator of numbers that is the same in each run. */
function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** The moments of all renewals of daemons that start together at 0 and are told of a change at half of the time. */
function playRenewals(daemons: number, random: () => number): number[] {
  return Array.from({ length: daemons }, () => {
    const waits = WatchPollSchedule.create(random);
    const moments: number[] = [];
    let nowMs = 0;
    let hasTimedOut = false;
    while (nowMs < PLAYED_MS) {
      const known = nowMs < ACQUAINTED_MS ? 1 : daemons;
      const endsAtMs: number = nowMs +
        waits.nextTimeoutMs({ daemons: known, hasTimedOut });
      hasTimedOut = nowMs >= CHANGE_MS || endsAtMs < CHANGE_MS;
      nowMs = hasTimedOut ? endsAtMs : CHANGE_MS;
      moments.push(nowMs);
    }
    return moments;
  }).flat().sort((left, right) => left - right);
}

describe("watches of the store", () => {
  FLEETS.forEach((daemons) => {
    describe(`of ${daemons} daemons that start together`, () => {
      const random = seededRandom(daemons);
      const runs = Array.from(
        { length: RUNS },
        () => playRenewals(daemons, random),
      );
      const gaps = runs.flatMap((moments) =>
        moments.map((atMs, index) => atMs - (moments[index - 1] ?? 0))
      );

      // Guards against watches that are renewed in step, so that all are silent together for half a minute.
      it("are renewed in turn", () => {
        const mean = sum(gaps) / gaps.length;
        const large = gaps.filter((gap) => gap > LARGEST_GAP_MS);
        expect(sum(large) / sum(gaps)).to.be.at.most(LARGE_SHARE);
        expect(mean).to.be.at.most(MEAN_GAP_MS * 1.05);
      });

      it("are each renewed twice a minute at least", () => {
        const waits = runs.map((moments) =>
          moments.length / daemons / (PLAYED_MS / 60_000)
        );
        expect(Math.min(...waits)).to.be.at.least(2);
      });
    });
  });
});
