/**
 * Tests of when refused callers may come back.
 *
 * @module
 */
import { expect } from "chai";
import { createAnswerSpread } from "./answer_spread.ts";

describe("answer spread", () => {
  describe("for callers that are refused together", () => {
    it("does not bring them back together", () => {
      let state = 0;
      const spread = createAnswerSpread(() => (state += 0.1) % 1);
      const returns = Array.from(
        { length: 10 },
        () => spread({ waitMs: 400, usefulMs: 0 }),
      );
      expect(Math.max(...returns) - Math.min(...returns)).to.be.above(200);
    });
  });

  describe("for a caller whose objective can still be met", () => {
    it("brings it back in time", () => {
      const spread = createAnswerSpread(() => 1);
      expect(spread({ waitMs: 800, usefulMs: 180 })).to.be.below(180);
    });
  });

  describe("for a caller whose objective is lost", () => {
    it("brings it back when there is room", () => {
      const spread = createAnswerSpread(() => 0.5);
      expect(spread({ waitMs: 300, usefulMs: -20 })).to.equal(300);
    });
  });
});
