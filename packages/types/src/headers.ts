/**
 * The HTTP headers and outcomes that bamboolink adds to requests and responses. The documentation for
 * callers and for authors of backend servers describes them.
 *
 * @module
 */

/** Header names, in lower case as in the `headers` of Node's `http`. */
export const HEADERS = {
  /** To callers: the outcome of the request. */
  outcome: "bamboolink-outcome",
  /** To callers: a one-word reason why the request was not done. */
  reason: "bamboolink-reason",
  /** Id of the request, taken from the caller or else generated. */
  requestId: "bamboolink-request-id",
  /** To callers: address of the owner's daemon, to which the next request for the key can be sent directly. */
  owner: "bamboolink-owner",
  /** From callers and to backend servers: milliseconds until the deadline of the request. */
  deadlineMs: "bamboolink-deadline-ms",
  /** From callers: the caller's id of one logical request, the same in all its retries. */
  idempotencyKey: "idempotency-key",
  /** To backend servers: the partition of the key. */
  partition: "bamboolink-partition",
  /** To backend servers: fencing token of the assignment under which the request is dispatched. */
  fencingToken: "bamboolink-fencing-token",
  /** To backend servers: expiry of the grant as a reading of CLOCK_MONOTONIC, in milliseconds. */
  grantExpires: "bamboolink-grant-expires",
  /** `1` in the response of a backend server that rejected a token or an expired grant and ran nothing. */
  fenced: "bamboolink-fenced",
  /** From callers: `1` if the caller has not sent this request before. */
  firstAttempt: "bamboolink-first-attempt",
  /** Marks a request that one daemon forwards to another; holds the session of the forwarding daemon. */
  forwardedBy: "bamboolink-forwarded-by",
} as const;

/**
 * Outcome of a request.
 *
 * - `done`: the backend server responded, and this is its complete response.
 * - `not_run`: the request was refused before any byte can have reached a backend server.
 * - `unknown`: the request may or may not have run.
 * - `cancelled`: the caller cancelled the request, and the backend server was notified.
 */
export type Outcome = "done" | "not_run" | "unknown" | "cancelled";

/** Body of every response that bamboolink itself generates, as `application/json`. */
export interface OutcomeBody {
  readonly outcome: Outcome;
  readonly reason: string;
  readonly message: string;
  readonly request_id: string;
  /** Delay before a retry, in milliseconds; absent if a retry would not help. */
  readonly retry_after_ms?: number;
}
