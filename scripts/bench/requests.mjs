/**
 * Measures goodput and latency by offered load, up to three times the capacity of the backend servers.
 *
 * @module
 */
import { readFileSync, writeFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { ATLAS_HOSTS, ProcessFleet, waitFor } from "../fleet.mjs";

/** Service time of a request, during which it occupies a slot. */
const SERVICE_TIME_MS = 20;
/** Requests per second that three backend servers with 6 slots each can serve. */
const CAPACITY_PER_SECOND = 3 * 6 * 1_000 / SERVICE_TIME_MS;
const REQUEST_TIMEOUT_MS = 500;
const LOAD_SECONDS = 8;
/** Offered load as multiples of the capacity. */
const LOAD_FACTORS = [0.5, 0.8, 1, 1.5, 2, 3];

/** Runs each load and prints a table. */
export async function run() {
  const directory = fileURLToPath(
    new URL("../../.run/bench-requests", import.meta.url),
  );
  const fleet = new ProcessFleet(directory);
  try {
    await fleet.startStore();
    const configurationPath = writeConfiguration(directory);
    const specs = ATLAS_HOSTS.filter(({ service }) => service === "quote-desk");
    const hosts = await Promise.all(
      specs.map((spec) =>
        fleet.startHost(spec, { "service-ms": SERVICE_TIME_MS })
      ),
    );
    await runOperator(fleet, ["config", "apply", configurationPath, "--wait"]);
    await waitFor(
      () => areKeysOwned(fleet, 256),
      "owners of all keys",
      30_000,
    );
    console.log(
      `capacity by slots: ${CAPACITY_PER_SECOND} requests a second\n`,
    );
    console.log(
      "| offered / capacity | offered/s | done/s | of done at 1.0 | p50 ms | p99 ms | p99.9 ms | not run | unknown | doubled, lost, false |",
    );
    console.log(
      "| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |",
    );
    await runLoad(fleet, {
      hosts,
      configurationPath,
      rate: CAPACITY_PER_SECOND / 2,
    });
    const rows = [];
    for (const factor of LOAD_FACTORS) {
      const report = await runLoad(fleet, {
        hosts,
        configurationPath,
        rate: CAPACITY_PER_SECOND * factor,
      });
      rows.push({ factor, report });
      await sleep(1_000);
    }
    printRows(rows);
    return 0;
  } finally {
    await fleet.stop();
  }
}

function writeConfiguration(directory) {
  const example = fileURLToPath(
    new URL("../../examples/atlas.json", import.meta.url),
  );
  const document = JSON.parse(readFileSync(example, "utf8"));
  const [quotes] = document.services;
  quotes.operations[0].timeout_ms = REQUEST_TIMEOUT_MS;
  const path = `${directory}/quotes.json`;
  writeFileSync(path, JSON.stringify({ ...document, services: [quotes] }));
  return path;
}

async function runLoad(fleet, { hosts, configurationPath, rate }) {
  const result = await fleet.runTool("load", [
    "--targets",
    hosts.map(({ data }) => data).join(","),
    "--ledgers",
    hosts.map(({ backend }) => backend).join(","),
    "--configuration",
    configurationPath,
    "--rate",
    String(rate),
    "--seconds",
    String(LOAD_SECONDS),
    "--hot-share",
    "0",
    "--connections",
    "512",
    "--output",
    "json",
  ]);
  return JSON.parse(result.stdout);
}

function printRows(rows) {
  const atCapacity = rows.find(({ factor }) => factor === 1).report;
  rows.forEach(({ factor, report }) => {
    const [operation] = report.operations;
    const done = report.totals.done ?? 0;
    const cells = [
      factor.toFixed(1),
      (report.sent / LOAD_SECONDS).toFixed(0),
      (done / LOAD_SECONDS).toFixed(0),
      `${(100 * done / atCapacity.totals.done).toFixed(0)} %`,
      operation.p50.toFixed(0),
      operation.p99.toFixed(0),
      operation.p999.toFixed(0),
      report.totals.not_run ?? 0,
      report.totals.unknown ?? 0,
      `${report.doubled}, ${report.lost}, ${report.falselyNotRun}`,
    ];
    console.log(`| ${cells.join(" | ")} |`);
  });
}

function runOperator(fleet, args) {
  return fleet.runTool("operator", [...args, "--store", fleet.store]);
}

async function areKeysOwned(fleet, partitions) {
  const status = await runOperator(fleet, ["status", "--json"]);
  const daemons = status.code === 0 ? JSON.parse(status.stdout).daemons : [];
  return daemons.reduce((sum, each) => sum + each.partitions, 0) === partitions;
}
