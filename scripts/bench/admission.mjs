/**
 * Compares rules for the queue of a server on replays of overload: `npm run bench -- admission [SEEDS]`.
 *
 * @module
 */
import {
  percentile,
  servedShare,
} from "../../packages/admission/dist/testing/admission_model.js";
import {
  createBurstScenario,
  createHotOwnerScenario,
  createOverloadScenario,
  createSteadyScenario,
  createWavesScenario,
} from "../../packages/admission/dist/testing/admission_scenarios.js";
import {
  AdmissionSimulation,
  createWorkQueue,
} from "../../packages/admission/dist/testing/admission_simulation.js";
import { serveWithFullKnowledge } from "../../packages/admission/dist/testing/full_knowledge.js";
import {
  EarliestDeadlineQueue,
  NewestFirstQueue,
} from "../../packages/admission/dist/testing/queue_rules.js";

const DURATION_MS = 30_000;
const DEFAULT_SEEDS = 3;
const DEADLINES_MS = [1_200, 2_000, 2_000];
const HABITS = {
  "no retries": { maxRetries: 0, heedsRetryAfter: true },
  "one retry": { maxRetries: 1, heedsRetryAfter: true },
  "one retry at once": { maxRetries: 1, heedsRetryAfter: false },
  "many retries": { maxRetries: 10, heedsRetryAfter: true },
  "many retries at once": { maxRetries: 10, heedsRetryAfter: false },
};
const steady = (load, habits) => (seed, durationMs) =>
  createSteadyScenario(seed, {
    load,
    durationMs,
    deadlinesMs: DEADLINES_MS,
    habits,
  });
const SCENARIOS = {
  "hot owner": createHotOwnerScenario,
  waves: createWavesScenario,
  overload: createOverloadScenario,
  bursts: createBurstScenario,
  "load 0.9": steady(0.9, HABITS["one retry"]),
  ...Object.fromEntries(
    [1.2, 1.5, 3].flatMap((load) =>
      Object.entries(HABITS).map((
        [name, habits],
      ) => [`load ${load}, ${name}`, steady(load, habits)])
    ),
  ),
};
const RULES = {
  "bounded wait": createWorkQueue,
  "earliest deadline": EarliestDeadlineQueue.create,
  "newest first": NewestFirstQueue.create,
};

function replay(createScenario, createQueue, seeds) {
  const runs = seeds.map((seed) =>
    AdmissionSimulation.run(createScenario(seed, DURATION_MS), createQueue)
  );
  const kinds = runs.flatMap((run) => run.kinds);
  const all = (field) => kinds.flatMap((kind) => kind[field]);
  const sum = (field) => kinds.reduce((total, kind) => total + kind[field], 0);
  const show = (values, share) => Math.round(percentile(values, share));
  const byKind = runs[0].kinds.map((_, index) =>
    servedShare(runs.map((run) => run.kinds[index])).toFixed(3)
  );
  return {
    served: servedShare(kinds).toFixed(3),
    "by kind": byKind.join(" "),
    "served after, ms": `${show(all("servedMs"), 0.5)} ${
      show(all("servedMs"), 0.99)
    }`,
    "refused after, ms": `${show(all("refusedMs"), 0.5)} ${
      show(all("refusedMs"), 0.99)
    }`,
    "left then, ms": `${show(all("leftMs"), 0.5)} ${show(all("leftMs"), 0.01)}`,
    "served of told": (sum("servedToldRetries") / sum("toldRetries"))
      .toFixed(3),
  };
}

function replayWithFullKnowledge(createScenario, seeds) {
  const shares = seeds.map((seed) =>
    serveWithFullKnowledge(createScenario(seed, DURATION_MS))
  );
  const served = shares.reduce((sum, share) => sum + share, 0) / seeds.length;
  return { served: served.toFixed(3) };
}

/** Prints the figures of all replays; times are the median and the 99th percentile, of time left the first. */
export function run([seedCount = DEFAULT_SEEDS]) {
  const seeds = Array.from(
    { length: Number(seedCount) },
    (_, index) => index + 1,
  );
  Object.entries(SCENARIOS).forEach(([name, createScenario]) => {
    console.log(name);
    console.table({
      ...Object.fromEntries(
        Object.entries(RULES).map((
          [rule, createQueue],
        ) => [rule, replay(createScenario, createQueue, seeds)]),
      ),
      "full knowledge": replayWithFullKnowledge(createScenario, seeds),
    });
  });
  return 0;
}
