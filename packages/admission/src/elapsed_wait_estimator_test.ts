/**
 * Tests of learning how long a caller has waited.
 *
 * @module
 */
import { expect } from "chai";
import { ElapsedWaitEstimator } from "./elapsed_wait_estimator.ts";

describe("caller patience", () => {
  describe("when most requests of a route begin with one deadline", () => {
    it("tells how long one that comes back has waited", () => {
      const patience = ElapsedWaitEstimator.create();
      Array.from({ length: 50 }, () => patience.recordDeadline("quotes", 800));
      expect(patience.recordDeadline("quotes", 800)).to.equal(0);
      expect(patience.recordDeadline("quotes", 550)).to.equal(250);
    });

    it("is not misled by a few that wait longer", () => {
      const patience = ElapsedWaitEstimator.create();
      Array.from(
        { length: 190 },
        (_, index) =>
          patience.recordDeadline("quotes", index % 20 === 19 ? 2_500 : 800),
      );
      Array.from({ length: 20 }, () => patience.recordDeadline("quotes", 800));
      expect(patience.recordDeadline("quotes", 800)).to.equal(0);
    });
  });

  describe("when deadlines change for good", () => {
    it("learns the new one", () => {
      const patience = ElapsedWaitEstimator.create();
      Array.from({ length: 300 }, () => patience.recordDeadline("quotes", 800));
      Array.from({ length: 400 }, () => patience.recordDeadline("quotes", 500));
      expect(patience.recordDeadline("quotes", 500)).to.equal(0);
    });
  });
});
