/**
 * Port for the protocol between callers and the router: the headers of requests, and the router's own responses.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";

/** Request metadata that a caller sends in addition to method, target and body. */
export interface CallerRequest {
  /** Identifies one attempt of a caller; responses are matched to requests by it. */
  readonly id: string;
  /** How long the caller waits for the response, in milliseconds; `undefined` if it doesn't state a deadline. */
  readonly deadlineMs: number | undefined;
  /** The key, for services whose keys have owners. */
  readonly key: number | undefined;
}

/** A response written by the router itself. */
export interface RouterResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** An outcome that the router itself reports to a caller. */
export type RouterOutcome =
  /** The request has certainly not run, and never will. */
  | {
    readonly kind: "not_run";
    readonly reason: string;
    readonly retryAfterMs: number;
  }
  /** The request may have run. */
  | {
    readonly kind: "unknown";
    readonly reason: string;
    readonly isDeadline: boolean;
  }
  | RouterRejection;

/** The request can't be served as it is: retries, here or elsewhere, would fail, too. */
export type RouterRejection =
  /** No route matches it. */
  | { readonly kind: "no_route" }
  /** Its body exceeds the limit. */
  | { readonly kind: "too_large" }
  /** Its headers, or its target, exceed the limit on headers. */
  | { readonly kind: "headers_too_large" }
  /** Its headers can't be parsed. */
  | { readonly kind: "malformed"; readonly reason: string };

/** The protocol between callers and the router. */
export abstract class CallerProtocol {
  /** Names, in lower case, of headers of callers that are not forwarded to backend servers. */
  abstract readonly reservedHeaders: ReadonlySet<string>;

  /** Parses the metadata in a request's headers; `undefined` if they are malformed. */
  abstract read(headers: IncomingHttpHeaders): CallerRequest | undefined;

  /** Creates the response for an outcome that the router itself reports. */
  abstract write(
    outcome: RouterOutcome,
    requestId: string | undefined,
  ): RouterResponse;

  /** Whether a request to the readiness address is a readiness check. */
  abstract isReadinessCheck(method: string, target: string): boolean;
}
