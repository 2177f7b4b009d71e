/**
 * Measures the growth rates behind `docs/CAPACITY.md`: the cost of an idle daemon by fleet size, with real processes, and
 * the cost and size of the data structures up to the full fleet size, with the production code.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import {
  assignPartitions,
  createShards,
  findEndTimes,
  planMoves,
  rankWatchers,
  rewriteShard,
} from "../../packages/ownership/dist/mod.js";
import { OwnershipTable } from "../../packages/routing/dist/mod.js";
import { readFleetState, View } from "../../packages/view/dist/mod.js";
import { ProcessFleet, waitFor } from "../fleet.mjs";

const configurationPath = fileURLToPath(
  new URL("../../examples/atlas.json", import.meta.url),
);
const FLEET_SIZES = [6, 12, 24, 48];
const MEASURE_MS = 20_000;
/** Time for the processes to warm up before they are measured. */
const WARM_UP_MS = 25_000;
const SERVICES = ["quote-desk", "order-book", "parts-archive"];

/** Measures processes and data structures, or only `processes` or `structures`. */
export async function run([only]) {
  if (only !== "structures") {
    await measureProcesses();
  }
  if (only !== "processes") {
    measureStructures();
  }
  return 0;
}

async function measureProcesses() {
  console.log(
    "| daemons | % of a core, median | planner | MB, median | KB/s read + written, median | store calls/s | store watches |",
  );
  console.log("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
  const points = [];
  for (const size of FLEET_SIZES) {
    points.push(await measureFleet(size));
  }
  ["core", "kilobytes"].forEach((field) => {
    const { slope, intercept, standardError } = fitLine(
      points.map((point) => [point.size, point[field]]),
    );
    console.log(
      `fit of ${field}: ${intercept.toFixed(2)} + ${
        slope.toFixed(4)
      } x daemons, standard error ${standardError.toFixed(2)}; at 470: ${
        (intercept + slope * 470).toFixed(1)
      }`,
    );
  });
}

async function measureFleet(size) {
  const fleet = new ProcessFleet(
    fileURLToPath(new URL(`../../.run/capacity-${size}`, import.meta.url)),
  );
  const hosts = [];
  const announcementTimer = setInterval(() => hosts.forEach(announce), 500);
  try {
    await fleet.startStore();
    for (let index = 0; index < size; index += 1) {
      hosts.push(await startDaemonOnly(fleet, index));
    }
    const runOperator = (args) =>
      fleet.runTool("operator", [...args, "--store", fleet.store]);
    await runOperator(["config", "apply", configurationPath]);
    await waitFor(
      async () => {
        const status = await runOperator(["status", "--json"]);
        const daemons = status.code === 0
          ? JSON.parse(status.stdout).daemons
          : [];
        const owned = daemons.reduce((sum, each) => sum + each.partitions, 0);
        return owned === 1_536 &&
          daemons.filter((each) => each.state === "serving").length === size;
      },
      `${size} daemons to serve`,
      90_000,
    );
    await sleep(WARM_UP_MS);
    return await measureIdleFleet(fleet, { hosts, size });
  } finally {
    clearInterval(announcementTimer);
    await fleet.stop();
  }
}

async function measureIdleFleet(fleet, { hosts, size }) {
  const names = hosts.map(({ host }) => `daemon-${host}`);
  const read = () =>
    names.map((name) => ({
      core: fleet.cpuTimeMs(name),
      bytes: readBytes(fleet.processes.get(name).pid),
    }));
  const before = read();
  const callsBefore = await readCallCounts(fleet);
  await sleep(MEASURE_MS);
  const after = read();
  const calls = await readCallCounts(fleet);
  const seconds = MEASURE_MS / 1_000;
  const cores = after.map((each, index) =>
    (each.core - before[index].core) / (10 * seconds)
  );
  const kilobytes = median(
    after.map((each, index) =>
      (each.bytes - before[index].bytes) / seconds / 1_000
    ),
  );
  const core = median(cores);
  const memory = median(names.map((name) => fleet.memoryMegabytes(name)));
  const rate = (sum(calls) - sum(callsBefore)) / seconds;
  const cells = [
    size,
    core.toFixed(1),
    Math.max(...cores).toFixed(1),
    memory.toFixed(0),
    kilobytes.toFixed(1),
    rate.toFixed(1),
    calls["/v3/watch"] ?? 0,
  ];
  console.log(`| ${cells.join(" | ")} |`);
  return { size, core, kilobytes };
}

async function startDaemonOnly(fleet, index) {
  const host = {
    host: `host-${index}`,
    zone: `casablanca-${1 + index % 3}`,
    service: SERVICES[index % 3],
  };
  return await fleet.startHost(host, { withoutBackend: true });
}

async function announce(host) {
  const body = JSON.stringify({
    service: host.service,
    port: host.ports[3],
    slots: 6,
    connections: 130,
    checks_fencing: true,
    state: "ready",
  });
  const url = `http://${host.admin}/bamboolink/v1/announcements`;
  await fetch(url, { method: "POST", body }).catch(() => undefined);
}

/** Bytes that a process has read and written so far, on sockets and files; an idle process writes little to its log. */
function readBytes(pid) {
  const text = readFileSync(`/proc/${pid}/io`, "utf8");
  return Number(/rchar: (\d+)/.exec(text)[1]) +
    Number(/wchar: (\d+)/.exec(text)[1]);
}

async function readCallCounts(fleet) {
  const response = await fetch(`${fleet.store}/standin/counts`);
  return (await response.json()).calls;
}

/** Measures the decision code and the codecs with the records of fleets of growing size. */
function measureStructures() {
  console.log(
    "\n| sessions | partitions | records KB | largest value KB | read all ms | table ms | rank watchers ms | assign after a zone ms | plan moves ms | evidence of a zone ms |",
  );
  console.log(
    "| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |",
  );
  [[48, 6_144], [118, 16_384], [235, 32_768], [470, 65_536]].forEach((
    [size, partitions],
  ) =>
    console.log(`| ${measureStructuresOfFleet(size, partitions).join(" | ")} |`)
  );
}

function measureStructuresOfFleet(size, partitions) {
  const sessions = Array.from(
    { length: size },
    (_, index) => createSession(index, size),
  );
  const candidates = sessions.map(({ id }) => ({ session: id, capacity: 6 }));
  const shards = assignAll(createShards("service", partitions), candidates);
  const records = [
    ...sessions.map((session) => ({
      key: `/bamboolink/sessions/${session.id}`,
      value: session,
    })),
    ...shards.map((shard) => ({
      key: `/bamboolink/table/service/${shard.first}`,
      value: shard,
    })),
  ].map(({ key, value }, index) => ({
    key,
    value: JSON.stringify(value),
    revision: index + 1,
  }));
  const sizes = records.map(({ value }) => value.length);
  const view = View.create();
  view.merge({ from: 0, to: records.length, records });
  const readMs = measureDurationMs(() => readFleetState(view), 1);
  const tableMs = measureDurationMs(() => OwnershipTable.create(shards));
  const rankMs = measureDurationMs(() => rankWatchers(sessions));
  const lostIds = new Set(
    sessions.filter(({ availability_zone: zone }) => zone === "z0").map((
      { id },
    ) => id),
  );
  const remainingCandidates = candidates.filter(({ session }) =>
    !lostIds.has(session)
  );
  const assignMs = measureDurationMs(
    () =>
      assignPartitions(shards, {
        candidates: remainingCandidates,
        mayReplace: (session) => lostIds.has(session),
      }),
    1,
  );
  const owned = shards.flatMap((shard) =>
    shard.owners.map((owner, index) => ({
      partition: shard.first + index,
      token: 1,
      owner: shard.sessions[owner],
      load: 1 + index % 7,
    }))
  );
  const planMs = measureDurationMs(
    () =>
      planMoves(owned, {
        candidates,
        draining: new Set(),
        maximumMoves: Math.ceil(partitions / 100),
      }),
    1,
  );
  const sealedSessions = sessions.filter(({ id }) => lostIds.has(id)).map((
    session,
  ) => ({
    id: session.id,
    witnesses: session.witnesses,
    sealedAtMs: 0,
    promiseEndsAtMs: new Map(
      session.witnesses.filter((witness) => !lostIds.has(witness)).map((
        witness,
      ) => [witness, 1_000]),
    ),
    endConfirmedAtMs: undefined,
  }));
  const timing = { promiseMs: 1_000, renewIntervalMs: 400, drift: 0.01 };
  const evidenceMs = measureDurationMs(
    () => findEndTimes(sealedSessions, { ended: [], timing }),
    1,
  );
  return [
    size,
    partitions,
    (sizes.reduce((total, each) => total + each, 0) / 1_000).toFixed(0),
    (Math.max(...sizes) / 1_000).toFixed(0),
    ...[readMs, tableMs, rankMs, assignMs, planMs, evidenceMs].map((value) =>
      value.toFixed(1)
    ),
  ];
}

function createSession(index, size) {
  const uuid = "8a5ab08f-0eab-492d-bba0-7386d677a90f";
  return {
    id: `host-${index}~${uuid}`,
    host: `host-${index}`,
    region: index % 6 < 3 ? "r0" : "r1",
    availability_zone: `z${index % 6}`,
    control_address: `10.0.${index % 256}.1:7081`,
    data_address: `10.0.${index % 256}.1:7080`,
    service: "service",
    slots: 6,
    checks_fencing: true,
    longest_work_ms: 3_000,
    draining: false,
    state: "open",
    witnesses: [1, 2, 3, 4, 5].map((step) =>
      `host-${(index + step * 7) % size}~${uuid}`
    ),
    replaces: [],
    declared_lost: false,
    started_at_ms: 1_790_000_000_000,
    sealed_reason: "",
  };
}

function assignAll(shards, candidates) {
  const changes = assignPartitions(shards, {
    candidates,
    mayReplace: () => false,
  });
  return shards.map((shard) =>
    rewriteShard(shard, { changes, reason: "first assignment", nowMs: 1 })
  );
}

function measureDurationMs(action, rounds = 5) {
  const startedMs = performance.now();
  Array.from({ length: rounds }, action);
  return (performance.now() - startedMs) / rounds;
}

/** Fits a line by least squares; returns also the standard error of the regression. */
function fitLine(points) {
  const count = points.length;
  const meanX = sum(points.map(([x]) => x)) / count;
  const meanY = sum(points.map(([, y]) => y)) / count;
  const slope = sum(points.map(([x, y]) => (x - meanX) * (y - meanY))) /
    sum(points.map(([x]) => (x - meanX) ** 2));
  const intercept = meanY - slope * meanX;
  const squaredResiduals = sum(
    points.map(([x, y]) => (y - intercept - slope * x) ** 2),
  );
  return {
    slope,
    intercept,
    standardError: Math.sqrt(squaredResiduals / (count - 2)),
  };
}

function sum(values) {
  const list = Array.isArray(values) ? values : Object.values(values);
  return list.reduce((total, value) => total + value, 0);
}

function median(values) {
  return [...values].sort((left, right) =>
    left - right
  )[Math.floor(values.length / 2)];
}
