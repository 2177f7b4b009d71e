/**
 * The one error class of the product and its codes.
 *
 * @module
 */

/**
 * What kind of failure it was. Codes are stable: scripts and alarms may depend on them.
 *
 * - `invalid`: the input does not have the expected shape; nothing was done.
 * - `not_found`: what was asked for does not exist.
 * - `conflict`: somebody else changed the same thing first.
 * - `refused`: the peer said no, and surely did nothing.
 * - `unreachable`: no byte of the request can have reached the peer.
 * - `unknown_effect`: the request may have taken effect; read back before deciding.
 * - `timeout`: the deadline passed.
 * - `overloaded`: a limit was reached; come back later.
 * - `internal`: a fault of bamboolink itself.
 */
export type ErrorCode =
  | "invalid"
  | "not_found"
  | "conflict"
  | "refused"
  | "unreachable"
  | "unknown_effect"
  | "timeout"
  | "overloaded"
  | "internal";

/** Where an error arose. */
export interface ErrorDetails {
  /** The step of the work, in the form `part.step`, for example `store.compare_and_swap`. */
  readonly step: string;
  /** The peer that was being spoken to, usually `address:port`; absent for purely local steps. */
  readonly peer?: string;
  /** The error underneath. */
  readonly cause?: unknown;
}

/** An error that carries its code, its step and its peer. */
export class BamboolinkError extends Error {
  /** The stable kind of the failure. */
  readonly code: ErrorCode;
  /** The step at which it arose. */
  readonly step: string;
  /** The peer at which it arose, if a peer was involved. */
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

  /** Creates an error of the given kind. */
  static create(
    code: ErrorCode,
    message: string,
    details: ErrorDetails,
  ): BamboolinkError {
    return new BamboolinkError(code, message, details);
  }

  /** One line for people: what happened, at which step, with which peer. */
  describe(): string {
    const peer = this.peer === undefined ? "" : ` with ${this.peer}`;
    return `${this.message} (${this.code} at ${this.step}${peer})`;
  }
}

/** Describes whatever was thrown in one line, for logs and messages. */
export function describeCause(cause: unknown): string {
  if (cause instanceof BamboolinkError) {
    return cause.describe();
  }
  if (cause instanceof Error) {
    const code = (cause as NodeJS.ErrnoException).code;
    return code === undefined ? cause.message : `${cause.message} [${code}]`;
  }
  return String(cause);
}
