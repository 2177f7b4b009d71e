/**
 * Sends requests to the daemons beside other backend servers.
 *
 * @module
 */
import type { Logger } from "@bamboolink/logger";
import { AcknowledgementTimes } from "./acknowledgement_times.ts";
import { steadyMs } from "./clock.ts";
import { ConnectionPool } from "./connection_pool.ts";
import type { ExchangeResult } from "./exchange.ts";
import {
  decodeLoad,
  decodeOutcome,
  encodeWork,
  type LoadReport,
} from "./forward_codec.ts";
import { notRun, type Outcome, unknown, type Work } from "./work.ts";

/** Daemons keep idle connections for longer than this, in milliseconds; see `peer_server.ts`. */
const REUSE_MS = 20_000;

/** What the forwarder needs. */
export interface ForwarderContext {
  readonly logger: Logger;
  /** Called with what another daemon says of its backend server, and when it can't be reached. */
  readonly onLoad: (daemon: string, load: LoadReport) => void;
  readonly onUnreachable: (daemon: string) => void;
}

/** The ways to all other daemons. */
export class Forwarder {
  private readonly pools = new Map<string, ConnectionPool>();
  private readonly acknowledgements = AcknowledgementTimes.create();

  private constructor(private readonly context: ForwarderContext) {}

  /** Creates a forwarder without connections. */
  static create(context: ForwarderContext): Forwarder {
    return new Forwarder(context);
  }

  /** Sends a request to a daemon. It never throws. */
  async forward(
    work: Work,
    to: {
      daemon: string;
      address: string;
      signal: AbortSignal;
      /** Whether the request is better sent elsewhere than left with a daemon that says nothing. */
      mayGiveUp: () => boolean;
    },
  ): Promise<Outcome> {
    const pool = this.poolOf(to.address);
    const nowMs = steadyMs();
    const connection = pool.take({ nowMs, longestIdleMs: REUSE_MS });
    const result = await connection.exchange(
      encodeWork(work, nowMs),
      {
        signal: to.signal,
        nowMs: steadyMs,
        acknowledgeMs: this.acknowledgements.limitMs,
        onAcknowledged: () => this.acknowledgements.note(steadyMs() - nowMs),
        mayGiveUp: to.mayGiveUp,
      },
    );
    if (result.kind !== "answer") {
      pool.discard(connection);
      return this.describeFailure(work, { ...to, result });
    }
    const outcome = decodeOutcome(result);
    if (outcome.isErr()) {
      pool.discard(connection);
      this.context.logger.log("peer_answer_malformed", {
        request_id: work.id,
        cause: outcome.error,
      });
      return unknown("foreign_answer");
    }
    pool.give(connection);
    const load = decodeLoad(result.headers);
    if (load !== undefined) {
      this.context.onLoad(to.daemon, load);
    }
    return outcome.value;
  }

  /** Closes connections that are not needed any more. */
  tick(): void {
    const nowMs = steadyMs();
    this.pools.forEach((pool) =>
      pool.prune({ nowMs, longestIdleMs: REUSE_MS })
    );
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
  }

  private describeFailure(
    work: Work,
    end: {
      daemon: string;
      signal: AbortSignal;
      result: Exclude<ExchangeResult, { kind: "answer" }>;
    },
  ): Outcome {
    const { daemon, signal, result } = end;
    if (signal.aborted) {
      return result.kind === "unsent"
        ? notRun("cancelled")
        : unknown(signal.reason === "deadline" ? "deadline" : "cancelled");
    }
    this.context.logger.log("peer_unreachable", {
      request_id: work.id,
      peer: daemon,
      cause: result.error,
    });
    this.context.onUnreachable(daemon);
    return result.kind === "unsent"
      ? notRun("peer_unreachable")
      : unknown("connection_lost");
  }

  private poolOf(address: string): ConnectionPool {
    const known = this.pools.get(address);
    const pool = known ?? ConnectionPool.create(address);
    this.pools.set(address, pool);
    return pool;
  }
}
