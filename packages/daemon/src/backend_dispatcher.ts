/**
 * Hands requests to the backend server on this host, as the owner of their keys.
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
import { isNeverConnected } from "./connection_errors.ts";
import { readSingle, selectEndToEnd } from "./http_headers.ts";
import type { LocalSession } from "./local_session.ts";
import type { SlotGate } from "./slot_gate.ts";

/** Answers of non-idempotent requests are kept for resends up to this size, in bytes. */
const KEPT_ANSWER_BYTES = 16_384;
/** Wall clocks of callers may be this much ahead, in milliseconds. */
const FUTURE_KEY_MS = 5_000;

/** What the dispatcher needs. */
export interface BackendDispatcherContext {
  readonly session: () => LocalSession | undefined;
  readonly backend: BackendConnection;
  readonly gate: SlotGate;
}

/** The backend server on this host. */
export class BackendDispatcher extends Destination {
  private slots = 0;

  private constructor(private readonly context: BackendDispatcherContext) {
    super();
  }

  /** Creates a dispatcher. */
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
      : await keepAnswer(result, { session, name: claim.name });
  }

  /** Claims the right to run a non-idempotent request that names itself. */
  private claim(
    request: RoutedRequest,
    owner: { session: LocalSession; assignment: Assignment },
  ): { kind: "claimed"; name: string | undefined } | {
    kind: "refused";
    result: AttemptResult;
  } {
    const key = readSingle(request.headers, HEADERS.idempotencyKey);
    if (request.match.operation.idempotent || key === undefined) {
      return { kind: "claimed", name: undefined };
    }
    const nowMs = wallClockMs();
    const firstSentMs = readFirstSentMs(key);
    if (firstSentMs === undefined || firstSentMs > nowMs + FUTURE_KEY_MS) {
      const message =
        `header ${HEADERS.idempotencyKey}: expected a UUID of version 7 that is not from the future`;
      return {
        kind: "refused",
        result: { kind: "invalid", status: 400, message },
      };
    }
    const name = `${request.match.service.name}\n${request.match.key}\n${key}`;
    const claim = owner.session.idempotency.claim({
      name,
      fingerprint: fingerprintOf(request),
      firstSentMs,
      firstAttempt: request.headers[HEADERS.firstAttempt] === "1",
    }, {
      nowMs,
      tenureSinceMs: owner.session.leaseStartedAtMs(owner.assignment),
    });
    return claim.kind === "run"
      ? { kind: "claimed", name }
      : { kind: "refused", result: describeClaim(claim) };
  }

  private async admit(
    request: RoutedRequest,
    owner: { session: LocalSession; assignment: Assignment },
  ): Promise<AttemptResult> {
    const { gate } = this.context;
    // Callers choose the identity of a request and may use one twice; a slot has one of its own.
    this.slots += 1;
    const slot = {
      id: String(this.slots),
      priority: request.match.operation.priority,
      deadlineMs: request.deadlineMs,
    };
    const outcome = await gate.enter(slot, request.signal);
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
        return await this.handOver(request, { ...owner, slot: slot.id });
    }
  }

  /** From here on bytes may reach the backend server. */
  private async handOver(
    request: RoutedRequest,
    owner: { session: LocalSession; assignment: Assignment; slot: string },
  ): Promise<AttemptResult> {
    const { session, assignment, slot } = owner;
    const { gate, backend } = this.context;
    const startedMs = monotonicMs();
    // The wait for a slot may have outlived the lease or the assignment, and the process may have
    // been paused, so both are looked at again at the last moment.
    const mayServe = session.mayServe(assignment, startedMs) &&
      session.mayRunFor(request.deadlineMs - startedMs);
    if (!mayServe || backend.connections === undefined) {
      gate.leave(slot);
      return notRun("not_owner", "this daemon may not serve the key any more");
    }
    session.releases.begin(assignment);
    const end = (tookMs?: number) => {
      gate.leave(slot, tookMs);
      session.releases.finish(assignment);
    };
    try {
      const response = await backend.connections.request(
        this.backendRequest(request, { ...owner, startedMs }),
      );
      if (response.headers[HEADERS.fenced] === "1") {
        await response.body.dump();
        end();
        return notRun(
          "fenced",
          "the backend server refused the fencing token or the grant",
        );
      }
      finished(response.body).then(
        () => end(monotonicMs() - startedMs),
        () => end(),
      );
      return {
        kind: "answer",
        status: response.statusCode,
        headers: selectEndToEnd(response.headers),
        body: response.body,
      };
    } catch (cause) {
      end();
      return describeFailure(cause, request.signal);
    }
  }

  private backendRequest(
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

/** One request may not borrow the idempotency key of another. */
function fingerprintOf(request: RoutedRequest): string {
  const hash = createHash("sha1").update(`${request.method} ${request.url}\n`);
  const body = request.body.isReplayable ? request.body.open() : null;
  return (body instanceof Uint8Array ? hash.update(body) : hash).digest(
    "base64",
  );
}

function describeClaim(
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
        status: claim.answer.status,
        headers: { ...claim.answer.headers },
        body: claim.answer.body,
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

/** Keeps the answer for resends; whatever is too large or ends early is remembered as unknown. */
async function keepAnswer(
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
  if (!(result.body instanceof Readable) || declared > KEPT_ANSWER_BYTES) {
    idempotency.recordUnknown(claim.name);
    return result;
  }
  try {
    const chunks = await result.body.toArray() as Buffer[];
    const body = Buffer.concat(chunks);
    idempotency.recordAnswer(claim.name, {
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

function describeFailure(cause: unknown, signal: AbortSignal): AttemptResult {
  if (isNeverConnected(cause)) {
    return notRun("backend_unreachable", "the backend server can't be reached");
  }
  return signal.aborted
    ? unknown("deadline", "the time was up before the backend server answered")
    : unknown("connection_lost", "the connection to the backend server broke");
}
