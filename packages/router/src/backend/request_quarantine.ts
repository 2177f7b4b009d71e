/**
 * Quarantines requests that crash backend servers, and shares that state with the other daemons.
 *
 * @module
 */
import type { Logger } from "@bamboolink/logger";
import { RepeatSchedule } from "@bamboolink/membership";
import {
  chooseProbationDaemon,
  type CrashReport,
  fingerprintRequest,
  InterruptedRuns,
  PoisonRequestTracker,
  RecentResponses,
  type RequestClassification,
} from "@bamboolink/quarantine";
import type { BackendProcessEnd } from "./backend_manager.ts";
import type { Datagram } from "../members/datagram_codec.ts";
import type { RoutedRequest } from "../attempts/routed_request.ts";

/** Interval of repeated reports of quarantined requests, in milliseconds, for daemons that have just started. */
const REPEAT_INTERVAL_MS = 1_000;
/**
 * Maximum number of requests in one datagram, so that it is not fragmented: each takes up to 114 bytes, with the ids of
 * 16 crashes.
 */
const MAX_REQUESTS_PER_UPDATE = 12;
/**
 * Maximum number of requests whose changed state is repeated in one tick; the others follow in the next ones, so that a
 * crash of many servers does not fill a slow network link.
 */
const MAX_REPEATS_PER_TICK = 64;
/** A request is not retried once this many connections broke while it was running, in one attempt of its caller. */
const MAX_BROKEN_CONNECTIONS = 2;
/** Responses with this HTTP status or a higher one are errors of the server. */
const FIRST_FAILURE_STATUS = 500;
/** A crash is identified by a random integer below this. */
const CRASH_ID_RANGE = 2 ** 32;

/** Message between daemons on requests that backend servers were running when they crashed. */
export type QuarantineUpdate = Extract<
  Datagram,
  { kind: "crash_reports" | "cleared" }
>;

/** Dependencies of {@link RequestQuarantine}. */
export interface RequestQuarantineContext {
  /** Address of this daemon, which identifies it to others. */
  readonly address: string;
  readonly logger: Logger;
  readonly random: () => number;
  readonly nowMs: () => number;
  /**
   * Returns a time like `nowMs` that leaves out how long this process was not run: by it the breaks of one crash are
   * close together, however late they are read. Defaults to `nowMs`.
   */
  readonly runningMs?: () => number;
  /** Sends an update to all alive daemons. */
  readonly broadcast: (update: QuarantineUpdate) => void;
  /** Sends an update to a few alive daemons, different ones each time. */
  readonly sendToSome: (update: QuarantineUpdate) => void;
  /** Sends an update to one daemon. */
  readonly sendTo: (update: QuarantineUpdate, address: string) => void;
}

const CLEAR: RequestClassification = { kind: "clear" };
const SUSPECT: RequestClassification = { kind: "suspect" };

/** One daemon's state of the requests that are suspected of crashing backend servers or quarantined. */
export class RequestQuarantine {
  private readonly interruptedRuns = InterruptedRuns.create();
  private readonly recentResponses = RecentResponses.create();
  /** The requests whose state has changed, and is repeated for daemons that missed the broadcast. */
  private readonly changes = RepeatSchedule.create();
  private readonly tracker: PoisonRequestTracker;
  /** Cached fingerprints of requests in flight: each request is classified several times. */
  private readonly fingerprintCache = new WeakMap<RoutedRequest, string>();
  /** Whether the backend server's process has crashed and no other one is known yet. */
  private hasCrashed = false;
  private lastRepeatAtMs = -Infinity;

  private constructor(private readonly context: RequestQuarantineContext) {
    this.tracker = PoisonRequestTracker.create(context.random);
  }

  /** Creates an instance without suspects. */
  static create(context: RequestQuarantineContext): RequestQuarantine {
    return new RequestQuarantine(context);
  }

  /** Number of quarantined requests. */
  get count(): number {
    return this.tracker.countQuarantined(this.context.nowMs());
  }

  /**
   * Returns how a request may be run. Its fingerprint, a hash that includes the body, is computed only if some request
   * is suspect or quarantined, or if a connection broke while this one was running.
   */
  classify(request: RoutedRequest): RequestClassification {
    if (!this.needsClassification(request)) {
      return CLEAR;
    }
    const nowMs = this.context.nowMs();
    const fingerprint = this.fingerprintOf(request);
    const classification = this.tracker.classify(fingerprint, nowMs);
    const isSuspect = classification.kind === "clear" &&
      request.brokenConnections > 0 &&
      !this.tracker.isCleared(fingerprint, nowMs);
    return isSuspect ? SUSPECT : classification;
  }

  /**
   * Whether a request may be retried after an attempt at a server that has stopped or has no capacity. A suspect may
   * not: the server may just have crashed while running another copy of it, and the next server would crash as well.
   *
   * @param brokenConnections how many connections to backend servers broke while it was running, in this attempt of its
   *   caller.
   */
  mayRetry(request: RoutedRequest, brokenConnections: number): boolean {
    const isSuspect = !this.tracker.isEmpty &&
      this.tracker.classify(this.fingerprintOf(request), this.context.nowMs())
          .kind !==
        "clear";
    return brokenConnections < MAX_BROKEN_CONNECTIONS && !isSuspect;
  }

  /** Chooses the daemon at whose backend server a suspect runs. */
  chooseProbation(
    request: RoutedRequest,
    addresses: readonly string[],
  ): string | undefined {
    return chooseProbationDaemon(this.fingerprintOf(request), addresses);
  }

  /**
   * Records that the local backend server has responded to a request. An error response clears no request: a server that
   * fails may respond before it comes to what would crash it.
   */
  recordResponse(request: RoutedRequest, status: number): void {
    const { nowMs, logger } = this.context;
    // A process that refused connections for a moment may be the one that responds now.
    this.hasCrashed = false;
    this.interruptedRuns.recordAnswered(this.runningMs());
    if (status >= FIRST_FAILURE_STATUS) {
      return;
    }
    this.recentResponses.record(request);
    if (!this.needsClassification(request)) {
      return;
    }
    const fingerprint = this.fingerprintOf(request);
    if (this.tracker.recordResponse(fingerprint, nowMs())) {
      logger.log("request_cleared", { request_id: request.id, fingerprint });
      this.broadcastCleared([fingerprint]);
    }
  }

  /**
   * Records that the connection to the local backend server broke while it ran a request.
   *
   * @param isOnProbation whether the request ran as the only suspect there.
   */
  recordBrokenConnection(request: RoutedRequest, isOnProbation: boolean): void {
    if (this.hasCrashed) {
      // The process had crashed before, so it can't have crashed because of this request.
      return;
    }
    this.interruptedRuns.recordInterrupted({
      requestId: request.id,
      fingerprint: this.fingerprintOf(request),
      isOnProbation,
      interruptedAtMs: this.runningMs(),
    });
  }

  /** Records that the local backend server's process has ended, or is assumed to have ended. */
  recordBackendEnd({ instance, proof }: BackendProcessEnd): void {
    const { logger, nowMs, random } = this.context;
    // Refused: no process listens until the next one starts. Replaced: the next process already runs.
    this.hasCrashed = proof === "refused";
    const answeredFingerprints = this.recentResponses.takeFingerprints();
    const runs = this.interruptedRuns.takeRunsAtCrash(this.runningMs())
      .filter(({ fingerprint }) => !answeredFingerprints.has(fingerprint));
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
      { id: Math.floor(random() * CRASH_ID_RANGE), runs },
      nowMs(),
    );
    reports.forEach((report) => {
      this.changes.add(report.fingerprint, nowMs());
      this.logReport(report);
    });
    this.sendReports(reports, this.context.broadcast);
    this.broadcastCleared(cleared);
  }

  /** Applies an update from another daemon. */
  applyUpdate(update: QuarantineUpdate): void {
    const nowMs = this.context.nowMs();
    if (update.kind === "cleared") {
      update.fingerprints.forEach((fingerprint) => {
        if (this.tracker.recordResponse(fingerprint, nowMs)) {
          const { sender: peer } = update;
          this.changes.add(fingerprint, nowMs);
          this.context.logger.log("request_cleared", { peer, fingerprint });
        }
      });
      return;
    }
    const reports = update.suspected.map((entry): CrashReport => {
      const [fingerprint, crashes, quarantines, remainingMs] = entry;
      return { fingerprint, crashes, quarantines, remainingMs };
    });
    const merged = this.tracker.recordReports(reports, nowMs);
    merged.newReports.forEach((report) => {
      this.changes.add(report.fingerprint, nowMs);
      this.logReport(report, update.sender);
    });
    this.respondToStaleReports(merged.cleared, update.sender);
  }

  /**
   * Repeats what has changed recently, for daemons that missed it, and the reports of quarantined requests, for daemons
   * that have just started. Removes expired state. Called by a timer.
   */
  tick(): void {
    const nowMs = this.context.nowMs();
    this.repeatChanges(nowMs);
    if (nowMs - this.lastRepeatAtMs < REPEAT_INTERVAL_MS) {
      return;
    }
    this.lastRepeatAtMs = nowMs;
    this.tracker.prune(nowMs);
    this.sendReports(
      this.tracker.findQuarantines(nowMs),
      this.context.sendToSome,
    );
  }

  private runningMs(): number {
    const { nowMs, runningMs = nowMs } = this.context;
    return runningMs();
  }

  private repeatChanges(nowMs: number): void {
    const changed = this.changes.takeDue(nowMs, MAX_REPEATS_PER_TICK);
    const { sendToSome } = this.context;
    this.sendReports(this.tracker.findReports(changed, nowMs), sendToSome);
    this.sendCleared(
      changed.filter((fingerprint) =>
        this.tracker.isCleared(fingerprint, nowMs)
      ),
      sendToSome,
    );
  }

  /** Informs a daemon, or all of them unless this was done lately, that reported requests have been answered. */
  private respondToStaleReports(
    fingerprints: readonly string[],
    reporter: string,
  ): void {
    const [announced, unannounced] = [true, false].map((isAnnounced) =>
      fingerprints.filter((fingerprint) =>
        this.changes.has(fingerprint) === isAnnounced
      )
    );
    this.sendCleared(
      announced!,
      (update) => this.context.sendTo(update, reporter),
    );
    this.broadcastCleared(unannounced!);
  }

  private fingerprintOf(request: RoutedRequest): string {
    const known = this.fingerprintCache.get(request);
    if (known !== undefined) {
      return known;
    }
    const fingerprint = fingerprintRequest(request);
    this.fingerprintCache.set(request, fingerprint);
    return fingerprint;
  }

  private needsClassification(request: RoutedRequest): boolean {
    return request.brokenConnections > 0 || !this.tracker.isEmpty;
  }

  private sendReports(
    reports: readonly CrashReport[],
    send: (update: QuarantineUpdate) => void,
  ): void {
    const { address: sender } = this.context;
    toChunks(reports).forEach((chunk) =>
      send({
        kind: "crash_reports",
        sender,
        suspected: chunk.map((
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

  private broadcastCleared(fingerprints: readonly string[]): void {
    const nowMs = this.context.nowMs();
    fingerprints.forEach((fingerprint) => this.changes.add(fingerprint, nowMs));
    this.sendCleared(fingerprints, this.context.broadcast);
  }

  private sendCleared(
    fingerprints: readonly string[],
    send: (update: QuarantineUpdate) => void,
  ): void {
    const { address: sender } = this.context;
    toChunks(fingerprints).forEach((chunk) =>
      send({ kind: "cleared", sender, fingerprints: chunk })
    );
  }

  /** Logs the present classification of a reported request. */
  private logReport(report: CrashReport, peer?: string): void {
    const { logger, nowMs } = this.context;
    const { fingerprint, crashes } = report;
    const classification = this.tracker.classify(fingerprint, nowMs());
    if (classification.kind === "quarantined") {
      const left_ms = Math.round(classification.remainingMs);
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

function toChunks<T>(items: readonly T[]): T[][] {
  const count = Math.ceil(items.length / MAX_REQUESTS_PER_UPDATE);
  return Array.from(
    { length: count },
    (_, index) =>
      items.slice(
        index * MAX_REQUESTS_PER_UPDATE,
        (index + 1) * MAX_REQUESTS_PER_UPDATE,
      ),
  );
}
