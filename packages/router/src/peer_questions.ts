/**
 * Questions that daemons ask each other: for the configuration, and for a call to the store on behalf
 * of a daemon that the store turns away.
 *
 * @module
 */
import { BamboolinkError } from "@bamboolink/errors";
import type { CasRequest, StoredRecord } from "@bamboolink/store";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { z } from "zod";
import { Cancellation } from "./cancellation.ts";
import { steadyMs } from "./clock.ts";
import { Connection } from "./exchange.ts";

/** Where the configuration document is asked for. */
export const CONFIGURATION_PATH = "/bamboolink/configuration";
/** Where all records of ownership are asked for. */
export const OWNERSHIP_PATH = "/bamboolink/ownership";
/** Where a record of the store is asked for. */
export const STORE_GET_PATH = "/bamboolink/store/get";
/** Where a conditional write to the store is asked for. */
export const STORE_WRITE_PATH = "/bamboolink/store/write";
/** How long a peer may take, in milliseconds; it may itself have to wait for the store. */
const TIMEOUT_MS = 1_500;

/** What is asked of a peer about one record. */
export const GetQuestion = z.object({ key: z.string() });
/** A conditional write that a peer is asked for. */
export const WriteQuestion = z.object({
  key: z.string(),
  value: z.string().optional(),
  expectedRevision: z.int().min(0),
});
const OwnershipAnswer = z.array(z.object({
  service: z.string(),
  revision: z.int(),
  text: z.string(),
}));
const GetAnswer = z.object({
  record: z.object({
    key: z.string(),
    value: z.string(),
    revision: z.int(),
    era: z.int(),
  }).nullable(),
  /** The store's era as the peer knows it. */
  era: z.int(),
});
const WriteAnswer = z.union([
  z.object({ revision: z.int(), era: z.int() }),
  z.object({
    code: z.enum(["conflict", "refused", "unreachable", "unknown_effect"]),
  }),
]);

/** What a peer has found for a key. */
export interface FoundRecord {
  readonly record: StoredRecord | undefined;
  readonly era: number;
}

/** What a peer has written. */
export interface WrittenRecord {
  readonly revision: number;
  readonly era: number;
}

/** Asks other daemons. */
export class PeerQuestions {
  private constructor() {}

  /** Creates one. */
  static create(): PeerQuestions {
    return new PeerQuestions();
  }

  /** Asks for the configuration document in force at a peer. */
  askConfiguration(peer: string): ResultAsync<string, BamboolinkError> {
    return ask(peer, { target: CONFIGURATION_PATH });
  }

  /** Asks for all records of ownership that a peer knows. */
  askOwnership(
    peer: string,
  ): ResultAsync<
    { service: string; revision: number; text: string }[],
    BamboolinkError
  > {
    return ask(peer, { target: OWNERSHIP_PATH })
      .andThen((text) => check(OwnershipAnswer, text, peer));
  }

  /** Asks a peer to read a record of the store. */
  askRecord(
    peer: string,
    key: string,
  ): ResultAsync<FoundRecord, BamboolinkError> {
    const body = JSON.stringify({ key });
    return ask(peer, { target: STORE_GET_PATH, body })
      .andThen((text) => check(GetAnswer, text, peer))
      .map(({ record, era }) => ({ record: record ?? undefined, era }));
  }

  /** Asks a peer for a conditional write; no answer means that it may have taken effect. */
  askWrite(
    peer: string,
    request: CasRequest,
  ): ResultAsync<WrittenRecord, BamboolinkError> {
    const { key, value, expectedRevision } = request;
    const body = JSON.stringify({ key, value, expectedRevision });
    return ask(peer, { target: STORE_WRITE_PATH, body })
      .andThen((text) => check(WriteAnswer, text, peer))
      .andThen((answer) =>
        "revision" in answer ? okAsync(answer) : errAsync(
          BamboolinkError.create(answer.code, "the peer could not write", {
            step: "peer.write",
            peer,
          }),
        )
      );
  }
}

function ask(
  peer: string,
  question: { target: string; body?: string },
): ResultAsync<string, BamboolinkError> {
  const connection = Connection.create(peer);
  const exchange = connection.exchange({
    method: question.body === undefined ? "GET" : "POST",
    target: question.target,
    headers: ["host", peer],
    body: question.body === undefined ? undefined : Buffer.from(question.body),
  }, {
    cancellation: Cancellation.createWithTimeout(TIMEOUT_MS),
    nowMs: steadyMs,
  })
    .finally(() => void connection.destroy());
  return ResultAsync.fromSafePromise(exchange).andThen((result) => {
    if (result.kind !== "answer") {
      return errAsync(result.error);
    }
    return result.status === 200
      ? okAsync(result.body.toString())
      : errAsync(BamboolinkError.create("refused", "the peer has no answer", {
        step: "peer.ask",
        peer,
      }));
  });
}

function check<S extends z.ZodType>(
  schema: S,
  text: string,
  peer: string,
): ResultAsync<z.infer<S>, BamboolinkError> {
  const checked = schema.safeParse(JSON.parse(text));
  return checked.success ? okAsync(checked.data) : errAsync(
    BamboolinkError.create("unknown_effect", "the peer's answer is malformed", {
      step: "peer.ask",
      peer,
      cause: checked.error,
    }),
  );
}
