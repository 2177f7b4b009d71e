/**
 * Prints a table of planners on the replay of hot keys: `node packages/keyspace/dist/testing/compare_planners.js`.
 *
 * @module
 */
import { DEPLOYMENTS } from "./hot_key_load.ts";
import {
  PRODUCT_PLANNER,
  type ReplayedPlanner,
  replayHotKeys,
} from "./hot_key_replay.ts";
import type { RebalanceCost } from "./rebalance_simulation.ts";
import { WeighingPlanner } from "./weighing_planner.ts";

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

/** The compared planners by name. */
const PLANNERS: Readonly<Record<string, ReplayedPlanner>> = {
  "no moves": { kind: "planner", create: () => ({ plan: () => [] }) },
  "plans once (before)": { kind: "planner" },
  "plans anew": { kind: "planner", replans: true },
  "anew, each 100 ms": { ...PRODUCT_PLANNER, holdMs: 0 },
  "and held (product)": PRODUCT_PLANNER,
  "and held for 650 ms": { ...PRODUCT_PLANNER, holdMs: 650 },
  "and in parts": { ...PRODUCT_PLANNER, beginsPartially: true },
  "weighs costs": {
    kind: "planner",
    replans: true,
    planIntervalMs: 100,
    holdMs: 300,
    create: () => WeighingPlanner.create(),
  },
  "no wait for heartbeats": {
    kind: "planner",
    replans: true,
    planIntervalMs: 100,
    heartbeatMs: 50,
  },
  "full knowledge": { kind: "full_knowledge" },
};

const COLUMNS = [
  "refused %",
  "late %",
  "keys moved",
  "moves",
  "writes",
  "reads",
  "unowned ms",
];
const NAME_WIDTH = 25;

function meanOf(costs: readonly RebalanceCost[], key: keyof RebalanceCost) {
  return costs.reduce((sum, cost) => sum + cost[key], 0) / costs.length;
}

DEPLOYMENTS.forEach((deployment) => {
  console.log(
    `\n${deployment.name}, 40 s, mean of seeds ${SEEDS.join(", ")}`,
  );
  console.log(
    ["planner".padEnd(NAME_WIDTH), ...COLUMNS].join("  "),
  );
  Object.entries(PLANNERS).forEach(([name, planner]) => {
    const costs = SEEDS.map((seed) =>
      replayHotKeys(deployment, planner, { seed })
    );
    const requests = meanOf(costs, "requests");
    const values = [
      (100 * meanOf(costs, "refused") / requests).toFixed(2),
      (100 * meanOf(costs, "late") / requests).toFixed(2),
      meanOf(costs, "movedKeys").toFixed(0),
      meanOf(costs, "moves").toFixed(0),
      meanOf(costs, "writes").toFixed(0),
      meanOf(costs, "reads").toFixed(0),
      meanOf(costs, "unownedMs").toFixed(0),
    ].map((value, index) => value.padStart(COLUMNS[index]!.length));
    console.log([name.padEnd(NAME_WIDTH), ...values].join("  "));
  });
});
