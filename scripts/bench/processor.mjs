/**
 * Measures the CPU time of daemons: until they serve, when idle, and under load.
 *
 *     npm run bench -- processor rest|kinds|mixed DAEMONS[@RATE] FLEETS [PROGRAM[,FLAG...]]...
 *
 * RATE is the number of requests a second that are sent to each daemon.
 *
 * The daemons are separate processes that run the bundle; the store and the backend servers are stand-ins in this
 * process. Each variant (a program with its flags) gets FLEETS fleets of DAEMONS daemons, and all fleets run at the same
 * time, so that other load on the machine affects all variants alike. CPU times are those that the kernel counts, over all threads of a
 * process.
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
/** The program that `run` in `deploy/system.toml` starts, without flags. */
const DEFAULT_VARIANT = PROGRAM;
/** Second octet of the loopback addresses of the first fleet. */
const FIRST_NETWORK = 90;
/** Last octet of the loopback address of the first host of a fleet. */
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
/** How long the daemons are measured while idle, before requests are sent. */
const IDLE_MS = 12_000;
/** Default rate of requests sent to each daemon. */
const REQUESTS_PER_SECOND = 25;
/** How long requests of one kind are sent. */
const KIND_LOAD_MS = 8_000;
/** How long mixed requests are sent at first, while V8 has compiled little, and after that. */
const FIRST_LOAD_MS = 5_000;
const LATER_LOAD_MS = 21_000;
/** Step between consecutive keys; coprime to their number, so that all keys are used. */
const KEY_STEP = 7_919;
const KEY_COUNT = 65_536;

/** The kinds of requests; `from` is the service on the host whose daemon receives them. */
const KINDS = {
  local: { from: "plain", path: "/plain/x" },
  forwarded: { from: "keyed", path: "/plain/x" },
  keyed: { from: "plain", path: "/keyed/x", isKeyed: true },
  refused: { from: "plain", path: "/plain/x", deadlineMs: 9 },
};

/** CPU time in milliseconds and wake-ups (voluntary context switches) of a process so far. */
function readUsage(pid) {
  const tasks = readdirSync(`/proc/${pid}/task`).map((task) => {
    const folder = `/proc/${pid}/task/${task}`;
    const times = readFileSync(`${folder}/schedstat`, "utf8").split(" ");
    const status = readFileSync(`${folder}/status`, "utf8");
    const wakeUps = /\nvoluntary_ctxt_switches:\s+(\d+)/.exec(status)[1];
    return { ms: Number(times[0]) / 1e6, wakeUps: Number(wakeUps) };
  });
  return {
    ms: tasks.reduce((sum, { ms }) => sum + ms, 0),
    wakeUps: tasks.reduce((sum, { wakeUps }) => sum + wakeUps, 0),
  };
}

/** Mean usage of the daemons of each variant so far. */
function readMeanUsage({ fleets, variants }) {
  return variants.map((variant) => {
    const usages = fleets.filter((fleet) => fleet.variant === variant)
      .flatMap(({ hosts }) => hosts)
      .map(({ daemon }) => readUsage(daemon.pid));
    return {
      ms: usages.reduce((sum, { ms }) => sum + ms, 0) / usages.length,
      wakeUps: usages.reduce((sum, { wakeUps }) => sum + wakeUps, 0) /
        usages.length,
    };
  });
}

/** Runs an action; returns its result, its duration, and the mean usage of the daemons of each variant meanwhile. */
async function measure(setup, action) {
  const before = readMeanUsage(setup);
  const startedMs = performance.now();
  const result = await action();
  const seconds = (performance.now() - startedMs) / 1_000;
  const means = readMeanUsage(setup).map(({ ms, wakeUps }, index) => ({
    ms: ms - before[index].ms,
    wakeUps: wakeUps - before[index].wakeUps,
  }));
  return { result, seconds, means };
}

/** Prints a row with one column for each variant. */
function printRow(name, figures, digits = 1) {
  const columns = figures.map((figure) => figure.toFixed(digits).padStart(9));
  console.log(`${name.padEnd(44)}${columns.join("")}`);
}

function renderSettings({ address, service, zone, network }) {
  const quoteAddress = (name) => JSON.stringify(`${address}:${PORTS[name]}`);
  return `
node_name = "host-${address}"
ip = "${address}"
zone = "zone-${zone}"
port_range = [${PORTS.gossip}, ${PORTS.gossip}]
app_addr = ${quoteAddress("app")}
service = "${service}"
heartbeat_interval_ms = 400
[listen]
inbound = ${quoteAddress("inbound")}
outbound = ${quoteAddress("outbound")}
ready = ${quoteAddress("ready")}
control = ${quoteAddress("control")}
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
  const settingsPath = join(folder, `${address}.toml`);
  writeFileSync(
    settingsPath,
    renderSettings({ address, service, zone, network }),
  );
  const daemon = spawn(
    process.execPath,
    [...variant.flags, variant.program],
    {
      env: { ...process.env, BAMBOOLINK_CONFIG: settingsPath },
      stdio: ["ignore", "ignore", "inherit"],
    },
  );
  process.once("exit", () => daemon.kill("SIGKILL"));
  return { address, service, backend, daemon, agent: new Agent() };
}

/** Stops a daemon; one that records a CPU profile must exit on its own, since it writes the profile then. */
function stopDaemon({ daemon }, variant) {
  const isProfiled = variant.flags.some((flag) =>
    flag.startsWith("--cpu-prof")
  );
  const exited = new Promise((resolve) => daemon.once("exit", resolve));
  daemon.kill(isProfiled ? "SIGTERM" : "SIGKILL");
  return exited;
}

async function sendRequest(host, { path, isKeyed, deadlineMs = 2_000 }, id) {
  try {
    const response = await host.agent.request({
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
    await response.body.dump();
    return response.statusCode;
  } catch {
    // The daemon is not listening yet or has exited; counted as status 0.
    return 0;
  }
}

async function awaitServing({ hosts }) {
  for (let id = 0;; id += 1) {
    const statuses = await Promise.all(hosts.flatMap((host) => [
      sendRequest(host, { path: "/plain/x" }, id),
      sendRequest(host, { path: "/keyed/x", isKeyed: true }, id),
    ]));
    if (statuses.every((status) => status === 200)) {
      return;
    }
    await sleep(200);
  }
}

/** Sends requests of the given kinds to the daemons of a fleet at a fixed rate; returns the statuses. */
async function sendToFleet({ hosts }, { kinds, durationMs, rate }) {
  const senders = hosts.flatMap((host) =>
    kinds.filter(({ from }) => from === host.service).map((kind) => ({
      host,
      kind,
    }))
  );
  const perSecond = rate * hosts.length;
  const pending = [];
  const startedMs = performance.now();
  while (performance.now() - startedMs < durationMs) {
    const dueCount = (performance.now() - startedMs) * perSecond / 1_000;
    while (pending.length < dueCount) {
      const { host, kind } = senders[pending.length % senders.length];
      pending.push(sendRequest(host, kind, pending.length));
    }
    await sleep(2);
  }
  return await Promise.all(pending);
}

function countStatuses(statuses) {
  return [...new Set(statuses)].map((status) =>
    `${statuses.filter((other) => other === status).length} of ${status}`
  ).join(", ");
}

async function measureIdle(setup) {
  const { means, seconds } = await measure(setup, () => sleep(IDLE_MS));
  printRow("rest, ms a second", means.map(({ ms }) => ms / seconds));
  printRow(
    "rest, wake-ups a second",
    means.map(({ wakeUps }) => wakeUps / seconds),
  );
  return means.map(({ ms }) => ms / seconds);
}

/** Sends load to all fleets; returns the number of requests per daemon and a summary of the statuses. */
async function sendToAllFleets({ fleets, rate }, load) {
  const statuses = (await Promise.all(
    fleets.map((fleet) => sendToFleet(fleet, { ...load, rate })),
  )).flat();
  const daemons = fleets.flatMap(({ hosts }) => hosts).length;
  return {
    perDaemon: statuses.length / daemons,
    summary: countStatuses(statuses),
  };
}

/** Measures requests of each kind separately, less the CPU time that an idle daemon uses. */
async function measureKinds(setup) {
  const idle = await measureIdle(setup);
  for (const [name, kind] of Object.entries(KINDS)) {
    const { means, seconds, result } = await measure(
      setup,
      () => sendToAllFleets(setup, { kinds: [kind], durationMs: KIND_LOAD_MS }),
    );
    printRow(
      `${name}, ms a request (${result.summary})`,
      means.map(({ ms }, index) =>
        (ms - idle[index] * seconds) / result.perDaemon
      ),
      2,
    );
  }
}

/** Measures mixed requests of all kinds that are served, and the total since the start of the processes. */
async function measureMixed(setup) {
  await measureIdle(setup);
  const { local, forwarded, keyed } = KINDS;
  const kinds = [local, forwarded, keyed];
  for (const durationMs of [FIRST_LOAD_MS, LATER_LOAD_MS]) {
    const { means, seconds, result } = await measure(
      setup,
      () => sendToAllFleets(setup, { kinds, durationMs }),
    );
    const perSecond = means.map(({ ms }) => ms / seconds);
    printRow(`mixed, ms a second (${result.summary})`, perSecond);
  }
  printRow(
    "start, rest and mixed, ms",
    readMeanUsage(setup).map(({ ms }) => ms),
  );
}

const MEASURES = {
  rest: measureIdle,
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

async function stopFleet({ variant, store, hosts }) {
  await Promise.all(hosts.map((host) => stopDaemon(host, variant)));
  hosts.forEach(({ backend, agent }) => {
    backend.crash();
    void agent.destroy();
  });
  store.close();
}

async function compare(runMeasure, { daemons, rate, repeats, variants }) {
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
  const setup = { fleets, variants, rate };
  try {
    await Promise.all(fleets.map(awaitServing));
    printRow("until all serve, ms", readMeanUsage(setup).map(({ ms }) => ms));
    await runMeasure(setup);
  } finally {
    await Promise.all(fleets.map(stopFleet));
  }
}

/** Runs the named measurement; the bundle must have been built. */
export async function run([name, size, repeats, ...variantArgs]) {
  // Each daemon adds an exit listener that kills it with this process.
  process.setMaxListeners(0);
  const variants = (variantArgs.length === 0 ? [DEFAULT_VARIANT] : variantArgs)
    .map(
      (argument) => {
        const [program, ...flags] = argument.split(",");
        return { program, flags };
      },
    );
  const [daemons, rate = REQUESTS_PER_SECOND] = size.split("@").map(Number);
  await compare(MEASURES[name], {
    daemons,
    rate,
    repeats: Number(repeats),
    variants,
  });
  process.exit(0);
}
