/**
 * What this daemon knows of the backend servers beside other daemons, for placing requests.
 *
 * @module
 */
import type { MemberReport } from "@bamboolink/membership";
import {
  type PlacementCandidate,
  RouteServiceTimes,
} from "@bamboolink/placement";
import type { LoadReport } from "./link_codec.ts";

/** A daemon that could not be reached is left out for so long, in milliseconds, if others are there. */
const AVOID_MS = 500;

/** Weight of the latest request in the average size of a route's requests and answers. */
const SIZE_RATE = 0.1;

/** What is known of one backend server whatever the route. */
type ServerLoad = Pick<LoadReport, "waitMs" | "utilization" | "failureShare">;

interface Entry {
  load: ServerLoad;
  reportedAtMs: number;
  sentSinceReport: number;
  avoidUntilMs: number;
}

/** The last load reports, and what was sent since. */
export class BackendLoadTracker {
  private readonly entries = new Map<string, Entry>();
  private readonly times = RouteServiceTimes.create();
  private readonly sizes = new Map<string, number>();

  private constructor() {}

  /** Creates an empty board. */
  static create(): BackendLoadTracker {
    return new BackendLoadTracker();
  }

  /** Notes what a daemon says of its backend server. */
  recordLoad(daemon: string, load: ServerLoad, nowMs: number): void {
    const entry = this.entryOf(daemon);
    entry.load = load;
    entry.reportedAtMs = nowMs;
    entry.sentSinceReport = 0;
  }

  /** Notes what a daemon says of its backend server and of the requests of one route there. */
  recordRouteLoad(
    daemon: string,
    told: { route: string; load: LoadReport; nowMs: number },
  ): void {
    const { route, load, nowMs } = told;
    this.recordLoad(daemon, load, nowMs);
    if (load.serviceMs > 0) {
      this.times.record(daemon, route, {
        serviceMs: load.serviceMs,
        reportedAtMs: nowMs,
      });
    }
  }

  /** Notes how many bytes a request of a route and its answer had. */
  recordSize(route: string, bytes: number): void {
    const known = this.sizes.get(route) ?? bytes;
    this.sizes.set(route, known + SIZE_RATE * (bytes - known));
  }

  /** How long a request of a route takes as a rule, in milliseconds; 0 where that is not known. */
  typicalMs(route: string): number {
    return this.times.typicalMs(route);
  }

  /** Share of the recent requests at a backend server that it failed, as last told. */
  failureShareOf(daemon: string): number {
    return this.entryOf(daemon).load.failureShare;
  }

  /** Notes a request that was sent to a daemon. */
  recordSent(daemon: string): void {
    this.entryOf(daemon).sentSinceReport += 1;
  }

  /** Notes that a daemon could not be reached. */
  markUnreachable(daemon: string, nowMs: number): void {
    this.entryOf(daemon).avoidUntilMs = nowMs + AVOID_MS;
  }

  /** Whether a daemon could not be reached just now. */
  isAvoided(daemon: string, nowMs: number): boolean {
    return this.entryOf(daemon).avoidUntilMs > nowMs;
  }

  /** Describes a backend server for the placement of a request of a route. */
  describe(
    report: MemberReport,
    own: {
      daemon: string;
      availabilityZone: string;
      route: string;
      nowMs: number;
    },
  ): PlacementCandidate {
    const { load, reportedAtMs, sentSinceReport } = this.entryOf(
      report.address,
    );
    return {
      daemon: report.address,
      isLocal: report.address === own.daemon,
      isSameZone: report.availabilityZone === own.availabilityZone,
      slots: report.slots,
      ...load,
      serviceMs: this.times.estimateMs(report.address, own.route, own.nowMs),
      meanServiceMs: report.serviceMs,
      transferBytes: this.sizes.get(own.route) ?? 0,
      reportAgeMs: Math.max(0, own.nowMs - reportedAtMs),
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
