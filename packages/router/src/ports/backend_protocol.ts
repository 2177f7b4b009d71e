/**
 * Port to the protocol of backend servers: requests to them, and their heartbeats and departures.
 *
 * @module
 */
import type { BamboolinkError } from "@bamboolink/errors";
import type {
  Grant,
  GrantLimit,
  HeldRange,
  Incarnation,
  ReleasedRange,
} from "@bamboolink/keyspace";
import type { Result } from "neverthrow";

/** What a request to a backend server carries in addition to the caller's own headers. */
export interface DispatchDetails {
  readonly remainingMs: number;
  /** Instance id of the only backend server that may run the request. */
  readonly instance: string;
  /** The service on the host from which the request was sent. */
  readonly callerService: string;
}

/** Classification of a response of a backend server. */
export type ResponseVerdict =
  /** The response to the request. */
  | "answer"
  /** The backend server has not run the request, and its response states so. */
  | "not_executed"
  /** Another incarnation or another server responded at the address; it has not run the request. */
  | "wrong_instance"
  /** The response to another request or to none, or one that the backend server itself did not make. */
  | "foreign";

/** A limit that a backend server advertises in a response, in requests per second from all hosts together. */
export type RateLimitHeader =
  | { readonly kind: "absent" }
  | { readonly kind: "stated"; readonly perSecond: number }
  | { readonly kind: "unreadable"; readonly text: string };

/** The load that a backend server states in a response. */
export type ServerLoadHeader =
  | { readonly kind: "absent" }
  | {
    readonly kind: "stated";
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** How much longer than usual work takes: 1 is usual, 3 three times as long. */
    readonly slowness: number;
  }
  | { readonly kind: "unreadable"; readonly text: string };

/** What a backend server states about itself in a response. */
export interface BackendStatus {
  readonly rateLimit: RateLimitHeader;
  readonly load: ServerLoadHeader;
  /** Whether it is about to shut down. */
  readonly isLeaving: boolean;
}

/** A heartbeat of the backend server on this host. */
export interface BackendHeartbeat extends Incarnation {
  readonly kind: "heartbeat";
  readonly sequence: number;
  readonly service: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Remaining time for which the server is slow after its start, in milliseconds. */
  readonly coldMs: number;
  readonly holds: readonly HeldRange[];
  readonly freed: readonly ReleasedRange[];
}

/** Notification that the backend server is draining. */
export interface BackendDeparture extends Incarnation {
  readonly kind: "departure";
}

/** A notification from a backend server about its state. */
export type BackendNotification = BackendHeartbeat | BackendDeparture;

/** Protocol between the router and backend servers. */
export abstract class BackendProtocol {
  /** Returns the headers of a request as alternating names and values. */
  abstract requestHeaders(details: DispatchDetails): string[];

  /**
   * Classifies the response to a request by its status and headers.
   *
   * @param connection `hasCarriedOne`: whether no other request was sent on it, so that a response without an id can only
   *   belong to this one. On others it may be a late repetition of an earlier response.
   */
  abstract classifyResponse(
    response: {
      status: number;
      headers: Readonly<Record<string, string | string[] | undefined>>;
    },
    requestId: string,
    connection: { readonly hasCarriedOne: boolean },
  ): ResponseVerdict;

  /**
   * Reads what a backend server states about itself in a response to a request; `undefined` if the response may come
   * from another incarnation than the one that the request was sent to.
   */
  abstract readStatus(
    response: {
      status: number;
      headers: Readonly<Record<string, string | string[] | undefined>>;
    },
  ): BackendStatus | undefined;

  /** Returns the incarnation that responded to a health check, if the response states it. */
  abstract readIncarnation(
    response: {
      headers: Readonly<Record<string, string | string[] | undefined>>;
      body: Buffer;
    },
  ): Incarnation | undefined;

  /** Parses a notification from a backend server. */
  abstract parseNotification(
    method: string,
    target: string,
    body: string,
  ): Result<BackendNotification, BamboolinkError>;

  /** What the acknowledgement of a heartbeat can hold; a backend server takes a larger one for none. */
  abstract readonly grantLimit: GrantLimit;

  /** Encodes the acknowledgement of a heartbeat; `undefined` grants nothing and renews no hold. */
  abstract encodeAcknowledgement(grant: Grant | undefined): string;
}
