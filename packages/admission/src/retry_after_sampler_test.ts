/**
 * Tests of when refused callers may come back.
 *
 * @module
 */
import { expect } from "chai";
import { createRetryAfterSampler } from "./retry_after_sampler.ts";

/** Nobody was there for the moment. */
const PASSING = { remainingMs: 2_000, isTransient: true };

describe("answer spread", () => {
  describe("for callers that are refused together", () => {
    it("does not bring them back together", () => {
      let state = 0;
      const spread = createRetryAfterSampler(() => (state += 0.1) % 1);
      const returns = Array.from(
        { length: 10 },
        () => spread({ ...PASSING, waitMs: 400, objectiveRemainingMs: 0 }),
      );
      expect(Math.max(...returns) - Math.min(...returns)).to.be.above(200);
    });
  });

  describe("for a caller whose objective can still be met", () => {
    it("brings it back in time", () => {
      const spread = createRetryAfterSampler(() => 1);
      expect(spread({ ...PASSING, waitMs: 800, objectiveRemainingMs: 180 })).to
        .be.below(
          180,
        );
    });
  });

  describe("for a caller that found no room", () => {
    // Symptom: callers that are refused come back a tenth of a second later and are refused for good.
    // Sequence: a wave of two seconds is more than a server can do; each caller comes back within it.
    // Cause: the time of return was for meeting the objective, which can't be met in a wave.
    it("brings it back late, within what callers heed", () => {
      const full = {
        waitMs: 280,
        objectiveRemainingMs: 380,
        isTransient: false,
      };
      const draw = (random: number) =>
        createRetryAfterSampler(() => random)({ ...full, remainingMs: 2_400 });
      expect(draw(0)).to.be.above(500);
      expect(draw(1)).to.be.below(800);
    });
  });

  describe("for a caller whose objective is lost", () => {
    it("brings it back when there is room", () => {
      const spread = createRetryAfterSampler(() => 0.5);
      expect(spread({ ...PASSING, waitMs: 300, objectiveRemainingMs: -20 })).to
        .equal(300);
    });
  });
});
