/**
 * One run of the soak: starts a fleet, sends requests, injects faults and checks the guarantees.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
  type FleetHost,
  type PipeliningCaller,
  PlatformFleet,
  STORE_PORT,
} from "@bamboolink/platform/testing";
import { ConfigurationWriter } from "./configuration_writer.ts";
import { DisturbanceLog, findScopes } from "./disturbance_log.ts";
import {
  createDraw,
  type Draw,
  drawFaults,
  type Fault,
  type FaultSelection,
} from "./fault_schedule.ts";
import {
  type CompletedRequest,
  findDoubleHolds,
  findRequestViolations,
} from "./guarantee_check.ts";
import {
  type PartialStoreFault,
  PartialStoreFaults,
} from "./partial_store_faults.ts";
import { Relay, type RelayMode } from "./relay.ts";
import { RouteCaller, type RouteDelay } from "./route_caller.ts";
import { findDeniedRequests } from "./route_promises.ts";
import { stateLeaving, stateLimit } from "./stated_status_fault.ts";

/** The service on each host. */
const SERVICES = ["plain", "plain", "keyed", "keyed", "keyed"];
/** Callers that send one request after the other. */
const CALLER_COUNT = 6;
/** Interval between two checks for keys that two backend servers hold, in milliseconds. */
const HOLD_CHECK_INTERVAL_MS = 15;
/** Time after the last fault within which the fleet must serve all requests again, in milliseconds. */
const RECOVERY_TIMEOUT_MS = 25_000;
const KEY_COUNT = 65_536;
/** Pause between restarts of a series, in milliseconds; about the interval between two heartbeats. */
const RESTART_PAUSE_MS = 350;
/** Age of the snapshot from which the store is restored, in milliseconds before the start of its outage. */
const SNAPSHOT_AGE_MS = 5_000;
/** A request for this path crashes each backend server without keys that runs it. */
const LETHAL_PATH = "/plain/lethal";
/** Number of such requests in one fault. */
const LETHAL_REQUEST_COUNT = 6;
/** Pause between them, in milliseconds. */
const LETHAL_REQUEST_PAUSE_MS = 250;
/** Time from such a crash to the restart of the backend server, in milliseconds. */
const CRASH_RESTART_DELAY_MS = 500;
/** Requests per second that a backend server states it takes, a fraction of what callers send. */
const STATED_LIMIT = 2.5;
/** Callers that pipeline requests on a connection until it is closed. */
const PIPELINING_CALLER_COUNT = 2;
/** Callers that send requests on routes that change. */
const ROUTE_CALLER_COUNT = 3;
/** Time after the last fault of a series in which new routes must come into force, in milliseconds. */
const SERIES_OBSERVATION_MS = 6_000;
/** The store's record of the owners of keys. */
const OWNERSHIP_KEY = "bamboolink/ownership/keyed";
/** Time within which a backend server that drains gives its keys away, in milliseconds. */
const HELD_WRITE_TIMEOUT_MS = 3_000;
/** Last byte of the address of the first host; the others follow. */
const FIRST_HOST_NUMBER = 10;

/** Result of a run. */
export interface SoakResult {
  readonly seed: number;
  readonly requestCount: number;
  readonly servedCount: number;
  readonly faults: readonly Fault[];
  /** How long daemons took to serve new routes, in a run with series of faults. */
  readonly routeDelays: readonly RouteDelay[];
  /** A message for each violated guarantee. */
  readonly violations: readonly string[];
  /** Standard output of all daemons. */
  readonly log: string;
}

/**
 * Runs one seed on a fleet of its own.
 *
 * @param options `durationMs`: time within which faults start, in milliseconds; `network`: second byte of the loopback
 *   addresses, different for runs at the same time; `hasRestarts`: whether backend servers restart under their ids and
 *   callers pipeline requests; `hasRollbacksAndLethalRequests`: whether the store is restored from older snapshots and
 *   requests crash backend servers; `hasStatedStatus`: whether backend servers state limits and their leaving in
 *   responses; `hasSeries`: whether several faults overlap in series, with changes of routes and limits after them;
 *   `hasSingleFaults`: whether other faults start one by one; `hasLateEffects`: whether the store executes writes late and
 *   backend servers repeat rejections. All are on by default; older seeds were found without them.
 */
export async function runSoak(
  seed: number,
  options:
    & { durationMs: number; network: number }
    & Partial<FaultSelection>,
): Promise<SoakResult> {
  const selection = {
    hasSingleFaults: true,
    hasRestarts: true,
    hasRollbacksAndLethalRequests: true,
    hasStatedStatus: true,
    hasSeries: true,
    hasLateEffects: true,
    ...options,
  };
  const { network, hasSeries } = selection;
  const relays = await createRelays(network, hasSeries);
  const fleet = await PlatformFleet.create(SERVICES, network, {
    storeHost: hasSeries
      ? (hostNumber) => `127.${network}.2.${hostNumber}`
      : `127.${network}.0.2`,
  });
  const run = new SoakRun(fleet, relays, createDraw(seed));
  try {
    return await run.execute(seed, selection);
  } finally {
    relays.forEach((relay) => relay.close());
    await fleet.close();
  }
}

/** Starts the relays between the daemons and the store: one for all, or one for each so that the store can tell them. */
async function createRelays(
  network: number,
  hasOneForEach: boolean,
): Promise<Relay[]> {
  const addresses = hasOneForEach
    ? SERVICES.map((_, index) => FIRST_HOST_NUMBER + index).map((number) => ({
      host: `127.${network}.2.${number}`,
      storeHost: `127.${network}.1.${number}`,
    }))
    : [{ host: `127.${network}.0.2`, storeHost: `127.${network}.0.1` }];
  return await Promise.all(
    addresses.map(({ host, storeHost }) =>
      Relay.create(
        { host, port: STORE_PORT },
        { host: storeHost, port: STORE_PORT },
      )
    ),
  );
}

class SoakRun {
  private readonly completedRequests: CompletedRequest[] = [];
  private readonly violations = new Set<string>();
  /** Requests that failed at the last check of the recovery, for the message. */
  private unservedRequests: string[] = [];
  /** Hosts whose backend servers are being started; prevents a second start, since series of faults overlap. */
  private readonly startingHosts = new Set<FleetHost>();
  /** When the daemon of a host was last stopped or paused, in Unix milliseconds. */
  private readonly disturbedAtMs = new Map<FleetHost, number>();
  private readonly disturbances = DisturbanceLog.create();
  private readonly configuration: ConfigurationWriter;
  private readonly partialFaults: PartialStoreFaults;
  private readonly routeCaller: RouteCaller;
  private isOver = false;
  /** Whether a write is held at the store, which holds one at a time. */
  private isHoldingWrite = false;

  constructor(
    private readonly fleet: PlatformFleet,
    private readonly relays: readonly Relay[],
    private readonly draw: Draw,
  ) {
    this.configuration = ConfigurationWriter.create(fleet.store);
    this.partialFaults = PartialStoreFaults.create(fleet.store);
    this.routeCaller = RouteCaller.create(
      fleet,
      () => this.configuration.newest,
    );
  }

  async execute(
    seed: number,
    options: FaultSelection & { durationMs: number },
  ): Promise<SoakResult> {
    const faults = drawFaults(this.draw, {
      hostCount: this.fleet.hosts.length,
      ...options,
    });
    const holdCheckTimer = setInterval(
      () =>
        findDoubleHolds(this.fleet).forEach((violation) =>
          this.violations.add(violation)
        ),
      HOLD_CHECK_INTERVAL_MS,
    );
    const callers = [
      ...Array.from(
        { length: CALLER_COUNT },
        (_, index) => this.runCaller(index, options.hasLateEffects),
      ),
      ...Array.from(
        { length: options.hasRestarts ? PIPELINING_CALLER_COUNT : 0 },
        (_, index) => this.runPipeliningCaller(index),
      ),
      ...Array.from(
        { length: options.hasSeries ? ROUTE_CALLER_COUNT : 0 },
        (_, index) => this.routeCaller.run(index),
      ),
    ];
    await Promise.all(faults.map((fault) => this.injectAtItsTime(fault)));
    await sleep(options.hasSeries ? SERIES_OBSERVATION_MS : 0);
    if (!await this.awaitRecovery()) {
      this.violations.add(
        `the fleet did not recover after the last fault; failed requests: ${
          this.unservedRequests.join(", ")
        }`,
      );
    }
    this.isOver = true;
    await this.routeCaller.stop();
    await Promise.all(callers);
    clearInterval(holdCheckTimer);
    const completedRequests = [
      ...this.completedRequests,
      ...this.routeCaller.completedRequests,
    ];
    this.addViolations(findRequestViolations(this.fleet, completedRequests));
    this.addViolations(
      findDeniedRequests(this.routeCaller.judgedRequests, {
        versions: this.configuration.versions,
        disturbances: this.disturbances.disturbances,
      }),
    );
    return {
      seed,
      requestCount: completedRequests.length,
      servedCount:
        completedRequests.filter(({ status }) => status === 200).length,
      faults,
      routeDelays: this.routeCaller.routeDelays,
      violations: [...this.violations],
      log: this.fleet.log.join(""),
    };
  }

  private async runCaller(
    callerIndex: number,
    sendsKeyedOrders: boolean,
  ): Promise<void> {
    const prefixes = [
      "orders",
      "plain",
      "keyed",
      ...(sendsKeyedOrders ? ["keyed-orders"] : []),
    ];
    let count = 0;
    while (!this.isOver) {
      count += 1;
      const host = this.fleet
        .hosts[(callerIndex + count) % this.fleet.hosts.length]!;
      const prefix = prefixes[count % prefixes.length]!;
      const method = prefix.endsWith("orders") ? "POST" : "GET";
      const path = `/${prefix}/${callerIndex}-${count}`;
      const response = await this.fleet.send(host, {
        path,
        method,
        ...(prefix.startsWith("keyed")
          ? { key: (callerIndex * 7_919 + count * 104_729) % KEY_COUNT }
          : {}),
        deadlineMs: 1_200,
      });
      this.completedRequests.push({ ...response, method, path });
      if (response.status !== 200) {
        await sleep(30);
      }
    }
  }

  /** Pipelines requests on a connection until the daemon closes it, also while the daemon stops; opens the next. */
  private async runPipeliningCaller(callerIndex: number): Promise<void> {
    for (
      let connectionIndex = callerIndex;
      !this.isOver;
      connectionIndex += 1
    ) {
      const host = this.fleet.hosts[connectionIndex % this.fleet.hosts.length]!;
      const connection = await this.fleet.openPipelined(host).catch(() =>
        undefined
      );
      while (connection !== undefined && !connection.isClosed && !this.isOver) {
        await connection.send(["/plain/1", "/plain/2"]);
        await sleep(30);
      }
      if (connection !== undefined) {
        this.checkResponseOrder(connection);
        connection.close();
      }
      await sleep(30);
    }
  }

  /** Checks that the responses on a connection belong to requests sent on it, each once and in order. */
  private checkResponseOrder({ answeredIds, sentIds }: PipeliningCaller): void {
    const expected = sentIds.slice(0, answeredIds.length);
    if (answeredIds.join() !== expected.join()) {
      this.violations.add(
        `responses to ${answeredIds.join()} on a connection with the requests ${sentIds.join()}`,
      );
    }
  }

  /**
   * Makes a host give its keys away by a write that the store executes `delayMs` late, and restarts its daemon meanwhile.
   */
  private async executeLate(host: FleetHost, delayMs: number): Promise<void> {
    if (this.isHoldingWrite || host.service !== "keyed") {
      return;
    }
    this.isHoldingWrite = true;
    const write = this.fleet.store.holdWrite(
      OWNERSHIP_KEY,
      (value) => !value.includes(`"${host.address}:`),
    );
    host.backend.isDraining = true;
    const hasArrived = await this.fleet.until(
      () => write.hasArrived,
      HELD_WRITE_TIMEOUT_MS,
    );
    if (hasArrived) {
      await this.restartDaemon(host, "SIGKILL");
      host.backend.isDraining = false;
      await sleep(delayMs);
      write.execute();
    }
    host.backend.isDraining = false;
    write.cancel();
    this.isHoldingWrite = false;
  }

  private async injectAtItsTime(fault: Fault): Promise<void> {
    await sleep(fault.atMs);
    const end = this.disturbances.begin(
      findScopes(fault, {
        host: this.fleet.hosts[fault.host]!.address,
        affected: this.findAffectedHosts(fault).map(({ address }) => address),
      }),
    );
    await this.inject(fault);
    end();
  }

  /** The hosts of a fault that affects a share of them; they follow the host that it names. */
  private findAffectedHosts({ host, share = 0 }: Fault): FleetHost[] {
    const { hosts } = this.fleet;
    const count = Math.round(hosts.length * share / 100);
    return [...hosts.slice(host), ...hosts.slice(0, host)].slice(0, count);
  }

  private async inject(fault: Fault): Promise<void> {
    const host = this.fleet.hosts[fault.host]!;
    const { faults } = this.fleet.store;
    switch (fault.kind) {
      case "kill_daemon":
        return await this.restartDaemon(host, "SIGKILL");
      case "stop_daemon":
        return await this.restartDaemon(host, "SIGTERM");
      case "pause_daemon":
        this.disturbedAtMs.set(host, Date.now());
        host.daemon.kill("SIGSTOP");
        await sleep(fault.forMs);
        host.daemon.kill("SIGCONT");
        this.disturbedAtMs.set(host, Date.now());
        return;
      case "crash_backend":
        return await this.replaceBackend(host, fault.forMs);
      case "restart_backend":
        return await this.replaceBackend(host, 20, host.backend.instance);
      case "restart_often": {
        const endsAtMs = Date.now() + fault.forMs;
        while (Date.now() < endsAtMs) {
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
        return await this.enableDuring(
          fault,
          (isOn) => host.backend.dropsResponses = isOn,
        );
      case "store_down":
        return await this.enableDuring(fault, (isOn) => faults.isDown = isOn);
      case "store_slow":
        return await this.injectPartialFault(fault, { kind: "slow" });
      case "store_hides_changes":
        return await this.injectPartialFault(fault, { kind: "hides_changes" });
      case "store_rejects_some":
        return await this.injectPartialFault(fault, {
          kind: "rejects",
          addresses: this.findStoreAddresses(fault),
        });
      case "store_silent_for_some":
        return await this.injectPartialFault(fault, {
          kind: "silent",
          addresses: this.findStoreAddresses(fault),
        });
      case "store_connections_silent":
        return this.fleet.store.makeConnectionsUnresponsive(
          (fault.share ?? 100) / 100,
        );
      case "store_connections_closed":
        return this.fleet.store.closeConnections();
      case "store_loses_answers":
        return await this.enableDuring(
          fault,
          (isOn) => faults.dropsWriteResponses = isOn,
        );
      case "store_relay_silent":
        return await this.setRelayModeDuring(fault, "silent");
      case "store_relay_one_way":
        return await this.setRelayModeDuring(fault, "one_way");
      case "store_relay_reset":
        return await this.setRelayModeDuring(fault, "reset");
      case "store_goes_back":
        await this.enableDuring(fault, (isOn) => faults.isDown = isOn);
        this.fleet.store.rollBack(fault.forMs + SNAPSHOT_AGE_MS);
        return;
      case "lethal_request":
        return await this.sendLethalRequests();
      case "late_write":
        return await this.executeLate(host, fault.forMs);
      case "repeat_rejections":
        return await this.enableDuring(
          fault,
          (isOn) => host.backend.repeatsFirstRejections = isOn,
        );
      case "state_limit":
        return this.addViolations(
          await stateLimit(host, {
            perSecond: STATED_LIMIT,
            forMs: fault.forMs,
          }),
        );
      case "state_leaving":
        this.addViolations(
          await stateLeaving(
            host,
            fault.forMs,
            (sinceMs) => (this.disturbedAtMs.get(host) ?? 0) >= sinceMs,
          ),
        );
        return await this.replaceBackend(host, 100);
      case "change_configuration":
        this.configuration.write("none");
        return;
      case "add_route":
      case "add_many_routes":
      case "split_route":
      case "add_routes_again":
        return this.routeCaller.measure(this.configuration.write(fault.kind));
      case "move_route":
      case "remove_routes":
      case "change_limits":
        this.configuration.write(fault.kind);
    }
  }

  /** The addresses at which the daemons that a fault affects reach the store. */
  private findStoreAddresses(fault: Fault): string[] {
    return this.findAffectedHosts(fault).map(({ address }) =>
      this.fleet.storeAddressFor(address)
    );
  }

  private async injectPartialFault(
    { forMs }: Fault,
    fault: PartialStoreFault,
  ): Promise<void> {
    const end = this.partialFaults.start(fault);
    await sleep(forMs);
    end();
  }

  /** Makes a request crash each backend server that runs it, and sends it to one host after the other. */
  private async sendLethalRequests(): Promise<void> {
    for (let count = 0; count < LETHAL_REQUEST_COUNT; count += 1) {
      this.fleet.hosts.forEach((host) => {
        host.backend.crashTarget = LETHAL_PATH;
        host.backend.onTargetCrash = () =>
          void this.replaceBackend(host, CRASH_RESTART_DELAY_MS);
      });
      const host = this.fleet.hosts[count % this.fleet.hosts.length]!;
      await this.fleet.send(host, { path: LETHAL_PATH });
      await sleep(LETHAL_REQUEST_PAUSE_MS);
    }
  }

  private addViolations(violations: readonly string[]): void {
    violations.forEach((violation) => this.violations.add(violation));
  }

  private async enableDuring(
    fault: Fault,
    set: (isOn: boolean) => void,
  ): Promise<void> {
    set(true);
    await sleep(fault.forMs);
    set(false);
  }

  private async setRelayModeDuring(
    fault: Fault,
    mode: RelayMode,
  ): Promise<void> {
    this.setRelayMode(mode);
    await sleep(fault.forMs);
    // Connections that lost bytes during a cut don't recover on their own.
    this.setRelayMode("reset");
    this.setRelayMode("pass");
  }

  private setRelayMode(mode: RelayMode): void {
    this.relays.forEach((relay) => relay.setMode(mode));
  }

  private async restartDaemon(
    host: FleetHost,
    signal: "SIGKILL" | "SIGTERM",
  ): Promise<void> {
    const { daemon } = host;
    this.disturbedAtMs.set(host, Date.now());
    const exited = daemon.exitCode !== null || daemon.signalCode !== null
      ? Promise.resolve()
      : new Promise((resolve) => daemon.once("exit", resolve));
    daemon.kill("SIGCONT");
    daemon.kill(signal);
    await exited;
    await sleep(150);
    if (host.daemon === daemon) {
      this.fleet.startDaemon(host);
    }
  }

  private async replaceBackend(
    host: FleetHost,
    startDelayMs: number,
    instance?: string,
  ): Promise<void> {
    const { backend } = host;
    backend.crash();
    await sleep(startDelayMs);
    if (host.backend === backend && !this.startingHosts.has(host)) {
      this.startingHosts.add(host);
      await this.fleet.startBackend(
        host,
        instance === undefined ? {} : { instance },
      );
      this.startingHosts.delete(host);
    }
  }

  private awaitRecovery(): Promise<boolean> {
    const paths = [
      { path: "/plain/end" },
      ...[1, 22_000, 44_000, 65_535].map((key) => ({
        path: "/keyed/end",
        key,
      })),
    ];
    return this.fleet.until(async () => {
      const responses = await Promise.all(
        this.fleet.hosts.flatMap((host) =>
          paths.map(async (request) => {
            const { status, body } = await this.fleet.send(host, request);
            return {
              status,
              description: `${host.address} ${
                JSON.stringify(request)
              } ${status} ${body}`,
            };
          })
        ),
      );
      const unserved = responses.filter(({ status }) => status !== 200);
      this.unservedRequests = unserved.map(({ description }) => description);
      return unserved.length === 0;
    }, RECOVERY_TIMEOUT_MS);
  }
}
