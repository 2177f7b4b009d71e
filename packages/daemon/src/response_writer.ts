/**
 * Writes the one answer of a request to its caller.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Readable } from "node:stream";
import { pipeline } from "node:stream/promises";
import type { Logger } from "@bamboolink/logger";
import { HEADERS, type Outcome, type OutcomeBody } from "@bamboolink/types";
import type { AttemptResult } from "./attempt.ts";

/** What a caller may need beside the answer. */
export interface ResponseHints {
  /** Where the owner's daemon is reached directly. */
  readonly owner: string | undefined;
  /** When a refused caller may come back, in milliseconds. */
  readonly retryAfterMs: number;
}

/** What is counted as the end of a request. */
export type CountedOutcome = Outcome | "invalid" | "cut";

/** Writes the answer of one request. */
export class ResponseWriter {
  private constructor(
    private readonly context: {
      response: ServerResponse;
      requestId: string;
      logger: Logger;
    },
  ) {}

  /** Creates a writer for one response. */
  static create(
    context: { response: ServerResponse; requestId: string; logger: Logger },
  ): ResponseWriter {
    return new ResponseWriter(context);
  }

  /** Writes the answer and returns how the request ended. */
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
        return await this.writeAnswer(result);
      case "not_run":
        logger.log("request_refused", {
          request_id: requestId,
          reason: result.reason,
        });
        return this.writeOwn(
          { ...result, status: 503, outcome: "not_run" },
          hints.retryAfterMs,
        );
      case "unknown":
        logger.log("request_unknown", {
          request_id: requestId,
          reason: result.reason,
        });
        return this.writeOwn({
          ...result,
          status: statusOfUnknown(result.reason),
          outcome: "unknown",
        });
      case "invalid":
        this.writeOwn({ ...result, reason: "invalid", outcome: "not_run" });
        return "invalid";
    }
  }

  private async writeAnswer(
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
      // Ending the response here would pass half an answer off as a whole one; a cut connection can't
      // be mistaken. `pipeline` has destroyed the response.
      if (result.body.errored !== null && !isAborted(result.body.errored)) {
        logger.log("answer_cut", { request_id: requestId, cause });
        return "cut";
      }
      return "cancelled";
    }
  }

  private writeOwn(
    answer: {
      status: number;
      outcome: Outcome;
      reason: string;
      message: string;
    },
    retryAfterMs?: number,
  ): Outcome {
    const { response, requestId } = this.context;
    const body: OutcomeBody = {
      outcome: answer.outcome,
      reason: answer.reason,
      message: answer.message,
      request_id: requestId,
      ...(retryAfterMs === undefined ? {} : { retry_after_ms: retryAfterMs }),
    };
    const text = JSON.stringify(body);
    response.writeHead(answer.status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
      [HEADERS.outcome]: answer.outcome,
      [HEADERS.reason]: answer.reason,
      ...(retryAfterMs === undefined
        ? {}
        : { "retry-after": String(Math.ceil(retryAfterMs / 1_000)) }),
    });
    response.end(text);
    return answer.outcome;
  }
}

/** The time was up: 504. The connection broke: 502. A resend that can't be told from new work: 409. */
function statusOfUnknown(reason: string): number {
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
