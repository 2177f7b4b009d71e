/**
 * Goodput and latency over offered load, up to three times what the servers can do.
 *
 * @module
 */
import { readFileSync, writeFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { ATLAS_HOSTS, ProcessFleet, waitFor } from "../fleet.mjs";

/** Three servers with 6 slots each; a request holds a slot for this long. */
const SERVICE_MS = 20;
const CAPACITY = 3 * 6 * 1_000 / SERVICE_MS;
const TIMEOUT_MS = 500;
const SECONDS = 8;
const LOADS = [0.5, 0.8, 1, 1.5, 2, 3];

/** Runs all loads and prints their table. */
export async function run() {
  const directory = fileURLToPath(
    new URL("../../.run/bench-requests", import.meta.url),
  );
  const fleet = new ProcessFleet(directory);
  try {
    await fleet.startStore();
    const document = writeDocument(directory);
    const places = ATLAS_HOSTS.filter(({ service }) =>
      service === "quote-desk"
    );
    const hosts = await Promise.all(
      places.map((place) =>
        fleet.startHost(place, { "service-ms": SERVICE_MS })
      ),
    );
    await operate(fleet, ["config", "apply", document, "--wait"]);
    await waitFor(
      () => isOwned(fleet, 256),
      "owners for all keys",
      30_000,
    );
    console.log(`capacity by slots: ${CAPACITY} requests a second\n`);
    console.log(
      "| offered / capacity | offered/s | done/s | of done at 1.0 | p50 ms | p99 ms | p99.9 ms | not run | unknown | doubled, lost, false |",
    );
    console.log(
      "| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |",
    );
    await load(fleet, { hosts, document, rate: CAPACITY / 2 });
    const rows = [];
    for (const factor of LOADS) {
      const report = await load(fleet, {
        hosts,
        document,
        rate: CAPACITY * factor,
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

function writeDocument(directory) {
  const example = fileURLToPath(
    new URL("../../examples/atlas.json", import.meta.url),
  );
  const document = JSON.parse(readFileSync(example, "utf8"));
  const [quotes] = document.services;
  quotes.operations[0].timeout_ms = TIMEOUT_MS;
  const path = `${directory}/quotes.json`;
  writeFileSync(path, JSON.stringify({ ...document, services: [quotes] }));
  return path;
}

async function load(fleet, { hosts, document, rate }) {
  const result = await fleet.runTool("load", [
    "--targets",
    hosts.map(({ data }) => data).join(","),
    "--ledgers",
    hosts.map(({ backend }) => backend).join(","),
    "--configuration",
    document,
    "--rate",
    String(rate),
    "--seconds",
    String(SECONDS),
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
  const full = rows.find(({ factor }) => factor === 1).report;
  rows.forEach(({ factor, report }) => {
    const [operation] = report.operations;
    const done = report.totals.done ?? 0;
    const cells = [
      factor.toFixed(1),
      (report.sent / SECONDS).toFixed(0),
      (done / SECONDS).toFixed(0),
      `${(100 * done / full.totals.done).toFixed(0)} %`,
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

function operate(fleet, args) {
  return fleet.runTool("operator", [...args, "--store", fleet.store]);
}

async function isOwned(fleet, partitions) {
  const status = await operate(fleet, ["status", "--json"]);
  const daemons = status.code === 0 ? JSON.parse(status.stdout).daemons : [];
  return daemons.reduce((sum, each) => sum + each.partitions, 0) === partitions;
}
