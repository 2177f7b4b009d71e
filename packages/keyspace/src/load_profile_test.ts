/**
 * Tests of how soon the work of keys is known.
 *
 * @module
 */
import { expect } from "chai";
import { LoadProfile } from "./load_profile.ts";
import { seededRandom } from "./testing/seeded_random.ts";

const KEY = { from: 7, to: 7 };
/** Work that arrives every 10 ms, in milliseconds of a slot. */
const EACH_MS = 5;
/** The same, in milliseconds of a slot a second. */
const RATE = EACH_MS * 100;
/** Time of a request, and usual time between two that come at random, in milliseconds. */
const REQUEST_MS = 300;
const PAUSE_MS = 120;

function feed(profile: LoadProfile, fromMs: number, lengthMs: number): void {
  Array.from({ length: lengthMs / 10 }, (_, index) => {
    profile.decay(fromMs + index * 10);
    profile.record(KEY.from, EACH_MS);
  });
}

/** The load by a profile that requests were noted in at random moments, and how far it says that it may be off. */
function measureLoad(seed: number, seenMs: number) {
  const random = seededRandom(seed);
  const profile = LoadProfile.create();
  const pauseMs = () => -Math.log(1 - random()) * PAUSE_MS;
  profile.decay(0);
  profile.record(KEY.from, 0);
  for (let atMs = pauseMs(); atMs < seenMs; atMs += pauseMs()) {
    profile.decay(atMs);
    profile.record(KEY.from, REQUEST_MS);
  }
  profile.decay(seenMs);
  const load = profile.loadOf([KEY]) / 1_000;
  return { load, deviation: profile.standardDeviationOf(load) };
}

function average(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

describe("load profile", () => {
  describe("half a second after the first request", () => {
    // Symptom: at the start of the traffic one owner refuses most requests for 4 s.
    // Sequence: it was given the busiest keys by chance; after half a second it saw a third of their work, and
    // moved a part of that; a move takes a second, and it needed three of them.
    // Cause: work was averaged over a time in which there had been no traffic yet.
    it("knows the work of keys already", () => {
      const profile = LoadProfile.create();
      profile.decay(5_000);
      feed(profile, 5_000, 500);
      expect(profile.loadOf([KEY])).to.be.closeTo(RATE, RATE * 0.15);
    });
  });

  describe("after a long time", () => {
    it("knows it, too", () => {
      const profile = LoadProfile.create();
      feed(profile, 0, 10_000);
      expect(profile.loadOf([KEY])).to.be.closeTo(RATE, RATE * 0.05);
    });
  });

  describe("given what another owner saw", () => {
    it("counts the keys with that work at once", () => {
      const profile = LoadProfile.create();
      feed(profile, 0, 3_000);
      const taken = { from: 100, to: 199 };
      profile.seed(taken, 800);
      expect(profile.loadOf([taken])).to.be.closeTo(800, 1);
    });
  });

  describe("fed at random moments", () => {
    [500, 4_000].forEach((seenMs) =>
      it(`knows how far it may be off by chance after ${seenMs} ms`, () => {
        const measured = Array.from(
          { length: 1_000 },
          (_, seed) => measureLoad(seed, seenMs),
        );
        const loads = measured.map(({ load }) => load);
        const told = measured.map(({ deviation }) => deviation);
        const mean = average(loads);
        const spread = average(loads.map((load) => (load - mean) ** 2));
        expect(average(told) / Math.sqrt(spread)).to.be.within(0.85, 1.15);
      })
    );
  });
});
