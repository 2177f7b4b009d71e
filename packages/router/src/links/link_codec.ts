/**
 * Encodes and decodes the frames in which requests and their outcomes are sent over the link between two daemons. A
 * link carries many requests concurrently. Times are sent as remaining durations, because daemons have no common clock.
 *
 * A frame consists of its length (4 bytes), its kind (1), the request id (4), the length of its head (4), the head as
 * JSON, and the raw body. Numbers are little-endian.
 *
 * @module
 */
import { BamboolinkError } from "@bamboolink/errors";
import { z } from "zod";
import type { ResponseHeaders } from "../backend/exchange.ts";
import type {
  Outcome,
  RefusalReason,
  RoutedRequest,
  UnknownReason,
} from "../attempts/routed_request.ts";

/** Values of the kind field of a frame. */
export const FRAME_KINDS = {
  /**
   * The first frame of each side: the format version. From the server, the id is the size of a body, in bytes, from
   * which a request must be offered; 0, as from earlier versions, if none must.
   */
  handshake: 1,
  request: 2,
  /** The request was received and is being processed. */
  acknowledgement: 3,
  outcome: 4,
  /** The outcome is no longer needed. */
  cancellation: 5,
  /** The sender reads no further requests; the id is that of the last request that it has read. */
  goAway: 6,
  /** A chunk of a large response; the last chunk is the body of the outcome frame. */
  chunk: 7,
  /** A request without its body, which is sent in parts when the receiver grants them. */
  offer: 8,
  /** The receiver takes the next part of an offered body. */
  grant: 9,
  /** The next part of an offered body. */
  bodyPart: 10,
} as const;

/** Format version; incremented when the meaning of a frame changes. Links with another version are refused. */
export const LINK_FORMAT = 4;
/** Size of the length field, in bytes. */
const LENGTH_BYTES = 4;
/** Size of kind, id and head length, in bytes. */
const PREFIX_BYTES = 9;
/** Maximum body of a request or response, in bytes. */
export const MAX_BODY_BYTES = 67_108_864;
/** Maximum accepted frame, in bytes: the maximum body and space for its head. */
const MAX_FRAME_BYTES = MAX_BODY_BYTES + 1_048_576;

const EMPTY_BODY = Buffer.alloc(0);

/** A decoded frame. */
export interface Frame {
  /** One of `FRAME_KINDS`. */
  readonly kind: number;
  /** Id of the request on its link; in a handshake, the size from which bodies must be offered. */
  readonly id: number;
  readonly head: unknown;
  readonly body: Buffer;
}

/** The head of a handshake. */
export const HandshakeHead = z.tuple([z.literal(LINK_FORMAT)]);

/** The head of a request. */
export const RequestHead = z.tuple([
  z.string().describe("id"),
  z.string().describe("service"),
  z.string().describe("route"),
  z.int().min(0).describe("rank"),
  z.boolean().describe("whether it is idempotent"),
  z.int().nullable().describe("key"),
  z.string().describe("service of the caller"),
  z.int().describe("remaining time to the latency objective, in milliseconds"),
  z.int().describe("remaining time to the deadline, in milliseconds"),
  z.boolean().describe("whether it may be served after its objective"),
  z.int().min(0).describe(
    "connections to backend servers that broke while running it before",
  ),
  z.string().describe("method"),
  z.string().describe("target: path and query"),
  z.array(z.string()).describe("headers, as alternating names and values"),
  z.boolean().describe("whether it has a body"),
]);

/** The head of an offer. */
export const OfferHead = z.tuple([
  RequestHead,
  z.int().min(1).max(MAX_BODY_BYTES).describe("size of the body, in bytes"),
]);

/** The head of a grant. */
export const GrantHead = z.tuple([
  z.int().min(1).describe("size of the next part, in bytes"),
]);

/** The load of a backend server, which its daemon sends with each outcome. */
export const LoadHead = z.tuple([
  z.number().describe("wait, in milliseconds"),
  z.number().describe("offered work per slot"),
  z.number().describe("typical service time of the route, in milliseconds"),
  z.number().describe("share of recent requests that failed"),
]).rest(z.unknown().describe("values of other versions; ignored"));

/** The head of an outcome. */
export const OutcomeHead = z.tuple([
  z.enum(["answer", "not_run", "unknown"]),
  z.string().describe("reason, empty for an answer"),
  z.number().describe("wait, in milliseconds"),
  z.boolean().describe(
    "whether the request arrived; for an answer, whether it is complete",
  ),
  z.int().describe("status, 0 without an answer"),
  z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  LoadHead,
]);

/** The load of a backend server. */
export interface LoadReport {
  /** How long a request that arrives now would wait before it starts, in milliseconds. */
  readonly waitMs: number;
  /**
   * Recent offered work per slot (half-life 1 s), or the used share of a cold server's rate limit if that is higher; 1
   * is saturated.
   */
  readonly utilization: number;
  /** Typical service time of the route in question, in milliseconds; 0 before its first request. */
  readonly serviceMs: number;
  /** Share of recent requests that failed, from 0 to 1. */
  readonly failureShare: number;
}

/** Encodes a frame. */
export function encodeFrame(frame: {
  kind: number;
  id: number;
  head?: unknown;
  body?: Buffer | undefined;
}): Buffer {
  const head = frame.head === undefined ? "" : JSON.stringify(frame.head);
  const headBytes = Buffer.byteLength(head);
  const body = frame.body ?? EMPTY_BODY;
  const length = PREFIX_BYTES + headBytes + body.length;
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + length);
  let offset = bytes.writeUInt32LE(length, 0);
  offset = bytes.writeUInt8(frame.kind, offset);
  offset = bytes.writeUInt32LE(frame.id, offset);
  offset = bytes.writeUInt32LE(headBytes, offset);
  offset += bytes.write(head, offset);
  body.copy(bytes, offset);
  return bytes;
}

/** Reassembles frames from the bytes received on a connection. */
export class FrameReader {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  /** Bytes needed before the next frame, or its length field, can be decoded. */
  private neededBytes = LENGTH_BYTES;

  private constructor() {}

  /** Creates a reader for a new connection. */
  static create(): FrameReader {
    return new FrameReader();
  }

  /** Whether part of a frame has been received. */
  get hasPartialFrame(): boolean {
    return this.bufferedBytes > 0;
  }

  /**
   * Appends received bytes; returns the frames that they complete.
   *
   * @throws BamboolinkError if the bytes are not valid frames; the reader cannot be used afterwards.
   */
  push(bytes: Buffer): Frame[] {
    this.chunks.push(bytes);
    this.bufferedBytes += bytes.length;
    const frames: Frame[] = [];
    while (this.bufferedBytes >= this.neededBytes) {
      const frame = this.decodeNext();
      if (frame !== undefined) {
        frames.push(frame);
      }
    }
    return frames;
  }

  /** Removes and decodes the next frame; if it is incomplete, sets `neededBytes` to its size and returns undefined. */
  private decodeNext(): Frame | undefined {
    const bytes = this.chunks.length === 1
      ? this.chunks[0]!
      : Buffer.concat(this.chunks);
    this.chunks = [bytes];
    const length = bytes.readUInt32LE(0);
    if (length < PREFIX_BYTES || length > MAX_FRAME_BYTES) {
      throw malformed(`a frame of ${length} bytes`);
    }
    const frameEnd = LENGTH_BYTES + length;
    if (bytes.length < frameEnd) {
      this.neededBytes = frameEnd;
      return undefined;
    }
    this.chunks = [bytes.subarray(frameEnd)];
    this.bufferedBytes -= frameEnd;
    this.neededBytes = LENGTH_BYTES;
    return decodeFrame(bytes.subarray(LENGTH_BYTES, frameEnd));
  }
}

function decodeFrame(bytes: Buffer): Frame {
  const headBytes = bytes.readUInt32LE(5);
  const bodyOffset = PREFIX_BYTES + headBytes;
  if (bodyOffset > bytes.length) {
    throw malformed("a head longer than its frame");
  }
  const text = bytes.toString("utf8", PREFIX_BYTES, bodyOffset);
  try {
    return {
      kind: bytes.readUInt8(0),
      id: bytes.readUInt32LE(1),
      head: text === "" ? undefined : JSON.parse(text),
      body: bytes.subarray(bodyOffset),
    };
  } catch (cause) {
    throw malformed("a head that is not valid JSON", cause);
  }
}

/**
 * Encodes the frame that forwards a request to another daemon.
 *
 * @param nowMs the present time on the clock of the request's deadline.
 */
export function encodeRequest(
  id: number,
  request: RoutedRequest,
  nowMs: number,
): Buffer {
  return encodeFrame({
    kind: FRAME_KINDS.request,
    id,
    head: toRequestHead(request, nowMs),
    body: request.body,
  });
}

/** Encodes the frame that offers a request whose body is sent later; `nowMs` as in {@link encodeRequest}. */
export function encodeOffer(
  id: number,
  request: RoutedRequest & { body: Buffer },
  nowMs: number,
): Buffer {
  const head: z.infer<typeof OfferHead> = [
    toRequestHead(request, nowMs),
    request.body.length,
  ];
  return encodeFrame({ kind: FRAME_KINDS.offer, id, head });
}

function toRequestHead(
  request: RoutedRequest,
  nowMs: number,
): z.infer<typeof RequestHead> {
  return [
    request.id,
    request.service,
    request.route,
    request.rank,
    request.isIdempotent,
    request.key ?? null,
    request.callerService,
    Math.round(request.objectiveAtMs - nowMs),
    Math.round(request.deadlineAtMs - nowMs),
    !request.blocksOthers,
    request.brokenConnections,
    request.method,
    request.target,
    request.headers,
    request.body !== undefined,
  ];
}

/**
 * Decodes a forwarded request.
 *
 * The handshake has established that both daemons use the same format, so only the number of fields is checked, which
 * detects a truncated head: full validation by the schema costs as much as the rest of the decoding. The tests validate
 * every encoded head with the schema.
 *
 * @param nowMs when the request was received, on the clock of the resulting deadline.
 * @throws BamboolinkError if the number of fields is wrong.
 */
export function decodeRequest(frame: Frame, nowMs: number): RoutedRequest {
  const fields = asTuple<z.infer<typeof RequestHead>>(
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
    blocksOthers: !fields[9],
    brokenConnections: fields[10],
    method: fields[11],
    target: fields[12],
    headers: fields[13],
    body: fields[14] ? frame.body : undefined,
  };
}

/**
 * Decodes an offered request, which has no body yet, and the size of its body in bytes.
 *
 * @param nowMs when the offer was received, on the clock of the resulting deadline.
 * @throws BamboolinkError if the head is malformed.
 */
export function decodeOffer(
  frame: Frame,
  nowMs: number,
): { request: RoutedRequest; bytes: number } {
  const [head, bytes] = asTuple<z.infer<typeof OfferHead>>(
    frame.head,
    OfferHead.def.items.length,
  );
  if (!Number.isInteger(bytes) || bytes < 1 || bytes > MAX_BODY_BYTES) {
    throw malformed("an offer of an impossible size");
  }
  const request = decodeRequest({ ...frame, head }, nowMs);
  return { request: { ...request, body: undefined }, bytes };
}

/**
 * Decodes a grant: the size of the part to send, in bytes.
 *
 * @throws BamboolinkError if the head is malformed.
 */
export function decodeGrant(frame: Frame): number {
  const head = GrantHead.safeParse(frame.head);
  if (!head.success) {
    throw malformed("a malformed grant", head.error);
  }
  return head.data[0];
}

/** Encodes the frame that returns an outcome. */
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
  const head = toOutcomeHead(outcome, loadHead);
  const body = outcome.kind === "answer" ? outcome.body : undefined;
  return encodeFrame({ kind: FRAME_KINDS.outcome, id, head, body });
}

function toOutcomeHead(
  outcome: Outcome,
  load: z.infer<typeof LoadHead>,
): z.infer<typeof OutcomeHead> {
  switch (outcome.kind) {
    case "answer": {
      const { status, headers, isComplete } = outcome;
      const sentHeaders = headers as Record<string, string | string[]>;
      return ["answer", "", 0, isComplete, status, sentHeaders, load];
    }
    case "not_run": {
      const { reason, waitMs, hasArrived } = outcome;
      return ["not_run", reason, Math.round(waitMs), hasArrived, 0, {}, load];
    }
    case "unknown":
      return ["unknown", outcome.reason, 0, true, 0, {}, load];
  }
}

/**
 * Decodes the outcome of a request at another daemon, and the load of the backend server there.
 *
 * @throws BamboolinkError if the number of fields is wrong.
 */
export function decodeOutcome(
  frame: Frame,
): { outcome: Outcome; load: LoadReport } {
  const fields = asTuple<z.infer<typeof OutcomeHead>>(
    frame.head,
    OutcomeHead.def.items.length,
  );
  const [waitMs, utilization, serviceMs, failureShare] = fields[6];
  return {
    outcome: toOutcome(fields, frame.body),
    load: { waitMs, utilization, serviceMs, failureShare },
  };
}

function toOutcome(
  fields: z.infer<typeof OutcomeHead>,
  body: Buffer,
): Outcome {
  const [kind, reason, waitMs, isCompleteOrArrived, status, headers] = fields;
  switch (kind) {
    case "answer": {
      const responseHeaders: ResponseHeaders = headers;
      return {
        kind,
        status,
        headers: responseHeaders,
        body,
        isComplete: isCompleteOrArrived,
      };
    }
    case "not_run": {
      const refusalReason = reason as RefusalReason;
      return {
        kind,
        reason: refusalReason,
        waitMs,
        hasArrived: isCompleteOrArrived,
      };
    }
    case "unknown":
      return { kind, reason: reason as UnknownReason };
  }
}

function asTuple<T>(head: unknown, length: number): T {
  if (!Array.isArray(head) || head.length !== length) {
    throw malformed("a head with the wrong number of fields");
  }
  return head as T;
}

function malformed(description: string, cause?: unknown): BamboolinkError {
  return BamboolinkError.create(
    "invalid",
    `received ${description} on a link`,
    {
      step: "link.decode",
      cause,
    },
  );
}
