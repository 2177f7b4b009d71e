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
