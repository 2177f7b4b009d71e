/**
 * One daemon's view of the others: the newest report of each, and whether it is alive.
 *
 * @module
 */
import {
  createDigest,
  hashAddress,
  type HeartbeatDigest,
} from "./heartbeat_digest.ts";
import type { ReportVersion } from "./gossip_codec.ts";
import type { MemberReport } from "./member.ts";
import { sampleWithoutReplacement } from "./sample_without_replacement.ts";

/**
 * A daemon whose sequence number has not advanced for this time counts as unresponsive. Each datagram carries the
 * digests of all daemons, so the time suffices for 195 daemons as well as for 12 (see `membership_test.ts`).
 */
const UNRESPONSIVE_TIMEOUT_MS = 2_500;
/** Digests take 9 bytes each. In larger fleets, each datagram carries a random subset. */
const MAX_DIGESTS_PER_MESSAGE = 200;
/**
 * How long the digests of unresponsive daemons are still sent. They let a restarted daemon learn of the earlier
 * process at its address; otherwise the others would ignore its reports for as long as that process had run.
 */
const DIGEST_RETENTION_MS = 60_000;
/** Maximum number of reports in a response to a request for reports: about 2,500 bytes. */
const MAX_REPORTS_PER_RESPONSE = 28;
/** Maximum number of reports in a gossip message: about 1,250 bytes. */
const MAX_REPORTS_PER_MESSAGE = 14;

/**
 * How long the list of a service's daemons is reused. Every request needs it, and building it visits each daemon of the
 * fleet; a daemon that drains announces that itself.
 */
const READY_CACHE_TTL_MS = 20;

interface CachedReadyReports {
  readonly reports: readonly MemberReport[];
  readonly createdAtMs: number;
}

interface MemberEntry {
  readonly addressHash: number;
  readonly report: MemberReport;
  /** Highest sequence number received for the report's incarnation; the report itself may be older. */
  readonly sequence: number;
  /** When the sequence number last advanced, on the local clock. */
  readonly advancedAtMs: number;
  /** How often this report was sent. */
  readonly sendCount: number;
}

/** The daemons of the fleet as known to one of them. */
export class MemberView {
  private readonly entries = new Map<string, MemberEntry>();
  /** Addresses by their hash, of all daemons from which a report was received. */
  private readonly addressByHash = new Map<number, string>();
  /** Addresses found in the store from which no report was received yet. */
  private readonly unreportedAddresses = new Set<string>();
  private readonly readyCache = new Map<string, CachedReadyReports>();

  /** Hash of this daemon's address. */
  readonly ownAddressHash: number;

  private constructor(private own: MemberReport) {
    this.ownAddressHash = hashAddress(own.address);
  }

  /** Creates a view that knows only this daemon. */
  static create(own: MemberReport): MemberView {
    return new MemberView(own);
  }

  /** This daemon's report. */
  get ownReport(): MemberReport {
    return this.own;
  }

  /** Changes this daemon's report and increases its sequence number. */
  updateOwnReport(changes: Partial<MemberReport>): void {
    this.own = { ...this.own, ...changes, sequence: this.own.sequence + 1 };
  }

  /** Adds the address of a daemon from which no report was received yet. */
  addAddress(address: string): void {
    if (address !== this.own.address && !this.entries.has(address)) {
      this.unreportedAddresses.add(address);
    }
  }

  /**
   * Applies reports that are newer than the known ones.
   *
   * @returns the reports that were applied.
   */
  merge(reports: readonly MemberReport[], nowMs: number): MemberReport[] {
    return reports.filter((report) =>
      report.address === this.own.address
        ? this.supersedeEarlierProcess(report)
        : this.mergeReport(report, nowMs)
    );
  }

  /**
   * Applies the sequence numbers of digests.
   *
   * @returns the address hashes for which reports should be requested from the sender of the digests: those of daemons
   *   without a known report, and this daemon's if a digest is of another process at its address.
   */
  mergeDigests(digests: readonly HeartbeatDigest[], nowMs: number): number[] {
    const missingReports: number[] = [];
    digests.forEach((digest) => {
      if (digest.addressHash === this.ownAddressHash) {
        if (!this.isOwnProcess(digest)) {
          missingReports.push(digest.addressHash);
        }
        return;
      }
      const address = this.addressByHash.get(digest.addressHash);
      const entry = address === undefined
        ? undefined
        : this.entries.get(address);
      if (address === undefined || entry === undefined) {
        missingReports.push(digest.addressHash);
        return;
      }
      const isSameIncarnation = digest.incarnation ===
        createDigest(digest.addressHash, entry.report).incarnation;
      if (isSameIncarnation && digest.sequence > entry.sequence) {
        const { sequence } = digest;
        this.entries.set(address, { ...entry, sequence, advancedAtMs: nowMs });
      }
    });
    return missingReports;
  }

  /** Whether a digest of this daemon's address is of this process. */
  private isOwnProcess({ incarnation, sequence }: HeartbeatDigest): boolean {
    const own = createDigest(this.ownAddressHash, this.own);
    return incarnation === own.incarnation && sequence <= own.sequence;
  }

  /** Returns the requested reports, up to the maximum for one response. */
  findReports(addressHashes: readonly number[]): MemberReport[] {
    return addressHashes
      .flatMap((addressHash) => this.addressByHash.get(addressHash) ?? [])
      .flatMap((address) => this.entries.get(address)?.report ?? [])
      .slice(0, MAX_REPORTS_PER_RESPONSE);
  }

  /** Whether a report is newer than the known one, or of an earlier process at this daemon's address. */
  isUpdate(version: ReportVersion): boolean {
    if (version.address === this.own.address) {
      return isNewer(version, this.own) ||
        version.incarnation < this.own.incarnation;
    }
    const known = this.entries.get(version.address)?.report;
    return known === undefined || isNewer(version, known);
  }

  /** How long a daemon's sequence number may stall before it counts as unresponsive, in milliseconds. */
  get unresponsiveTimeoutMs(): number {
    return UNRESPONSIVE_TIMEOUT_MS;
  }

  /** The reports of the other daemons that are alive. */
  alive(nowMs: number): MemberReport[] {
    const timeoutMs = this.unresponsiveTimeoutMs;
    return [...this.entries.values()]
      .filter(({ advancedAtMs }) => nowMs - advancedAtMs <= timeoutMs)
      .map(({ report }) => report);
  }

  /** The reports of alive daemons, including this one, whose backend servers accept requests for a service. */
  readyReports(service: string, nowMs: number): readonly MemberReport[] {
    const cached = this.readyCache.get(service);
    if (
      cached !== undefined && nowMs - cached.createdAtMs < READY_CACHE_TTL_MS
    ) {
      return cached.reports;
    }
    const reports = [...this.alive(nowMs), this.own].filter((report) =>
      report.service === service && report.phase === "ready"
    );
    this.readyCache.set(service, { reports, createdAtMs: nowMs });
    return reports;
  }

  /** The report of a daemon, whether alive or not. */
  find(address: string): MemberReport | undefined {
    return address === this.own.address
      ? this.own
      : this.entries.get(address)?.report;
  }

  /** Time since a daemon's sequence number last advanced, in milliseconds; infinite if no report was ever received. */
  heartbeatAgeMs(address: string, nowMs: number): number {
    const entry = this.entries.get(address);
    if (address === this.own.address) {
      return 0;
    }
    return entry === undefined ? Infinity : nowMs - entry.advancedAtMs;
  }

  /**
   * Number of reports that a daemon has made since the known one, as far as digests show; 0 if no report is known. A
   * daemon makes one for each round of gossip, and more for changes.
   */
  reportLag(address: string): number {
    const entry = this.entries.get(address);
    return entry === undefined ? 0 : entry.sequence - entry.report.sequence;
  }

  /** Addresses of all other daemons from which a report was received or whose address was added. */
  get knownAddresses(): string[] {
    return [...this.entries.keys(), ...this.unreportedAddresses];
  }

  /**
   * Chooses the reports of one datagram: this daemon's and the least sent of the others. If all were chosen with equal
   * probability, then with 8 reports per datagram every 500 ms, the median age of the reports that 59 daemons have of
   * each other would be 2.5 s instead of 2.0 s.
   */
  chooseReports(now: { nowMs: number; random: () => number }): MemberReport[] {
    const alive = [...this.entries.values()].filter(({ advancedAtMs }) =>
      now.nowMs - advancedAtMs <= UNRESPONSIVE_TIMEOUT_MS
    );
    const chosen = sampleWithoutReplacement(alive, {
      count: alive.length,
      ...now,
    })
      .toSorted((left, right) => left.sendCount - right.sendCount)
      .slice(0, MAX_REPORTS_PER_MESSAGE - 1);
    chosen.forEach((entry) =>
      this.entries.set(entry.report.address, {
        ...entry,
        sendCount: entry.sendCount + 1,
      })
    );
    return [this.own, ...chosen.map(({ report }) => report)];
  }

  /**
   * Chooses the digests of one datagram: this daemon's and as many of the others as fit, without daemons that have been
   * unresponsive for longer than `DIGEST_RETENTION_MS`.
   */
  chooseDigests(
    now: { nowMs: number; random: () => number },
  ): HeartbeatDigest[] {
    const recentEntries = [...this.entries.values()].filter((
      { advancedAtMs },
    ) => now.nowMs - advancedAtMs <= DIGEST_RETENTION_MS);
    const selected = recentEntries.length < MAX_DIGESTS_PER_MESSAGE
      ? recentEntries
      : sampleWithoutReplacement(recentEntries, {
        count: MAX_DIGESTS_PER_MESSAGE - 1,
        ...now,
      });
    const digests = selected.map((
      { addressHash, report: { incarnation }, sequence },
    ) => createDigest(addressHash, { incarnation, sequence }));
    return [createDigest(this.ownAddressHash, this.own), ...digests];
  }

  /**
   * Raises this daemon's incarnation if others hold a report of an earlier process at its address, so that new reports
   * supersede it.
   */
  private supersedeEarlierProcess(report: MemberReport): boolean {
    if (isNewer(report, this.own)) {
      this.own = { ...this.own, incarnation: report.incarnation + 1 };
    }
    return false;
  }

  private mergeReport(report: MemberReport, nowMs: number): boolean {
    const known = this.entries.get(report.address);
    if (known !== undefined && !isNewer(report, known.report)) {
      return false;
    }
    this.unreportedAddresses.delete(report.address);
    const isSameIncarnation = report.incarnation === known?.report.incarnation;
    const hasAdvanced = !isSameIncarnation || report.sequence > known!.sequence;
    const sequence = hasAdvanced ? report.sequence : known!.sequence;
    const advancedAtMs = hasAdvanced ? nowMs : known!.advancedAtMs;
    const addressHash = known?.addressHash ?? hashAddress(report.address);
    this.entries.set(report.address, {
      addressHash,
      report,
      sequence,
      advancedAtMs,
      sendCount: 0,
    });
    this.addressByHash.set(addressHash, report.address);
    return true;
  }
}

function isNewer(report: ReportVersion, known: ReportVersion): boolean {
  return report.incarnation === known.incarnation
    ? report.sequence > known.sequence
    : report.incarnation > known.incarnation;
}
