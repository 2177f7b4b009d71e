/**
 * The HTTP headers and outcomes that bamboolink adds. The pages for callers and for authors of
 * backend servers describe them.
 *
 * @module
 */

/** Names of the headers, in lower case as Node's `http` reports them. */
export const HEADERS = {
  /** Outcome of the request, to callers. */
  outcome: "bamboolink-outcome",
  /** Why a request was not done, one short word, to callers. */
  reason: "bamboolink-reason",
  /** Identity of the request; taken from the caller or made. */
  requestId: "bamboolink-request-id",
  /** Address of the owner's daemon, so that the next request for the key can go there directly. */
  owner: "bamboolink-owner",
  /** Milliseconds that are left of the request's time, from callers and to backend servers. */
  deadlineMs: "bamboolink-deadline-ms",
  /** A caller's own name for one logical request, kept over its resends. */
  idempotencyKey: "idempotency-key",
  /** Partition of the key, to backend servers. */
  partition: "bamboolink-partition",
  /** Fencing token of the assignment under which the request is handed over, to backend servers. */
  fencingToken: "bamboolink-fencing-token",
  /** Reading of CLOCK_MONOTONIC, in milliseconds, after which the grant has ended. */
  grantExpires: "bamboolink-grant-expires",
  /** `1` in an answer of a backend server that refused a token or an expired grant and ran nothing. */
  fenced: "bamboolink-fenced",
  /** `1` where the caller says that it has not sent this request before. */
  firstAttempt: "bamboolink-first-attempt",
  /** Marks a request that one daemon forwards to another: the forwarder's session. */
  forwardedBy: "bamboolink-forwarded-by",
} as const;

/**
 * What became of a request.
 *
 * - `done`: the backend server answered, and this is its whole answer.
 * - `not_run`: refused before any byte can have reached a backend server.
 * - `unknown`: it may or may not have run.
 * - `cancelled`: the caller gave up, and the backend server was told.
 */
export type Outcome = "done" | "not_run" | "unknown" | "cancelled";

/** Body of every answer that bamboolink makes itself, as `application/json`. */
export interface OutcomeBody {
  readonly outcome: Outcome;
  readonly reason: string;
  readonly message: string;
  readonly request_id: string;
  /** When to come back, in milliseconds; absent where coming back would not help. */
  readonly retry_after_ms?: number;
}
