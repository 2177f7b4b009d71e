/**
 * Asks other daemons, when this one starts, for the last report of an earlier process at its address. Their answers
 * also hold their own reports, and with them the newest version of the configuration that they know.
 *
 * @module
 */
import { sampleWithoutReplacement } from "@bamboolink/membership";

/**
 * Number of daemons whose answers are awaited. Some may lack the report, because they have just started or because a
 * datagram was lost.
 */
const ANSWER_COUNT = 3;
/** Interval between requests to further daemons, in milliseconds. */
const REQUEST_INTERVAL_MS = 100;
/** Maximum duration of the query, in milliseconds; the sender of a heartbeat waits for a second. */
const MAX_QUERY_MS = 800;

/** Dependencies of {@link EarlierReportQuery}. */
export interface EarlierReportQueryContext {
  readonly nowMs: () => number;
  readonly random: () => number;
  /** Addresses of the other daemons, as far as they are known yet. */
  readonly knownAddresses: () => readonly string[];
  /** Requests the report from a daemon. */
  readonly request: (peer: string) => void;
}

/** The query of one process; it ends with enough answers, or after `MAX_QUERY_MS` without them. */
export class EarlierReportQuery {
  private readonly asked = new Set<string>();
  private readonly answeredBy = new Set<string>();
  private startedAtMs: number | undefined;
  private requestedAtMs = -Infinity;
  private hasEnded = false;
  private resolveEnd = () => {};
  private readonly ended = new Promise<void>((resolve) => {
    this.resolveEnd = resolve;
  });

  private constructor(private readonly context: EarlierReportQueryContext) {}

  /** Creates a query that starts with the first call of {@link tick}. */
  static create(context: EarlierReportQueryContext): EarlierReportQuery {
    return new EarlierReportQuery(context);
  }

  /** Waits until the query has ended. */
  awaitEnd(): Promise<void> {
    return this.ended;
  }

  /** Records the answer of a daemon; its report, if it has one, was processed before. */
  recordAnswer(peer: string): void {
    if (this.asked.has(peer)) {
      this.answeredBy.add(peer);
      this.endIfAnswered();
    }
  }

  /** Requests the report from further daemons. Called by a timer. */
  tick(): void {
    if (this.hasEnded) {
      return;
    }
    const nowMs = this.context.nowMs();
    this.startedAtMs ??= nowMs;
    if (nowMs - this.startedAtMs >= MAX_QUERY_MS) {
      this.end();
    } else if (nowMs - this.requestedAtMs >= REQUEST_INTERVAL_MS) {
      this.requestFromSome(nowMs);
    }
  }

  private end(): void {
    this.hasEnded = true;
    this.resolveEnd();
  }

  private requestFromSome(nowMs: number): void {
    const { knownAddresses, random, request } = this.context;
    const candidates = knownAddresses().filter((address) =>
      !this.answeredBy.has(address)
    );
    if (candidates.length > 0) {
      this.requestedAtMs = nowMs;
    }
    sampleWithoutReplacement(candidates, { count: ANSWER_COUNT, random })
      .forEach((peer) => {
        this.asked.add(peer);
        request(peer);
      });
  }

  private endIfAnswered(): void {
    const needed = Math.min(
      ANSWER_COUNT,
      this.context.knownAddresses().length,
    );
    if (this.answeredBy.size >= needed) {
      this.end();
    }
  }
}
