/**
 * Keeps requests from backend servers that end under them, and tells other daemons of it.
 *
 * @module
 */
import type { Logger } from "@bamboolink/logger";
import {
  type Accusation,
  chooseProbation,
  fingerprintRequest,
  LostRuns,
  type Standing,
  SuspectBook,
} from "@bamboolink/quarantine";
import type { BackendEnd } from "./backend_keeper.ts";
import type { Datagram } from "./datagram_codec.ts";
import type { Work } from "./work.ts";

/** Time between two retellings of what is quarantined, in milliseconds: a daemon that starts knows soon. */
const RETELL_MS = 1_000;
/** The most requests that one datagram tells of, so that it travels in one piece. */
const LARGEST_NEWS = 24;

/** What one daemon tells others of requests under which servers ended. */
export type QuarantineNews = Extract<
  Datagram,
  { kind: "accused" | "acquitted" }
>;

/** What the quarantine needs. */
export interface RequestQuarantineContext {
  /** Address of the own daemon, which names it to others. */
  readonly address: string;
  readonly logger: Logger;
  readonly random: () => number;
  readonly nowMs: () => number;
  /** Tells all living daemons. */
  readonly tellAll: (news: QuarantineNews) => void;
  /** Tells a few living daemons, others each time. */
  readonly tellSome: (news: QuarantineNews) => void;
}

const CLEAR: Standing = { kind: "clear" };
const SUSPECT: Standing = { kind: "suspect" };

/** One daemon's knowledge of requests under which backend servers end. */
export class RequestQuarantine {
  private readonly lost = LostRuns.create();
  private readonly book: SuspectBook;
  private retoldAtMs = -Infinity;

  private constructor(private readonly context: RequestQuarantineContext) {
    this.book = SuspectBook.create(context.random);
  }

  /** Creates one that knows of nothing. */
  static create(context: RequestQuarantineContext): RequestQuarantine {
    return new RequestQuarantine(context);
  }

  /** How many requests are quarantined. */
  get count(): number {
    return this.book.countQuarantined(this.context.nowMs());
  }

  /** How a request may be run. Requests are named only while there is a suspect: it costs a hash of their bodies. */
  judge(work: Work): Standing {
    if (!this.isOfInterest(work)) {
      return CLEAR;
    }
    const nowMs = this.context.nowMs();
    const fingerprint = fingerprintRequest(work);
    const standing = this.book.judge(fingerprint, nowMs);
    const isSuspect = standing.kind === "clear" && work.lostRuns > 0 &&
      !this.book.isAcquitted(fingerprint, nowMs);
    return isSuspect ? SUSPECT : standing;
  }

  /** Chooses the daemon beside whose backend server a suspect runs. */
  chooseProbation(
    work: Work,
    addresses: readonly string[],
  ): string | undefined {
    return chooseProbation(fingerprintRequest(work), addresses);
  }

  /** Notes that the backend server here has answered a request. */
  noteAnswered(work: Work): void {
    const { address: sender, nowMs, tellAll, logger } = this.context;
    this.lost.noteAnswered(nowMs());
    if (!this.isOfInterest(work)) {
      return;
    }
    const fingerprint = fingerprintRequest(work);
    if (this.book.noteAnswer(fingerprint, nowMs())) {
      logger.log("request_acquitted", { request_id: work.id, fingerprint });
      tellAll({ kind: "acquitted", sender, fingerprints: [fingerprint] });
    }
  }

  /**
   * Notes that the connection to the backend server here broke while it ran a request.
   *
   * @param isOnProbation whether it ran as the only suspect there.
   */
  noteLost(work: Work, isOnProbation: boolean): void {
    this.lost.noteLost({
      requestId: work.id,
      fingerprint: fingerprintRequest(work),
      isOnProbation,
      atMs: this.context.nowMs(),
    });
  }

  /** Notes that the process of the backend server here has ended. */
  noteEnded({ instance, proof }: BackendEnd): void {
    const { logger, nowMs } = this.context;
    const runs = this.lost.takeEnded(nowMs());
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
    const { accusations, acquitted } = this.book.noteEnd(runs, nowMs());
    accusations.forEach((accusation) => this.logAccusation(accusation));
    this.tellAccusations(accusations, this.context.tellAll);
    this.tellAcquitted(acquitted);
  }

  /** Takes what another daemon tells. */
  take(news: QuarantineNews): void {
    const nowMs = this.context.nowMs();
    if (news.kind === "acquitted") {
      news.fingerprints.forEach((fingerprint) => {
        if (this.book.noteAnswer(fingerprint, nowMs)) {
          const { sender: peer } = news;
          this.context.logger.log("request_acquitted", { peer, fingerprint });
        }
      });
      return;
    }
    const told = news.accused.map(([fingerprint, ends, leftMs]) => {
      const accusation = { fingerprint, ends, leftMs };
      return {
        accusation,
        meaning: this.book.noteAccusation(accusation, nowMs),
      };
    });
    told.filter(({ meaning }) => meaning === "news")
      .forEach(({ accusation }) => this.logAccusation(accusation, news.sender));
    this.tellAcquitted(
      told.filter(({ meaning }) => meaning === "acquitted")
        .map(({ accusation }) => accusation.fingerprint),
    );
  }

  /** Retells what is quarantined, for those who were not there when it was told, and forgets what is long past. */
  tick(): void {
    const nowMs = this.context.nowMs();
    if (nowMs - this.retoldAtMs < RETELL_MS) {
      return;
    }
    this.retoldAtMs = nowMs;
    this.book.prune(nowMs);
    this.tellAccusations(
      this.book.findQuarantines(nowMs),
      this.context.tellSome,
    );
  }

  private isOfInterest(work: Work): boolean {
    return work.lostRuns > 0 || !this.book.isEmpty;
  }

  private tellAccusations(
    accusations: readonly Accusation[],
    tell: (news: QuarantineNews) => void,
  ): void {
    const { address: sender } = this.context;
    inPieces(accusations).forEach((piece) =>
      tell({
        kind: "accused",
        sender,
        accused: piece.map(({ fingerprint, ends, leftMs }) => [
          fingerprint,
          ends,
          leftMs,
        ]),
      })
    );
  }

  private tellAcquitted(fingerprints: readonly string[]): void {
    const { address: sender, tellAll } = this.context;
    inPieces(fingerprints).forEach((piece) =>
      tellAll({ kind: "acquitted", sender, fingerprints: piece })
    );
  }

  private logAccusation(accusation: Accusation, peer?: string): void {
    const { fingerprint, ends, leftMs } = accusation;
    const name = leftMs > 0 ? "request_quarantined" : "request_suspected";
    this.context.logger.log(name, {
      fingerprint,
      ends,
      left_ms: leftMs,
      peer,
    });
  }
}

function inPieces<T>(items: readonly T[]): T[][] {
  const count = Math.ceil(items.length / LARGEST_NEWS);
  return Array.from(
    { length: count },
    (_, index) => items.slice(index * LARGEST_NEWS, (index + 1) * LARGEST_NEWS),
  );
}
