/**
 * Tests of when the polls of store watches are renewed.
 *
 * @module
 */
import { expect } from "chai";
import { WatchPollSchedule } from "./watch_poll_schedule.ts";

/** Sizes of supported fleets, in daemons. */
const FLEET_SIZES = [1, 3, 12, 59, 195, 470];
/** Simulations of each fleet. */
const RUN_COUNT = 200;
/** Simulated time of one run. */
const SIMULATED_MS = 90_000;
/** When a record changes. */
const CHANGE_AT_MS = SIMULATED_MS / 2;
/** Mean time between renewals of the fleet that is short enough for callers. */
const MAX_MEAN_GAP_MS = 500;
/** Operators' changes must be in force within 2 s. */
const MAX_GAP_MS = 2_000;
/** Share of the time that may lie in larger gaps, since timeouts are drawn at random. */
const MAX_LARGE_GAP_SHARE = 0.02;
/** Time after which a starting daemon knows the others. */
const DISCOVERY_MS = 400;

/** A pseudo-random generator that returns the same numbers in each run. */
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

/** Times of all renewals of daemons that start together at 0 and receive a change after half of the time. */
function simulateRenewals(daemons: number, random: () => number): number[] {
  return Array.from({ length: daemons }, () => {
    const schedule = WatchPollSchedule.create(random);
    const renewalsMs: number[] = [];
    let nowMs = 0;
    let endedUnchanged = false;
    while (nowMs < SIMULATED_MS) {
      const knownDaemons = nowMs < DISCOVERY_MS ? 1 : daemons;
      const endsAtMs: number = nowMs +
        schedule.nextTimeoutMs({ daemons: knownDaemons, endedUnchanged });
      endedUnchanged = nowMs >= CHANGE_AT_MS || endsAtMs < CHANGE_AT_MS;
      nowMs = endedUnchanged ? endsAtMs : CHANGE_AT_MS;
      renewalsMs.push(nowMs);
    }
    return renewalsMs;
  }).flat().sort((left, right) => left - right);
}

describe("store watches", () => {
  FLEET_SIZES.forEach((daemons) => {
    describe(`of ${daemons} daemons that start together`, () => {
      const random = seededRandom(daemons);
      const runs = Array.from(
        { length: RUN_COUNT },
        () => simulateRenewals(daemons, random),
      );
      const gaps = runs.flatMap((renewalsMs) =>
        renewalsMs.map((renewedAtMs, index) =>
          renewedAtMs - (renewalsMs[index - 1] ?? 0)
        )
      );

      // Guards against synchronized renewals, between which the whole fleet gets no updates for half a minute.
      it("are renewed at staggered times", () => {
        const mean = sum(gaps) / gaps.length;
        const largeGaps = gaps.filter((gap) => gap > MAX_GAP_MS);
        expect(sum(largeGaps) / sum(gaps)).to.be.at.most(
          MAX_LARGE_GAP_SHARE,
        );
        expect(mean).to.be.at.most(MAX_MEAN_GAP_MS * 1.05);
      });

      it("are each renewed at least twice a minute", () => {
        const renewalsPerMinute = runs.map((renewalsMs) =>
          renewalsMs.length / daemons / (SIMULATED_MS / 60_000)
        );
        expect(Math.min(...renewalsPerMinute)).to.be.at.least(2);
      });
    });
  });
});
