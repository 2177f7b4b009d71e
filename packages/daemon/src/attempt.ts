/**
 * One attempt at a request, and what became of it.
 *
 * @module
 */
import type { Readable } from "node:stream";
import type { Assignment, Match } from "@bamboolink/routing";
import type { HeaderFields } from "./http_headers.ts";
import type { RequestBody } from "./request_body.ts";

/** A request on its way to its owner. */
export interface RoutedRequest {
  /** Identity of the request. */
  readonly id: string;
  readonly match: Match;
  readonly method: string;
  readonly url: string;
  /** End-to-end headers of the caller. */
  readonly headers: HeaderFields;
  readonly body: RequestBody;
  /** When its time is up, on the monotonic clock. */
  readonly deadlineMs: number;
  /** Aborted when the caller leaves or the time is up. */
  readonly signal: AbortSignal;
}

/** Why a request was not run. The pages for callers list them. */
export type NotRunReason =
  | "no_owner"
  | "not_owner"
  | "owner_unreachable"
  | "backend_unreachable"
  | "fenced"
  | "queue_full"
  | "too_late"
  | "already_running"
  | "stopping"
  | "waiting_full"
  | "no_configuration";

/** Why it is not known whether a request ran. */
export type UnknownReason =
  | "deadline"
  | "connection_lost"
  | "no_stored_answer"
  | "before_tenure"
  | "before_memory"
  | "cancelled";

/** What became of an attempt. */
export type AttemptResult =
  | {
    readonly kind: "answer";
    readonly status: number;
    readonly headers: HeaderFields;
    readonly body: Readable | Uint8Array;
  }
  | {
    readonly kind: "not_run";
    readonly reason: NotRunReason;
    readonly message: string;
    readonly waitMs: number;
  }
  | {
    readonly kind: "invalid";
    readonly status: number;
    readonly message: string;
  }
  | {
    readonly kind: "unknown";
    readonly reason: UnknownReason;
    readonly message: string;
  };

/** Reasons after which a later look at the table may show another owner. */
const OWNERSHIP_REASONS = new Set<string>(
  [
    "no_owner",
    "not_owner",
    "owner_unreachable",
    "backend_unreachable",
    "fenced",
    "stopping",
  ] satisfies NotRunReason[],
);

/** Whether a refusal was about ownership. */
export function isOwnershipReason(reason: string): boolean {
  return OWNERSHIP_REASONS.has(reason);
}

/** Makes the result of a request that was not run. */
export function notRun(
  reason: NotRunReason,
  message: string,
  options: { waitMs: number } = { waitMs: 0 },
): AttemptResult {
  return { kind: "not_run", reason, message, waitMs: options.waitMs };
}

/** Makes the result of a request that may have run. */
export function unknown(reason: UnknownReason, message: string): AttemptResult {
  return { kind: "unknown", reason, message };
}

/** Where a request can be sent: the own backend server or another daemon. */
export abstract class Destination {
  /** Makes one attempt under an assignment. It never throws. */
  abstract attempt(
    request: RoutedRequest,
    assignment: Assignment,
  ): Promise<AttemptResult>;
}
