/**
 * Prints the figures of the zone replays: `node scripts/zone_replay.mjs [UTILIZATIONS]`, after a build. Each line is the
 * mean of two seeds.
 *
 * @module
 */
import {
  chooseByScore,
  createAffinityChoice,
  createInformedChoice,
} from "../packages/placement/dist/testing/zone_policies.js";
import {
  createScenario,
  EVEN_SPEEDS,
  FEW_SPEEDS,
  summarize,
  UNEVEN_SPEEDS,
} from "../packages/placement/dist/testing/zone_scenarios.js";
import { ZoneSimulation } from "../packages/placement/dist/testing/zone_simulation.js";

const SEEDS = [7, 14];
const UTILIZATIONS = (process.argv[2] ?? "0.6,0.7,0.8").split(",").map(Number);
const SPEEDS = { even: EVEN_SPEEDS, uneven: UNEVEN_SPEEDS, few: FEW_SPEEDS };
/** Created for each run, because some keep state. */
const POLICIES = {
  score: () => chooseByScore,
  informed: () =>
    createInformedChoice({ smallRequestShare: 0.7, largeBytes: 8_000 }),
  affinity: () => createAffinityChoice({ followsShares: false }),
  shares: () => createAffinityChoice(),
};

function measure(scenario, createPolicy) {
  const summaries = SEEDS.map((seed) =>
    summarize(
      ZoneSimulation.run(createScenario({ ...scenario, seed }), createPolicy()),
    )
  );
  const total = (field) =>
    summaries.reduce((sum, summary) => sum + summary[field], 0);
  return (field, digits) => (total(field) / SEEDS.length).toFixed(digits);
}

Object.entries(SPEEDS).forEach(([name, speeds]) =>
  UTILIZATIONS.forEach((utilization) =>
    Object.entries(POLICIES).forEach(([choice, createPolicy]) => {
      const mean = measure({ speeds, utilization }, createPolicy);
      console.log([
        name,
        utilization,
        choice,
        `on time ${mean("onTime", 3)}`,
        `worst zone ${mean("worstZoneOnTime", 3)}`,
        `refused ${mean("refused", 4)}`,
        `MB ${mean("crossZoneMegabytes", 1)}`,
        `uploads ${mean("crossedUploads", 0)}`,
        `small ${mean("crossedRequests", 0)} of ${mean("requests", 0)}`,
        `utilization ${mean("meanUtilization", 2)}`,
        `highest ${mean("maxUtilization", 2)}`,
      ].join(", "));
    })
  )
);
