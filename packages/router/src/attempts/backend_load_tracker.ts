/**
 * Load of the backend servers, as their daemons report it, for the placement of requests.
 *
 * @module
 */
import type { MemberReport } from "@bamboolink/membership";
import {
  type PlacementCandidate,
  RouteServiceTimes,
  type ServerLoad,
} from "@bamboolink/placement";
import type { LoadReport } from "../links/link_codec.ts";

/** A daemon that could not be reached is avoided for this long, in milliseconds, if others are available. */
const AVOID_DURATION_MS = 500;

/** Weight of the latest response in the moving average (EWMA) of the sizes of a route's responses. */
const SIZE_EWMA_WEIGHT = 0.1;

/** Bodies from this size may have to wait for the network link of the host that receives them, in bytes. */
const LARGE_BODY_BYTES = 8_192;

/** Load of one backend server over all routes. */
type ReportedLoad = Pick<
  LoadReport,
  "waitMs" | "utilization" | "failureShare"
>;

interface Entry {
  load: ReportedLoad;
  reportedAtMs: number;
  sentSinceReport: number;
  avoidUntilMs: number;
}

/** The latest load report of each daemon, and the number of requests sent to it since. */
export class BackendLoadTracker {
  private readonly entries = new Map<string, Entry>();
  private readonly times = RouteServiceTimes.create();
  private readonly responseSizes = new Map<string, number>();

  private constructor() {}

  /** Creates a tracker without reports. */
  static create(): BackendLoadTracker {
    return new BackendLoadTracker();
  }

  /** Records the load that a daemon reports for its backend server. */
  recordLoad(daemon: string, load: ReportedLoad, nowMs: number): void {
    const entry = this.entryOf(daemon);
    entry.load = load;
    entry.reportedAtMs = nowMs;
    entry.sentSinceReport = 0;
  }

  /**
   * Records the load that a daemon reports for its backend server and for one route there.
   *
   * @param update `measuredAtMs`: when the server last completed a request of the route, as far as that is known.
   */
  recordRouteLoad(
    daemon: string,
    update: {
      route: string;
      load: LoadReport;
      nowMs: number;
      measuredAtMs: number | undefined;
    },
  ): void {
    const { route, load, nowMs, measuredAtMs } = update;
    const { serviceMs } = load;
    this.recordLoad(daemon, load, nowMs);
    if (serviceMs > 0 && measuredAtMs !== undefined) {
      this.times.record(daemon, route, { serviceMs, measuredAtMs });
    }
  }

  /** Records the size of the body of a route's response, in bytes. */
  recordResponseSize(route: string, bytes: number): void {
    const average = this.responseSizes.get(route) ?? bytes;
    this.responseSizes.set(
      route,
      average + SIZE_EWMA_WEIGHT * (bytes - average),
    );
  }

  /** Typical service time of a route, in milliseconds; 0 where that is not known. */
  typicalMs(route: string): number {
    return this.times.typicalMs(route);
  }

  /** Typical size of the body of a route's response, in bytes; 0 where that is not known. */
  typicalResponseBytes(route: string): number {
    return this.responseSizes.get(route) ?? 0;
  }

  /** The loads of backend servers as last reported, at their speeds. */
  serverLoads(reports: readonly MemberReport[]): ServerLoad[] {
    return reports.map(({ address, availabilityZone, capacity }) => ({
      zone: availabilityZone,
      capacity,
      utilization: this.entryOf(address).load.utilization,
      speed: this.times.speedOf(address),
    }));
  }

  /** Share of recent requests that a backend server failed, as last reported, from 0 to 1. */
  failureShareOf(daemon: string): number {
    return this.entryOf(daemon).load.failureShare;
  }

  /** Records that a request was sent to a daemon. */
  recordSent(daemon: string): void {
    this.entryOf(daemon).sentSinceReport += 1;
  }

  /** Records that a daemon could not be reached. */
  markUnreachable(daemon: string, nowMs: number): void {
    this.entryOf(daemon).avoidUntilMs = nowMs + AVOID_DURATION_MS;
  }

  /** Whether a daemon is avoided because it could not be reached. */
  isAvoided(daemon: string, nowMs: number): boolean {
    return this.entryOf(daemon).avoidUntilMs > nowMs;
  }

  /** Returns a backend server as a candidate for the placement of a request of a route. */
  toCandidate(
    report: MemberReport,
    origin: {
      daemon: string;
      availabilityZone: string;
      route: string;
      /** Size of the request's body, in bytes. */
      bodyBytes: number;
      nowMs: number;
    },
  ): PlacementCandidate {
    const { load, reportedAtMs, sentSinceReport } = this.entryOf(
      report.address,
    );
    const isLocal = report.address === origin.daemon;
    return {
      daemon: report.address,
      isLocal,
      isSameZone: report.availabilityZone === origin.availabilityZone,
      capacity: report.capacity,
      ...load,
      serviceMs: this.times.estimateMs(
        report.address,
        origin.route,
        origin.nowMs,
      ),
      meanServiceMs: report.serviceMs,
      bodyWaitMs: origin.bodyBytes < LARGE_BODY_BYTES || isLocal
        ? 0
        : report.bodyWaitMs,
      transferBytes: origin.bodyBytes +
        this.typicalResponseBytes(origin.route),
      reportAgeMs: Math.max(0, origin.nowMs - reportedAtMs),
      sentSinceReport,
    };
  }

  private entryOf(daemon: string): Entry {
    const known = this.entries.get(daemon);
    if (known !== undefined) {
      return known;
    }
    const entry = {
      load: { waitMs: 0, utilization: 0, failureShare: 0 },
      reportedAtMs: 0,
      sentSinceReport: 0,
      avoidUntilMs: -Infinity,
    };
    this.entries.set(daemon, entry);
    return entry;
  }
}
