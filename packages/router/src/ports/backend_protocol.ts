/**
 * How backend servers are given requests, and what they say of themselves.
 *
 * @module
 */
import type { BamboolinkError } from "@bamboolink/errors";
import type {
  FreedRange,
  Grant,
  HeldRange,
  Incarnation,
} from "@bamboolink/keyspace";
import type { Result } from "neverthrow";

/** What a request to a backend server carries beside the caller's own headers. */
export interface DispatchDetails {
  readonly remainingMs: number;
  /** The id of the only server that may run the request. */
  readonly instance: string;
  /** The service on the host where the request began. */
  readonly callerService: string;
}

/** How an answer of a backend server is to be taken. */
export type ResponseVerdict =
  /** The answer to the request. */
  | "answer"
  /** The backend server says that it has not run the request. */
  | "not_executed"
  /** Another incarnation, or another server, is at the address; it has not run the request. */
  | "wrong_instance"
  /** The answer to another request, or to none. */
  | "foreign";

/** A heartbeat of the backend server on this host. */
export interface BackendHeartbeat extends Incarnation {
  readonly kind: "heartbeat";
  readonly sequence: number;
  readonly service: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** For how long it remains slow after its start, in milliseconds. */
  readonly coldMs: number;
  readonly holds: readonly HeldRange[];
  readonly freed: readonly FreedRange[];
}

/** The backend server leaves. */
export interface BackendDeparture extends Incarnation {
  readonly kind: "departure";
}

/** What a backend server says of itself. */
export type BackendNotification = BackendHeartbeat | BackendDeparture;

/** How backend servers speak with the router. */
export abstract class BackendProtocol {
  /** Headers for a request, as names and values in turn. */
  abstract requestHeaders(details: DispatchDetails): string[];

  /** Judges an answer by its status and headers. */
  abstract classifyResponse(
    answer: {
      status: number;
      headers: Readonly<Record<string, string | string[] | undefined>>;
    },
    requestId: string,
  ): ResponseVerdict;

  /** The incarnation that answered a health check, if it says so. */
  abstract readIncarnation(
    answer: {
      headers: Readonly<Record<string, string | string[] | undefined>>;
      body: Buffer;
    },
  ): Incarnation | undefined;

  /** Reads what a backend server says of itself. */
  abstract parseNotification(
    method: string,
    target: string,
    body: string,
  ): Result<BackendNotification, BamboolinkError>;

  /** Writes the acknowledgement of a heartbeat; `undefined` grants nothing and renews nothing. */
  abstract encodeAcknowledgement(grant: Grant | undefined): string;
}
