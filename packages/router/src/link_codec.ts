/**
 * How requests and their outcomes travel over the link between two daemons: in frames, many requests at
 * a time. Times travel as what is left of them, since daemons have no clock in common.
 *
 * A frame is its length (4 bytes), its kind (1), the number of the request (4), the length of its head
 * (4), the head as JSON, and a body as it is. Numbers are little-endian.
 *
 * @module
 */
import { BamboolinkError } from "@bamboolink/errors";
import { z } from "zod";
import type { ResponseHeaders } from "./exchange.ts";
import type {
  Outcome,
  RefusalReason,
  RoutedRequest,
  UnknownReason,
} from "./routed_request.ts";

/** What a frame says. */
export const FRAME_KINDS = {
  /** The first frame of each side: which format follows. */
  greeting: 1,
  request: 2,
  /** The request has arrived and is being worked on. */
  acknowledgement: 3,
  outcome: 4,
  /** The outcome is not wanted any more. */
  cancellation: 5,
  /** Nothing is read any more; its number is that of the last request that was. */
  farewell: 6,
  /** A piece of a large answer; the last one comes with the outcome. */
  piece: 7,
} as const;

/** Grows when the meaning of a frame changes; links of another format are refused. */
export const LINK_FORMAT = 4;
/** Length of the length itself, in bytes. */
const LENGTH_BYTES = 4;
/** Kind, number and length of the head, in bytes. */
const PREFIX_BYTES = 9;
/** The largest frame that is taken, in bytes: the largest body, and room for its head. */
const MAXIMUM_FRAME_BYTES = 67_108_864 + 1_048_576;

const NOTHING = Buffer.alloc(0);

/** One frame. */
export interface Frame {
  readonly kind: number;
  readonly id: number;
  readonly head: unknown;
  readonly body: Buffer;
}

/** The head of a greeting. */
export const GreetingHead = z.tuple([z.literal(LINK_FORMAT)]);

/** The head of a request. */
export const RequestHead = z.tuple([
  z.string().describe("id"),
  z.string().describe("service"),
  z.string().describe("route"),
  z.int().min(0).describe("rank"),
  z.boolean().describe("whether it is idempotent"),
  z.int().nullable().describe("key"),
  z.string().describe("service of the caller"),
  z.int().describe("time left to the objective, in milliseconds"),
  z.int().describe("time left to the deadline, in milliseconds"),
  z.boolean().describe("whether it may be served late"),
  z.int().min(0).describe("connections that broke under it before"),
  z.string().describe("method"),
  z.string().describe("target"),
  z.array(z.string()).describe("names and values of headers in turn"),
  z.boolean().describe("whether it has a body"),
]);

/** How busy a backend server is, as its daemon tells with each outcome. */
export const LoadHead = z.tuple([
  z.number().describe("wait, in milliseconds"),
  z.number().describe("work offered for each slot"),
  z.number().describe("usual time of a request of the route, in milliseconds"),
  z.number().describe("share of recent requests that failed"),
]);

/** The head of an outcome. */
export const OutcomeHead = z.tuple([
  z.enum(["answer", "not_run", "unknown"]),
  z.string().describe("reason, empty for an answer"),
  z.number().describe("wait, in milliseconds"),
  z.boolean().describe("whether it arrived, or whether an answer is framed"),
  z.int().describe("status, 0 without an answer"),
  z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  LoadHead,
]);

/** How busy a backend server is. */
export interface LoadReport {
  /** Until a request that arrives now would start, in milliseconds. */
  readonly waitMs: number;
  /** Work offered for each slot, as a mean of the last second; 1 keeps all busy. */
  readonly utilization: number;
  /** Usual time of a request of the route in question, in milliseconds; 0 before the first. */
  readonly serviceMs: number;
  /** Share of recent requests that failed. */
  readonly failureShare: number;
}

/** Writes a frame. */
export function encodeFrame(frame: {
  kind: number;
  id: number;
  head?: unknown;
  body?: Buffer | undefined;
}): Buffer {
  const head = frame.head === undefined ? "" : JSON.stringify(frame.head);
  const headBytes = Buffer.byteLength(head);
  const body = frame.body ?? NOTHING;
  const length = PREFIX_BYTES + headBytes + body.length;
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + length);
  let at = bytes.writeUInt32LE(length, 0);
  at = bytes.writeUInt8(frame.kind, at);
  at = bytes.writeUInt32LE(frame.id, at);
  at = bytes.writeUInt32LE(headBytes, at);
  at += bytes.write(head, at);
  body.copy(bytes, at);
  return bytes;
}

/** Puts frames together from what a connection brings. */
export class FrameReader {
  private chunks: Buffer[] = [];
  private size = 0;
  /** How many bytes the next frame takes, as far as that is known. */
  private needed = LENGTH_BYTES;

  private constructor() {}

  /** Creates a reader of a new connection. */
  static create(): FrameReader {
    return new FrameReader();
  }

  /**
   * Takes bytes; returns the frames that they complete.
   *
   * @throws BamboolinkError if the bytes are no frames; nothing more can be read then.
   */
  push(bytes: Buffer): Frame[] {
    this.chunks.push(bytes);
    this.size += bytes.length;
    const frames: Frame[] = [];
    while (this.size >= this.needed) {
      const frame = this.takeOne();
      if (frame !== undefined) {
        frames.push(frame);
      }
    }
    return frames;
  }

  /** Takes the next frame, or learns how long it is. */
  private takeOne(): Frame | undefined {
    const bytes = this.chunks.length === 1
      ? this.chunks[0]!
      : Buffer.concat(this.chunks);
    this.chunks = [bytes];
    const length = bytes.readUInt32LE(0);
    if (length < PREFIX_BYTES || length > MAXIMUM_FRAME_BYTES) {
      throw malformed(`a frame of ${length} bytes`);
    }
    const end = LENGTH_BYTES + length;
    if (bytes.length < end) {
      this.needed = end;
      return undefined;
    }
    this.chunks = [bytes.subarray(end)];
    this.size -= end;
    this.needed = LENGTH_BYTES;
    return decodeFrame(bytes.subarray(LENGTH_BYTES, end));
  }
}

function decodeFrame(bytes: Buffer): Frame {
  const headBytes = bytes.readUInt32LE(5);
  const bodyAt = PREFIX_BYTES + headBytes;
  if (bodyAt > bytes.length) {
    throw malformed("a head longer than its frame");
  }
  const text = bytes.toString("utf8", PREFIX_BYTES, bodyAt);
  try {
    return {
      kind: bytes.readUInt8(0),
      id: bytes.readUInt32LE(1),
      head: text === "" ? undefined : JSON.parse(text),
      body: bytes.subarray(bodyAt),
    };
  } catch (cause) {
    throw malformed("a head that is no JSON", cause);
  }
}

/** Makes the frame that carries a request to another daemon. */
export function encodeRequest(
  id: number,
  work: RoutedRequest,
  nowMs: number,
): Buffer {
  const head: z.infer<typeof RequestHead> = [
    work.id,
    work.service,
    work.route,
    work.rank,
    work.isIdempotent,
    work.key ?? null,
    work.callerService,
    Math.round(work.objectiveAtMs - nowMs),
    Math.round(work.deadlineAtMs - nowMs),
    work.mayEndLate,
    work.brokenConnections,
    work.method,
    work.target,
    work.headers,
    work.body !== undefined,
  ];
  return encodeFrame({ kind: FRAME_KINDS.request, id, head, body: work.body });
}

/**
 * Reads a forwarded request.
 *
 * The greeting has told that both daemons mean the same by a head, so the lists are only looked at as
 * far as a truncated one would be noticed: a whole check by the schema costs as much as the rest of the
 * decoding. The tests hold all that is written against the schema.
 */
export function decodeRequest(frame: Frame, nowMs: number): RoutedRequest {
  const fields = asList<z.infer<typeof RequestHead>>(
    frame.head,
    RequestHead.def.items.length,
  );
  return {
    id: fields[0],
    service: fields[1],
    route: fields[2],
    rank: fields[3],
    isIdempotent: fields[4],
    key: fields[5] ?? undefined,
    callerService: fields[6],
    objectiveAtMs: nowMs + fields[7],
    deadlineAtMs: nowMs + fields[8],
    mayEndLate: fields[9],
    brokenConnections: fields[10],
    method: fields[11],
    target: fields[12],
    headers: fields[13],
    body: fields[14] ? frame.body : undefined,
  };
}

/** Makes the frame that carries an outcome back. */
export function encodeOutcome(
  id: number,
  outcome: Outcome,
  load: LoadReport,
): Buffer {
  const loadHead: z.infer<typeof LoadHead> = [
    Math.round(load.waitMs),
    Math.round(load.utilization * 100) / 100,
    Math.round(load.serviceMs),
    Math.round(load.failureShare * 100) / 100,
  ];
  const head = describeOutcome(outcome, loadHead);
  const body = outcome.kind === "answer" ? outcome.body : undefined;
  return encodeFrame({ kind: FRAME_KINDS.outcome, id, head, body });
}

function describeOutcome(
  outcome: Outcome,
  load: z.infer<typeof LoadHead>,
): z.infer<typeof OutcomeHead> {
  switch (outcome.kind) {
    case "answer": {
      const { status, headers, isFramed } = outcome;
      const sent = headers as Record<string, string | string[]>;
      return ["answer", "", 0, isFramed, status, sent, load];
    }
    case "not_run": {
      const { reason, waitMs, hasArrived } = outcome;
      return ["not_run", reason, Math.round(waitMs), hasArrived, 0, {}, load];
    }
    case "unknown":
      return ["unknown", outcome.reason, 0, true, 0, {}, load];
  }
}

/** Reads the outcome of a request at another daemon, and how busy it is there. */
export function decodeOutcome(
  frame: Frame,
): { outcome: Outcome; load: LoadReport } {
  const fields = asList<z.infer<typeof OutcomeHead>>(
    frame.head,
    OutcomeHead.def.items.length,
  );
  const [waitMs, utilization, serviceMs, failureShare] = fields[6];
  const load = { waitMs, utilization, serviceMs, failureShare };
  return { outcome: toOutcome(fields, frame.body), load };
}

function toOutcome(
  fields: z.infer<typeof OutcomeHead>,
  body: Buffer,
): Outcome {
  const [kind, reason, waitMs, flag, status, headers] = fields;
  switch (kind) {
    case "answer": {
      const answered: ResponseHeaders = headers;
      return { kind, status, headers: answered, body, isFramed: flag };
    }
    case "not_run": {
      const why = reason as RefusalReason;
      return { kind, reason: why, waitMs, hasArrived: flag };
    }
    case "unknown":
      return { kind, reason: reason as UnknownReason };
  }
}

function asList<T>(head: unknown, length: number): T {
  if (!Array.isArray(head) || head.length !== length) {
    throw malformed("a head with other fields");
  }
  return head as T;
}

function malformed(what: string, cause?: unknown): BamboolinkError {
  return BamboolinkError.create("invalid", `a link brought ${what}`, {
    step: "link.decode",
    cause,
  });
}
