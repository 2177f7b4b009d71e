/**
 * Measures what daemons take of the processor: until they serve, at rest, and with requests.
 *
 *     npm run bench -- processor rest|kinds|mixed DAEMONS FLEETS [PROGRAM[,FLAG...]]...
 *
 * The daemons are processes of their own, from the bundle; the store and the backend servers are stand-ins in this
 * one. Each variant of program and flags gets as many fleets as asked for, all at the same time, so that other load of
 * the machine falls on all variants. Times are those that the kernel counted, over all threads of a process.
 *
 * @module
 */
import { spawn } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Agent } from "undici";
import {
  BackendStandin,
  encodeConfiguration,
  MetadataStandin,
} from "../../platform/dist/testing/mod.js";

const PROGRAM = fileURLToPath(
  new URL("../../target/bamboolink-router.cjs", import.meta.url),
);
/** As `run` in `deploy/system.toml` has it. */
const USUAL_VARIANT = PROGRAM;
/** Second number of the loopback addresses of the first fleet. */
const FIRST_NETWORK = 90;
const FIRST_HOST = 10;
const SERVICES = ["plain", "keyed"];
const ZONES = 3;
const STORE_PORT = 21390;
const PORTS = {
  gossip: 21405,
  inbound: 21400,
  outbound: 21401,
  ready: 21402,
  control: 21403,
  app: 21404,
};
/** How long the daemons rest before requests come, in milliseconds. */
const REST_MS = 12_000;
/** Requests that begin at each daemon, a second. */
const REQUESTS_PER_SECOND = 25;
/** How long requests of one kind come, in milliseconds. */
const KIND_MS = 8_000;
/** How long requests of all kinds come, in milliseconds: at first, while little is compiled, and then. */
const FIRST_MS = 5_000;
const LATER_MS = 21_000;
/** A step between keys that has no factor in common with their number. */
const KEY_STEP = 7_919;
const KEY_COUNT = 65_536;

/** The kinds of requests, by the service on the host where they begin. */
const KINDS = {
  local: { from: "plain", path: "/plain/x" },
  forwarded: { from: "keyed", path: "/plain/x" },
  keyed: { from: "plain", path: "/keyed/x", isKeyed: true },
  refused: { from: "plain", path: "/plain/x", deadlineMs: 9 },
};

/** Processor time in milliseconds and wake-ups of one process. */
function readUsage(pid) {
  const tasks = readdirSync(`/proc/${pid}/task`).map((task) => {
    const folder = `/proc/${pid}/task/${task}`;
    const times = readFileSync(`${folder}/schedstat`, "utf8").split(" ");
    const status = readFileSync(`${folder}/status`, "utf8");
    const wakes = /\nvoluntary_ctxt_switches:\s+(\d+)/.exec(status)[1];
    return { ms: Number(times[0]) / 1e6, wakes: Number(wakes) };
  });
  return {
    ms: tasks.reduce((sum, { ms }) => sum + ms, 0),
    wakes: tasks.reduce((sum, { wakes }) => sum + wakes, 0),
  };
}

/** What the daemons of each variant have taken so far, as a mean over them. */
function readMeans({ fleets, variants }) {
  return variants.map((variant) => {
    const all = fleets.filter((fleet) => fleet.variant === variant)
      .flatMap(({ hosts }) => hosts)
      .map(({ daemon }) => readUsage(daemon.pid));
    return {
      ms: all.reduce((sum, { ms }) => sum + ms, 0) / all.length,
      wakes: all.reduce((sum, { wakes }) => sum + wakes, 0) / all.length,
    };
  });
}

/** What a daemon of each variant takes while something happens. */
async function measure(setup, act) {
  const before = readMeans(setup);
  const startedMs = performance.now();
  const result = await act();
  const seconds = (performance.now() - startedMs) / 1_000;
  const means = readMeans(setup).map(({ ms, wakes }, index) => ({
    ms: ms - before[index].ms,
    wakes: wakes - before[index].wakes,
  }));
  return { result, seconds, means };
}

function report(name, figures, digits = 1) {
  const columns = figures.map((figure) => figure.toFixed(digits).padStart(9));
  console.log(`${name.padEnd(44)}${columns.join("")}`);
}

function describeSettings({ address, service, zone, network }) {
  const at = (name) => JSON.stringify(`${address}:${PORTS[name]}`);
  return `
node_name = "host-${address}"
ip = "${address}"
zone = "zone-${zone}"
port_range = [${PORTS.gossip}, ${PORTS.gossip}]
app_addr = ${at("app")}
service = "${service}"
heartbeat_interval_ms = 400
[listen]
inbound = ${at("inbound")}
outbound = ${at("outbound")}
ready = ${at("ready")}
control = ${at("control")}
[bounds]
drain_ms = 2000
grace_s = 6
budget_ratio = 0.2
budget_extra = 64
budget_window_s = 10
[platform]
address = "127.${network}.0.1:${STORE_PORT}"
`;
}

async function startHost(index, { network, variant, folder }) {
  const service = SERVICES[index % SERVICES.length];
  const zone = Math.floor(index / SERVICES.length) % ZONES;
  const address = `127.${network}.0.${FIRST_HOST + index}`;
  const backend = await BackendStandin.create({
    host: address,
    port: PORTS.app,
    heartbeatAddress: `${address}:${PORTS.control}`,
    service,
    slots: 100,
    workMs: 5,
    isKeyed: service === "keyed",
    ledger: [],
  });
  const path = join(folder, `${address}.toml`);
  writeFileSync(path, describeSettings({ address, service, zone, network }));
  const daemon = spawn(
    process.execPath,
    [...variant.flags, variant.program],
    {
      env: { ...process.env, BAMBOOLINK_CONFIG: path },
      stdio: ["ignore", "ignore", "inherit"],
    },
  );
  process.once("exit", () => daemon.kill("SIGKILL"));
  return { address, service, backend, daemon, agent: new Agent() };
}

/** A daemon that keeps a profile must end by itself to write it. */
function endDaemon({ daemon }, variant) {
  const isProfiled = variant.flags.some((flag) =>
    flag.startsWith("--cpu-prof")
  );
  const ended = new Promise((resolve) => daemon.once("exit", resolve));
  daemon.kill(isProfiled ? "SIGTERM" : "SIGKILL");
  return ended;
}

async function send(host, { path, isKeyed, deadlineMs = 2_000 }, id) {
  try {
    const answer = await host.agent.request({
      origin: `http://${host.address}:${PORTS.outbound}`,
      path,
      method: "GET",
      headers: {
        host: "shop.example",
        "x-attempt-id": `a-${id}`,
        "x-deadline-ms": String(deadlineMs),
        ...(isKeyed
          ? { "x-shard-key": String(id * KEY_STEP % KEY_COUNT) }
          : {}),
      },
    });
    await answer.body.dump();
    return answer.statusCode;
  } catch {
    // A daemon that does not listen yet, or has ended; counted as status 0.
    return 0;
  }
}

async function awaitServing({ hosts }) {
  for (let id = 0;; id += 1) {
    const statuses = await Promise.all(hosts.flatMap((host) => [
      send(host, { path: "/plain/x" }, id),
      send(host, { path: "/keyed/x", isKeyed: true }, id),
    ]));
    if (statuses.every((status) => status === 200)) {
      return;
    }
    await sleep(200);
  }
}

/** Sends requests of some kinds at all daemons where they begin. */
async function sendMany({ hosts }, { kinds, forMs }) {
  const senders = hosts.flatMap((host) =>
    kinds.filter(({ from }) => from === host.service).map((kind) => ({
      host,
      kind,
    }))
  );
  const perSecond = REQUESTS_PER_SECOND * hosts.length;
  const sent = [];
  const startedMs = performance.now();
  while (performance.now() - startedMs < forMs) {
    const due = (performance.now() - startedMs) * perSecond / 1_000;
    while (sent.length < due) {
      const { host, kind } = senders[sent.length % senders.length];
      sent.push(send(host, kind, sent.length));
    }
    await sleep(2);
  }
  return await Promise.all(sent);
}

function countStatuses(statuses) {
  return [...new Set(statuses)].map((status) =>
    `${statuses.filter((other) => other === status).length} of ${status}`
  ).join(", ");
}

async function measureRest(setup) {
  const { means, seconds } = await measure(setup, () => sleep(REST_MS));
  report("rest, ms a second", means.map(({ ms }) => ms / seconds));
  report("rest, wake-ups a second", means.map(({ wakes }) => wakes / seconds));
  return means.map(({ ms }) => ms / seconds);
}

/** Sends requests of some kinds in all fleets; returns how many a daemon, and what became of them. */
async function sendAll({ fleets }, load) {
  const statuses = (await Promise.all(
    fleets.map((fleet) => sendMany(fleet, load)),
  )).flat();
  const daemons = fleets.flatMap(({ hosts }) => hosts).length;
  return { each: statuses.length / daemons, ended: countStatuses(statuses) };
}

/** Requests of each kind by themselves, without what rest takes. */
async function measureKinds(setup) {
  const rest = await measureRest(setup);
  for (const [name, kind] of Object.entries(KINDS)) {
    const { means, seconds, result } = await measure(
      setup,
      () => sendAll(setup, { kinds: [kind], forMs: KIND_MS }),
    );
    report(
      `${name}, ms a request (${result.ended})`,
      means.map(({ ms }, index) => (ms - rest[index] * seconds) / result.each),
      2,
    );
  }
}

/** Requests of all kinds that are served, from the start of the processes on. */
async function measureMixed(setup) {
  await measureRest(setup);
  const { local, forwarded, keyed } = KINDS;
  const kinds = [local, forwarded, keyed];
  for (const forMs of [FIRST_MS, LATER_MS]) {
    const { means, seconds, result } = await measure(
      setup,
      () => sendAll(setup, { kinds, forMs }),
    );
    const perSecond = means.map(({ ms }) => ms / seconds);
    report(`mixed, ms a second (${result.ended})`, perSecond);
  }
  report("start, rest and mixed, ms", readMeans(setup).map(({ ms }) => ms));
}

const MEASURES = {
  rest: measureRest,
  kinds: measureKinds,
  mixed: measureMixed,
};

async function startFleet(variant, { network, daemons }) {
  const folder = mkdtempSync(join(tmpdir(), "processor-"));
  const store = await MetadataStandin.create(`127.${network}.0.1`, STORE_PORT);
  store.write("op/config", encodeConfiguration(1));
  const hosts = await Promise.all(
    Array.from(
      { length: daemons },
      (_, index) => startHost(index, { network, variant, folder }),
    ),
  );
  return { variant, store, hosts };
}

async function endFleet({ variant, store, hosts }) {
  await Promise.all(hosts.map((host) => endDaemon(host, variant)));
  hosts.forEach(({ backend, agent }) => {
    backend.crash();
    void agent.destroy();
  });
  store.close();
}

async function compare(act, { daemons, repeats, variants }) {
  const fleets = await Promise.all(
    Array.from(
      { length: repeats * variants.length },
      (_, index) =>
        startFleet(variants[index % variants.length], {
          network: FIRST_NETWORK + index,
          daemons,
        }),
    ),
  );
  const setup = { fleets, variants };
  try {
    await Promise.all(fleets.map(awaitServing));
    report("until all serve, ms", readMeans(setup).map(({ ms }) => ms));
    await act(setup);
  } finally {
    await Promise.all(fleets.map(endFleet));
  }
}

/** Runs the measurement; the bundle must be there. */
export async function run([name, daemons, repeats, ...words]) {
  // Each daemon is ended with this process.
  process.setMaxListeners(0);
  const variants = (words.length === 0 ? [USUAL_VARIANT] : words).map(
    (word) => {
      const [program, ...flags] = word.split(",");
      return { program, flags };
    },
  );
  await compare(MEASURES[name], {
    daemons: Number(daemons),
    repeats: Number(repeats),
    variants,
  });
  process.exit(0);
}
