/**
 * Replays overload of a service beside full knowledge: `npm run bench -- admission [SEEDS]`.
 *
 * @module
 */
import {
  createHotOwnerScenario,
  createOverloadScenario,
  createWavesScenario,
} from "../../packages/admission/dist/testing/admission_scenarios.js";
import { AdmissionSimulation } from "../../packages/admission/dist/testing/admission_simulation.js";
import { serveWithFullKnowledge } from "../../packages/admission/dist/testing/full_knowledge.js";

const DURATION_MS = 60_000;
const DEFAULT_SEEDS = 3;
const SCENARIOS = {
  "hot owner": createHotOwnerScenario,
  waves: createWavesScenario,
  overload: createOverloadScenario,
};
function replay(createScenario, seeds) {
  const runs = seeds.map((seed) =>
    AdmissionSimulation.run(createScenario(seed, DURATION_MS))
  );
  const sum = (read) => runs.reduce((total, run) => total + read(run), 0);
  const requests = sum((run) => run.requests);
  const share = (value) => (value / requests).toFixed(3);
  return {
    served: share(sum(({ onTime, late }) => onTime + late)),
    "on time": share(sum(({ onTime }) => onTime)),
    "wasted attempts": share(sum(({ wastedAttempts }) => wastedAttempts)),
    "served retries": (sum(({ servedRetries }) => servedRetries) /
      sum(({ retries }) => retries)).toFixed(3),
    "worst wait, ms": Math.round(
      Math.max(...runs.map(({ worstWaitMs }) => worstWaitMs)),
    ),
    "served by rank": runs[0].ranks.map((_, rank) => {
      const ofRank = sum(({ ranks }) => ranks[rank].requests);
      const served = sum(({ ranks }) => ranks[rank].onTime + ranks[rank].late);
      return ofRank === 0 ? "-" : (served / ofRank).toFixed(3);
    }).join(" "),
  };
}

function replayWithFullKnowledge(createScenario, seeds) {
  const runs = seeds.map((seed) =>
    serveWithFullKnowledge(createScenario(seed, DURATION_MS))
  );
  const mean = (read) =>
    (runs.reduce((total, run) => total + read(run), 0) / runs.length)
      .toFixed(3);
  return {
    served: mean(({ served }) => served),
    "on time": mean(({ onTime }) => onTime),
  };
}

/** Prints the figures of all replays. */
export function run([seedCount = DEFAULT_SEEDS]) {
  const seeds = Array.from(
    { length: Number(seedCount) },
    (_, index) => index + 1,
  );
  Object.entries(SCENARIOS).forEach(([name, createScenario]) => {
    console.log(name);
    console.table({
      queues: replay(createScenario, seeds),
      "full knowledge": replayWithFullKnowledge(createScenario, seeds),
    });
  });
  return 0;
}
