/**
 * Decides which requests are kept from backend servers, and which may run alone only.
 *
 * The load it answers: a request that ends each server that begins to run it comes again and again, under other ids, at
 * any daemon. Without this one caller takes a whole service from all others. It is as bad to keep sound requests from
 * servers: at each end a server ran sound requests beside the one that ended it, and servers end in numbers for other
 * reasons.
 *
 * So a request that ran when a server ended is only a suspect: until it is answered it runs alone among suspects. It is
 * quarantined if a further server ends under it while it is the only one there, or if it alone was there at several
 * ends, as when many copies come at once. An answer acquits: what ends servers never gets one.
 *
 * @module
 */
import type { LostRun } from "./lost_runs.ts";

/** How a request may be run. */
export type Standing =
  /** As any other. */
  | { readonly kind: "clear" }
  /** With no other suspect beside it on the same server. */
  | { readonly kind: "suspect" }
  /** Not at all for now. */
  | { readonly kind: "quarantined"; readonly leftMs: number };

/** What daemons tell each other of a request under which servers ended. */
export interface Accusation {
  /** Names the request by what it asks. */
  readonly fingerprint: string;
  /** Names of the servers' ends. */
  readonly ends: readonly number[];
  /** How often the request was quarantined. */
  readonly quarantines: number;
  /** For how long nobody may run it, in milliseconds; 0 for a suspect. */
  readonly leftMs: number;
}

/** The end of the server beside a daemon. */
export interface ServerEnd {
  /** Names the end among all daemons, so that each counts once however often it is told. */
  readonly name: number;
  /** What the server ran then. */
  readonly runs: readonly LostRun[];
}

/** What follows from the end of a server. */
export interface EndVerdict {
  /** For all daemons to know. */
  readonly accusations: readonly Accusation[];
  /** Requests that were answered before; all daemons are to know that, too. */
  readonly acquitted: readonly string[];
}

/**
 * Ends at which one request and no other was each time that make a quarantine. Sound requests that are sent on from one
 * server to the next are there at two ends at most.
 */
const EVIDENCE = 3;
/** The most ends that are remembered of one request. */
const LARGEST_ENDS = 16;
/**
 * The first quarantine, in milliseconds: longer than servers take to come back and become warm, so that callers have a
 * whole service before the next trial can cost a server.
 */
const FIRST_QUARANTINE_MS = 30_000;
/** Each further quarantine is so many times longer: a lethal request gets few trials in all. */
const GROWTH = 4;
/** The longest quarantine, in milliseconds. */
const LONGEST_QUARANTINE_MS = 86_400_000;
/**
 * Daemons end a quarantine up to this share of it later, each by its own draw: were it over everywhere at one moment,
 * the callers that come back would have as many servers end as there are.
 */
const LARGEST_DELAY_SHARE = 0.5;
/** For how long a request stays a suspect that does not come again, in milliseconds. */
const SUSPECT_MS = 60_000;
/** For how long an answer protects a request from accusations that come late, in milliseconds. */
const ACQUITTED_MS = 60_000;
/** The most requests that are remembered: what hundreds of servers run that end at one moment. */
const LARGEST_COUNT = 1_024;

interface Entry {
  readonly ends: ReadonlySet<number>;
  readonly quarantines: number;
  /** Until when nobody may run it. */
  readonly untilMs: number;
  /** How much longer this daemon waits. */
  readonly delayMs: number;
  readonly forgetAtMs: number;
}

const CLEAR: Standing = { kind: "clear" };
const SUSPECT: Standing = { kind: "suspect" };

/** The requests that one daemon has reason to be careful with. */
export class SuspectBook {
  private readonly entries = new Map<string, Entry>();
  /** When requests were answered that were suspects, or might become some. */
  private readonly answers = new Map<string, number>();

  private constructor(private readonly random: () => number) {}

  /**
   * Creates an empty book.
   *
   * @param random draws a number from 0 up to 1.
   */
  static create(random: () => number): SuspectBook {
    return new SuspectBook(random);
  }

  /** Whether nothing is suspected, as nearly always. */
  get isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /** How many requests are quarantined. */
  countQuarantined(nowMs: number): number {
    return [...this.entries.keys()].filter((fingerprint) =>
      this.judge(fingerprint, nowMs).kind === "quarantined"
    ).length;
  }

  /** How a request may be run. */
  judge(fingerprint: string, nowMs: number): Standing {
    const entry = this.find(fingerprint, nowMs);
    if (entry === undefined) {
      return CLEAR;
    }
    const leftMs = entry.untilMs + entry.delayMs - nowMs;
    return leftMs > 0 ? { kind: "quarantined", leftMs } : SUSPECT;
  }

  /** Whether a request was answered not long ago. */
  isAcquitted(fingerprint: string, nowMs: number): boolean {
    return nowMs - (this.answers.get(fingerprint) ?? -Infinity) < ACQUITTED_MS;
  }

  /** Notes the end of the server beside this daemon. */
  noteEnd({ name, runs }: ServerEnd, nowMs: number): EndVerdict {
    const suspects = runs.filter(({ fingerprint }) =>
      !this.isAcquitted(fingerprint, nowMs)
    );
    const proven = this.findProven(suspects, nowMs);
    const accused = unique(suspects);
    accused.forEach((fingerprint) => this.addEnds(fingerprint, [name], nowMs));
    accused.filter((fingerprint) =>
      fingerprint === proven || this.isAloneAtEnds(fingerprint)
    ).forEach((fingerprint) => this.quarantine(fingerprint, nowMs));
    return {
      accusations: accused.flatMap((fingerprint) =>
        this.describe(fingerprint, nowMs)
      ).map((accusation) => ({ ...accusation, ends: [name] })),
      acquitted: unique(runs).filter((fingerprint) =>
        this.isAcquitted(fingerprint, nowMs)
      ),
    };
  }

  /**
   * Takes what another daemon tells of one end, or retells; returns which of it is news, and what was answered meanwhile.
   *
   * Of one quarantine only the first word counts: each retelling takes time on its way, and would make it longer.
   */
  noteAccusations(
    accusations: readonly Accusation[],
    nowMs: number,
  ): { news: readonly Accusation[]; acquitted: readonly string[] } {
    const [acquitted, standing] = [true, false].map((isAcquitted) =>
      accusations.filter(({ fingerprint }) =>
        this.isAcquitted(fingerprint, nowMs) === isAcquitted
      )
    );
    const news = standing!.filter((accusation) =>
      this.addAccusation(accusation, nowMs)
    );
    news.map(({ fingerprint }) => fingerprint)
      .filter((fingerprint) => this.isAloneAtEnds(fingerprint))
      .forEach((fingerprint) => this.quarantine(fingerprint, nowMs));
    return {
      news,
      acquitted: acquitted!.map(({ fingerprint }) => fingerprint),
    };
  }

  /** Notes that a server has answered a request; returns whether other daemons suspect it. */
  noteAnswer(fingerprint: string, nowMs: number): boolean {
    this.remember(this.answers, fingerprint, nowMs);
    return this.entries.delete(fingerprint);
  }

  /** What a daemon should be told that has just started: quarantines, also those that are over. */
  findQuarantines(nowMs: number): Accusation[] {
    return [...this.entries.keys()]
      .flatMap((fingerprint) => this.describe(fingerprint, nowMs))
      .filter(({ quarantines }) => quarantines > 0);
  }

  /** Forgets what is long past. */
  prune(nowMs: number): void {
    this.entries.forEach(({ forgetAtMs }, fingerprint) => {
      if (forgetAtMs <= nowMs) {
        this.entries.delete(fingerprint);
      }
    });
    this.answers.forEach((atMs, fingerprint) => {
      if (nowMs - atMs >= ACQUITTED_MS) {
        this.answers.delete(fingerprint);
      }
    });
  }

  /**
   * The request that the end of a server proves to be its cause, if one was the only suspect there. Only one runs on
   * probation at a time: one that was lost later began when the server had ended. A copy of another suspect may have been
   * let in before that was one.
   */
  private findProven(
    runs: readonly LostRun[],
    nowMs: number,
  ): string | undefined {
    const first = runs.find(({ isOnProbation }) => isOnProbation)?.fingerprint;
    const hasOther = runs.some(({ fingerprint, isOnProbation }) =>
      !isOnProbation && fingerprint !== first &&
      this.find(fingerprint, nowMs) !== undefined
    );
    return hasOther ? undefined : first;
  }

  /** Returns whether it is news. */
  private addAccusation(accusation: Accusation, nowMs: number): boolean {
    const { fingerprint, ends, quarantines, leftMs } = accusation;
    const known = this.find(fingerprint, nowMs);
    const isNewQuarantine = quarantines > (known?.quarantines ?? 0);
    const hasNewEnd = ends.some((end) => known?.ends.has(end) !== true);
    this.addEnds(fingerprint, ends, nowMs);
    if (isNewQuarantine) {
      const untilMs = nowMs + Math.min(leftMs, LONGEST_QUARANTINE_MS);
      this.enter(fingerprint, { quarantines, untilMs });
    }
    return isNewQuarantine || hasNewEnd;
  }

  private addEnds(
    fingerprint: string,
    added: readonly number[],
    nowMs: number,
  ): void {
    const known = this.find(fingerprint, nowMs);
    if (known === undefined) {
      this.entries.delete(fingerprint);
      this.enter(fingerprint, { quarantines: 0, untilMs: nowMs });
    }
    const entry = this.entries.get(fingerprint)!;
    const ends = [...new Set([...entry.ends, ...added])].slice(-LARGEST_ENDS);
    this.entries.set(fingerprint, { ...entry, ends: new Set(ends) });
  }

  /**
   * Whether a request that was never quarantined was there at enough ends, and no other one was at as many of these.
   * Ends of before a quarantine may be told after it; they are no reason for another one.
   */
  private isAloneAtEnds(fingerprint: string): boolean {
    const entry = this.entries.get(fingerprint);
    if (entry === undefined || entry.quarantines > 0) {
      return false;
    }
    const { ends } = entry;
    const countShared = (other: ReadonlySet<number>) =>
      [...ends].filter((end) => other.has(end)).length;
    return ends.size >= EVIDENCE &&
      ![...this.entries].some(([name, other]) =>
        name !== fingerprint && countShared(other.ends) >= EVIDENCE
      );
  }

  /** Quarantines a request, unless it is already: a run that began before may still end a server. */
  private quarantine(fingerprint: string, nowMs: number): void {
    const entry = this.entries.get(fingerprint);
    if (entry !== undefined && entry.untilMs <= nowMs) {
      const quarantines = entry.quarantines + 1;
      const untilMs = nowMs + quarantineMs(quarantines);
      this.enter(fingerprint, { quarantines, untilMs });
    }
  }

  private enter(
    fingerprint: string,
    verdict: { quarantines: number; untilMs: number },
  ): void {
    const { quarantines, untilMs } = verdict;
    const ends = this.entries.get(fingerprint)?.ends ?? new Set<number>();
    const delayMs = quarantineMs(quarantines) * LARGEST_DELAY_SHARE *
      this.random();
    // One that comes back only now and then must still find its ends counted.
    const forgetAtMs = untilMs + SUSPECT_MS +
      (quarantines === 0 ? 0 : quarantineMs(quarantines + 1));
    this.remember(this.entries, fingerprint, {
      ends,
      quarantines,
      untilMs,
      delayMs,
      forgetAtMs,
    });
  }

  private find(fingerprint: string, nowMs: number): Entry | undefined {
    const entry = this.entries.get(fingerprint);
    return entry === undefined || entry.forgetAtMs <= nowMs ? undefined : entry;
  }

  private describe(fingerprint: string, nowMs: number): Accusation[] {
    const entry = this.find(fingerprint, nowMs);
    return entry === undefined ? [] : [{
      fingerprint,
      ends: [...entry.ends],
      quarantines: entry.quarantines,
      leftMs: Math.max(0, Math.round(entry.untilMs - nowMs)),
    }];
  }

  /** Keeps a map within its bound; the oldest goes first. */
  private remember<T>(map: Map<string, T>, name: string, value: T): void {
    map.delete(name);
    map.set(name, value);
    if (map.size > LARGEST_COUNT) {
      const [oldest] = map.keys();
      map.delete(oldest!);
    }
  }
}

/** How long the first, second, ... quarantine of a request lasts, in milliseconds. */
function quarantineMs(ordinal: number): number {
  if (ordinal === 0) {
    return 0;
  }
  const lengthMs = FIRST_QUARANTINE_MS * GROWTH ** (ordinal - 1);
  return Math.min(LONGEST_QUARANTINE_MS, lengthMs);
}

function unique(runs: readonly LostRun[]): string[] {
  return [...new Set(runs.map(({ fingerprint }) => fingerprint))];
}
