/**
 * The error class of bamboolink and its error codes.
 *
 * @module
 */

/**
 * Kind of a failure. Codes are stable: scripts and alerts may depend on them.
 *
 * - `invalid`: the input does not have the expected shape; nothing was done.
 * - `not_found`: the requested item does not exist.
 * - `conflict`: a concurrent change of the same item came first.
 * - `superseded`: the guard of a write has changed, so neither this write nor an earlier attempt of it can take effect.
 * - `refused`: the peer rejected the request, which certainly had no effect.
 * - `unreachable`: no byte of the request can have reached the peer.
 * - `unknown_effect`: the request may have taken effect; read the current state before deciding.
 * - `timeout`: the deadline passed.
 * - `overloaded`: a limit was reached; retry later.
 * - `internal`: a fault in bamboolink itself.
 */
export type ErrorCode =
  | "invalid"
  | "not_found"
  | "conflict"
  | "superseded"
  | "refused"
  | "unreachable"
  | "unknown_effect"
  | "timeout"
  | "overloaded"
  | "internal";

/** Where an error occurred. */
export interface ErrorDetails {
  /** The operation that failed, in the form `component.operation`, for example `store.compare_and_swap`. */
  readonly step: string;
  /** The remote peer, usually as `address:port`; absent for purely local steps. */
  readonly peer?: string;
  /** The underlying error. */
  readonly cause?: unknown;
}

/** An error with a stable code, the step at which it occurred and the peer involved. */
export class BamboolinkError extends Error {
  /** Kind of the failure. */
  readonly code: ErrorCode;
  /** The operation that failed, in the form `component.operation`. */
  readonly step: string;
  /** The remote peer, if one was involved. */
  readonly peer: string | undefined;

  private constructor(code: ErrorCode, message: string, details: ErrorDetails) {
    super(
      message,
      details.cause === undefined ? undefined : { cause: details.cause },
    );
    this.name = "BamboolinkError";
    this.code = code;
    this.step = details.step;
    this.peer = details.peer;
  }

  /** Creates an error with the given code, message and origin. */
  static create(
    code: ErrorCode,
    message: string,
    details: ErrorDetails,
  ): BamboolinkError {
    return new BamboolinkError(code, message, details);
  }

  /** Returns one line with the message, the code, the step and the peer, if any. */
  describe(): string {
    const peer = this.peer === undefined ? "" : ` with ${this.peer}`;
    return `${this.message} (${this.code} at ${this.step}${peer})`;
  }
}

/** Describes any thrown value in one line, for log lines and messages. */
export function describeCause(cause: unknown): string {
  if (cause instanceof BamboolinkError) {
    return cause.describe();
  }
  if (cause instanceof Error) {
    const code = (cause as NodeJS.ErrnoException).code;
    return code === undefined ? cause.message : `${cause.message} [${code}]`;
  }
  try {
    return String(cause);
  } catch {
    // An object without a text form, or an array that is nested more deeply than the stack allows.
    return `a thrown ${typeof cause}`;
  }
}
