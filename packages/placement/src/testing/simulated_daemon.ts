/**
 * What one daemon of the simulation knows about the servers: reports of some age, and outcomes of its own requests.
 *
 * @module
 */
import type { PlacementCandidate } from "../choose_backend.ts";
import { RouteServiceTimes } from "../route_service_times.ts";
import type { SimulatedLoad, SimulatedServer } from "./simulated_server.ts";

/** Weight of the latest request in the moving average of a route's size. */
const SIZE_EWMA_WEIGHT = 0.1;

interface KnownLoad extends SimulatedLoad {
  readonly receivedAtMs: number;
  /** Requests sent there since. */
  sent: number;
}

/** One daemon that callers send requests to. */
export class SimulatedDaemon {
  private readonly loads: KnownLoad[];
  private readonly times = RouteServiceTimes.create();
  private readonly sizes = new Map<string, number>();

  private constructor(
    readonly zone: number,
    /** Number of the server on its host; `undefined` if there is none. */
    readonly localServer: number | undefined,
    private readonly servers: readonly SimulatedServer[],
  ) {
    this.loads = servers.map(() => ({
      waitMs: 0,
      utilization: 0,
      meanServiceMs: 0,
      measuredAtMs: 0,
      receivedAtMs: 0,
      sent: 0,
    }));
  }

  /** Creates a daemon that has received nothing. */
  static create(
    host: { zone: number; localServer: number | undefined },
    servers: readonly SimulatedServer[],
  ): SimulatedDaemon {
    return new SimulatedDaemon(host.zone, host.localServer, servers);
  }

  /** Records that a request is sent to a server. */
  recordSent(server: number): void {
    this.loads[server]!.sent += 1;
  }

  /** Records the load that comes with an outcome. */
  recordLoad(server: number, nowMs: number): void {
    this.setLoad(server, this.servers[server]!.report(nowMs), nowMs);
  }

  /** Records a response of a route. */
  recordResponse(
    server: number,
    response: { route: string; workMs: number; bytes: number; nowMs: number },
  ): void {
    const { route, workMs, bytes, nowMs } = response;
    const average = this.sizes.get(route) ?? bytes;
    this.sizes.set(route, average + SIZE_EWMA_WEIGHT * (bytes - average));
    this.times.record(String(server), route, {
      serviceMs: workMs / this.servers[server]!.speed,
      measuredAtMs: nowMs,
    });
  }

  /** Records a report in gossip, unless something newer is known. */
  recordReport(server: number, report: SimulatedLoad, nowMs: number): void {
    if (report.measuredAtMs > this.loads[server]!.measuredAtMs) {
      this.setLoad(server, report, nowMs);
    }
  }

  /** Describes a server as a candidate for a request of a route. */
  toCandidate(
    server: number,
    route: string,
    nowMs: number,
  ): PlacementCandidate {
    const isLocal = server === this.localServer;
    if (isLocal) {
      this.recordLoad(server, nowMs);
    }
    const { slots, zone } = this.servers[server]!;
    const { waitMs, utilization, meanServiceMs, receivedAtMs, sent } = this
      .loads[server]!;
    return {
      daemon: String(server),
      isLocal,
      isSameZone: zone === this.zone,
      capacity: slots,
      waitMs,
      utilization,
      serviceMs: this.times.estimateMs(String(server), route, nowMs),
      meanServiceMs,
      transferBytes: this.sizes.get(route) ?? 0,
      bodyWaitMs: 0,
      failureShare: 0,
      reportAgeMs: nowMs - receivedAtMs,
      sentSinceReport: sent,
    };
  }

  private setLoad(server: number, load: SimulatedLoad, nowMs: number): void {
    this.loads[server] = { ...load, receivedAtMs: nowMs, sent: 0 };
  }
}
