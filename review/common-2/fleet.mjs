/** Starts routers with the command of the deploy file, on loopback addresses of their own. */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "node:http";
import { Store } from "./store.mjs";

export { sleep };
const ROOT = fileURLToPath(new URL("../..", import.meta.url));

/** The command of the role in the deploy file, split at spaces as DEPLOY.md says. */
function deployCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** Free ports, the same on all addresses of the fleet. */
async function freePorts(hosts, count) {
  const isFree = (host, port) =>
    new Promise((resolve) => {
      const server = createServer();
      server.once("error", () => resolve(false));
      server.listen(port, host, () => server.close(() => resolve(true)));
    });
  const first = 20_000 + Math.floor(Math.random() * 20_000);
  const ports = [];
  for (let port = first; ports.length < count; port += 1) {
    const free = await Promise.all(hosts.map((host) => isFree(host, port)));
    if (free.every(Boolean)) {
      ports.push(port);
    }
  }
  return ports;
}

export class Fleet {
  hosts = [];
  store = new Store();
  folder = mkdtempSync(join(tmpdir(), "review-"));
  log = [];

  /** `services`: the service on each host. */
  static async create(services, { heartbeatMs = 870 } = {}) {
    const fleet = new Fleet();
    const network = 2 + Math.floor(Math.random() * 200);
    const addresses = services.map((_, index) =>
      `127.${network}.7.${10 + index}`
    );
    const storeHost = `127.${network}.7.2`;
    const names = [
      "inbound",
      "outbound",
      "ready",
      "control",
      "app",
      "gossip",
      "beats",
      "store",
    ];
    const free = await freePorts([...addresses, storeHost], names.length);
    fleet.ports = Object.fromEntries(
      names.map((name, index) => [name, free[index]]),
    );
    fleet.storeAddress = `${storeHost}:${fleet.ports.store}`;
    fleet.heartbeatMs = heartbeatMs;
    await fleet.store.listen(storeHost, fleet.ports.store);
    fleet.hosts = services.map((service, index) => ({
      service,
      ip: addresses[index],
      name: `sidecar-${index + 1}`,
      zone: `zone-${"abc"[index % 3]}`,
    }));
    return fleet;
  }

  address(host, port) {
    return `${host.ip}:${this.ports[port]}`;
  }

  /** The settings of DEPLOY.md with the bounds of casacomun-mesh. */
  writeSettings(host) {
    const at = (port) => this.address(host, port);
    const path = join(this.folder, `${host.name}.toml`);
    writeFileSync(
      path,
      `node_name = "${host.name}"
role = "router"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "${host.ip}"
zone = "${host.zone}"
region = "ar-centro"
port_range = [${this.ports.gossip}, ${this.ports.gossip}]
seeds = []
bootstrap = true
in_tolerance = false
discovery = "local"
entry = "local"
heartbeat_interval_ms = ${this.heartbeatMs}
contracts = ["base","drain","config","cost","retry","recover","own","platform"]
grants = "heartbeat"
app_addr = "${at("app")}"
service = "${host.service}"
[zones]
zone-a = "ar-centro"
zone-b = "ar-centro"
zone-c = "ar-centro"
[listen]
inbound = "${at("inbound")}"
outbound = "${at("outbound")}"
ready = "${at("ready")}"
control = "${at("control")}"
[limits]
cpu_share = 0.54
cores = 1
memory_mb = 350
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stability_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
outer_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 58
recover_s = 15
hold_max_ms = 10000
thaw_slack_ms = 300
[platform]
address = "${this.storeAddress}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`,
    );
    return path;
  }

  startRouter(host) {
    const [program, ...args] = deployCommand();
    const child = spawn(program === "node" ? process.execPath : program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        BAMBOOLINK_CONFIG: this.writeSettings(host),
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    host.router = child;
    host.exit = undefined;
    child.on("exit", (code, signal) => {
      host.exit = { code, signal };
    });
    const keep = (chunk) => this.log.push(`${host.name} ${chunk}`);
    child.stdout.on("data", keep);
    child.stderr.on("data", keep);
    return child;
  }

  isReady(host) {
    return new Promise((resolve) => {
      const call = request({
        host: host.ip,
        port: this.ports.ready,
        path: "/-/readyz",
        agent: false,
        timeout: 500,
      }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      call.on("timeout", () => call.destroy());
      call.on("error", () => resolve(false));
      call.end();
    });
  }

  async awaitReady(timeoutMs = 15_000) {
    const untilMs = Date.now() + timeoutMs;
    while (Date.now() < untilMs) {
      const ready = await Promise.all(
        this.hosts.map((host) => this.isReady(host)),
      );
      if (ready.every(Boolean)) {
        return true;
      }
      await sleep(100);
    }
    return false;
  }

  /** Ends all processes that were started here. */
  async close() {
    this.hosts.forEach(({ router }) => router?.kill("SIGKILL"));
    this.store.close();
    await sleep(100);
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** The operator's document. Rows of `routes`: name, prefix, kind, service, timeout, objective, attempts, priority. */
export function operatorDocument(version, { routes, services, limits = {} }) {
  return JSON.stringify({
    version: `r${version}`,
    routes: {
      columns: [
        "name",
        "host",
        "prefix",
        "kind",
        "service",
        "timeout_ms",
        "target_latency_ms",
        "max_attempts",
        "priority",
      ],
      rows: routes.map(([name, prefix, ...rest]) => [
        name,
        "shop.example",
        prefix,
        ...rest,
      ]),
    },
    services: {
      columns: ["name", "health_path", "max_connections", "sharded"],
      rows: services.map(([name, sharded]) => [name, "/healthz", 71, sharded]),
    },
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_000_000,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
      ...limits,
    },
  });
}
