/**
 * Tests of when watches of the store are renewed.
 *
 * @module
 */
import { expect } from "chai";
import { chooseWatchWait } from "./watch_wait.ts";

/** Fleets of all sizes that are served, in daemons. */
const FLEETS = [1, 3, 12, 59, 195, 470];
/** Runs of each fleet. */
const RUNS = 200;
/** How long a fleet is watched after all waits began together, in milliseconds. */
const PLAYED_MS = 90_000;
/** Operators' changes are to be in force after 2 s, of which the news takes a part, in milliseconds. */
const MEAN_GAP_MS = 500;

/** A generator of numbers that is the same in each run. */
function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
}

/** The moments of all renewals after a change that all daemons were told of at 0. */
function playRenewals(daemons: number, random: () => number): number[] {
  return Array.from({ length: daemons }, () => {
    const moments: number[] = [];
    let nowMs = 0;
    while (nowMs < PLAYED_MS) {
      const isInStep = nowMs === 0;
      nowMs += chooseWatchWait({ daemons, isInStep, random });
      moments.push(nowMs);
    }
    return moments;
  }).flat().sort((left, right) => left - right);
}

describe("watches of the store", () => {
  FLEETS.forEach((daemons) => {
    describe(`of ${daemons} daemons that begin together`, () => {
      const random = seededRandom(daemons);
      const runs = Array.from(
        { length: RUNS },
        () => playRenewals(daemons, random),
      );

      // Guards against watches that are renewed in step, so that all are silent together for half a minute.
      it("are renewed in turn", () => {
        const gaps = runs.flatMap((moments) =>
          moments.map((atMs, index) => atMs - (moments[index - 1] ?? 0))
        );
        const mean = gaps.reduce((sum, gap) => sum + gap, 0) / gaps.length;
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
