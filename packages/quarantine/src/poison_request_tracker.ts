/**
 * Tracks requests that crash the backend servers that run them.
 *
 * Guards against a request that crashes every server it reaches and is retried under new ids. Harmless requests must
 * not be withheld: they run concurrently with such a request, and servers also crash for other reasons.
 *
 * A request that was running when a server crashed is a suspect: until it is answered, it runs with no other suspect on
 * the same server. It is quarantined if another server crashes while it is the only suspect there, or if it was running
 * at several crashes and no other request was running at as many of them. A response clears it, unless it is an error of
 * the server.
 *
 * @module
 */
import type { InterruptedRun } from "./interrupted_runs.ts";

/** How a request may be run. */
export type RequestClassification =
  /** Without restrictions. */
  | { readonly kind: "clear" }
  /** With no other suspect on the same server at the same time. */
  | { readonly kind: "suspect" }
  /** Not at all for the next `remainingMs` milliseconds. */
  | { readonly kind: "quarantined"; readonly remainingMs: number };

/** What daemons send each other about a request that was running when servers crashed. */
export interface CrashReport {
  /** Identifies the request by its content. */
  readonly fingerprint: string;
  /** Ids of the crashes. */
  readonly crashes: readonly number[];
  /** How many times the request was quarantined. */
  readonly quarantines: number;
  /** For how long it must not run on any server, in milliseconds; 0 for a suspect. */
  readonly remainingMs: number;
}

/** The crash of a daemon's local backend server. */
export interface ServerCrash {
  /** Unique among all daemons, so that a crash counts once however often it is reported. */
  readonly id: number;
  /** The requests that the server was running when it crashed. */
  readonly runs: readonly InterruptedRun[];
}

/** What a crash changed. */
export interface CrashOutcome {
  /** Reports to send to all daemons. */
  readonly reports: readonly CrashReport[];
  /** Requests that were answered before the crash; to be announced to all daemons as well. */
  readonly cleared: readonly string[];
}

/**
 * A request is quarantined if it was running at this many crashes, and no other request was running at as many of them.
 * In one attempt of its caller, a harmless request is retried at most once after a crash, so it is running at two
 * crashes at most.
 */
const CRASHES_TO_QUARANTINE = 3;
/** Upper bound on remembered crashes of one request. */
const MAX_CRASHES = 16;
/** Length of the first quarantine: longer than servers take to restart and warm up. */
const FIRST_QUARANTINE_MS = 30_000;
/** Each further quarantine of a request is longer than the previous one by this factor. */
const QUARANTINE_GROWTH = 4;
const MAX_QUARANTINE_MS = 86_400_000;
/**
 * Jitter, as a share of the quarantine's length: daemons must not all end a quarantine at the same time and each lose a
 * server.
 */
const MAX_JITTER_SHARE = 0.5;
/** Suspects that do not occur again for this long are dropped. */
const SUSPECT_TTL_MS = 60_000;
/** A response protects a request from delayed crash reports for this long. */
const CLEARED_TTL_MS = 60_000;
/** Upper bound on tracked requests. */
const MAX_TRACKED_REQUESTS = 1_024;

interface Entry {
  readonly crashes: ReadonlySet<number>;
  readonly quarantines: number;
  /** Until when it must not run on any server. */
  readonly expiresAtMs: number;
  /** How much longer the quarantine lasts at this daemon. */
  readonly jitterMs: number;
  readonly forgetAtMs: number;
}

const CLEAR: RequestClassification = { kind: "clear" };
const SUSPECT: RequestClassification = { kind: "suspect" };

/** The suspects and quarantined requests that one daemon tracks. */
export class PoisonRequestTracker {
  private readonly entries = new Map<string, Entry>();
  /** When requests were last answered that are or may become suspects, by fingerprint. */
  private readonly answeredAtMs = new Map<string, number>();

  private constructor(private readonly random: () => number) {}

  /**
   * Creates an empty tracker.
   *
   * @param random returns a number from 0 (inclusive) to 1 (exclusive).
   */
  static create(random: () => number): PoisonRequestTracker {
    return new PoisonRequestTracker(random);
  }

  /** Whether there are no suspects and no quarantined requests, which is nearly always the case. */
  get isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /** How many requests are quarantined. */
  countQuarantined(nowMs: number): number {
    return [...this.entries.keys()].filter((fingerprint) =>
      this.classify(fingerprint, nowMs).kind === "quarantined"
    ).length;
  }

  /** Returns whether and how a request may run. */
  classify(fingerprint: string, nowMs: number): RequestClassification {
    const entry = this.find(fingerprint, nowMs);
    if (entry === undefined) {
      return CLEAR;
    }
    const remainingMs = entry.expiresAtMs + entry.jitterMs - nowMs;
    return remainingMs > 0 ? { kind: "quarantined", remainingMs } : SUSPECT;
  }

  /** Whether a request was answered recently enough to be protected from crash reports. */
  isCleared(fingerprint: string, nowMs: number): boolean {
    return nowMs - (this.answeredAtMs.get(fingerprint) ?? -Infinity) <
      CLEARED_TTL_MS;
  }

  /** Records the crash of the local backend server; returns what to send to the other daemons. */
  recordCrash({ id, runs }: ServerCrash, nowMs: number): CrashOutcome {
    const suspects = runs.filter(({ fingerprint }) =>
      !this.isCleared(fingerprint, nowMs)
    );
    const provenFingerprint = this.findProvenFingerprint(suspects, nowMs);
    const fingerprints = uniqueFingerprints(suspects);
    fingerprints.forEach((fingerprint) =>
      this.addCrashes(fingerprint, [id], nowMs)
    );
    fingerprints.filter((fingerprint) =>
      fingerprint === provenFingerprint || this.isAloneAtCrashes(fingerprint)
    ).forEach((fingerprint) => this.quarantine(fingerprint, nowMs));
    return {
      reports: fingerprints.flatMap((fingerprint) =>
        this.createReports(fingerprint, nowMs)
      ).map((report) => ({ ...report, crashes: [id] })),
      cleared: uniqueFingerprints(runs).filter((fingerprint) =>
        this.isCleared(fingerprint, nowMs)
      ),
    };
  }

  /**
   * Records the reports of another daemon; returns those that contain new information, and the requests that have been
   * answered in the meantime.
   *
   * Repeated reports do not extend a quarantine: they are delayed on the network.
   */
  recordReports(
    reports: readonly CrashReport[],
    nowMs: number,
  ): { newReports: readonly CrashReport[]; cleared: readonly string[] } {
    const [cleared, uncleared] = [true, false].map((isCleared) =>
      reports.filter(({ fingerprint }) =>
        this.isCleared(fingerprint, nowMs) === isCleared
      )
    );
    const newReports = uncleared!.filter((report) =>
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

  /** Records that a server has answered a request without an error of its own; returns whether the request was suspect or quarantined. */
  recordResponse(fingerprint: string, nowMs: number): boolean {
    this.setBounded(this.answeredAtMs, fingerprint, nowMs);
    return this.entries.delete(fingerprint);
  }

  /** Returns reports of those of the given requests that are tracked, with all their crashes. */
  findReports(fingerprints: readonly string[], nowMs: number): CrashReport[] {
    return fingerprints.flatMap((fingerprint) =>
      this.createReports(fingerprint, nowMs)
    );
  }

  /** Returns all known quarantines, including expired ones, for daemons that have just started. */
  findQuarantines(nowMs: number): CrashReport[] {
    return this.findReports([...this.entries.keys()], nowMs)
      .filter(({ quarantines }) => quarantines > 0);
  }

  /** Drops expired entries. */
  prune(nowMs: number): void {
    this.entries.forEach(({ forgetAtMs }, fingerprint) => {
      if (forgetAtMs <= nowMs) {
        this.entries.delete(fingerprint);
      }
    });
    this.answeredAtMs.forEach((recordedAtMs, fingerprint) => {
      if (nowMs - recordedAtMs >= CLEARED_TTL_MS) {
        this.answeredAtMs.delete(fingerprint);
      }
    });
  }

  /**
   * Returns the request that certainly crashed a server, if it was the only suspect there. Only one request runs on
   * probation at a time, so a second interrupted run on probation was started after the server had crashed, and only
   * the first one counts. Another suspect may be running without probation if it was started before it became a
   * suspect.
   */
  private findProvenFingerprint(
    runs: readonly InterruptedRun[],
    nowMs: number,
  ): string | undefined {
    const onProbation = runs.find(({ isOnProbation }) => isOnProbation)
      ?.fingerprint;
    const hasOtherSuspect = runs.some(({ fingerprint, isOnProbation }) =>
      !isOnProbation && fingerprint !== onProbation &&
      this.find(fingerprint, nowMs) !== undefined
    );
    return hasOtherSuspect ? undefined : onProbation;
  }

  /** Returns whether the report contained new information. */
  private addReport(report: CrashReport, nowMs: number): boolean {
    const { fingerprint, crashes, quarantines, remainingMs } = report;
    const known = this.find(fingerprint, nowMs);
    const isNewQuarantine = quarantines > (known?.quarantines ?? 0);
    // Daemons keep different crashes of a request with more than `MAX_CRASHES`, and would always be new to each other.
    const hasNewCrash = (known?.crashes.size ?? 0) < MAX_CRASHES &&
      crashes.some((crash) => known?.crashes.has(crash) !== true);
    this.addCrashes(fingerprint, crashes, nowMs);
    if (isNewQuarantine) {
      const expiresAtMs = nowMs + Math.min(remainingMs, MAX_QUARANTINE_MS);
      this.setEntry(fingerprint, { quarantines, expiresAtMs });
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
      this.setEntry(fingerprint, { quarantines: 0, expiresAtMs: nowMs });
    }
    const entry = this.entries.get(fingerprint)!;
    const crashes = [...new Set([...entry.crashes, ...added])].slice(
      -MAX_CRASHES,
    );
    this.entries.set(fingerprint, { ...entry, crashes: new Set(crashes) });
  }

  /**
   * Whether a request that was never quarantined was running at enough crashes, and no other request was running at as
   * many of them. Crashes before a quarantine may be reported after it; they must not cause another one.
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
      ![...this.entries].some(([otherFingerprint, other]) =>
        otherFingerprint !== fingerprint &&
        countShared(other.crashes) >= CRASHES_TO_QUARANTINE
      );
  }

  /**
   * Quarantines a request unless it is quarantined already: a run that was started before may still crash a server.
   */
  private quarantine(fingerprint: string, nowMs: number): void {
    const entry = this.entries.get(fingerprint);
    if (entry !== undefined && entry.expiresAtMs <= nowMs) {
      const quarantines = entry.quarantines + 1;
      const expiresAtMs = nowMs + quarantineDurationMs(quarantines);
      this.setEntry(fingerprint, { quarantines, expiresAtMs });
    }
  }

  private setEntry(
    fingerprint: string,
    quarantine: { quarantines: number; expiresAtMs: number },
  ): void {
    const { quarantines, expiresAtMs } = quarantine;
    const crashes = this.entries.get(fingerprint)?.crashes ?? new Set<number>();
    const jitterMs = quarantineDurationMs(quarantines) * MAX_JITTER_SHARE *
      this.random();
    // The crashes of a request that occurs only rarely must still be counted when it occurs again.
    const forgetAtMs = expiresAtMs + SUSPECT_TTL_MS +
      (quarantines === 0 ? 0 : quarantineDurationMs(quarantines + 1));
    this.setBounded(this.entries, fingerprint, {
      crashes,
      quarantines,
      expiresAtMs,
      jitterMs,
      forgetAtMs,
    });
  }

  private find(fingerprint: string, nowMs: number): Entry | undefined {
    const entry = this.entries.get(fingerprint);
    return entry === undefined || entry.forgetAtMs <= nowMs ? undefined : entry;
  }

  private createReports(fingerprint: string, nowMs: number): CrashReport[] {
    const entry = this.find(fingerprint, nowMs);
    return entry === undefined ? [] : [{
      fingerprint,
      crashes: [...entry.crashes],
      quarantines: entry.quarantines,
      remainingMs: Math.max(0, Math.round(entry.expiresAtMs - nowMs)),
    }];
  }

  /** Sets an entry and evicts the oldest one if the map exceeds its bound. */
  private setBounded<T>(map: Map<string, T>, key: string, value: T): void {
    map.delete(key);
    map.set(key, value);
    if (map.size > MAX_TRACKED_REQUESTS) {
      const [oldest] = map.keys();
      map.delete(oldest!);
    }
  }
}

/** Returns the length of the first, second, ... quarantine of a request, in milliseconds; 0 for ordinal 0. */
function quarantineDurationMs(ordinal: number): number {
  if (ordinal === 0) {
    return 0;
  }
  const durationMs = FIRST_QUARANTINE_MS * QUARANTINE_GROWTH ** (ordinal - 1);
  return Math.min(MAX_QUARANTINE_MS, durationMs);
}

function uniqueFingerprints(runs: readonly InterruptedRun[]): string[] {
  return [...new Set(runs.map(({ fingerprint }) => fingerprint))];
}
