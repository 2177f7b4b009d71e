/**
 * Sends requests to the backend server on this host, which owns their keys.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { Readable } from "node:stream";
import { finished } from "node:stream/promises";
import { type AttemptClaim, readFirstSentMs } from "@bamboolink/admission";
import type { Assignment } from "@bamboolink/routing";
import { HEADERS } from "@bamboolink/types";
import type { Dispatcher } from "undici";
import {
  type AttemptResult,
  Destination,
  notRun,
  type RoutedRequest,
  unknown,
} from "./attempt.ts";
import type { BackendConnection } from "./backend_connection.ts";
import { monotonicMs, wallClockMs } from "./clock.ts";
import { isConnectFailure } from "./connection_errors.ts";
import { readSingleHeader, selectEndToEndHeaders } from "./http_headers.ts";
import type { LocalSession } from "./local_session.ts";
import type { SlotLimiter } from "./slot_limiter.ts";

/** Larger responses to non-idempotent requests are not stored for retries. */
const MAX_STORED_RESPONSE_BYTES = 16_384;
/** How far a caller's wall clock may be ahead of this host's. */
const MAX_CLOCK_SKEW_MS = 5_000;

/** Dependencies of the dispatcher. */
export interface BackendDispatcherContext {
  readonly session: () => LocalSession | undefined;
  readonly backend: BackendConnection;
  readonly slotLimiter: SlotLimiter;
}

/**
 * Makes attempts on the backend server of this host: checks the right to serve the key, claims the idempotency key of
 * a non-idempotent request, waits for a slot and sends the request with the fencing token of its assignment.
 */
export class BackendDispatcher extends Destination {
  private lastSlotId = 0;

  private constructor(private readonly context: BackendDispatcherContext) {
    super();
  }

  static create(context: BackendDispatcherContext): BackendDispatcher {
    return new BackendDispatcher(context);
  }

  override async attempt(
    request: RoutedRequest,
    assignment: Assignment,
  ): Promise<AttemptResult> {
    const session = this.context.session();
    if (session === undefined || !session.mayServe(assignment, monotonicMs())) {
      return notRun("not_owner", "this daemon may not serve the key");
    }
    const claim = this.claim(request, { session, assignment });
    if (claim.kind === "refused") {
      return claim.result;
    }
    const result = await this.admit(request, { session, assignment });
    return claim.name === undefined
      ? result
      : await storeResponse(result, { session, name: claim.name });
  }

  /** Claims the right to run a non-idempotent request that has an idempotency key; other requests need no claim. */
  private claim(
    request: RoutedRequest,
    owner: { session: LocalSession; assignment: Assignment },
  ): { kind: "claimed"; name: string | undefined } | {
    kind: "refused";
    result: AttemptResult;
  } {
    const idempotencyKey = readSingleHeader(
      request.headers,
      HEADERS.idempotencyKey,
    );
    if (request.match.operation.idempotent || idempotencyKey === undefined) {
      return { kind: "claimed", name: undefined };
    }
    const nowMs = wallClockMs();
    const firstSentMs = readFirstSentMs(idempotencyKey);
    if (firstSentMs === undefined || firstSentMs > nowMs + MAX_CLOCK_SKEW_MS) {
      const message =
        `header ${HEADERS.idempotencyKey}: expected a UUID of version 7 that is not from the future`;
      return {
        kind: "refused",
        result: { kind: "invalid", status: 400, message },
      };
    }
    const name =
      `${request.match.service.name}\n${request.match.key}\n${idempotencyKey}`;
    const claim = owner.session.idempotency.claim({
      idempotencyKey: name,
      fingerprint: fingerprintOf(request),
      firstSentMs,
      firstAttempt: request.headers[HEADERS.firstAttempt] === "1",
    }, {
      nowMs,
      leaseStartedAtMs: owner.session.leaseStartedAtMs(owner.assignment),
    });
    return claim.kind === "run"
      ? { kind: "claimed", name }
      : { kind: "refused", result: toClaimResult(claim) };
  }

  private async admit(
    request: RoutedRequest,
    owner: { session: LocalSession; assignment: Assignment },
  ): Promise<AttemptResult> {
    const { slotLimiter } = this.context;
    // Callers choose the request id and may use one twice, so slots have ids of their own.
    this.lastSlotId += 1;
    const slot = {
      id: String(this.lastSlotId),
      priority: request.match.operation.priority,
      deadlineMs: request.deadlineMs,
    };
    request.progress.enter("slot", monotonicMs());
    const outcome = await slotLimiter.acquire(slot, request.signal);
    switch (outcome.kind) {
      case "cancelled":
        return notRun(
          "too_late",
          "the time was up or the caller left before a slot was free",
        );
      case "refuse":
        return notRun(
          outcome.reason,
          "the backend server has no slot in time",
          { waitMs: outcome.waitMs },
        );
      case "run":
        return await this.dispatch(request, { ...owner, slot: slot.id });
    }
  }

  /**
   * Sends the request to the backend server. Once it is being sent, a failure other than a failed connect is reported
   * as unknown, as bytes may have arrived.
   */
  private async dispatch(
    request: RoutedRequest,
    owner: { session: LocalSession; assignment: Assignment; slot: string },
  ): Promise<AttemptResult> {
    const { session, assignment, slot } = owner;
    const { slotLimiter, backend } = this.context;
    const startedMs = monotonicMs();
    // The lease or the assignment may have ended during the wait for a slot, and the process may have been paused, so
    // both are checked again just before sending.
    const mayServe = session.mayServe(assignment, startedMs) &&
      session.mayRunFor(request.deadlineMs - startedMs);
    if (!mayServe || backend.connections === undefined) {
      slotLimiter.release(slot);
      return notRun("not_owner", "this daemon may not serve the key any more");
    }
    request.progress.enter("backend_server", startedMs);
    session.releases.beginRequest(assignment);
    const finish = (tookMs?: number) => {
      slotLimiter.release(slot, tookMs);
      session.releases.endRequest(assignment);
    };
    try {
      const response = await backend.connections.request(
        this.createBackendRequest(request, { ...owner, startedMs }),
      );
      if (response.headers[HEADERS.fenced] === "1") {
        await response.body.dump();
        finish();
        return notRun(
          "fenced",
          "the backend server refused the fencing token or the grant",
        );
      }
      finished(response.body).then(
        () => finish(monotonicMs() - startedMs),
        () => finish(),
      );
      return {
        kind: "answer",
        status: response.statusCode,
        headers: selectEndToEndHeaders(response.headers),
        body: response.body,
      };
    } catch (cause) {
      finish();
      return toFailureResult(cause, request.signal);
    }
  }

  private createBackendRequest(
    request: RoutedRequest,
    owner: { session: LocalSession; assignment: Assignment; startedMs: number },
  ): Dispatcher.RequestOptions {
    const { session, assignment } = owner;
    const expiresMs = Math.min(session.validUntilMs, request.deadlineMs);
    return {
      path: request.url,
      method: request.method as Dispatcher.HttpMethod,
      headers: {
        ...request.headers,
        [HEADERS.requestId]: request.id,
        [HEADERS.partition]: String(assignment.partition),
        [HEADERS.fencingToken]: String(assignment.token),
        [HEADERS.grantExpires]: String(Math.floor(expiresMs)),
        [HEADERS.deadlineMs]: String(
          Math.max(1, Math.floor(request.deadlineMs - owner.startedMs)),
        ),
      },
      body: request.body.open(),
      signal: request.signal,
    };
  }
}

/** Fingerprint of the request's content, so that an idempotency key used for a different request is detected. */
function fingerprintOf(request: RoutedRequest): string {
  const hash = createHash("sha1").update(`${request.method} ${request.url}\n`);
  const body = request.body.isReplayable ? request.body.open() : null;
  return (body instanceof Uint8Array ? hash.update(body) : hash).digest(
    "base64",
  );
}

function toClaimResult(
  claim: Exclude<AttemptClaim, { kind: "run" }>,
): AttemptResult {
  switch (claim.kind) {
    case "running":
      return notRun(
        "already_running",
        "the first attempt of this request still runs",
        { waitMs: 200 },
      );
    case "answer":
      return {
        kind: "answer",
        status: claim.response.status,
        headers: { ...claim.response.headers },
        body: claim.response.body,
      };
    case "unknown":
      return unknown(
        claim.reason,
        "an earlier attempt of this request may have run",
      );
    case "different":
      return {
        kind: "invalid",
        status: 422,
        message: "this idempotency key belongs to another request",
      };
  }
}

/** Stores the response for retries; a response that is too large or incomplete is recorded as unknown. */
async function storeResponse(
  result: AttemptResult,
  claim: { session: LocalSession; name: string },
): Promise<AttemptResult> {
  const { idempotency } = claim.session;
  if (result.kind === "not_run" || result.kind === "invalid") {
    idempotency.release(claim.name);
    return result;
  }
  if (result.kind === "unknown") {
    idempotency.recordUnknown(claim.name);
    return result;
  }
  const declared = Number(result.headers["content-length"] ?? Infinity);
  if (
    !(result.body instanceof Readable) || declared > MAX_STORED_RESPONSE_BYTES
  ) {
    idempotency.recordUnknown(claim.name);
    return result;
  }
  try {
    const chunks = await result.body.toArray() as Buffer[];
    const body = Buffer.concat(chunks);
    idempotency.recordResponse(claim.name, {
      status: result.status,
      headers: result.headers,
      body,
    });
    return { ...result, body };
  } catch {
    idempotency.recordUnknown(claim.name);
    return unknown(
      "connection_lost",
      "the backend server's answer ended early",
    );
  }
}

function toFailureResult(cause: unknown, signal: AbortSignal): AttemptResult {
  if (isConnectFailure(cause)) {
    return notRun(
      "backend_unreachable",
      "the backend server can't be reached",
    );
  }
  return signal.aborted
    ? unknown(
      "deadline",
      "the time was up before the backend server answered",
    )
    : unknown("connection_lost", "the connection to the backend server broke");
}
