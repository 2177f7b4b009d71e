/**
 * Tests of how soon and how accurately the work of keys is measured.
 *
 * @module
 */
import { expect } from "chai";
import { LoadProfile } from "./load_profile.ts";
import { seededRandom } from "@bamboolink/simulation";

const KEY = { from: 7, to: 7 };
/** Work that arrives every 10 ms, in milliseconds of slot time. */
const WORK_MS = 5;
/** The same, in milliseconds of slot time per second. */
const RATE = WORK_MS * 100;
/** Service time of a request, and mean time between two requests at random times, in milliseconds. */
const REQUEST_MS = 300;
const MEAN_INTERVAL_MS = 120;

function recordWork(
  profile: LoadProfile,
  fromMs: number,
  durationMs: number,
): void {
  Array.from({ length: durationMs / 10 }, (_, index) => {
    profile.decay(fromMs + index * 10);
    profile.record(KEY.from, WORK_MS);
  });
}

/** Records requests at random times; returns the measured load and its estimated standard deviation, in slots. */
function measureLoad(seed: number, observedMs: number) {
  const random = seededRandom(seed);
  const profile = LoadProfile.create();
  const randomIntervalMs = () => -Math.log(1 - random()) * MEAN_INTERVAL_MS;
  profile.decay(0);
  profile.record(KEY.from, 0);
  for (
    let nowMs = randomIntervalMs();
    nowMs < observedMs;
    nowMs += randomIntervalMs()
  ) {
    profile.decay(nowMs);
    profile.record(KEY.from, REQUEST_MS);
  }
  profile.decay(observedMs);
  const load = profile.loadOf([KEY]) / 1_000;
  return { load, deviation: profile.standardDeviationOf(load) };
}

function average(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

describe("load profile", () => {
  describe("half a second after the first request", () => {
    // Guards against an owner that refuses most requests for 4 s at the start of the traffic: it has the busiest keys
    // by chance; after half a second it estimates a third of their work, since the average covers time without
    // traffic, and moves only part of that. A move takes a second, and it needs three of them.
    it("measures the full work of keys", () => {
      const profile = LoadProfile.create();
      profile.decay(5_000);
      recordWork(profile, 5_000, 500);
      expect(profile.loadOf([KEY])).to.be.closeTo(RATE, RATE * 0.15);
    });
  });

  describe("after a long time", () => {
    it("measures the same work", () => {
      const profile = LoadProfile.create();
      recordWork(profile, 0, 10_000);
      expect(profile.loadOf([KEY])).to.be.closeTo(RATE, RATE * 0.05);
    });
  });

  describe("seeded with the load measured by the previous owner", () => {
    it("includes that load at once", () => {
      const profile = LoadProfile.create();
      recordWork(profile, 0, 3_000);
      const received = { from: 100, to: 199 };
      profile.seed(received, 800);
      expect(profile.loadOf([received])).to.be.closeTo(800, 1);
    });
  });

  describe("with requests at random times", () => {
    [500, 4_000].forEach((observedMs) =>
      it(`estimates its standard deviation after ${observedMs} ms`, () => {
        const measured = Array.from(
          { length: 1_000 },
          (_, seed) => measureLoad(seed, observedMs),
        );
        const loads = measured.map(({ load }) => load);
        const estimates = measured.map(({ deviation }) => deviation);
        const mean = average(loads);
        const variance = average(loads.map((load) => (load - mean) ** 2));
        expect(average(estimates) / Math.sqrt(variance)).to.be.within(
          0.85,
          1.15,
        );
      })
    );
  });
});
