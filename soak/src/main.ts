/**
 * Command line of the soak: runs seeds, `together` of them in parallel, and prints each that violates a guarantee.
 *
 * @module
 */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { NO_FAULTS } from "./fault_schedule.ts";
import type { RouteDelay } from "./route_caller.ts";
import { runSoak } from "./soak_run.ts";

const { values } = parseArgs({
  options: {
    seeds: { type: "string", default: "10" },
    first: { type: "string" },
    seconds: { type: "string", default: "12" },
    together: { type: "string", default: "2" },
    network: { type: "string", default: "60" },
    "only-series": { type: "boolean", default: false },
    "only-late-effects": { type: "boolean", default: false },
    "log-folder": { type: "string" },
  },
});
const first = Number(values.first ?? Math.floor(Math.random() * 1_000_000));
const seeds = Array.from(
  { length: Number(values.seeds) },
  (_, offset) => first + offset,
);
const routeDelays: RouteDelay[] = [];
let failedCount = 0;

/** Runs seeds one after the other until none is left; `network` is the second byte of their loopback addresses. */
async function runSeeds(network: number): Promise<void> {
  const seed = seeds.shift();
  if (seed === undefined) {
    return;
  }
  const result = await runSoak(seed, {
    ...(values["only-series"] ? { ...NO_FAULTS, hasSeries: true } : {}),
    ...(values["only-late-effects"]
      ? { ...NO_FAULTS, hasLateEffects: true }
      : {}),
    durationMs: Number(values.seconds) * 1_000,
    network,
  });
  routeDelays.push(...result.routeDelays);
  failedCount += result.violations.length > 0 ? 1 : 0;
  const verdict = result.violations.length === 0 ? "ok" : "BROKEN";
  console.log(
    `seed ${seed}: ${verdict}, ${result.servedCount} of ${result.requestCount} served`,
  );
  result.violations.slice(0, 5).forEach((line) => console.log(`  ${line}`));
  if (result.violations.length > 0) {
    result.faults.forEach((fault) => console.log(`  ${JSON.stringify(fault)}`));
    if (values["log-folder"] !== undefined) {
      writeFileSync(join(values["log-folder"], `${seed}.log`), result.log);
    }
  }
  await runSeeds(network);
}

/** Describes how long daemons took to serve new routes. */
function describeRouteDelays(): string {
  const delays = routeDelays
    .flatMap(({ delayMs }) => delayMs === undefined ? [] : [delayMs])
    .sort((left, right) => left - right);
  const quantiles = [0.5, 0.9, 0.99, 1].map((share) =>
    `${share * 100}%: ${
      delays[Math.min(delays.length - 1, Math.floor(delays.length * share))]
    } ms`
  );
  const lateDenials = routeDelays.reduce(
    (sum, route) => sum + route.lateDenials,
    0,
  );
  return `${delays.length} of ${routeDelays.length} new routes served, ${
    quantiles.join(", ")
  }; ${lateDenials} requests on them denied after the apply timeout`;
}

await Promise.all(
  Array.from(
    { length: Number(values.together) },
    (_, index) => runSeeds(Number(values.network) + index),
  ),
);
console.log(describeRouteDelays());
console.log(`${failedCount} seeds violated a guarantee`);
process.exit(failedCount === 0 ? 0 : 1);
