/**
 * Tracks requests that crash the backend servers that run them.
 *
 * Guards against a request that crashes every server it reaches and is retried under new ids, and against keeping sound
 * requests from servers: they run beside it, and servers also crash for other reasons.
 *
 * A request that ran when a server crashed is a suspect: until it is answered it runs alone among suspects. It is
 * quarantined if a further server crashes under it while it is the only one there, or if it alone was there at several
 * crashes. An answer clears it.
 *
 * @module
 */
import type { LostRun } from "./lost_runs.ts";

/** How a request may be run. */
export type RequestClassification =
  /** As any other. */
  | { readonly kind: "clear" }
  /** With no other suspect beside it on the same server. */
  | { readonly kind: "suspect" }
  /** Not at all for now. */
  | { readonly kind: "quarantined"; readonly remainingMs: number };

/** What daemons tell each other of a request under which servers crashed. */
export interface CrashReport {
  /** Names the request by what it asks. */
  readonly fingerprint: string;
  /** Identities of the crashes. */
  readonly crashes: readonly number[];
  /** How often the request was quarantined. */
  readonly quarantines: number;
  /** For how long nobody may run it, in milliseconds; 0 for a suspect. */
  readonly remainingMs: number;
}

/** The crash of the server beside a daemon. */
export interface ServerCrash {
  /** Identifies the crash among all daemons, so that it counts once however often it is told. */
  readonly id: number;
  /** What the server ran then. */
  readonly runs: readonly LostRun[];
}

/** What follows from a crash. */
export interface CrashOutcome {
  /** For all daemons to know. */
  readonly reports: readonly CrashReport[];
  /** Requests that were answered before; all daemons are to know that, too. */
  readonly cleared: readonly string[];
}

/** Crashes that quarantine a request which alone was there each time. Sound requests are retried once at most. */
const CRASHES_TO_QUARANTINE = 3;
/** Upper bound on remembered crashes of one request. */
const MAX_CRASHES = 16;
/** Longer than servers take to come back and become warm. */
const FIRST_QUARANTINE_MS = 30_000;
/** Each further quarantine is longer by this factor. */
const QUARANTINE_GROWTH = 4;
const MAX_QUARANTINE_MS = 86_400_000;
/** Jitter that keeps daemons from ending a quarantine, and losing a server each, at the same moment. */
const MAX_DELAY_SHARE = 0.5;
/** Suspects not seen again for this long are dropped. */
const SUSPECT_TTL_MS = 60_000;
/** An answer protects a request from late reports for this long. */
const CLEARED_TTL_MS = 60_000;
/** Upper bound on tracked requests. */
const MAX_TRACKED_REQUESTS = 1_024;

interface Entry {
  readonly crashes: ReadonlySet<number>;
  readonly quarantines: number;
  /** Until when nobody may run it. */
  readonly expiresAtMs: number;
  /** How much longer this daemon waits. */
  readonly delayMs: number;
  readonly forgetAtMs: number;
}

const CLEAR: RequestClassification = { kind: "clear" };
const SUSPECT: RequestClassification = { kind: "suspect" };

/** The suspects and quarantined requests that one daemon knows. */
export class PoisonRequestTracker {
  private readonly entries = new Map<string, Entry>();
  /** When requests were answered that were suspects, or might become some. */
  private readonly answers = new Map<string, number>();

  private constructor(private readonly random: () => number) {}

  /**
   * Creates an empty tracker.
   *
   * @param random draws a number from 0 up to 1.
   */
  static create(random: () => number): PoisonRequestTracker {
    return new PoisonRequestTracker(random);
  }

  /** Whether nothing is suspected, as nearly always. */
  get isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /** How many requests are quarantined. */
  countQuarantined(nowMs: number): number {
    return [...this.entries.keys()].filter((fingerprint) =>
      this.classify(fingerprint, nowMs).kind === "quarantined"
    ).length;
  }

  /** How a request may be run. */
  classify(fingerprint: string, nowMs: number): RequestClassification {
    const entry = this.find(fingerprint, nowMs);
    if (entry === undefined) {
      return CLEAR;
    }
    const remainingMs = entry.expiresAtMs + entry.delayMs - nowMs;
    return remainingMs > 0 ? { kind: "quarantined", remainingMs } : SUSPECT;
  }

  /** Whether a request was answered not long ago. */
  isCleared(fingerprint: string, nowMs: number): boolean {
    return nowMs - (this.answers.get(fingerprint) ?? -Infinity) <
      CLEARED_TTL_MS;
  }

  /** Records the crash of the server beside this daemon. */
  recordCrash({ id, runs }: ServerCrash, nowMs: number): CrashOutcome {
    const suspects = runs.filter(({ fingerprint }) =>
      !this.isCleared(fingerprint, nowMs)
    );
    const proven = this.findProven(suspects, nowMs);
    const suspected = unique(suspects);
    suspected.forEach((fingerprint) =>
      this.addCrashes(fingerprint, [id], nowMs)
    );
    suspected.filter((fingerprint) =>
      fingerprint === proven || this.isAloneAtCrashes(fingerprint)
    ).forEach((fingerprint) => this.quarantine(fingerprint, nowMs));
    return {
      reports: suspected.flatMap((fingerprint) =>
        this.describe(fingerprint, nowMs)
      ).map((report) => ({ ...report, crashes: [id] })),
      cleared: unique(runs).filter((fingerprint) =>
        this.isCleared(fingerprint, nowMs)
      ),
    };
  }

  /**
   * Records what another daemon reports; returns which of it is news, and what was answered meanwhile.
   *
   * A quarantine is not extended by repeated reports of it, which are delayed on their way.
   */
  recordReports(
    reports: readonly CrashReport[],
    nowMs: number,
  ): { newReports: readonly CrashReport[]; cleared: readonly string[] } {
    const [cleared, standing] = [true, false].map((isCleared) =>
      reports.filter(({ fingerprint }) =>
        this.isCleared(fingerprint, nowMs) === isCleared
      )
    );
    const newReports = standing!.filter((report) =>
      this.addReport(report, nowMs)
    );
    newReports.map(({ fingerprint }) => fingerprint)
      .filter((fingerprint) => this.isAloneAtCrashes(fingerprint))
      .forEach((fingerprint) => this.quarantine(fingerprint, nowMs));
    return {
      newReports,
      cleared: cleared!.map(({ fingerprint }) => fingerprint),
    };
  }

  /** Records that a server has answered a request; returns whether it was a suspect. */
  recordResponse(fingerprint: string, nowMs: number): boolean {
    this.remember(this.answers, fingerprint, nowMs);
    return this.entries.delete(fingerprint);
  }

  /** Quarantines, expired ones too, for daemons that have just started. */
  findQuarantines(nowMs: number): CrashReport[] {
    return [...this.entries.keys()]
      .flatMap((fingerprint) => this.describe(fingerprint, nowMs))
      .filter(({ quarantines }) => quarantines > 0);
  }

  /** Drops expired entries. */
  prune(nowMs: number): void {
    this.entries.forEach(({ forgetAtMs }, fingerprint) => {
      if (forgetAtMs <= nowMs) {
        this.entries.delete(fingerprint);
      }
    });
    this.answers.forEach((atMs, fingerprint) => {
      if (nowMs - atMs >= CLEARED_TTL_MS) {
        this.answers.delete(fingerprint);
      }
    });
  }

  /**
   * The request that certainly crashed a server, if it was the only suspect there. Only one runs on probation at a time,
   * so one that was lost later began after the crash. A copy of another suspect may have started before it was one.
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
  private addReport(report: CrashReport, nowMs: number): boolean {
    const { fingerprint, crashes, quarantines, remainingMs } = report;
    const known = this.find(fingerprint, nowMs);
    const isNewQuarantine = quarantines > (known?.quarantines ?? 0);
    const hasNewCrash = crashes.some((crash) =>
      known?.crashes.has(crash) !== true
    );
    this.addCrashes(fingerprint, crashes, nowMs);
    if (isNewQuarantine) {
      const expiresAtMs = nowMs + Math.min(remainingMs, MAX_QUARANTINE_MS);
      this.enter(fingerprint, { quarantines, expiresAtMs });
    }
    return isNewQuarantine || hasNewCrash;
  }

  private addCrashes(
    fingerprint: string,
    added: readonly number[],
    nowMs: number,
  ): void {
    const known = this.find(fingerprint, nowMs);
    if (known === undefined) {
      this.entries.delete(fingerprint);
      this.enter(fingerprint, { quarantines: 0, expiresAtMs: nowMs });
    }
    const entry = this.entries.get(fingerprint)!;
    const crashes = [...new Set([...entry.crashes, ...added])].slice(
      -MAX_CRASHES,
    );
    this.entries.set(fingerprint, { ...entry, crashes: new Set(crashes) });
  }

  /**
   * Whether a request that was never quarantined was there at enough crashes, and no other one was at as many of these.
   * Crashes before a quarantine may be reported after it; they are no reason for another one.
   */
  private isAloneAtCrashes(fingerprint: string): boolean {
    const entry = this.entries.get(fingerprint);
    if (entry === undefined || entry.quarantines > 0) {
      return false;
    }
    const { crashes } = entry;
    const countShared = (other: ReadonlySet<number>) =>
      [...crashes].filter((crash) => other.has(crash)).length;
    return crashes.size >= CRASHES_TO_QUARANTINE &&
      ![...this.entries].some(([name, other]) =>
        name !== fingerprint &&
        countShared(other.crashes) >= CRASHES_TO_QUARANTINE
      );
  }

  /** Quarantines a request, unless it is quarantined: a run that began before may still crash a server. */
  private quarantine(fingerprint: string, nowMs: number): void {
    const entry = this.entries.get(fingerprint);
    if (entry !== undefined && entry.expiresAtMs <= nowMs) {
      const quarantines = entry.quarantines + 1;
      const expiresAtMs = nowMs + quarantineMs(quarantines);
      this.enter(fingerprint, { quarantines, expiresAtMs });
    }
  }

  private enter(
    fingerprint: string,
    quarantine: { quarantines: number; expiresAtMs: number },
  ): void {
    const { quarantines, expiresAtMs } = quarantine;
    const crashes = this.entries.get(fingerprint)?.crashes ?? new Set<number>();
    const delayMs = quarantineMs(quarantines) * MAX_DELAY_SHARE *
      this.random();
    // One that comes back only now and then must still find its crashes counted.
    const forgetAtMs = expiresAtMs + SUSPECT_TTL_MS +
      (quarantines === 0 ? 0 : quarantineMs(quarantines + 1));
    this.remember(this.entries, fingerprint, {
      crashes,
      quarantines,
      expiresAtMs,
      delayMs,
      forgetAtMs,
    });
  }

  private find(fingerprint: string, nowMs: number): Entry | undefined {
    const entry = this.entries.get(fingerprint);
    return entry === undefined || entry.forgetAtMs <= nowMs ? undefined : entry;
  }

  private describe(fingerprint: string, nowMs: number): CrashReport[] {
    const entry = this.find(fingerprint, nowMs);
    return entry === undefined ? [] : [{
      fingerprint,
      crashes: [...entry.crashes],
      quarantines: entry.quarantines,
      remainingMs: Math.max(0, Math.round(entry.expiresAtMs - nowMs)),
    }];
  }

  /** Keeps a map within its bound; the oldest goes first. */
  private remember<T>(map: Map<string, T>, key: string, value: T): void {
    map.delete(key);
    map.set(key, value);
    if (map.size > MAX_TRACKED_REQUESTS) {
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
  const lengthMs = FIRST_QUARANTINE_MS * QUARANTINE_GROWTH ** (ordinal - 1);
  return Math.min(MAX_QUARANTINE_MS, lengthMs);
}

function unique(runs: readonly LostRun[]): string[] {
  return [...new Set(runs.map(({ fingerprint }) => fingerprint))];
}
