/**
 * Tests of the rate limit that a backend server advertises, with responses that overtake each other.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { AdvertisedLimitTracker } from "./advertised_limit_tracker.ts";

const createTracker = (perSecond: number) => {
  const tracker = AdvertisedLimitTracker.create();
  tracker.record({ perSecond, sentAtMs: 0, receivedAtMs: 100 });
  return tracker;
};

describe("AdvertisedLimitTracker", () => {
  describe("when the first response states a limit", () => {
    it("reports the change", () => {
      const tracker = AdvertisedLimitTracker.create();
      const change = tracker.record({
        perSecond: 0,
        sentAtMs: 0,
        receivedAtMs: 100,
      });
      expect(change).to.deep.equal({ before: undefined, after: 0 });
      expect(tracker.perSecond).to.equal(0);
    });
  });

  describe("when a response without the limit overtakes", () => {
    // Guards against a limit that is dropped because of a request that was sent before the limit was stated.
    it("keeps the limit", () => {
      const tracker = createTracker(10);
      const overlapping = { sentAtMs: 50, receivedAtMs: 150 };
      expect(tracker.record({ perSecond: undefined, ...overlapping }))
        .to.equal(undefined);
      expect(tracker.record({ perSecond: 20, ...overlapping }))
        .to.equal(undefined);
      expect(tracker.perSecond).to.equal(10);
    });

    it("tightens the limit at once", () => {
      const tracker = createTracker(10);
      expect(tracker.record({ perSecond: 5, sentAtMs: 50, receivedAtMs: 150 }))
        .to.deep.equal({ before: 10, after: 5 });
    });
  });

  describe("when a later request's response is without the limit", () => {
    it("ends it", () => {
      const tracker = createTracker(10);
      const later = { perSecond: undefined, sentAtMs: 100, receivedAtMs: 180 };
      expect(tracker.record(later))
        .to.deep.equal({ before: 10, after: undefined });
    });
  });

  describe("with any order of responses", () => {
    it("ends with the limit of a request that was sent after all others", () => {
      const limit = fc.option(fc.integer({ min: 0, max: 30 }), {
        nil: undefined,
      });
      const observation = fc.record({
        perSecond: limit,
        sentAtMs: fc.nat(1_000),
        receivedAtMs: fc.integer({ min: 1_000, max: 2_000 }),
      });
      const property = fc.property(
        fc.array(observation),
        limit,
        (observations, last) => {
          const tracker = AdvertisedLimitTracker.create();
          observations.forEach((each) => tracker.record(each));
          tracker.record({
            perSecond: last,
            sentAtMs: 2_000,
            receivedAtMs: 2_100,
          });
          expect(tracker.perSecond).to.equal(last);
        },
      );
      fc.assert(property, { seed: 43, numRuns: 300 });
    });
  });
});
