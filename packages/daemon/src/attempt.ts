/**
 * One attempt at a request, and its result.
 *
 * @module
 */
import type { Readable } from "node:stream";
import type { Assignment, Match } from "@bamboolink/routing";
import type { HeaderFields } from "./http_headers.ts";
import type { RequestBody } from "./request_body.ts";
import type { RequestProgress } from "./request_progress.ts";

/** A request that matched a route and is sent to the owner of its key. */
export interface RoutedRequest {
  /** Request id, chosen by the caller or created by the daemon that received it. */
  readonly id: string;
  readonly match: Match;
  readonly method: string;
  readonly url: string;
  /** End-to-end headers of the caller. */
  readonly headers: HeaderFields;
  readonly body: RequestBody;
  /** Deadline on the monotonic clock, in milliseconds. */
  readonly deadlineMs: number;
  /** Aborted when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
  /** Where the request is at the moment, for the log. */
  readonly progress: RequestProgress;
}

/** Why a request was not run. These values are sent to callers. */
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

/** Why it is unknown whether a request ran. These values are sent to callers. */
export type UnknownReason =
  | "deadline"
  | "connection_lost"
  | "no_stored_answer"
  | "before_tenure"
  | "before_memory"
  | "cancelled";

/** Result of an attempt: a response, or the reason why there is none. */
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

/** Reasons after which a later lookup in the assignment table may return another owner. */
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

/** Whether a request was refused because of the ownership of its key, so that a retry may reach another owner. */
export function isOwnershipReason(reason: string): boolean {
  return OWNERSHIP_REASONS.has(reason);
}

/** Creates the result of a request that was not run; `waitMs` is the shortest useful delay before a retry. */
export function notRun(
  reason: NotRunReason,
  message: string,
  options: { waitMs: number } = { waitMs: 0 },
): AttemptResult {
  return { kind: "not_run", reason, message, waitMs: options.waitMs };
}

/** Creates the result of a request that may have run. */
export function unknown(reason: UnknownReason, message: string): AttemptResult {
  return { kind: "unknown", reason, message };
}

/** Where a request can be sent: this daemon's backend server or another daemon. */
export abstract class Destination {
  /** Makes one attempt under the given assignment. Never throws: failures are part of the result. */
  abstract attempt(
    request: RoutedRequest,
    assignment: Assignment,
  ): Promise<AttemptResult>;
}
