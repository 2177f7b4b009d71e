/**
 * Decides which requests are kept from backend servers, and which may run alone only.
 *
 * The load it answers: a request that ends each server that begins to run it comes again and again, under other ids, at
 * any daemon. Without this one caller takes a whole service from all others. It is as bad to keep sound requests from
 * servers, and at each end a server ran sound requests beside the one that ended it; popular ones are there at every
 * end, and servers end in numbers for other reasons.
 *
 * So a request that ran when a server ended is only a suspect: until it is answered it runs alone among suspects. One
 * that was alone when a further server ended is quarantined. An answer acquits: what ends servers never gets one.
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
  /** How many servers are known to have ended under it, one after the other. */
  readonly ends: number;
  /** For how long nobody may run it, in milliseconds; 0 for a suspect. */
  readonly leftMs: number;
}

/** What follows from the end of a server. */
export interface EndVerdict {
  /** For all daemons to know. */
  readonly accusations: readonly Accusation[];
  /** Requests that were answered before; all daemons are to know that, too. */
  readonly acquitted: readonly string[];
}

/** Ends under one request, the later ones with no other suspect beside it, that make a quarantine. */
const EVIDENCE = 2;
/**
 * The first quarantine, in milliseconds: longer than servers take to come back and become warm, so that callers have a
 * whole service before the next trial can cost a server.
 */
const FIRST_QUARANTINE_MS = 30_000;
/** Each further end makes the quarantine so many times longer: a lethal request gets few trials in all. */
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
  readonly ends: number;
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
    const entry = this.entries.get(fingerprint);
    if (entry === undefined || entry.forgetAtMs <= nowMs) {
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
  noteEnd(runs: readonly LostRun[], nowMs: number): EndVerdict {
    const suspects = runs.filter(({ fingerprint }) =>
      !this.isAcquitted(fingerprint, nowMs)
    );
    const fingerprints = unique(suspects);
    const onProbation = new Set(
      suspects.filter(({ isOnProbation }) => isOnProbation)
        .map(({ fingerprint }) => fingerprint),
    );
    fingerprints.forEach((fingerprint) => {
      const known = this.entries.get(fingerprint)?.ends ?? 0;
      const ends = onProbation.has(fingerprint)
        ? Math.max(known, 1) + 1
        : Math.max(known, 1);
      if (ends > known) {
        this.enter(fingerprint, {
          ends,
          leftMs: quarantineMs(ends),
          nowMs,
        });
      }
    });
    return {
      accusations: fingerprints.flatMap((name) => this.accuse(name, nowMs)),
      acquitted: unique(runs).filter((name) => this.isAcquitted(name, nowMs)),
    };
  }

  /**
   * Takes what another daemon tells; returns what it means here.
   *
   * Of the same number of ends only the first word counts: each retelling takes time on its way, and would make the
   * quarantine longer.
   */
  noteAccusation(
    { fingerprint, ends, leftMs }: Accusation,
    nowMs: number,
  ): "news" | "known" | "acquitted" {
    if (this.isAcquitted(fingerprint, nowMs)) {
      return "acquitted";
    }
    const known = this.entries.get(fingerprint)?.ends ?? 0;
    if (ends <= known) {
      return "known";
    }
    this.enter(fingerprint, { ends, leftMs, nowMs });
    return "news";
  }

  /** Notes that a server has answered a request; returns whether other daemons suspect it. */
  noteAnswer(fingerprint: string, nowMs: number): boolean {
    this.remember(this.answers, fingerprint, nowMs);
    return this.entries.delete(fingerprint);
  }

  /** What a daemon should be told that has just started: quarantines, also those that are over. */
  findQuarantines(nowMs: number): Accusation[] {
    return [...this.entries.keys()]
      .flatMap((fingerprint) => this.accuse(fingerprint, nowMs))
      .filter(({ ends }) => ends >= EVIDENCE);
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

  private enter(
    fingerprint: string,
    told: { ends: number; leftMs: number; nowMs: number },
  ): void {
    const { ends, leftMs, nowMs } = told;
    const untilMs = nowMs + Math.min(leftMs, LONGEST_QUARANTINE_MS);
    this.remember(this.entries, fingerprint, {
      ends,
      untilMs,
      delayMs: quarantineMs(ends) * LARGEST_DELAY_SHARE * this.random(),
      // One that comes back only now and then must still find its ends counted.
      forgetAtMs: untilMs + Math.max(SUSPECT_MS, quarantineMs(ends + 1)),
    });
  }

  private accuse(fingerprint: string, nowMs: number): Accusation[] {
    const entry = this.entries.get(fingerprint);
    return entry === undefined || entry.forgetAtMs <= nowMs ? [] : [{
      fingerprint,
      ends: entry.ends,
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

/** How long nobody may run a request under which so many servers ended, in milliseconds. */
function quarantineMs(ends: number): number {
  if (ends < EVIDENCE) {
    return 0;
  }
  const lengthMs = FIRST_QUARANTINE_MS * GROWTH ** (ends - EVIDENCE);
  return Math.min(LONGEST_QUARANTINE_MS, lengthMs);
}

function unique(runs: readonly LostRun[]): string[] {
  return [...new Set(runs.map(({ fingerprint }) => fingerprint))];
}
