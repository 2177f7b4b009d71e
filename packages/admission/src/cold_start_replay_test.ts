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
    // Guards against refusing requests whose deadline lies after the moment at which the keys become warm, and against
    // starting requests that reach their deadline while they run: 0.47 and 0.96 of the first windows were served.
    it("serves nearly as many requests as with full knowledge", () => {
      const [first, second] = servedShares({}, QueuePolicy.create);
      expect(first).to.be.at.least(0.7);
      expect(second).to.be.at.least(0.99);
      const [firstKnown, secondKnown] = servedShares(
        {},
        (scenario) => FullKnowledgePolicy.create(scenario, "on_time_first"),
      );
      expect(first).to.be.at.least(firstKnown! - 0.06);
      expect(second).to.be.at.least(secondKnown! - 0.01);
    });

    // Guards against idle slots before the keys become warm where running requests become faster, too.
    it("serves more if running requests become faster with the server", () => {
      const [first, second] = servedShares(
        { keepsInitialSpeed: false },
        QueuePolicy.create,
      );
      expect(first).to.be.at.least(0.74);
      expect(second).to.be.at.least(0.99);
    });

    // Guards against refusals by assumed factors where servers and keys are not slow at all while they are cold.
    it("serves all requests of servers that are as fast as usual", () => {
      const shares = servedShares(
        { serverFactor: 1, keyFactor: 1 },
        QueuePolicy.create,
      );
      expect(shares).to.deep.equal([1, 1, 1, 1]);
    });
  });

  describe("replaying it with a limit of starts and keys that stay cold for 5 s", () => {
    // Guards against the same where keys are cold for longer than assumed: 0.43, 0.56 and 0.97 were served.
    it("serves more in each window", () => {
      const shares = servedShares(LIMITED, QueuePolicy.create);
      expect(shares[0]).to.be.at.least(0.45);
      expect(shares[1]).to.be.at.least(0.7);
      expect(shares[2]).to.be.at.least(0.99);
    });
  });
});
