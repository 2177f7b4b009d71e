/**
 * A replay of the seconds after all hosts have lost power: servers and keys are cold, and all callers are there at
 * once.
 *
 * @module
 */
import { expect } from "chai";
import {
  FullKnowledgePolicy,
  QueuePolicy,
} from "./testing/cold_start_policies.ts";
import {
  BASE_SCENARIO,
  type ColdStartScenario,
} from "./testing/cold_start_scenario.ts";
import {
  type OwnerPolicy,
  simulateColdStart,
} from "./testing/cold_start_simulation.ts";

const SEEDS = [1, 2, 3];

/** Shares of the requests of each window of 2 s that are served, over all seeds. */
function servedShares(
  changes: Partial<ColdStartScenario>,
  createPolicy: (scenario: ColdStartScenario) => OwnerPolicy,
): number[] {
  const runs = SEEDS.map((seed) =>
    simulateColdStart({ ...BASE_SCENARIO, ...changes, seed }, createPolicy)
  );
  return runs[0]!.map((_, window) => {
    const results = runs.map((run) => run[window]!);
    const sum = (field: "served" | "offered") =>
      results.reduce((total, result) => total + result[field], 0);
    return sum("served") / sum("offered");
  });
}

/** Servers that also limit their starts, and keys that stay cold for longer. */
const LIMITED: Partial<ColdStartScenario> = { coldLimit: 26, keyColdMs: 5_000 };

describe("the queue of a cold server", () => {
  describe("replaying a loss of all power", () => {
    it("serves requests in the first windows", () => {
      const [first, second] = servedShares({}, QueuePolicy.create);
      expect(first).to.be.at.least(0.42);
      expect(second).to.be.at.least(0.93);
    });

    it("serves nearly all with full knowledge", () => {
      const [first, second] = servedShares(
        {},
        (scenario) => FullKnowledgePolicy.create(scenario, "earliest_deadline"),
      );
      expect(first).to.be.at.least(0.9);
      expect(second).to.be.at.least(0.99);
    });
  });

  describe("replaying it with a limit of starts and keys that stay cold for 5 s", () => {
    it("serves requests in the first windows", () => {
      const shares = servedShares(LIMITED, QueuePolicy.create);
      expect(shares[0]).to.be.at.least(0.4);
      expect(shares[1]).to.be.at.least(0.52);
      expect(shares[2]).to.be.at.least(0.93);
    });
  });
});
