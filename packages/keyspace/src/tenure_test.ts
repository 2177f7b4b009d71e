/**
 * Tests of what a tenure rests on; that it is safe is tested in `tenure_safety_test.ts`.
 *
 * @module
 */
import { expect } from "chai";
import { PROMISE_MS, SHORT_TENURE_MS, Tenure, TENURE_MS } from "./tenure.ts";

const ARBITERS = [
  { daemon: "one", office: 3 },
  { daemon: "two", office: 3 },
];

describe("tenure", () => {
  describe("of an owner whose record names no arbiters", () => {
    it("lasts for the longest time after a read", () => {
      const tenure = Tenure.create();
      tenure.confirm(1_000, { arbiters: [], revision: 1 });
      expect(tenure.untilMs).to.equal(1_000 + TENURE_MS);
    });
  });

  describe("of an owner whose record names arbiters", () => {
    it("lasts for the short time without their promises", () => {
      const tenure = Tenure.create();
      tenure.confirm(1_000, { arbiters: ARBITERS, revision: 1 });
      tenure.notePromise("one", 4_500);
      expect(tenure.untilMs).to.equal(1_000 + SHORT_TENURE_MS);
    });

    it("lasts as long as all of them promise, up to the longest time", () => {
      const tenure = Tenure.create();
      tenure.confirm(1_000, { arbiters: ARBITERS, revision: 1 });
      tenure.notePromise("one", 4_500);
      tenure.notePromise("two", 4_000);
      expect(tenure.untilMs).to.equal(4_000 + PROMISE_MS);
      ARBITERS.forEach(({ daemon }) => tenure.notePromise(daemon, 10_500));
      expect(tenure.untilMs).to.equal(1_000 + TENURE_MS);
    });
  });

  describe("after the backend server was replaced by one of another service", () => {
    // Symptom: two backend servers hold a key.
    // Sequence: a daemon reads that nobody takes it over in one service; its backend server is replaced by one of
    // another service, which is given keys there and sealed at once.
    // Cause: what was read for the former service was taken for a right in the new one.
    it("rests on nothing that was read or promised before", () => {
      const tenure = Tenure.create();
      tenure.confirm(1_000, { arbiters: [], revision: 1 });
      tenure.notePromise("one", 1_000);
      tenure.forget();
      expect(tenure.longestHoldMs(1_001)).to.equal(0);
    });
  });
});
