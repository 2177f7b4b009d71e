/**
 * A request on its way from a caller to a backend server, and its possible outcomes.
 *
 * @module
 */
import type { Cancellation } from "./cancellation.ts";
import type { ResponseHeaders } from "../backend/exchange.ts";

/**
 * A request to be sent to a backend server. Times are in milliseconds on the monotonic clock of the daemon that
 * processes it.
 */
export interface RoutedRequest {
  readonly id: string;
  readonly service: string;
  /** Name of the route; requests of one route have similar service times. */
  readonly route: string;
  /** Urgency; 0 is the most urgent. */
  readonly rank: number;
  readonly isIdempotent: boolean;
  readonly key: number | undefined;
  /** The service on the host where the caller sent the request. */
  readonly callerService: string;
  /** When its latency objective ends. */
  readonly objectiveAtMs: number;
  /** When its caller no longer needs its response. */
  readonly deadlineAtMs: number;
  /** Whether other requests are pipelined behind it on its caller's connection. */
  readonly blocksOthers: boolean;
  /** Number of connections to backend servers that broke while it was running, in this attempt of its caller. */
  readonly brokenConnections: number;
  readonly method: string;
  readonly target: string;
  /** Headers to forward, as alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
}

/** Why a request has not run. Sent between daemons and to callers. */
export type RefusalReason =
  /** The daemon has no configuration yet. */
  | "no_configuration"
  /** Its rejection depends on a configuration that the daemon can't confirm to be current. */
  | "unconfirmed_configuration"
  /** Its route or its service is in a row of the configuration that can't be decoded. */
  | "unreadable_configuration"
  /** No backend server of its service is available. */
  | "no_backend"
  /** The key has no owner at present. */
  | "no_owner"
  /** The daemon's backend server doesn't own the key. */
  | "not_owner"
  /** The backend server is draining. */
  | "draining"
  /** Operators have evacuated the backend server's availability zone. */
  | "evacuated"
  /** The daemon is stopping. */
  | "stopping"
  /** It can't be served before its deadline. */
  | "too_late"
  /** The backend server takes a limited rate of requests, and this one would start too late. */
  | "rate_limited"
  /** The network link of the backend server's host can't take its body in time. */
  | "link_busy"
  /** There is no capacity to serve it while its response is still useful. */
  | "overloaded"
  | "queue_full"
  /** The backend server's daemon is unreachable. */
  | "peer_unreachable"
  | "backend_unreachable"
  /** The backend server reported that it has not run it. */
  | "not_executed"
  /** It is quarantined because backend servers crashed while running it. */
  | "quarantined"
  | "cancelled";

/** Why it is unknown whether a request has run. Sent between daemons and to callers. */
export type UnknownReason =
  | "deadline"
  /** The link to the backend server's daemon broke. */
  | "connection_lost"
  /** The connection to the backend server broke, perhaps in the middle of a response. */
  | "backend_lost"
  | "foreign_answer"
  | "cancelled";

/** Outcome of one attempt at a request. */
export type Outcome =
  | {
    readonly kind: "answer";
    readonly status: number;
    /** Headers to forward to the caller. */
    readonly headers: ResponseHeaders;
    readonly body: Buffer;
    /**
     * Whether the body is known to be complete. Daemons of earlier versions report false for responses that are
     * delimited by the end of their connection.
     */
    readonly isComplete: boolean;
  }
  | {
    readonly kind: "not_run";
    readonly reason: RefusalReason;
    /** Estimated time until there may be capacity, in milliseconds. */
    readonly waitMs: number;
    /** Whether the request reached the backend server, which then rejected it. */
    readonly hasArrived: boolean;
  }
  | { readonly kind: "unknown"; readonly reason: UnknownReason };

/** Creates the outcome of a request that has certainly not run. */
export function notRun(
  reason: RefusalReason,
  options: { waitMs?: number; hasArrived?: boolean } = {},
): Outcome {
  const { waitMs = 0, hasArrived = false } = options;
  return { kind: "not_run", reason, waitMs, hasArrived };
}

/** Creates the outcome of a request that may have run. */
export function unknown(reason: UnknownReason): Outcome {
  return { kind: "unknown", reason };
}

/** Destination of a request: the local backend server, or another daemon. */
export abstract class Destination {
  /** Makes one attempt and returns its outcome. It never throws. */
  abstract attempt(
    request: RoutedRequest,
    cancellation: Cancellation,
  ): Promise<Outcome>;
}
