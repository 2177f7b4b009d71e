/**
 * Tests of the bound on the retries of the whole fleet.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { FleetRetryBudget } from "./fleet_retry_budget.ts";

const LIMITS = { ratio: 0.2, extra: 60, windowMs: 10_000 };

describe("FleetRetryBudget", () => {
  describe("for any requests at daemons without coordination", () => {
    it("keeps the retries of a window within the allowance of the fleet", () => {
      const requests = fc.array(fc.nat(200), { minLength: 2, maxLength: 8 });
      const property = fc.property(requests, (perDaemon) => {
        const retries = perDaemon.map((count) => {
          const budget = FleetRetryBudget.create(LIMITS);
          Array.from(
            { length: count },
            (_, index) => budget.recordRequest("service", index * 10),
          );
          let sent = 0;
          while (
            budget.allows("service", {
              nowMs: 2_000,
              daemons: perDaemon.length,
            })
          ) {
            budget.recordRetry("service", 2_000);
            sent += 1;
          }
          return sent;
        });
        const requestCount = perDaemon.reduce((sum, count) => sum + count, 0);
        const sent = retries.reduce((sum, count) => sum + count, 0);
        expect(sent).to.be.at.most(LIMITS.ratio * requestCount + LIMITS.extra);
      });
      fc.assert(property, { seed: 5, numRuns: 200 });
    });
  });

  describe("after a window", () => {
    it("no longer counts its retries", () => {
      const budget = FleetRetryBudget.create({ ...LIMITS, extra: 2 });
      budget.recordRetry("service", 0);
      expect(budget.allows("service", { nowMs: 1, daemons: 1 })).to.equal(
        false,
      );
      expect(budget.allows("service", { nowMs: 10_001, daemons: 1 })).to.equal(
        true,
      );
    });
  });
});
