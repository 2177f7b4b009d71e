/**
 * Tests of the rate limit on log lines.
 *
 * @module
 */
import { expect } from "chai";
import { LineRateLimiter } from "./line_rate_limiter.ts";

describe("line rate limiter", () => {
  describe("when one event occurs thousands of times a second", () => {
    it("limits its lines, counts the suppressed ones and does not affect a rare event", () => {
      const limiter = LineRateLimiter.create();
      const written = Array.from(
        { length: 10_000 },
        (_, index) => limiter.take("frequent", index / 10),
      ).filter(({ mayWrite }) => mayWrite);
      expect(written.length).to.be.below(100);
      expect(limiter.take("rare", 1_000).mayWrite).to.equal(true);
      const reported = [...written, limiter.take("frequent", 6_000)]
        .reduce((sum, { suppressedLines }) => sum + suppressedLines, 0);
      expect(written.length + reported).to.equal(10_000);
    });
  });
});
