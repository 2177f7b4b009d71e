/**
 * Which daemons are alive, from what they say of themselves and what others pass on.
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
 * A daemon whose beats have not advanced for so long is taken for silent, in milliseconds. Digests of all beats go
 * with each datagram, so this is long enough for 195 daemons as for 12 (replayed in the test).
 */
const SILENT_AFTER_MS = 2_500;
/**
 * The most digests in one datagram, at 9 bytes each. Larger fleets tell of some of them at a time, at random.
 */
const BEATS_IN_A_MESSAGE = 200;
/**
 * Beats of silent daemons are told for so long, in milliseconds: one that has started again hears of its earlier process
 * by them. Without that nobody would believe it for as long as that process had run.
 */
const REMEMBERED_MS = 60_000;
/** The most reports in an answer to a question for them: about 2,500 bytes. */
const REPORTS_IN_AN_ANSWER = 28;
/** The most reports in one datagram: about 1,250 bytes. */
const REPORTS_IN_A_MESSAGE = 14;

/**
 * For how long the list of a service's daemons is used again, in milliseconds. Every request needs it,
 * and making it takes a look at each daemon of the fleet; a daemon that has just left says so itself.
 */
const READY_MS = 20;

interface ReadyList {
  readonly reports: readonly MemberReport[];
  readonly madeAtMs: number;
}

interface Entry {
  /** A hash of the daemon's address. */
  readonly name: number;
  readonly report: MemberReport;
  /** The newest beat of its incarnation that was heard of; the report may be older. */
  readonly sequence: number;
  /** When the beat last advanced, on the own clock. */
  readonly advancedAtMs: number;
  /** How often this report was told on. */
  readonly told: number;
}

/** All daemons as one of them sees them. */
export class MemberView {
  private readonly entries = new Map<string, Entry>();
  /** Addresses by their hash, of all that reports were heard of. */
  private readonly names = new Map<number, string>();
  /** Addresses that were named in the store and have not been heard yet. */
  private readonly named = new Set<string>();
  private readonly ready = new Map<string, ReadyList>();

  private readonly ownName: number;

  private constructor(private own: MemberReport) {
    this.ownName = hashAddress(own.address);
  }

  /** Creates a view of a daemon that has heard nobody. */
  static create(own: MemberReport): MemberView {
    return new MemberView(own);
  }

  /** The daemon's own report. */
  get ownReport(): MemberReport {
    return this.own;
  }

  /** Says something new of the own daemon; every call is one beat. */
  updateOwnReport(changes: Partial<MemberReport>): void {
    this.own = { ...this.own, ...changes, sequence: this.own.sequence + 1 };
  }

  /** Names a daemon of which nothing is known but its address. */
  addAddress(address: string): void {
    if (address !== this.own.address && !this.entries.has(address)) {
      this.named.add(address);
    }
  }

  /**
   * Takes over reports that are newer than what is known.
   *
   * @returns the reports that were new.
   */
  merge(reports: readonly MemberReport[], nowMs: number): MemberReport[] {
    return reports.filter((report) =>
      report.address === this.own.address
        ? this.refute(report)
        : this.mergeOne(report, nowMs)
    );
  }

  /**
   * Takes over how far the beats of daemons have come.
   *
   * @returns the names of daemons of which no report was heard, and the own name where another process at this
   *   address is told of; whoever told of them has their reports.
   */
  mergeDigests(digests: readonly HeartbeatDigest[], nowMs: number): number[] {
    const unknown: number[] = [];
    digests.forEach((digest) => {
      if (digest.addressHash === this.ownName) {
        if (!this.isOwn(digest)) {
          unknown.push(digest.addressHash);
        }
        return;
      }
      const address = this.names.get(digest.addressHash);
      const entry = address === undefined
        ? undefined
        : this.entries.get(address);
      if (address === undefined || entry === undefined) {
        unknown.push(digest.addressHash);
        return;
      }
      const isOfProcess = digest.incarnation ===
        createDigest(digest.addressHash, entry.report).incarnation;
      if (isOfProcess && digest.sequence > entry.sequence) {
        const { sequence } = digest;
        this.entries.set(address, { ...entry, sequence, advancedAtMs: nowMs });
      }
    });
    return unknown;
  }

  /** Whether a digest of the own name tells of this process. */
  private isOwn({ incarnation, sequence }: HeartbeatDigest): boolean {
    const own = createDigest(this.ownName, this.own);
    return incarnation === own.incarnation && sequence <= own.sequence;
  }

  /** The reports that somebody asks for by name. */
  findReports(names: readonly number[]): MemberReport[] {
    return names
      .flatMap((name) => this.names.get(name) ?? [])
      .flatMap((address) => this.entries.get(address)?.report ?? [])
      .slice(0, REPORTS_IN_AN_ANSWER);
  }

  /** Whether a report tells more than what is known. */
  isUpdate(name: ReportVersion): boolean {
    const known = name.address === this.own.address
      ? this.own
      : this.entries.get(name.address)?.report;
    return known === undefined || isNewer(name, known);
  }

  /** How long a daemon's beats may stand still before it is taken for silent, in milliseconds. */
  get unresponsiveTimeoutMs(): number {
    return SILENT_AFTER_MS;
  }

  /** Daemons whose reports advance. */
  alive(nowMs: number): MemberReport[] {
    const longestMs = this.unresponsiveTimeoutMs;
    return [...this.entries.values()]
      .filter(({ advancedAtMs }) => nowMs - advancedAtMs <= longestMs)
      .map(({ report }) => report);
  }

  /** Living daemons, the own one included, whose backend servers take requests of a service. */
  readyReports(service: string, nowMs: number): readonly MemberReport[] {
    const known = this.ready.get(service);
    if (known !== undefined && nowMs - known.madeAtMs < READY_MS) {
      return known.reports;
    }
    const reports = [...this.alive(nowMs), this.own].filter((report) =>
      report.service === service && report.phase === "ready"
    );
    this.ready.set(service, { reports, madeAtMs: nowMs });
    return reports;
  }

  /** The report of one daemon, alive or not. */
  find(address: string): MemberReport | undefined {
    return address === this.own.address
      ? this.own
      : this.entries.get(address)?.report;
  }

  /** For how long a daemon's reports have not advanced, in milliseconds; infinite if never heard. */
  heartbeatAgeMs(address: string, nowMs: number): number {
    const entry = this.entries.get(address);
    if (address === this.own.address) {
      return 0;
    }
    return entry === undefined ? Infinity : nowMs - entry.advancedAtMs;
  }

  /** The addresses of all other daemons ever heard or named. */
  get knownAddresses(): string[] {
    return [...this.entries.keys(), ...this.named];
  }

  /**
   * Chooses what to tell in one datagram: the own report, and of the others those that were told least. With equal
   * chances for all, the median age of what 59 daemons know of each other is 2.5 s in place of 2.0 s (replayed with
   * 8 reports in a datagram each 500 ms).
   */
  chooseReports(now: { nowMs: number; random: () => number }): MemberReport[] {
    const living = [...this.entries.values()].filter(({ advancedAtMs }) =>
      now.nowMs - advancedAtMs <= SILENT_AFTER_MS
    );
    const chosen = sampleWithoutReplacement(living, {
      count: living.length,
      ...now,
    })
      .toSorted((left, right) => left.told - right.told)
      .slice(0, REPORTS_IN_A_MESSAGE - 1);
    chosen.forEach((entry) =>
      this.entries.set(entry.report.address, { ...entry, told: entry.told + 1 })
    );
    return [this.own, ...chosen.map(({ report }) => report)];
  }

  /**
   * Chooses which beats to tell in one datagram: the own one, and those of the other daemons that fit, but for those
   * that have long been silent.
   */
  chooseDigests(
    now: { nowMs: number; random: () => number },
  ): HeartbeatDigest[] {
    const remembered = [...this.entries.values()].filter(({ advancedAtMs }) =>
      now.nowMs - advancedAtMs <= REMEMBERED_MS
    );
    const told = remembered.length < BEATS_IN_A_MESSAGE
      ? remembered
      : sampleWithoutReplacement(remembered, {
        count: BEATS_IN_A_MESSAGE - 1,
        ...now,
      });
    const digests = told.map(({ name, report: { incarnation }, sequence }) =>
      createDigest(name, { incarnation, sequence })
    );
    return [createDigest(this.ownName, this.own), ...digests];
  }

  /** Others tell of an earlier process at this address: reports from now on must go before those. */
  private refute(report: MemberReport): boolean {
    if (isNewer(report, this.own)) {
      this.own = { ...this.own, incarnation: report.incarnation + 1 };
    }
    return false;
  }

  private mergeOne(report: MemberReport, nowMs: number): boolean {
    const known = this.entries.get(report.address);
    if (known !== undefined && !isNewer(report, known.report)) {
      return false;
    }
    this.named.delete(report.address);
    const isOfProcess = report.incarnation === known?.report.incarnation;
    const hasAdvanced = !isOfProcess || report.sequence > known!.sequence;
    const sequence = hasAdvanced ? report.sequence : known!.sequence;
    const advancedAtMs = hasAdvanced ? nowMs : known!.advancedAtMs;
    const name = known?.name ?? hashAddress(report.address);
    this.entries.set(report.address, {
      name,
      report,
      sequence,
      advancedAtMs,
      told: 0,
    });
    this.names.set(name, report.address);
    return true;
  }
}

function isNewer(report: ReportVersion, known: ReportVersion): boolean {
  return report.incarnation === known.incarnation
    ? report.sequence > known.sequence
    : report.incarnation > known.incarnation;
}
