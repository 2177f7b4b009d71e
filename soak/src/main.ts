/**
 * Command line of the soak: runs seeds, `together` of them in parallel, and prints each that violates a guarantee.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { runSoak } from "./soak_run.ts";

const { values } = parseArgs({
  options: {
    seeds: { type: "string", default: "10" },
    first: { type: "string" },
    seconds: { type: "string", default: "12" },
    together: { type: "string", default: "2" },
  },
});
const first = Number(values.first ?? Math.floor(Math.random() * 1_000_000));
const seeds = Array.from(
  { length: Number(values.seeds) },
  (_, offset) => first + offset,
);
let failedCount = 0;

/** Runs seeds one after the other until none is left; `network` is the second byte of their loopback addresses. */
async function runSeeds(network: number): Promise<void> {
  const seed = seeds.shift();
  if (seed === undefined) {
    return;
  }
  const result = await runSoak(seed, {
    durationMs: Number(values.seconds) * 1_000,
    network,
  });
  failedCount += result.violations.length > 0 ? 1 : 0;
  const verdict = result.violations.length === 0 ? "ok" : "BROKEN";
  console.log(
    `seed ${seed}: ${verdict}, ${result.servedCount} of ${result.requestCount} served`,
  );
  result.violations.slice(0, 5).forEach((line) => console.log(`  ${line}`));
  if (result.violations.length > 0) {
    result.faults.forEach((fault) => console.log(`  ${JSON.stringify(fault)}`));
  }
  await runSeeds(network);
}

await Promise.all(
  Array.from(
    { length: Number(values.together) },
    (_, index) => runSeeds(60 + index),
  ),
);
console.log(`${failedCount} seeds violated a guarantee`);
process.exit(failedCount === 0 ? 0 : 1);
