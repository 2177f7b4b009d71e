/**
 * Which daemons are alive, from what they say of themselves and what others pass on.
 *
 * @module
 */
import { type BeatDigest } from "./beat_digest.ts";
import type { ReportName } from "./gossip_codec.ts";
import type { MemberReport } from "./member.ts";
/** All daemons as one of them sees them. */
export declare class MemberView {
  private own;
  private readonly entries;
  /** Addresses by their hash, of all that reports were heard of. */
  private readonly names;
  /** Addresses that were named in the store and have not been heard yet. */
  private readonly named;
  private readonly ready;
  private readonly ownName;
  private constructor();
  /** Creates a view of a daemon that has heard nobody. */
  static create(own: MemberReport): MemberView;
  /** The daemon's own report. */
  get ownReport(): MemberReport;
  /** Says something new of the own daemon; every call is one beat. */
  beat(changes: Partial<MemberReport>): void;
  /** Names a daemon of which nothing is known but its address. */
  name(address: string): void;
  /**
   * Takes over reports that are newer than what is known.
   *
   * @returns the reports that were new.
   */
  merge(reports: readonly MemberReport[], nowMs: number): MemberReport[];
  /**
   * Takes over how far the beats of daemons have come.
   *
   * @returns the names of daemons of which no report was heard; whoever told of them has one.
   */
  mergeBeats(digests: readonly BeatDigest[], nowMs: number): number[];
  /** The reports of living daemons that somebody asks for by name. */
  findReports(names: readonly number[], nowMs: number): MemberReport[];
  /** Whether a report tells more than what is known. */
  isNews(name: ReportName): boolean;
  /** How long a daemon's beats may stand still before it is taken for silent, in milliseconds. */
  get silentAfterMs(): number;
  /** Daemons whose reports advance. */
  alive(nowMs: number): MemberReport[];
  /** Living daemons, the own one included, whose backend servers take requests of a service. */
  readyOf(service: string, nowMs: number): readonly MemberReport[];
  /** The report of one daemon, alive or not. */
  find(address: string): MemberReport | undefined;
  /** For how long a daemon's reports have not advanced, in milliseconds; infinite if never heard. */
  silentMs(address: string, nowMs: number): number;
  /** The addresses of all other daemons ever heard or named. */
  get known(): string[];
  /**
   * Chooses what to tell in one datagram: the own report and some of the others, at random. The newest
   * alone would be the same few everywhere: of 72 daemons, half would be silent to the others.
   */
  chooseReports(now: {
    nowMs: number;
    random: () => number;
  }): MemberReport[];
  /** Chooses which beats to tell in one datagram: the own one, and those of all living daemons that fit. */
  chooseBeats(now: {
    nowMs: number;
    random: () => number;
  }): BeatDigest[];
  /** Others tell of an earlier process at this address: reports from now on must go before those. */
  private refute;
  private mergeOne;
}
