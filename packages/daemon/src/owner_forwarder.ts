/**
 * Forwards requests to the daemon of the key's owner.
 *
 * @module
 */
import { HEADERS, type OutcomeBody } from "@bamboolink/types";
import type { Assignment } from "@bamboolink/routing";
import { Agent, type Dispatcher } from "undici";
import {
  type AttemptResult,
  Destination,
  notRun,
  type NotRunReason,
  type RoutedRequest,
  unknown,
  type UnknownReason,
} from "./attempt.ts";
import { monotonicMs } from "./clock.ts";
import { CONNECT_TIMEOUT_MS, isConnectFailure } from "./connection_errors.ts";
import type { Fleet } from "./fleet.ts";
import { selectEndToEndHeaders } from "./http_headers.ts";

const MAX_CONNECTIONS_PER_DAEMON = 64;

/** Makes attempts on other owners, through their daemons. */
export class OwnerForwarder extends Destination {
  private constructor(
    private readonly context: { fleet: Fleet; sessionId: () => string },
    private readonly agent: Agent,
  ) {
    super();
  }

  static create(
    context: { fleet: Fleet; sessionId: () => string },
  ): OwnerForwarder {
    const agent = new Agent({
      connections: MAX_CONNECTIONS_PER_DAEMON,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    return new OwnerForwarder(context, agent);
  }

  override async attempt(
    request: RoutedRequest,
    assignment: Assignment,
  ): Promise<AttemptResult> {
    const address = this.context.fleet.session(assignment.session)
      ?.data_address;
    if (address === undefined) {
      return notRun(
        "no_owner",
        "the owner's address is not known here yet",
      );
    }
    request.progress.enter(
      "owner_daemon",
      monotonicMs(),
      assignment.session,
    );
    try {
      const response = await this.agent.request({
        origin: `http://${address}`,
        path: request.url,
        method: request.method as Dispatcher.HttpMethod,
        headers: {
          ...request.headers,
          [HEADERS.requestId]: request.id,
          [HEADERS.deadlineMs]: String(
            Math.max(1, Math.floor(request.deadlineMs - monotonicMs())),
          ),
          [HEADERS.forwardedBy]: this.context.sessionId(),
        },
        body: request.body.open(),
        signal: request.signal,
      });
      return await readResponse(response, request.id);
    } catch (cause) {
      return toFailureResult(cause, request.signal);
    }
  }

  /** Closes all connections. */
  close(): Promise<void> {
    return this.agent.destroy();
  }
}

/** Reads a response. It is matched to its request by the request id, never by its position on the connection. */
async function readResponse(
  response: Dispatcher.ResponseData,
  requestId: string,
): Promise<AttemptResult> {
  if (response.headers[HEADERS.requestId] !== requestId) {
    response.body.destroy();
    return unknown(
      "connection_lost",
      "the owner's daemon answered another request",
    );
  }
  const outcome = response.headers[HEADERS.outcome];
  if (outcome === "not_run" || outcome === "unknown") {
    const body = await response.body.json() as OutcomeBody;
    if (body.reason === "invalid") {
      const status = response.statusCode;
      return { kind: "invalid", status, message: body.message };
    }
    return outcome === "not_run"
      ? notRun(body.reason as NotRunReason, body.message, {
        waitMs: body.retry_after_ms ?? 0,
      })
      : unknown(body.reason as UnknownReason, body.message);
  }
  return {
    kind: "answer",
    status: response.statusCode,
    headers: selectEndToEndHeaders(response.headers),
    body: response.body,
  };
}

function toFailureResult(cause: unknown, signal: AbortSignal): AttemptResult {
  if (isConnectFailure(cause)) {
    return notRun(
      "owner_unreachable",
      "the owner's daemon can't be reached",
    );
  }
  return signal.aborted
    ? unknown(
      "deadline",
      "the time was up before the owner's daemon answered",
    )
    : unknown("connection_lost", "the connection to the owner's daemon broke");
}
