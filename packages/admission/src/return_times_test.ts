/**
 * Tests of the times at which refused callers come back to a queue.
 *
 * @module
 */
import { expect } from "chai";
import { type QueueRefusalTimes, ReturnTimes } from "./return_times.ts";

function refusal(
  changes: Partial<QueueRefusalTimes> = {},
): QueueRefusalTimes {
  return {
    rank: 1,
    roomMs: 100,
    uncertaintyMs: 0,
    remainingMs: 1_500,
    serviceMs: 120,
    capacity: 6,
    ...changes,
  };
}

describe("ReturnTimes", () => {
  describe("while there is room soon", () => {
    it("returns the expected time", () => {
      expect(ReturnTimes.create(() => 0).choose(refusal(), 0)).to.equal(100);
    });

    // Guards against callers that are refused together and come back together: the slots serve one of them, and the
    // others are refused again.
    it("spaces callers by the slot time that each of them needs", () => {
      const times = ReturnTimes.create(() => 0);
      expect([0, 0, 0].map(() => times.choose(refusal(), 0)))
        .to.deep.equal([100, 120, 140]);
    });

    it("spreads them over the time by which that is uncertain", () => {
      const times = ReturnTimes.create(() => 0.5);
      expect(times.choose(refusal({ uncertaintyMs: 200 }), 0)).to.equal(200);
    });
  });

  describe("for callers of different ranks", () => {
    it("makes the less urgent one come after the more urgent one, and not the reverse", () => {
      const times = ReturnTimes.create(() => 0);
      times.choose(refusal({ rank: 1 }), 0);
      expect(times.choose(refusal({ rank: 2 }), 0)).to.equal(120);
      expect(times.choose(refusal({ rank: 0 }), 0)).to.equal(100);
    });
  });

  describe("for callers that can't come back in their time", () => {
    it("returns when there is room, and promises none", () => {
      const times = ReturnTimes.create(() => 0.5);
      const late = refusal({ roomMs: 600, uncertaintyMs: 50 });
      expect([0, 0].map(() => times.choose(late, 0)))
        .to.deep.equal([600, 600]);
    });
  });

  describe("once a promised time is past", () => {
    it("no longer counts it", () => {
      const times = ReturnTimes.create(() => 0);
      times.choose(refusal(), 0);
      expect(times.choose(refusal({ roomMs: 10 }), 130)).to.equal(10);
    });
  });
});
