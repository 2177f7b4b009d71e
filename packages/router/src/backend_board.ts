/**
 * What this daemon knows of the backend servers beside other daemons, for placing requests.
 *
 * @module
 */
import type { MemberReport } from "@bamboolink/membership";
import type { PlacementCandidate } from "@bamboolink/placement";
import type { LoadReport } from "./link_codec.ts";

/** A daemon that could not be reached is left out for so long, in milliseconds, if others are there. */
const AVOID_MS = 500;

interface Entry {
  load: LoadReport;
  reportedAtMs: number;
  sentSinceReport: number;
  avoidUntilMs: number;
}

/** The last load reports, and what was sent since. */
export class BackendBoard {
  private readonly entries = new Map<string, Entry>();

  private constructor() {}

  /** Creates an empty board. */
  static create(): BackendBoard {
    return new BackendBoard();
  }

  /** Notes what a daemon says of its backend server. */
  noteLoad(daemon: string, load: LoadReport, nowMs: number): void {
    const entry = this.entryOf(daemon);
    entry.load = load;
    entry.reportedAtMs = nowMs;
    entry.sentSinceReport = 0;
  }

  /** Notes a request that was sent to a daemon. */
  noteSent(daemon: string): void {
    this.entryOf(daemon).sentSinceReport += 1;
  }

  /** Notes that a daemon could not be reached. */
  noteUnreachable(daemon: string, nowMs: number): void {
    this.entryOf(daemon).avoidUntilMs = nowMs + AVOID_MS;
  }

  /** Whether a daemon could not be reached just now. */
  isAvoided(daemon: string, nowMs: number): boolean {
    return this.entryOf(daemon).avoidUntilMs > nowMs;
  }

  /** Describes a backend server for placement. */
  describe(
    report: MemberReport,
    own: { daemon: string; availabilityZone: string; nowMs: number },
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
      load: { waitMs: 0, serviceMs: 0, failureShare: 0 },
      reportedAtMs: 0,
      sentSinceReport: 0,
      avoidUntilMs: -Infinity,
    };
    this.entries.set(daemon, entry);
    return entry;
  }
}
