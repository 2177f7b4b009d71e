/**
 * One run of the soak: a fleet, callers, faults, and the promises.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
  encodeConfiguration,
  type FleetHost,
  type PipeliningCaller,
  PlatformFleet,
  STORE_PORT,
} from "@bamboolink/platform/testing";
import {
  createDraw,
  type Draw,
  drawFaults,
  type Fault,
} from "./fault_schedule.ts";
import {
  type Asked,
  findBrokenPromises,
  findDoubleHolds,
} from "./promise_check.ts";
import { Relay, type RelayMode } from "./relay.ts";

const SERVICES = ["plain", "plain", "keyed", "keyed", "keyed"];
/** Callers that send one request after the other. */
const CALLERS = 6;
/** Time between two looks at who holds what, in milliseconds. */
const LOOK_MS = 15;
/** After the last fault, how long the fleet may take to serve everything again, in milliseconds. */
const RECOVER_MS = 25_000;
const KEYS = 65_536;
/** Pause between restarts of a series, in milliseconds: about that between two heartbeats. */
const RESTART_PAUSE_MS = 350;
/** What the copy lacks from which the store comes back, in milliseconds before it was away. */
const LOST_MS = 5_000;
/** A request for this ends each backend server without keys that runs it. */
const LETHAL_PATH = "/plain/lethal";
/** So often such a request is sent, and the pause between, in milliseconds. */
const LETHAL_COUNT = 6;
const LETHAL_PAUSE_MS = 250;
/** How long a server is away after its end, in milliseconds. */
const LETHAL_AWAY_MS = 500;
/** Callers that send ahead on a connection until it ends. */
const AHEAD_CALLERS = 2;

/** How a run ended. */
export interface SoakResult {
  readonly seed: number;
  readonly asked: number;
  readonly served: number;
  readonly faults: readonly Fault[];
  /** Broken promises, in words; none if all was well. */
  readonly broken: readonly string[];
}

/**
 * Runs one seed.
 *
 * @param options `network`: the second number of the loopback addresses, so that runs side by side don't meet;
 *   `hasRestarts`: whether backend servers restart under their ids and callers keep connections, which seeds of before
 *   did not have; `hasReturns`: the same of a store that comes back from an older copy and of requests that end servers.
 */
export async function runSoak(
  seed: number,
  options: {
    lengthMs: number;
    network: number;
    hasRestarts?: boolean;
    hasReturns?: boolean;
  },
): Promise<SoakResult> {
  const draw = createDraw(seed);
  const host = `127.${options.network}.0.2`;
  const relay = await Relay.create(
    { host, port: STORE_PORT },
    { host: `127.${options.network}.0.1`, port: STORE_PORT },
  );
  const fleet = await PlatformFleet.create(SERVICES, options.network, {
    storeHost: host,
  });
  const run = new SoakRun(fleet, relay, draw);
  try {
    return await run.play(seed, {
      hasRestarts: true,
      hasReturns: true,
      ...options,
    });
  } finally {
    relay.close();
    await fleet.close();
  }
}

class SoakRun {
  private readonly asked: Asked[] = [];
  private readonly broken = new Set<string>();
  /** What the last look at the recovery found, for the report. */
  private unserved: string[] = [];
  /** Hosts whose backend servers are being started, since series of faults overlap. */
  private readonly starting = new Set<FleetHost>();
  private isOver = false;
  private version = 1;

  constructor(
    private readonly fleet: PlatformFleet,
    private readonly relay: Relay,
    private readonly draw: Draw,
  ) {}

  async play(
    seed: number,
    options: { lengthMs: number; hasRestarts: boolean; hasReturns: boolean },
  ): Promise<SoakResult> {
    const faults = drawFaults(this.draw, {
      hosts: this.fleet.hosts.length,
      ...options,
    });
    const looking = setInterval(
      () =>
        findDoubleHolds(this.fleet).forEach((found) => this.broken.add(found)),
      LOOK_MS,
    );
    const callers = [
      ...Array.from({ length: CALLERS }, (_, index) => this.call(index)),
      ...Array.from(
        { length: options.hasRestarts ? AHEAD_CALLERS : 0 },
        (_, index) => this.callAhead(index),
      ),
    ];
    await Promise.all(faults.map((fault) => this.inject(fault)));
    if (!await this.hasRecovered()) {
      this.broken.add(
        `the fleet does not serve everything again: ${
          this.unserved.join(", ")
        }`,
      );
    }
    this.isOver = true;
    await Promise.all(callers);
    clearInterval(looking);
    findBrokenPromises(this.fleet, this.asked)
      .forEach((found) => this.broken.add(found));
    return {
      seed,
      asked: this.asked.length,
      served: this.asked.filter(({ status }) => status === 200).length,
      faults,
      broken: [...this.broken],
    };
  }

  private async call(caller: number): Promise<void> {
    let count = 0;
    while (!this.isOver) {
      count += 1;
      const host = this.fleet
        .hosts[(caller + count) % this.fleet.hosts.length]!;
      const kind = count % 3;
      const method = kind === 0 ? "POST" : "GET";
      const path = kind === 0
        ? `/orders/${caller}-${count}`
        : kind === 1
        ? `/plain/${caller}-${count}`
        : `/keyed/${caller}-${count}`;
      const answer = await this.fleet.send(host, {
        path,
        method,
        ...(kind === 2
          ? { key: (caller * 7_919 + count * 104_729) % KEYS }
          : {}),
        deadlineMs: 1_200,
      });
      this.asked.push({ ...answer, method, path });
      if (answer.status !== 200) {
        await sleep(30);
      }
    }
  }

  /** Sends on one connection for as long as the daemon keeps it, also while that stops. */
  private async callAhead(caller: number): Promise<void> {
    for (let count = caller; !this.isOver; count += 1) {
      const host = this.fleet.hosts[count % this.fleet.hosts.length]!;
      const ahead = await this.fleet.openPipelined(host).catch(() => undefined);
      while (ahead !== undefined && !ahead.isClosed && !this.isOver) {
        await ahead.send(["/plain/1", "/plain/2"]);
        await sleep(30);
      }
      if (ahead !== undefined) {
        this.checkOrder(ahead);
        ahead.close();
      }
      await sleep(30);
    }
  }

  /** What was answered on one connection was asked there, each once and in order. */
  private checkOrder({ answeredIds, sentIds }: PipeliningCaller): void {
    const expected = sentIds.slice(0, answeredIds.length);
    if (answeredIds.join() !== expected.join()) {
      this.broken.add(
        `${answeredIds.join()} were answered to ${sentIds.join()}`,
      );
    }
  }

  private async inject(fault: Fault): Promise<void> {
    await sleep(fault.atMs);
    const host = this.fleet.hosts[fault.host]!;
    const { faults } = this.fleet.store;
    switch (fault.kind) {
      case "kill_daemon":
        return await this.restart(host, "SIGKILL");
      case "stop_daemon":
        return await this.restart(host, "SIGTERM");
      case "pause_daemon":
        host.daemon.kill("SIGSTOP");
        await sleep(fault.forMs);
        host.daemon.kill("SIGCONT");
        return;
      case "crash_backend":
        return await this.replaceBackend(host, fault.forMs);
      case "restart_backend":
        return await this.replaceBackend(host, 20, host.backend.instance);
      case "restart_often": {
        const untilMs = Date.now() + fault.forMs;
        while (Date.now() < untilMs) {
          await this.replaceBackend(host, 20, host.backend.instance);
          await sleep(RESTART_PAUSE_MS);
        }
        return;
      }
      case "drain_backend":
        host.backend.isDraining = true;
        await sleep(fault.forMs);
        return await this.replaceBackend(host, 100);
      case "lose_answers":
        return await this.during(
          fault,
          (on) => host.backend.dropsResponses = on,
        );
      case "store_down":
        return await this.during(fault, (on) => faults.isDown = on);
      case "store_slow":
        return await this.during(
          fault,
          (on) => faults.responseDelayMs = on ? 250 : 0,
        );
      case "store_loses_answers":
        return await this.during(
          fault,
          (on) => faults.dropsWriteResponses = on,
        );
      case "store_relay_silent":
        return await this.relayDuring(fault, "silent");
      case "store_relay_one_way":
        return await this.relayDuring(fault, "one_way");
      case "store_relay_reset":
        return await this.relayDuring(fault, "reset");
      case "store_goes_back":
        await this.during(fault, (on) => faults.isDown = on);
        this.fleet.store.rollBack(fault.forMs + LOST_MS);
        return;
      case "lethal_request":
        return await this.sendLethal();
      case "change_configuration":
        this.version += 1;
        this.fleet.store.write(
          "op/config",
          encodeConfiguration(this.version),
        );
    }
  }

  /** Has a request end each backend server that runs it, and sends it at one host after the other. */
  private async sendLethal(): Promise<void> {
    for (let count = 0; count < LETHAL_COUNT; count += 1) {
      this.fleet.hosts.forEach((host) => {
        host.backend.crashTarget = LETHAL_PATH;
        host.backend.onTargetCrash = () =>
          void this.replaceBackend(host, LETHAL_AWAY_MS);
      });
      const host = this.fleet.hosts[count % this.fleet.hosts.length]!;
      await this.fleet.send(host, { path: LETHAL_PATH });
      await sleep(LETHAL_PAUSE_MS);
    }
  }

  private async during(
    fault: Fault,
    set: (isOn: boolean) => void,
  ): Promise<void> {
    set(true);
    await sleep(fault.forMs);
    set(false);
  }

  private async relayDuring(fault: Fault, mode: RelayMode): Promise<void> {
    this.relay.setMode(mode);
    await sleep(fault.forMs);
    // Connections that a cut has harmed don't come back by themselves.
    this.relay.setMode("reset");
    this.relay.setMode("pass");
  }

  private async restart(
    host: FleetHost,
    signal: "SIGKILL" | "SIGTERM",
  ): Promise<void> {
    const { daemon } = host;
    const ended = daemon.exitCode !== null || daemon.signalCode !== null
      ? Promise.resolve()
      : new Promise((resolve) => daemon.once("exit", resolve));
    daemon.kill("SIGCONT");
    daemon.kill(signal);
    await ended;
    await sleep(150);
    if (host.daemon === daemon) {
      this.fleet.startDaemon(host);
    }
  }

  private async replaceBackend(
    host: FleetHost,
    afterMs: number,
    instance?: string,
  ): Promise<void> {
    const { backend } = host;
    backend.crash();
    await sleep(afterMs);
    if (host.backend === backend && !this.starting.has(host)) {
      this.starting.add(host);
      await this.fleet.startBackend(
        host,
        instance === undefined ? {} : { instance },
      );
      this.starting.delete(host);
    }
  }

  private hasRecovered(): Promise<boolean> {
    const paths = [
      { path: "/plain/end" },
      ...[1, 22_000, 44_000, 65_535].map((key) => ({
        path: "/keyed/end",
        key,
      })),
    ];
    return this.fleet.until(async () => {
      const answers = await Promise.all(
        this.fleet.hosts.flatMap((host) =>
          paths.map(async (asked) => {
            const { status, body } = await this.fleet.send(host, asked);
            return {
              status,
              said: `${host.address} ${
                JSON.stringify(asked)
              } ${status} ${body}`,
            };
          })
        ),
      );
      const unserved = answers.filter(({ status }) => status !== 200);
      this.unserved = unserved.map(({ said }) => said);
      return unserved.length === 0;
    }, RECOVER_MS);
  }
}
