/**
 * Writes the one response of a request to its caller.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Readable } from "node:stream";
import { pipeline } from "node:stream/promises";
import type { Logger } from "@bamboolink/logger";
import { HEADERS, type Outcome, type OutcomeBody } from "@bamboolink/types";
import type { AttemptResult } from "./attempt.ts";

/** Additional information for the caller, sent in headers. */
export interface ResponseHints {
  /** Address at which callers reach the owner's daemon directly; `undefined` if it is not known. */
  readonly owner: string | undefined;
  /** When the caller of a refused request may retry, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Outcome of a request as counted in metrics; `cut` is a response whose body broke off. */
export type CountedOutcome = Outcome | "invalid" | "cut";

/** Writes the response of one request. */
export class ResponseWriter {
  private constructor(
    private readonly context: {
      response: ServerResponse;
      requestId: string;
      logger: Logger;
    },
  ) {}

  static create(
    context: { response: ServerResponse; requestId: string; logger: Logger },
  ): ResponseWriter {
    return new ResponseWriter(context);
  }

  /** Writes the response and returns the request's outcome. */
  async write(
    result: AttemptResult,
    hints: ResponseHints,
  ): Promise<CountedOutcome> {
    const { response, logger, requestId } = this.context;
    if (response.destroyed) {
      discard(result);
      return "cancelled";
    }
    response.setHeader(HEADERS.requestId, requestId);
    if (hints.owner !== undefined) {
      response.setHeader(HEADERS.owner, hints.owner);
    }
    switch (result.kind) {
      case "answer":
        return await this.writeResponse(result);
      case "not_run":
        logger.log("request_refused", {
          request_id: requestId,
          reason: result.reason,
          wait_ms: Math.round(result.waitMs),
        });
        return this.writeOutcome(
          { ...result, status: 503, outcome: "not_run" },
          hints.retryAfterMs,
        );
      case "unknown":
        logger.log("request_unknown", {
          request_id: requestId,
          reason: result.reason,
        });
        return this.writeOutcome({
          ...result,
          status: statusForUnknown(result.reason),
          outcome: "unknown",
        });
      case "invalid":
        this.writeOutcome({ ...result, reason: "invalid", outcome: "not_run" });
        return "invalid";
    }
  }

  private async writeResponse(
    result: Extract<AttemptResult, { kind: "answer" }>,
  ): Promise<CountedOutcome> {
    const { response, logger, requestId } = this.context;
    response.writeHead(result.status, {
      ...result.headers,
      [HEADERS.outcome]: "done",
    });
    if (result.body instanceof Uint8Array) {
      response.end(result.body);
      return "done";
    }
    try {
      await pipeline(result.body, response);
      return "done";
    } catch (cause) {
      // Ending the response here would make a partial body look complete, whereas a closed connection is
      // unambiguous. `pipeline` has destroyed the response.
      if (result.body.errored !== null && !isAborted(result.body.errored)) {
        logger.log("answer_cut", { request_id: requestId, cause });
        return "cut";
      }
      return "cancelled";
    }
  }

  private writeOutcome(
    details: {
      status: number;
      outcome: Outcome;
      reason: string;
      message: string;
    },
    retryAfterMs?: number,
  ): Outcome {
    const { response, requestId } = this.context;
    const body: OutcomeBody = {
      outcome: details.outcome,
      reason: details.reason,
      message: details.message,
      request_id: requestId,
      ...(retryAfterMs === undefined ? {} : { retry_after_ms: retryAfterMs }),
    };
    const text = JSON.stringify(body);
    response.writeHead(details.status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
      [HEADERS.outcome]: details.outcome,
      [HEADERS.reason]: details.reason,
      ...(retryAfterMs === undefined
        ? {}
        : { "retry-after": String(Math.ceil(retryAfterMs / 1_000)) }),
    });
    response.end(text);
    return details.outcome;
  }
}

/**
 * Status code for an unknown outcome. Deadline passed: 504. Connection broke: 502. Retry that can't be distinguished
 * from a new request: 409.
 */
function statusForUnknown(reason: string): number {
  switch (reason) {
    case "deadline":
      return 504;
    case "connection_lost":
    case "cancelled":
      return 502;
    default:
      return 409;
  }
}

function isAborted(error: Error): boolean {
  return error.name === "AbortError" ||
    (error as NodeJS.ErrnoException).code === "ABORT_ERR";
}

function discard(result: AttemptResult): void {
  if (result.kind === "answer" && !(result.body instanceof Uint8Array)) {
    (result.body as Readable).on("error", () => undefined).destroy();
  }
}
