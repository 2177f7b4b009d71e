/**
 * How callers say what they want, and are told what became of it.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";

/** What a caller says of its request beside method, target and body. */
export interface CallerRequest {
  /** Names one attempt of a caller; answers are matched by it. */
  readonly id: string;
  /** How long the caller waits, in milliseconds. */
  readonly deadlineMs: number | undefined;
  /** The key, for services whose keys have owners. */
  readonly key: number | undefined;
}

/** An answer of the router's own. */
export interface RouterResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** What the router itself has to say of a request. */
export type RouterOutcome =
  /** It surely has not run and never will. */
  | {
    readonly kind: "not_run";
    readonly reason: string;
    readonly retryAfterMs: number;
  }
  /** It may have run. */
  | {
    readonly kind: "unknown";
    readonly reason: string;
    readonly isDeadline: boolean;
  }
  | RouterRejection;

/** The request can't be served as it is, here or elsewhere, now or later. */
export type RouterRejection =
  /** No route leads anywhere. */
  | { readonly kind: "no_route" }
  /** It is larger than allowed. */
  | { readonly kind: "too_large" }
  /** It can't be understood. */
  | { readonly kind: "malformed"; readonly reason: string };

/** How callers speak with the router. */
export abstract class CallerProtocol {
  /** Headers, in lower case, that a caller must not pass on to a backend server. */
  abstract readonly reservedHeaders: ReadonlySet<string>;

  /** Reads what a caller says; `undefined` if it can't be understood. */
  abstract read(headers: IncomingHttpHeaders): CallerRequest | undefined;

  /** Writes an answer of the router's own. */
  abstract write(
    outcome: RouterOutcome,
    requestId: string | undefined,
  ): RouterResponse;

  /** Whether a request to the readiness address asks for readiness. */
  abstract isReadinessCheck(method: string, target: string): boolean;
}
