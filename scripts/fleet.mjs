/**
 * Starts a fleet of real processes on loopback: the store stand-in, daemons and backend server stand-ins.
 * No process of the product starts another one; scripts and tests start them through this module.
 *
 * @module
 */
import { spawn } from "node:child_process";
import { mkdirSync, openSync, readFileSync, rmSync } from "node:fs";
import { createServer } from "node:net";
import { fileURLToPath } from "node:url";
import { setTimeout as sleep } from "node:timers/promises";

const ROOT = new URL("..", import.meta.url);
const findProgram = (name) =>
  fileURLToPath(new URL(`packages/${name}/dist/main.js`, ROOT));

/**
 * Hosts of the deployment in `examples/atlas.json`: 3, 3 and 6 backend servers, one on each host, in three
 * availability zones.
 */
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

/** Returns `count` distinct loopback ports that were free when they were checked. */
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

/** A store stand-in, daemons and backend server stand-ins, each as a process with its own log file. */
export class ProcessFleet {
  /** Node.js flags by process name, for example to profile one process. */
  nodeFlags = {};
  /** Running processes by name. */
  processes = new Map();

  /** @param logDirectory Directory for the log files; an existing one is deleted first. */
  constructor(logDirectory) {
    this.logDirectory = logDirectory;
    rmSync(logDirectory, { recursive: true, force: true });
    mkdirSync(logDirectory, { recursive: true });
    // Child processes must not outlive the script.
    process.once(
      "exit",
      () => this.processes.forEach((child) => child.kill("SIGKILL")),
    );
    process.once("SIGTERM", () => process.exit(143));
  }

  /** Starts the store stand-in and waits until it responds. */
  async startStore() {
    [this.storePort] = await findPorts(1);
    this.store = `http://127.0.0.1:${this.storePort}`;
    this.start("store", findProgram("store_standin"), {
      "store-port": this.storePort,
    });
    await waitFor(
      () => isResponding(`${this.store}/standin/counts`),
      "the store stand-in to respond",
    );
  }

  /**
   * Starts the daemon and the backend server stand-in of a host, and waits until the daemon responds.
   *
   * @param spec Name, service and availability zone of the host; optionally its ports, store and daemon settings.
   * @param options Flags of the stand-in; `withoutBackend` starts none.
   * @returns The host with its addresses.
   */
  async startHost(spec, options = {}) {
    const [dataPort, controlPort, adminPort, backendPort] = spec.ports ??
      await findPorts(4);
    const host = {
      ...spec,
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
      () => isResponding(`http://${host.admin}/healthz`),
      `the daemon of ${host.host} to respond`,
    );
    return host;
  }

  /** Starts the daemon of a host, or restarts it after it exited. */
  startDaemon(host) {
    const [dataPort, controlPort, adminPort] = host.ports;
    this.start(`daemon-${host.host}`, findProgram("daemon"), {
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
    this.start(`backend-${host.host}`, findProgram("backend_standin"), {
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

  /** Starts a process whose output is appended to a log file. */
  start(name, program, flags) {
    const log = openSync(`${this.logDirectory}/${name}.log`, "a");
    const args = Object.entries(flags).flatMap((
      [flag, value],
    ) => [`--${flag}`, String(value)]);
    const nodeFlags = this.nodeFlags[name] ?? [];
    const child = spawn(process.execPath, [...nodeFlags, program, ...args], {
      stdio: ["ignore", log, log],
    });
    this.processes.set(name, child);
    child.on(
      "exit",
      () => this.processes.get(name) === child && this.processes.delete(name),
    );
    return child;
  }

  /** CPU time that a process has used so far, in milliseconds; /proc counts it in ticks of 10 ms. */
  cpuTimeMs(name) {
    const { pid } = this.processes.get(name);
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]
      .split(" ");
    return (Number(fields[11]) + Number(fields[12])) * 10;
  }

  /** Resident memory of a process, in megabytes. */
  memoryMegabytes(name) {
    const { pid } = this.processes.get(name);
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/VmRSS:\s+(\d+)/.exec(status)[1]) / 1024;
  }

  /** Sends a signal to the process of that name, if it is running. */
  signal(name, signal) {
    this.processes.get(name)?.kill(signal);
  }

  /** Waits until a process has exited; throws after `timeoutMs`. */
  async waitForExit(name, timeoutMs = 40_000) {
    await waitFor(
      () => Promise.resolve(!this.processes.has(name)),
      `${name} to exit`,
      timeoutMs,
    );
  }

  /** Kills all processes that this fleet started and waits until they have exited. */
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

  /** Runs a command line tool until it exits; returns its exit code and output. */
  async runTool(name, args) {
    const child = spawn(process.execPath, [findProgram(name), ...args], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    const output = { stdout: "", stderr: "" };
    child.stdout.on("data", (chunk) => output.stdout += chunk);
    child.stderr.on("data", (chunk) => output.stderr += chunk);
    const code = await new Promise((resolve) => child.once("close", resolve));
    return { code, ...output };
  }
}

/**
 * Polls until a condition holds; throws after `timeoutMs`.
 *
 * @param description What is waited for, for the error message.
 */
export async function waitFor(condition, description, timeoutMs = 15_000) {
  const deadlineMs = Date.now() + timeoutMs;
  while (!await condition()) {
    if (Date.now() > deadlineMs) {
      throw new Error(
        `timed out after ${timeoutMs} ms waiting for ${description}`,
      );
    }
    await sleep(30);
  }
}

async function isResponding(url) {
  try {
    return (await fetch(url)).ok;
  } catch {
    return false;
  }
}
