/**
 * A request on its way through the router, and what becomes of it.
 *
 * @module
 */
import type { Cancellation } from "./cancellation.ts";
import type { ResponseHeaders } from "./exchange.ts";

/** A request on its way to a backend server. Times are on the steady clock of the holding daemon. */
export interface RoutedRequest {
  readonly id: string;
  readonly service: string;
  /** Name of the route; requests of one route take about the same time. */
  readonly route: string;
  readonly rank: number;
  readonly isIdempotent: boolean;
  readonly key: number | undefined;
  /** The service on the host where the request began. */
  readonly callerService: string;
  readonly objectiveAtMs: number;
  readonly deadlineAtMs: number;
  /** Whether it may be served late; not if others wait behind it on its caller's connection. */
  readonly mayEndLate: boolean;
  /** How many connections to backend servers broke under it before, in this attempt of its caller. */
  readonly brokenConnections: number;
  readonly method: string;
  readonly target: string;
  /** Headers to pass on, names and values in turn. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
}

/** Why a request has not run. */
export type RefusalReason =
  /** The daemon has no configuration yet. */
  | "no_configuration"
  /** Nobody is there to run it. */
  | "no_backend"
  /** The key has no owner at present. */
  | "no_owner"
  /** The daemon's backend server does not own the key. */
  | "not_owner"
  /** The backend server leaves. */
  | "draining"
  /** Operators have the backend server's availability zone get no work. */
  | "evacuated"
  /** The daemon stops. */
  | "stopping"
  /** It can't be done before the deadline. */
  | "too_late"
  /** It can't be done while it is worth doing. */
  | "overloaded"
  | "queue_full"
  /** The daemon beside the backend server can't be reached. */
  | "peer_unreachable"
  | "backend_unreachable"
  /** The backend server said that it has not run it. */
  | "not_executed"
  /** Backend servers ended under it, and it is kept from them for now. */
  | "quarantined"
  | "cancelled";

/** Why it is not known whether a request has run. */
export type UnknownReason =
  | "deadline"
  /** The link to the daemon beside the backend server. */
  | "connection_lost"
  /** The backend server's own connection: it has ended, or has broken off its answer. */
  | "backend_lost"
  | "foreign_answer"
  | "cancelled";

/** What became of a request at one backend server. */
export type Outcome =
  | {
    readonly kind: "answer";
    readonly status: number;
    /** Those that pass on to the caller. */
    readonly headers: ResponseHeaders;
    readonly body: Buffer;
    /** Whether the backend server said where its answer ends. */
    readonly isFramed: boolean;
  }
  | {
    readonly kind: "not_run";
    readonly reason: RefusalReason;
    /** Until there may be room, in milliseconds. */
    readonly waitMs: number;
    /** Whether the request had arrived at the backend server, which then said no. */
    readonly hasArrived: boolean;
  }
  | { readonly kind: "unknown"; readonly reason: UnknownReason };

/** Makes the outcome of a request that has not run. */
export function notRun(
  reason: RefusalReason,
  options: { waitMs?: number; hasArrived?: boolean } = {},
): Outcome {
  const { waitMs = 0, hasArrived = false } = options;
  return { kind: "not_run", reason, waitMs, hasArrived };
}

/** Makes the outcome of a request that may have run. */
export function unknown(reason: UnknownReason): Outcome {
  return { kind: "unknown", reason };
}

/** Where a request can be sent: the own backend server, or another daemon. */
export abstract class Destination {
  /** Makes one attempt. It never throws. */
  abstract attempt(
    work: RoutedRequest,
    cancellation: Cancellation,
  ): Promise<Outcome>;
}
