/**
 * Shows what callers of an overloaded service see, with real router processes on loopback:
 * `npm run bench -- callers [SECONDS]`.
 *
 * Groups of callers with the same needs should have the same figures, also where other callers of their route give more
 * time, and whatever latency the operators aim at.
 *
 * @module
 */
import {
  sendOpenLoop,
  summarizeGroup,
} from "../../platform/dist/testing/open_loop_callers.js";
import {
  encodeConfiguration,
  PlatformFleet,
} from "../../platform/dist/testing/platform_fleet.js";
import { seededRandom } from "../../packages/simulation/dist/mod.js";

const NETWORK = 167;
/** Requests per second that three backend servers with 4 slots each can serve at 100 ms a request. */
const CAPACITY = 120;
const WORK_MS = 100;
/** Left out: the queues of a load that begins are longer than those of one that lasts. */
const WARM_UP_MS = 8_000;
const SEED = 1;
const DEFAULT_SECONDS = 10;

const group = (name, path, deadlineMs, share) => ({
  name,
  path,
  deadlineMs,
  share,
});

/** Callers that give 1,200 ms, on a route on which others give 2,000 ms and on one on which all give 1,200 ms. */
const MIXED_DEADLINES = [
  group("usual", "/plain/1", 2_000, 0.4),
  group("briefer than usual", "/plain/1", 1_200, 0.2),
  group("as brief as usual", "/brief/1", 1_200, 0.4),
];
const ONE_ROUTE = [group("all", "/plain/1", 2_000, 1)];

/** The operators' document with another `target_latency_ms` on all routes. */
function withTarget(targetMs) {
  const document = JSON.parse(encodeConfiguration(1, "plain", ["brief"]));
  const { columns, rows } = document.routes;
  const index = columns.indexOf("target_latency_ms");
  rows.forEach((row) => row[index] = targetMs);
  return JSON.stringify(document);
}

const SCENARIOS = [
  ...[1.2, 1.5, 3].map((load) => ({
    load,
    targetMs: 500,
    groups: MIXED_DEADLINES,
  })),
  ...[1.5, 3].flatMap((load) =>
    [250, 2_900].map((targetMs) => ({ load, targetMs, groups: ONE_ROUTE }))
  ),
];

async function play({ load, targetMs, groups }, seconds) {
  const fleet = await PlatformFleet.create(
    ["plain", "plain", "plain"],
    NETWORK,
    { configuration: withTarget(targetMs), workMs: WORK_MS },
  );
  try {
    const results = await sendOpenLoop(
      fleet,
      groups.map(({ share, ...rest }) => ({
        ...rest,
        perSecond: share * load * CAPACITY,
      })),
      {
        durationMs: WARM_UP_MS + seconds * 1_000,
        warmUpMs: WARM_UP_MS,
        random: seededRandom(SEED),
      },
    );
    return groups.map(({ name }) => {
      const figures = summarizeGroup(results, name);
      return {
        load,
        "target, ms": targetMs,
        callers: name,
        requests: figures.requests,
        served: figures.servedShare.toFixed(3),
        "median served, ms": Math.round(figures.medianServedMs),
        "median refused, ms": Math.round(figures.medianRefusedMs),
        "last refused, ms": Math.round(figures.lastRefusedMs),
        "median Retry-After, ms": Math.round(figures.medianRetryAfterMs),
      };
    });
  } finally {
    await fleet.close();
  }
}

/** Plays all loads and prints the figures of each group of callers. */
export async function run([seconds = DEFAULT_SECONDS]) {
  const rows = [];
  for (const scenario of SCENARIOS) {
    rows.push(...await play(scenario, Number(seconds)));
  }
  console.table(rows);
  return 0;
}
