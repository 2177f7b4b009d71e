/**
 * Tests of retries: what may be tried again, and how much of it.
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
  describe("decision", () => {
    it("never repeats what may have run and is not idempotent, nor passes the deadline", () => {
      const property = fc.property(attempt, context, (summary, given) => {
        const pauseMs = decideRetry(summary, {
          ...given,
          budget: RetryBudget.create(1),
        });
        if (pauseMs !== undefined) {
          expect(summary.surelyNotRun || given.idempotent).to.equal(true);
          expect(given.replayable).to.equal(true);
          expect(pauseMs).to.be.below(given.remainingMs);
        }
      });
      fc.assert(property, { seed: 17, numRuns: 1_000 });
    });

    it("does not ask a server again that refused for lack of room", () => {
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

  describe("budget", () => {
    // Symptom: load triples just when a backend server is slow.
    // Sequence: every request times out and is tried again, three times.
    // Cause: retries that are not bounded by a share of the requests.
    it("allows about a tenth of the requests over time", () => {
      const budget = RetryBudget.create(0.1);
      const retries = Array.from({ length: 10_000 }, () => {
        budget.noteRequest();
        return budget.tryRetry();
      }).filter(Boolean).length;
      expect(retries).to.be.within(1_000, 1_010);
    });
  });

  describe("time to come back", () => {
    it("is never less than the wait, and spread over as long again", () => {
      const property = fc.property(
        fc.nat(10_000),
        fc.double({ min: 0, max: 0.999, noNaN: true }),
        (waitMs, random) => {
          const after = retryAfterMs(waitMs, { leastMs: 500, random });
          expect(after).to.be.within(
            Math.max(500, waitMs),
            2 * Math.max(500, waitMs),
          );
        },
      );
      fc.assert(property, { seed: 19 });
    });
  });
});
