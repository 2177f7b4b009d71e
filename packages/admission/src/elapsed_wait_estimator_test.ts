/**
 * Tests of estimating how long a caller has already waited.
 *
 * @module
 */
import { expect } from "chai";
import { ElapsedWaitEstimator } from "./elapsed_wait_estimator.ts";

describe("ElapsedWaitEstimator", () => {
  describe("when most requests of a route start with the same deadline", () => {
    it("returns how long a caller that retries has waited", () => {
      const estimator = ElapsedWaitEstimator.create();
      Array.from({ length: 50 }, () => estimator.recordDeadline("quotes", 800));
      expect(estimator.recordDeadline("quotes", 800)).to.equal(0);
      expect(estimator.recordDeadline("quotes", 550)).to.equal(250);
    });

    it("ignores a few requests with a longer deadline", () => {
      const estimator = ElapsedWaitEstimator.create();
      Array.from(
        { length: 190 },
        (_, index) =>
          estimator.recordDeadline("quotes", index % 20 === 19 ? 2_500 : 800),
      );
      Array.from({ length: 20 }, () => estimator.recordDeadline("quotes", 800));
      expect(estimator.recordDeadline("quotes", 800)).to.equal(0);
    });
  });

  describe("with a coarse resolution", () => {
    const comparison = { resolutionMs: 20, isEager: true };

    // Guards against an estimator that finds no typical deadline at the daemon beside a backend server, because the
    // requests have taken different times to reach it.
    it("recognizes a caller that retries although all deadlines differ by some milliseconds", () => {
      const estimator = ElapsedWaitEstimator.create(comparison);
      Array.from(
        { length: 60 },
        (_, index) => estimator.recordDeadline("quotes", 795 - index * 7 % 12),
      );
      expect(estimator.recordDeadline("quotes", 784)).to.be.below(40);
      expect(estimator.recordDeadline("quotes", 690)).to.be.above(80);
    });

    // Guards against new requests that count as those of the typical deadline for minutes after a start, because the
    // first request was a retry.
    it("corrects a typical deadline that was learnt from a retry", () => {
      const estimator = ElapsedWaitEstimator.create(comparison);
      [400, 800, 800, 800].forEach((deadlineMs) =>
        estimator.recordDeadline("quotes", deadlineMs)
      );
      expect(estimator.recordDeadline("quotes", 400)).to.equal(400);
    });
  });

  describe("when deadlines change permanently", () => {
    it("adopts the new typical deadline", () => {
      const estimator = ElapsedWaitEstimator.create();
      Array.from(
        { length: 300 },
        () => estimator.recordDeadline("quotes", 800),
      );
      Array.from(
        { length: 400 },
        () => estimator.recordDeadline("quotes", 500),
      );
      expect(estimator.recordDeadline("quotes", 500)).to.equal(0);
    });
  });
});
