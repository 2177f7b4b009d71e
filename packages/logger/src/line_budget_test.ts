/**
 * Tests of the bound on log lines.
 *
 * @module
 */
import { expect } from "chai";
import { LineBudget } from "./line_budget.ts";

describe("line budget", () => {
  describe("when one event happens thousands of times a second", () => {
    it("bounds its lines, counts the rest, and leaves a rare event its own", () => {
      const budget = LineBudget.create();
      const taken = Array.from(
        { length: 10_000 },
        (_, index) => budget.take("frequent", index / 10),
      ).filter(({ mayWrite }) => mayWrite);
      expect(taken.length).to.be.below(100);
      expect(budget.take("rare", 1_000).mayWrite).to.equal(true);
      const told = [...taken, budget.take("frequent", 6_000)]
        .reduce((sum, { leftOut }) => sum + leftOut, 0);
      expect(taken.length + told).to.equal(10_000);
    });
  });
});
