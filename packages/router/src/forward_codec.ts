/**
 * How a request and its outcome travel between two daemons: as HTTP, with one header of our own each
 * way. Times travel as what is left of them, since daemons have no clock in common.
 *
 * @module
 */
import { BamboolinkError } from "@bamboolink/errors";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type { AnswerHeaders, ExchangeRequest } from "./exchange.ts";
import type { Outcome, RefusalReason, UnknownReason, Work } from "./work.ts";

/** Headers between daemons begin with this; callers' are removed. */
export const PEER_HEADER_PREFIX = "bamboolink-";
/** Describes a forwarded request. */
export const WORK_HEADER = "bamboolink-work";
/** Describes its outcome. */
export const OUTCOME_HEADER = "bamboolink-outcome";
/** Tells how busy the backend server is. */
export const LOAD_HEADER = "bamboolink-load";

const WorkFields = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  z.int().min(0),
  z.boolean(),
  z.int().nullable(),
  z.string(),
  z.number(),
  z.number(),
]);

const OutcomeFields = z.tuple([
  z.enum(["answer", "not_run", "unknown"]),
  z.string(),
  z.number(),
  z.boolean(),
]);

/** Says that the backend server's answer ended with its connection. */
const UNFRAMED = "unframed";

/** How busy a backend server is. */
export const LoadFields = z.tuple([z.number(), z.number(), z.number()]);

/** How busy a backend server is, as its daemon tells with each answer. */
export interface LoadReport {
  /** Until a request that arrives now would start, in milliseconds. */
  readonly waitMs: number;
  /** Usual time of a request, in milliseconds. */
  readonly serviceMs: number;
  /** Share of recent requests that failed. */
  readonly failureShare: number;
}

/** Makes the request that carries work to another daemon. */
export function encodeWork(work: Work, nowMs: number): ExchangeRequest {
  const fields: z.infer<typeof WorkFields> = [
    work.id,
    work.service,
    work.route,
    work.rank,
    work.isIdempotent,
    work.key ?? null,
    work.callerService,
    Math.round(work.objectiveAtMs - nowMs),
    Math.round(work.deadlineAtMs - nowMs),
  ];
  return {
    method: work.method,
    target: work.target,
    headers: [...work.headers, WORK_HEADER, JSON.stringify(fields)],
    body: work.body,
  };
}

/** Reads forwarded work. */
export function decodeWork(
  request: {
    header: string;
    method: string;
    target: string;
    headers: string[];
    body: Buffer | undefined;
  },
  nowMs: number,
): Result<Work, BamboolinkError> {
  return parse(WorkFields, request.header).map((fields) => ({
    id: fields[0],
    service: fields[1],
    route: fields[2],
    rank: fields[3],
    isIdempotent: fields[4],
    key: fields[5] ?? undefined,
    callerService: fields[6],
    objectiveAtMs: nowMs + fields[7],
    deadlineAtMs: nowMs + fields[8],
    method: request.method,
    target: request.target,
    headers: request.headers,
    body: request.body,
  }));
}

/** Writes the header that describes an outcome. */
export function encodeOutcome(outcome: Outcome): string {
  const fields: z.infer<typeof OutcomeFields> = outcome.kind === "answer"
    ? ["answer", outcome.isFramed ? "" : UNFRAMED, 0, true]
    : outcome.kind === "not_run"
    ? [
      "not_run",
      outcome.reason,
      Math.round(outcome.waitMs),
      outcome.hasArrived,
    ]
    : ["unknown", outcome.reason, 0, true];
  return JSON.stringify(fields);
}

/** Reads the outcome that another daemon answered with. */
export function decodeOutcome(answer: {
  status: number;
  headers: AnswerHeaders;
  body: Buffer;
}): Result<Outcome, BamboolinkError> {
  const header = String(answer.headers[OUTCOME_HEADER] ?? "");
  return parse(OutcomeFields, header).map(
    ([kind, reason, waitMs, hasArrived]): Outcome => {
      switch (kind) {
        case "answer": {
          const { status, headers, body } = answer;
          return { kind, status, headers, body, isFramed: reason !== UNFRAMED };
        }
        case "not_run": {
          return { kind, reason: reason as RefusalReason, waitMs, hasArrived };
        }
        case "unknown":
          return { kind, reason: reason as UnknownReason };
      }
    },
  );
}

/** Writes how busy the backend server is. */
export function encodeLoad(load: LoadReport): string {
  return JSON.stringify([
    Math.round(load.waitMs),
    Math.round(load.serviceMs),
    Math.round(load.failureShare * 100) / 100,
  ]);
}

/** Reads how busy a backend server is; `undefined` where the answer doesn't tell. */
export function decodeLoad(headers: AnswerHeaders): LoadReport | undefined {
  return parse(LoadFields, String(headers[LOAD_HEADER] ?? "")).match(
    ([waitMs, serviceMs, failureShare]) => ({
      waitMs,
      serviceMs,
      failureShare,
    }),
    () => undefined,
  );
}

function parse<S extends z.ZodType>(
  schema: S,
  text: string,
): Result<z.infer<S>, BamboolinkError> {
  const checked = schema.safeParse(tryJson(text));
  return checked.success ? ok(checked.data) : err(
    BamboolinkError.create("invalid", "a header between daemons is malformed", {
      step: "forward.decode",
      cause: checked.error,
    }),
  );
}

function tryJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // The schema refuses `undefined`, and the error then says what was expected.
    return undefined;
  }
}
