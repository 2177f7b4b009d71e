/**
 * Brings up a fleet of the real binaries on loopback: the store stand-in, daemons and backend server
 * stand-ins. A process of the product starts no other; scripts and tests do, through this module.
 *
 * @module
 */
import { spawn } from "node:child_process";
import { mkdirSync, openSync, readFileSync, rmSync } from "node:fs";
import { createServer } from "node:net";
import { fileURLToPath } from "node:url";
import { setTimeout as sleep } from "node:timers/promises";

const root = new URL("..", import.meta.url);
const binary = (name) =>
  fileURLToPath(new URL(`packages/${name}/dist/main.js`, root));

/** The hosts of the brief's first deployment: 3, 3 and 6 backend servers over three zones. */
export const ATLAS_HOSTS = [
  ...[1, 2, 3].map((zone) => ({
    host: `quote-${zone}`,
    service: "quote-desk",
    zone: `casablanca-${zone}`,
  })),
  ...[1, 2, 3].map((zone) => ({
    host: `order-${zone}`,
    service: "order-book",
    zone: `casablanca-${zone}`,
  })),
  ...[1, 2, 3, 4, 5, 6].map((number) => ({
    host: `archive-${number}`,
    service: "parts-archive",
    zone: `casablanca-${1 + (number - 1) % 3}`,
  })),
];

/** Finds ports on loopback that are free now. */
export async function findPorts(count) {
  const servers = await Promise.all(
    Array.from({ length: count }, () =>
      new Promise((resolve, reject) => {
        const server = createServer().once("error", reject);
        server.listen(0, "127.0.0.1", () => resolve(server));
      })),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

/** A fleet of processes. */
export class ProcessFleet {
  /** Flags for Node itself by process name, for example to profile one. */
  nodeFlags = {};
  /** Running processes by name. */
  processes = new Map();

  constructor(logDirectory) {
    this.logDirectory = logDirectory;
    rmSync(logDirectory, { recursive: true, force: true });
    mkdirSync(logDirectory, { recursive: true });
    // Whatever ends the script, no process that it started stays behind.
    process.once(
      "exit",
      () => this.processes.forEach((child) => child.kill("SIGKILL")),
    );
    process.once("SIGTERM", () => process.exit(143));
  }

  /** Starts the store stand-in. */
  async startStore() {
    [this.storePort] = await findPorts(1);
    this.store = `http://127.0.0.1:${this.storePort}`;
    this.start("store", binary("store_standin"), {
      "store-port": this.storePort,
    });
    await waitFor(
      () => isUp(`${this.store}/standin/counts`),
      "the store stand-in",
    );
  }

  /** Starts a daemon and the backend server stand-in on one host; it has its own loopback address. */
  async startHost(place, options = {}) {
    const [dataPort, controlPort, adminPort, backendPort] = place.ports ??
      await findPorts(4);
    const host = {
      ...place,
      ports: [dataPort, controlPort, adminPort, backendPort],
    };
    host.data = `127.0.0.1:${dataPort}`;
    host.admin = `127.0.0.1:${adminPort}`;
    host.backend = `127.0.0.1:${backendPort}`;
    this.startDaemon(host);
    if (options.withoutBackend !== true) {
      this.startBackend(host, options);
    }
    await waitFor(
      () => isUp(`http://${host.admin}/healthz`),
      `the daemon of ${host.host}`,
    );
    return host;
  }

  /** Starts the daemon of a host, also again after it ended. */
  startDaemon(host) {
    const [dataPort, controlPort, adminPort] = host.ports;
    this.start(`daemon-${host.host}`, binary("daemon"), {
      host: host.host,
      region: "casablanca",
      "availability-zone": host.zone,
      address: "127.0.0.1",
      "data-port": dataPort,
      "control-port": controlPort,
      "admin-port": adminPort,
      store: host.store ?? this.store,
      ...host.settings,
    });
  }

  /** Starts the backend server stand-in of a host. */
  startBackend(host, options = {}) {
    this.start(`backend-${host.host}`, binary("backend_standin"), {
      host: host.host,
      service: host.service,
      daemon: host.admin,
      "backend-port": host.ports[3],
      slots: 6,
      connections: 130,
      "service-ms": 2,
      ...options,
    });
  }

  /** Starts one process; its log goes to a file. */
  start(name, file, flags) {
    const log = openSync(`${this.logDirectory}/${name}.log`, "a");
    const list = Object.entries(flags).flatMap((
      [flag, value],
    ) => [`--${flag}`, String(value)]);
    const nodeFlags = this.nodeFlags[name] ?? [];
    const child = spawn(process.execPath, [...nodeFlags, file, ...list], {
      stdio: ["ignore", log, log],
    });
    this.processes.set(name, child);
    child.on(
      "exit",
      () => this.processes.get(name) === child && this.processes.delete(name),
    );
    return child;
  }

  /** Processor time of one process so far, in milliseconds, from /proc. */
  cpuTimeMs(name) {
    const { pid } = this.processes.get(name);
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]
      .split(" ");
    return (Number(fields[11]) + Number(fields[12])) * 10;
  }

  /** Resident memory of one process, in megabytes. */
  memoryMegabytes(name) {
    const { pid } = this.processes.get(name);
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/VmRSS:\s+(\d+)/.exec(status)[1]) / 1024;
  }

  /** Sends a signal to one process, by its name. */
  signal(name, signal) {
    this.processes.get(name)?.kill(signal);
  }

  /** Waits until a process has ended. */
  async waitForExit(name, timeoutMs = 40_000) {
    await waitFor(
      () => Promise.resolve(!this.processes.has(name)),
      `the end of ${name}`,
      timeoutMs,
    );
  }

  /** Ends all processes that this fleet started. */
  async stop() {
    const children = [...this.processes.values()];
    children.forEach((child) => {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    });
    await Promise.all(
      children.map((child) =>
        child.exitCode !== null || child.signalCode !== null
          ? undefined
          : new Promise((resolve) => child.once("exit", resolve))
      ),
    );
  }

  /** Runs one of the tools to its end and returns what it printed. */
  async runTool(name, args) {
    const child = spawn(process.execPath, [binary(name), ...args], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    const output = { stdout: "", stderr: "" };
    child.stdout.on("data", (chunk) => output.stdout += chunk);
    child.stderr.on("data", (chunk) => output.stderr += chunk);
    const code = await new Promise((resolve) => child.once("close", resolve));
    return { code, ...output };
  }
}

/** Waits until a check holds. */
export async function waitFor(check, what, timeoutMs = 15_000) {
  const until = Date.now() + timeoutMs;
  while (!await check()) {
    if (Date.now() > until) {
      throw new Error(`waited ${timeoutMs} ms in vain for ${what}`);
    }
    await sleep(30);
  }
}

async function isUp(url) {
  try {
    return (await fetch(url)).ok;
  } catch {
    return false;
  }
}
