/**
 * Replays of hot keys and uneven owners: the load of docs/design/hard_load.md, part 3.
 *
 * @module
 */
import { expect } from "chai";
import { DEPLOYMENTS } from "./testing/hot_key_load.ts";
import {
  PRODUCT_PLANNER,
  type ReplayedPlanner,
  replayHotKeys,
} from "./testing/hot_key_replay.ts";
import type { RebalanceCost } from "./testing/rebalance_simulation.ts";

const SEEDS = [1, 2, 3];
const MANY_SEEDS = [1, 2, 3, 4, 5, 6];
/** The planner before `RebalancePlanner`: it plans each 250 ms, and begins what it planned first. */
const PLANS_ONCE: ReplayedPlanner = { kind: "planner" };

function replay(
  deployment: (typeof DEPLOYMENTS)[number],
  planner: ReplayedPlanner,
  seeds: readonly number[] = SEEDS,
) {
  const costs = seeds.map((seed) =>
    replayHotKeys(deployment, planner, { seed })
  );
  const sumOf = (key: keyof RebalanceCost) =>
    costs.reduce((sum, cost) => sum + cost[key], 0);
  return {
    refusedShare: sumOf("refused") / sumOf("requests"),
    lateShare: sumOf("late") / sumOf("requests"),
    movedKeys: sumOf("movedKeys") / seeds.length,
    writes: sumOf("writes") / seeds.length,
  };
}

describe("replay of hot keys and uneven owners", () => {
  DEPLOYMENTS.forEach((deployment) => {
    describe(deployment.name, () => {
      // Guards against a replay whose load can't be served whoever owns the keys: it would show nothing about planners.
      it("can be served by owners that are assigned with full knowledge", () => {
        const best = replay(deployment, { kind: "full_knowledge" });
        expect(best.refusedShare).to.be.below(0.02);
        expect(best.movedKeys).to.be.below(1_000);
      }).timeout(60_000);

      // Guards against a replay in which it does not matter who owns the keys.
      it("can't be served by owners that never move keys", () => {
        const without = replay(deployment, {
          kind: "planner",
          create: () => ({ plan: () => [] }),
        });
        expect(without.refusedShare).to.be.above(0.15);
      }).timeout(60_000);

      // Guards against moves of the size that was right when they were planned: some 0.6 s later, when they begin, keys
      // that have just become hot cause twice the load, and others are hot no longer. Planned once, moves take twice the
      // store writes, more keys change owners, and more requests are refused.
      it("moves fewer keys and refuses fewer requests than with moves that are planned once", () => {
        const once = replay(deployment, PLANS_ONCE);
        const product = replay(deployment, { ...PRODUCT_PLANNER, holdMs: 0 });
        expect(product.refusedShare).to.be.below(0.9 * once.refusedShare);
        expect(product.writes).to.be.below(0.65 * once.writes);
        expect(product.movedKeys).to.be.below(0.75 * once.movedKeys);
      }).timeout(60_000);
    });
  });

  // Guards against moves that wait for the next heartbeats of both servers while their owner refuses requests. Runs of
  // one seed vary by a fifth, so that it takes several to show a difference of a tenth.
  it("refuses fewer requests if responses are held back while moves are likely", () => {
    const refusedShares = (planner: ReplayedPlanner) =>
      DEPLOYMENTS.map((deployment) =>
        replay(deployment, planner, MANY_SEEDS).refusedShare
      );
    const sumOf = (shares: readonly number[]) =>
      shares.reduce((sum, share) => sum + share, 0);
    const waiting = sumOf(refusedShares({ ...PRODUCT_PLANNER, holdMs: 0 }));
    const product = sumOf(refusedShares(PRODUCT_PLANNER));
    expect(product).to.be.below(0.95 * waiting);
  }).timeout(120_000);
});
