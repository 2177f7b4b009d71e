/**
 * Tests of retries: which requests may be retried, when and how often.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { retryAfterMs } from "./backoff.ts";
import { RetryBudget } from "./retry_budget.ts";
import { decideRetry } from "./retry_policy.ts";

const attempt = fc.record({
  surelyNotRun: fc.boolean(),
  ownershipMoved: fc.boolean(),
});
const context = fc.record({
  attempts: fc.integer({ min: 1, max: 20 }),
  remainingMs: fc.integer({ min: -10, max: 5_000 }),
  idempotent: fc.boolean(),
  replayable: fc.boolean(),
  random: fc.double({ min: 0, max: 0.999, noNaN: true }),
});

describe("retries", () => {
  describe("decideRetry", () => {
    it("never retries a request that may have run and is not idempotent, nor past the deadline", () => {
      const property = fc.property(attempt, context, (summary, given) => {
        const delayMs = decideRetry(summary, {
          ...given,
          budget: RetryBudget.create(1),
        });
        if (delayMs !== undefined) {
          expect(summary.surelyNotRun || given.idempotent).to.equal(true);
          expect(given.replayable).to.equal(true);
          expect(delayMs).to.be.below(given.remainingMs);
        }
      });
      fc.assert(property, { seed: 17, numRuns: 1_000 });
    });

    it("does not retry a request that a server refused for lack of capacity", () => {
      const given = {
        attempts: 1,
        remainingMs: 1_000,
        idempotent: true,
        replayable: true,
        random: 0,
      };
      const refused = { surelyNotRun: true, ownershipMoved: false };
      expect(decideRetry(refused, { ...given, budget: RetryBudget.create(1) }))
        .to.equal(undefined);
    });
  });

  describe("RetryBudget", () => {
    // Guards against the load tripling just when a backend server is slow: every request times out and is attempted
    // three times if retries are not bounded to a share of the requests.
    it("allows retries for about a tenth of the requests over time", () => {
      const budget = RetryBudget.create(0.1);
      const retries = Array.from({ length: 10_000 }, () => {
        budget.recordRequest();
        return budget.tryRetry();
      }).filter(Boolean).length;
      expect(retries).to.be.within(1_000, 1_010);
    });
  });

  describe("retryAfterMs", () => {
    it("is never less than the wait, with jitter of up to as long again", () => {
      const property = fc.property(
        fc.nat(10_000),
        fc.double({ min: 0, max: 0.999, noNaN: true }),
        (waitMs, random) => {
          const delayMs = retryAfterMs(waitMs, { minMs: 500, random });
          expect(delayMs).to.be.within(
            Math.max(500, waitMs),
            2 * Math.max(500, waitMs),
          );
        },
      );
      fc.assert(property, { seed: 19 });
    });
  });
});
