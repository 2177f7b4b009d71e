/**
 * Measures how long keys are not served when daemons, hosts, an availability zone, the planner or the store fail, and
 * the rate of store calls during the failure.
 *
 * @module
 */
import { fileURLToPath } from "node:url";
import { setTimeout as sleep } from "node:timers/promises";
import { ATLAS_HOSTS, ProcessFleet, waitFor } from "../fleet.mjs";
import { Prober, summarize } from "./probe.mjs";

const configurationPath = fileURLToPath(
  new URL("../../examples/atlas.json", import.meta.url),
);
/** Keys that are probed for each service. */
const KEYS_PER_SERVICE = 40;
/** How long store calls are counted from the start of a failure. */
const OBSERVATION_MS = 6_000;

/** Runs all failure cases and prints a table. */
export async function run() {
  const fleet = new ProcessFleet(
    fileURLToPath(new URL("../../.run/bench-ownership", import.meta.url)),
  );
  try {
    await runCases(fleet);
    return 0;
  } finally {
    await fleet.stop();
  }
}

async function runCases(fleet) {
  await fleet.startStore();
  const hosts = await Promise.all(
    ATLAS_HOSTS.map((spec) => fleet.startHost(spec)),
  );
  await runOperator(fleet, ["config", "apply", configurationPath, "--wait"]);
  await waitFor(() => isSettled(fleet, hosts.length), "owners of all keys");
  const idleCallRates = await measureCallRates(fleet, 3_000);
  console.log(
    `store calls a second at rest: ${formatCallRates(idleCallRates)}`,
  );
  await printIdleCost(fleet, hosts);
  console.log(
    "| failure | keys hit | median ms | 99th ms | worst ms | store calls a second |",
  );
  console.log("| --- | ---: | ---: | ---: | ---: | --- |");
  const probedHosts = hosts.filter((host) => host.zone === "casablanca-2");
  const zoneHosts = hosts.filter((host) => host.zone === "casablanca-1");
  const [first] = zoneHosts;
  await measure(fleet, "none, to warm up", {
    hosts,
    probedHosts,
    fail: () => Promise.resolve(),
    repair: () => Promise.resolve(),
  });
  await measure(fleet, "none", {
    hosts,
    probedHosts,
    fail: () => Promise.resolve(),
    repair: () => Promise.resolve(),
  });
  await measure(fleet, "a host is lost (SIGKILL)", {
    hosts,
    probedHosts,
    fail: () => kill(fleet, [first]),
    repair: () => restart(fleet, [first]),
  });
  await measure(fleet, "a daemon freezes for 4 s (SIGSTOP)", {
    hosts,
    probedHosts,
    fail: async () => {
      fleet.signal(`daemon-${first.host}`, "SIGSTOP");
      await sleep(4_000);
      fleet.signal(`daemon-${first.host}`, "SIGCONT");
    },
    repair: () => Promise.resolve(),
  });
  const planner = await findPlanner(fleet, hosts);
  await measure(fleet, "the planner's host is lost (SIGKILL)", {
    hosts,
    probedHosts: hosts.filter((host) => host !== planner).slice(0, 4),
    fail: () => kill(fleet, [planner]),
    repair: () => restart(fleet, [planner]),
  });
  await measure(fleet, "a zone is lost: 4 hosts (SIGKILL)", {
    hosts,
    probedHosts,
    fail: () => kill(fleet, zoneHosts),
    repair: () => restart(fleet, zoneHosts),
  });
  await measure(fleet, "a daemon restarts (SIGTERM, then again)", {
    hosts,
    probedHosts,
    fail: async () => {
      fleet.signal(`daemon-${first.host}`, "SIGTERM");
      await fleet.waitForExit(`daemon-${first.host}`);
      fleet.startDaemon(first);
    },
    repair: () => Promise.resolve(),
  });
  await measure(fleet, "the store is down for 5 s", {
    hosts,
    probedHosts,
    fail: async () => {
      await setFaults(fleet, { down: true });
      await sleep(5_000);
      await setFaults(fleet, {});
    },
    repair: () => Promise.resolve(),
  });
}

async function measure(fleet, name, { hosts, probedHosts, fail, repair }) {
  const probers = [
    (key) => `/quotes/${key}`,
    (key) => `/lots?part=${key}`,
    (key) => `/parts/${key}/history`,
  ].map((path) =>
    new Prober({
      path,
      keys: Array.from({ length: KEYS_PER_SERVICE }, (_, index) =>
        `probe-${index}`),
      targets: probedHosts.map((host) =>
        host.data
      ),
    })
  );
  probers.forEach((prober) => prober.start());
  await sleep(1_000);
  probers.forEach((prober) => prober.reset());
  await sleep(300);
  const [callRates] = await Promise.all([
    measureCallRates(fleet, OBSERVATION_MS),
    fail(),
  ]);
  await sleep(500);
  const gaps = probers.flatMap((prober) => prober.gaps());
  await Promise.all(probers.map((prober) => prober.stop()));
  const affectedGaps = gaps.filter((gap) => gap > 60);
  const { median, p99, worst } = summarize(
    affectedGaps.length > 0 ? affectedGaps : gaps,
  );
  const cells = [
    name,
    affectedGaps.length,
    ...[median, p99, worst].map((value) => value.toFixed(0)),
    formatCallRates(callRates),
  ];
  console.log(`| ${cells.join(" | ")} |`);
  await repair();
  await waitFor(
    () => isSettled(fleet, hosts.length),
    `the fleet to recover after: ${name}`,
    60_000,
  );
}

async function kill(fleet, hosts) {
  hosts.forEach(({ host }) => {
    fleet.signal(`daemon-${host}`, "SIGKILL");
    fleet.signal(`backend-${host}`, "SIGKILL");
  });
  await Promise.all(
    hosts.flatMap((
      { host },
    ) => [
      fleet.waitForExit(`daemon-${host}`),
      fleet.waitForExit(`backend-${host}`),
    ]),
  );
}

function restart(fleet, hosts) {
  hosts.forEach((host) => {
    fleet.startDaemon(host);
    fleet.startBackend(host);
  });
  return Promise.resolve();
}

async function runOperator(fleet, args) {
  return await fleet.runTool("operator", [...args, "--store", fleet.store]);
}

async function readStatus(fleet) {
  const status = await runOperator(fleet, ["status", "--json"]);
  return status.code === 0 ? JSON.parse(status.stdout).daemons : [];
}

/** Whether all daemons serve and the keys are spread over all of them. */
async function isSettled(fleet, size) {
  const daemons = await readStatus(fleet);
  const serving = daemons.filter((daemon) => daemon.state === "serving");
  const owned = serving.reduce((sum, daemon) => sum + daemon.partitions, 0);
  return serving.length === size && daemons.length === size &&
    owned === 1_536 && serving.every((daemon) => daemon.partitions > 50);
}

async function findPlanner(fleet, hosts) {
  const daemons = await readStatus(fleet);
  const planner = daemons.find((daemon) => daemon.isPlanner);
  return hosts.find((host) => host.host === planner.host);
}

/** Measures and prints CPU time and memory of the idle daemons. */
async function printIdleCost(fleet, hosts) {
  const names = hosts.map(({ host }) => `daemon-${host}`);
  const before = names.map((name) => fleet.cpuTimeMs(name));
  await sleep(5_000);
  const shares = names.map((name, index) =>
    (fleet.cpuTimeMs(name) - before[index]) / 50
  );
  const memory = names.map((name) => fleet.memoryMegabytes(name));
  const cost = summarize(shares);
  console.log(
    `daemons at rest: % of a core median ${cost.median.toFixed(1)}, worst ${
      cost.worst.toFixed(1)
    }; MB median ${summarize(memory).median.toFixed(0)}, worst ${
      summarize(memory).worst.toFixed(0)
    }\n`,
  );
}

async function setFaults(fleet, faults) {
  await fetch(`${fleet.store}/standin/faults`, {
    method: "POST",
    body: JSON.stringify(faults),
  });
}

async function readCallCounts(fleet) {
  const response = await fetch(`${fleet.store}/standin/counts`);
  return (await response.json()).calls;
}

async function measureCallRates(fleet, milliseconds) {
  const before = await readCallCounts(fleet);
  await sleep(milliseconds);
  const after = await readCallCounts(fleet);
  return Object.fromEntries(
    Object.entries(after).map(([path, count]) => [
      path.replace("/v3/", ""),
      (count - (before[path] ?? 0)) / (milliseconds / 1_000),
    ]),
  );
}

function formatCallRates(callRates) {
  return Object.entries(callRates)
    .filter(([, rate]) => rate > 0)
    .map(([path, rate]) => `${path} ${rate.toFixed(1)}`)
    .join(", ") || "none";
}
