/**
 * Which daemons are alive, from what they say of themselves and what others pass on.
 *
 * @module
 */
import type { ReportName } from "./gossip_codec.ts";
import type { MemberReport } from "./member.ts";
import { pickSome } from "./pick_some.ts";

/**
 * A daemon whose reports have not advanced for so long is taken for silent, in milliseconds: eight
 * rounds of gossip, so that the loss of a few datagrams makes nobody silent.
 */
const SILENT_AFTER_MS = 2_000;
/**
 * And so much longer for each daemon beyond those that one datagram tells of, in milliseconds. A
 * datagram's size is bounded, so in larger fleets each is told of more rarely (replayed in the test).
 */
const SILENT_MORE_MS = 45;
/** The most reports in one datagram: about 700 bytes, below what a link carries in one piece. */
const REPORTS_IN_A_MESSAGE = 8;

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
  readonly report: MemberReport;
  /** When the report last advanced, on the own clock. */
  readonly advancedAtMs: number;
}

/** All daemons as one of them sees them. */
export class MemberView {
  private readonly entries = new Map<string, Entry>();
  /** Addresses that were named in the store and have not been heard yet. */
  private readonly named = new Set<string>();
  private readonly ready = new Map<string, ReadyList>();

  private constructor(private own: MemberReport) {}

  /** Creates a view of a daemon that has heard nobody. */
  static create(own: MemberReport): MemberView {
    return new MemberView(own);
  }

  /** The daemon's own report. */
  get ownReport(): MemberReport {
    return this.own;
  }

  /** Says something new of the own daemon; every call is one beat. */
  beat(changes: Partial<MemberReport>): void {
    this.own = { ...this.own, ...changes, beat: this.own.beat + 1 };
  }

  /** Names a daemon of which nothing is known but its address. */
  name(address: string): void {
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

  /** Whether a report tells more than what is known. */
  isNews(name: ReportName): boolean {
    const known = name.address === this.own.address
      ? this.own
      : this.entries.get(name.address)?.report;
    return known === undefined || isNewer(name, known);
  }

  /** How long a daemon's reports may stand still before it is taken for silent, in milliseconds. */
  get silentAfterMs(): number {
    const untold = Math.max(0, this.entries.size - REPORTS_IN_A_MESSAGE);
    return SILENT_AFTER_MS + untold * SILENT_MORE_MS;
  }

  /** Daemons whose reports advance. */
  alive(nowMs: number): MemberReport[] {
    const longestMs = this.silentAfterMs;
    return [...this.entries.values()]
      .filter(({ advancedAtMs }) => nowMs - advancedAtMs <= longestMs)
      .map(({ report }) => report);
  }

  /** Living daemons, the own one included, whose backend servers take requests of a service. */
  readyOf(service: string, nowMs: number): readonly MemberReport[] {
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
  silentMs(address: string, nowMs: number): number {
    const entry = this.entries.get(address);
    if (address === this.own.address) {
      return 0;
    }
    return entry === undefined ? Infinity : nowMs - entry.advancedAtMs;
  }

  /** The addresses of all other daemons ever heard or named. */
  get known(): string[] {
    return [...this.entries.keys(), ...this.named];
  }

  /**
   * Chooses what to tell in one datagram: the own report and some of the others, at random. The newest
   * alone would be the same few everywhere: of 72 daemons, half would be silent to the others.
   */
  chooseReports(now: { nowMs: number; random: () => number }): MemberReport[] {
    const others = pickSome(this.alive(now.nowMs), {
      count: REPORTS_IN_A_MESSAGE - 1,
      random: now.random,
    });
    return [this.own, ...others];
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
    this.entries.set(report.address, { report, advancedAtMs: nowMs });
    return true;
  }
}

function isNewer(report: ReportName, known: ReportName): boolean {
  return report.incarnation === known.incarnation
    ? report.beat > known.beat
    : report.incarnation > known.incarnation;
}
