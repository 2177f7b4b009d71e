/**
 * Keeps requests from backend servers that end under them, and tells other daemons of it.
 *
 * @module
 */
import type { Logger } from "@bamboolink/logger";
import {
  chooseProbationDaemon,
  type CrashReport,
  fingerprintRequest,
  LostRuns,
  PoisonRequestTracker,
  RecentResponses,
  type RequestClassification,
} from "@bamboolink/quarantine";
import type { BackendProcessEnd } from "./backend_manager.ts";
import type { Datagram } from "./datagram_codec.ts";
import type { RoutedRequest } from "./routed_request.ts";

/** Time between two retellings of what is quarantined, in milliseconds: a daemon that starts knows soon. */
const RETELL_MS = 1_000;
/** The most requests that one datagram tells of, so that it travels in one piece. */
const LARGEST_NEWS = 16;
/** A request under which so many connections broke in one attempt is a suspect whether a server's end is known or not. */
const LARGEST_LOST_RUNS = 2;
/** Crashes are identified by a random number below this. */
const CRASH_IDS = 2 ** 32;

/** What one daemon tells others of requests under which servers ended. */
export type QuarantineUpdate = Extract<
  Datagram,
  { kind: "crash_reports" | "cleared" }
>;

/** What the quarantine needs. */
export interface RequestQuarantineContext {
  /** Address of the own daemon, which names it to others. */
  readonly address: string;
  readonly logger: Logger;
  readonly random: () => number;
  readonly nowMs: () => number;
  /** Tells all living daemons. */
  readonly broadcast: (news: QuarantineUpdate) => void;
  /** Tells a few living daemons, others each time. */
  readonly sendToSome: (news: QuarantineUpdate) => void;
}

const CLEAR: RequestClassification = { kind: "clear" };
const SUSPECT: RequestClassification = { kind: "suspect" };

/** One daemon's knowledge of requests under which backend servers end. */
export class RequestQuarantine {
  private readonly lost = LostRuns.create();
  private readonly answers = RecentResponses.create();
  private readonly tracker: PoisonRequestTracker;
  /** Names of requests that are under way: each is judged several times. */
  private readonly names = new WeakMap<RoutedRequest, string>();
  /** Whether the process of the backend server has ended and no other one is known yet. */
  private hasEnded = false;
  private retoldAtMs = -Infinity;

  private constructor(private readonly context: RequestQuarantineContext) {
    this.tracker = PoisonRequestTracker.create(context.random);
  }

  /** Creates one that knows of nothing. */
  static create(context: RequestQuarantineContext): RequestQuarantine {
    return new RequestQuarantine(context);
  }

  /** How many requests are quarantined. */
  get count(): number {
    return this.tracker.countQuarantined(this.context.nowMs());
  }

  /** How a request may be run. Requests are named only while there is a suspect: it costs a hash of their bodies. */
  classify(work: RoutedRequest): RequestClassification {
    if (!this.isOfInterest(work)) {
      return CLEAR;
    }
    const nowMs = this.context.nowMs();
    const fingerprint = this.nameOf(work);
    const standing = this.tracker.classify(fingerprint, nowMs);
    const isSuspect = standing.kind === "clear" && work.brokenConnections > 0 &&
      !this.tracker.isCleared(fingerprint, nowMs);
    return isSuspect ? SUSPECT : standing;
  }

  /**
   * Whether a request may be sent on from a server that is gone or has no room. A suspect is not: the server may have
   * ended under another copy of it a moment ago, and the next one would.
   *
   * @param brokenConnections how many connections to backend servers broke under it in this attempt.
   */
  mayRetry(work: RoutedRequest, brokenConnections: number): boolean {
    const isSuspect = !this.tracker.isEmpty &&
      this.tracker.classify(this.nameOf(work), this.context.nowMs()).kind !==
        "clear";
    return brokenConnections < LARGEST_LOST_RUNS && !isSuspect;
  }

  /** Chooses the daemon beside whose backend server a suspect runs. */
  chooseProbation(
    work: RoutedRequest,
    addresses: readonly string[],
  ): string | undefined {
    return chooseProbationDaemon(this.nameOf(work), addresses);
  }

  /** Notes that the backend server here has answered a request. */
  recordResponse(work: RoutedRequest): void {
    const { address: sender, nowMs, broadcast, logger } = this.context;
    // A process that refused connections for a moment may be the same that answers now.
    this.hasEnded = false;
    this.lost.recordAnswered(nowMs());
    this.answers.record(work);
    if (!this.isOfInterest(work)) {
      return;
    }
    const fingerprint = this.nameOf(work);
    if (this.tracker.recordResponse(fingerprint, nowMs())) {
      logger.log("request_cleared", { request_id: work.id, fingerprint });
      broadcast({ kind: "cleared", sender, fingerprints: [fingerprint] });
    }
  }

  /**
   * Notes that the connection to the backend server here broke while it ran a request.
   *
   * @param isOnProbation whether it ran as the only suspect there.
   */
  recordBrokenConnection(work: RoutedRequest, isOnProbation: boolean): void {
    if (this.hasEnded) {
      // The process is gone already, and did not end under what comes too late for it.
      return;
    }
    this.lost.recordLost({
      requestId: work.id,
      fingerprint: this.nameOf(work),
      isOnProbation,
      lostAtMs: this.context.nowMs(),
    });
  }

  /** Notes that the process of the backend server here has ended. */
  recordBackendEnd({ instance, proof }: BackendProcessEnd): void {
    const { logger, nowMs, random } = this.context;
    // Refused: nobody listens until the next process comes. Replaced: it is there.
    this.hasEnded = proof === "refused";
    const answered = this.answers.takeFingerprints();
    const runs = this.lost.takeRunsAtCrash(nowMs())
      .filter(({ fingerprint }) => !answered.has(fingerprint));
    if (runs.length === 0) {
      return;
    }
    logger.log("backend_ended_under_requests", {
      instance,
      proof,
      requests: runs.map(({ requestId }) => requestId),
      fingerprints: runs.map(({ fingerprint }) => fingerprint),
      on_probation: runs.map(({ isOnProbation }) => isOnProbation),
    });
    const { reports, cleared } = this.tracker.recordCrash(
      { id: Math.floor(random() * CRASH_IDS), runs },
      nowMs(),
    );
    reports.forEach((report) => this.logReport(report));
    this.tellReports(reports, this.context.broadcast);
    this.tellCleared(cleared);
  }

  /** Takes what another daemon tells. */
  applyUpdate(news: QuarantineUpdate): void {
    const nowMs = this.context.nowMs();
    if (news.kind === "cleared") {
      news.fingerprints.forEach((fingerprint) => {
        if (this.tracker.recordResponse(fingerprint, nowMs)) {
          const { sender: peer } = news;
          this.context.logger.log("request_cleared", { peer, fingerprint });
        }
      });
      return;
    }
    const reports = news.suspected.map((row): CrashReport => {
      const [fingerprint, crashes, quarantines, remainingMs] = row;
      return { fingerprint, crashes, quarantines, remainingMs };
    });
    const found = this.tracker.recordReports(reports, nowMs);
    found.newReports.forEach((report) => this.logReport(report, news.sender));
    this.tellCleared(found.cleared);
  }

  /** Retells what is quarantined, for those who were not there when it was told, and forgets what is long past. */
  tick(): void {
    const nowMs = this.context.nowMs();
    if (nowMs - this.retoldAtMs < RETELL_MS) {
      return;
    }
    this.retoldAtMs = nowMs;
    this.tracker.prune(nowMs);
    this.tellReports(
      this.tracker.findQuarantines(nowMs),
      this.context.sendToSome,
    );
  }

  private nameOf(work: RoutedRequest): string {
    const known = this.names.get(work);
    if (known !== undefined) {
      return known;
    }
    const name = fingerprintRequest(work);
    this.names.set(work, name);
    return name;
  }

  private isOfInterest(work: RoutedRequest): boolean {
    return work.brokenConnections > 0 || !this.tracker.isEmpty;
  }

  private tellReports(
    reports: readonly CrashReport[],
    tell: (news: QuarantineUpdate) => void,
  ): void {
    const { address: sender } = this.context;
    inPieces(reports).forEach((piece) =>
      tell({
        kind: "crash_reports",
        sender,
        suspected: piece.map((
          { fingerprint, crashes, quarantines, remainingMs },
        ) => [
          fingerprint,
          [...crashes],
          quarantines,
          remainingMs,
        ]),
      })
    );
  }

  private tellCleared(fingerprints: readonly string[]): void {
    const { address: sender, broadcast } = this.context;
    inPieces(fingerprints).forEach((piece) =>
      broadcast({ kind: "cleared", sender, fingerprints: piece })
    );
  }

  /** Logs what is believed of a request now. */
  private logReport(report: CrashReport, peer?: string): void {
    const { logger, nowMs } = this.context;
    const { fingerprint, crashes } = report;
    const standing = this.tracker.classify(fingerprint, nowMs());
    if (standing.kind === "quarantined") {
      const left_ms = Math.round(standing.remainingMs);
      logger.log("request_quarantined", {
        fingerprint,
        crashes,
        left_ms,
        peer,
      });
      return;
    }
    logger.log("request_suspected", { fingerprint, crashes, peer });
  }
}

function inPieces<T>(items: readonly T[]): T[][] {
  const count = Math.ceil(items.length / LARGEST_NEWS);
  return Array.from(
    { length: count },
    (_, index) => items.slice(index * LARGEST_NEWS, (index + 1) * LARGEST_NEWS),
  );
}
