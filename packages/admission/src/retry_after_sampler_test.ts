/**
 * Tests of the retry-after delays of refused callers.
 *
 * @module
 */
import { expect } from "chai";
import { createRetryAfterSampler } from "./retry_after_sampler.ts";

/** A refusal whose cause ends within moments. */
const TRANSIENT = { remainingMs: 2_000, isTransient: true };

describe("createRetryAfterSampler", () => {
  describe("for callers that are refused together", () => {
    it("spreads their retries", () => {
      let state = 0;
      const sampleDelay = createRetryAfterSampler(() => (state += 0.1) % 1);
      const delays = Array.from(
        { length: 10 },
        () =>
          sampleDelay({ ...TRANSIENT, waitMs: 400, objectiveRemainingMs: 0 }),
      );
      expect(Math.max(...delays) - Math.min(...delays)).to.be.above(200);
    });
  });

  describe("for a caller whose objective can still be met", () => {
    it("returns a delay within that time", () => {
      const sampleDelay = createRetryAfterSampler(() => 1);
      expect(
        sampleDelay({ ...TRANSIENT, waitMs: 800, objectiveRemainingMs: 180 }),
      ).to
        .be.below(
          180,
        );
    });
  });

  describe("for a caller refused for lack of capacity", () => {
    // Guards against callers that retry 0.1 s after a refusal, within the same load peak of 2 s, and are refused for
    // good: the delay is derived from the objective, which can't be met during a peak.
    it("returns a long delay, but one that callers do not ignore", () => {
      const overloaded = {
        waitMs: 280,
        objectiveRemainingMs: 380,
        isTransient: false,
      };
      const draw = (random: number) =>
        createRetryAfterSampler(() => random)({
          ...overloaded,
          remainingMs: 2_400,
        });
      expect(draw(0)).to.be.above(500);
      expect(draw(1)).to.be.below(800);
    });
  });

  describe("for a caller whose objective is missed", () => {
    it("returns the expected wait", () => {
      const sampleDelay = createRetryAfterSampler(() => 0.5);
      expect(
        sampleDelay({ ...TRANSIENT, waitMs: 300, objectiveRemainingMs: -20 }),
      ).to
        .equal(300);
    });
  });
});
