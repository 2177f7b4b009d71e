/**
 * Requests between daemons: for the configuration, for ownership records, and for store calls on behalf of a daemon
 * that can't reach the store.
 *
 * @module
 */
import { BamboolinkError } from "@bamboolink/errors";
import type { CasRequest, StoredRecord } from "@bamboolink/store";
import { err, errAsync, ok, okAsync, Result, ResultAsync } from "neverthrow";
import { z } from "zod";
import { Cancellation } from "../attempts/cancellation.ts";
import { monotonicMs } from "../clock.ts";
import { Connection } from "../backend/exchange.ts";
import { ResponseMemory } from "../backend/response_memory.ts";

/** Path that returns the configuration document. */
export const CONFIGURATION_PATH = "/bamboolink/configuration";
/** Path that returns all ownership records. */
export const OWNERSHIP_PATH = "/bamboolink/ownership";
/** Path that reads a record of the store. */
export const STORE_GET_PATH = "/bamboolink/store/get";
/** Path that performs a compare-and-swap in the store. */
export const STORE_WRITE_PATH = "/bamboolink/store/write";
/**
 * Path that performs a compare-and-swap with a guard. Daemons of earlier versions ignore a guard, so they must not
 * accept such a request.
 */
export const STORE_GUARDED_WRITE_PATH = "/bamboolink/store/guarded-write";
/** Timeout of a request to a peer, in milliseconds; long enough for a peer that has to wait for the store. */
const REQUEST_TIMEOUT_MS = 1_500;
/** Maximum accepted response, in bytes: above the largest value of the store as JSON. */
const MAX_RESPONSE_BYTES = 8_388_608;

/** Body of a request to read a record. */
export const ReadRecordRequest = z.object({ key: z.string() });
/** Body of a request for a compare-and-swap. */
export const WriteRecordRequest = z.object({
  key: z.string(),
  value: z.string().optional(),
  expectedRevision: z.int().min(0),
});
/** Body of a request for a compare-and-swap with a guard. */
export const GuardedWriteRecordRequest = WriteRecordRequest.extend({
  guard: z.object({ key: z.string(), revision: z.int().min(0) }),
});
const OwnershipRecordsResponse = z.array(z.object({
  service: z.string(),
  revision: z.int(),
  text: z.string(),
}));
const ReadRecordResponse = z.object({
  record: z.object({
    key: z.string(),
    value: z.string(),
    revision: z.int(),
    era: z.int(),
  }).nullable(),
  /** The store's era as known to the peer. */
  era: z.int(),
});
const WriteRecordResponse = z.union([
  z.object({ revision: z.int(), era: z.int() }),
  z.object({
    code: z.enum([
      "conflict",
      "superseded",
      "refused",
      "unreachable",
      "unknown_effect",
    ]),
  }),
]);

/** The record that a peer has read, and the store's era as known to the peer. */
export interface ReadRecordResult {
  readonly record: StoredRecord | undefined;
  readonly era: number;
}

/** The revision that a peer has written, and the store's era as known to the peer. */
export interface WriteRecordResult {
  readonly revision: number;
  readonly era: number;
}

/** Sends requests to other daemons. */
export class PeerClient {
  private constructor() {}

  static create(): PeerClient {
    return new PeerClient();
  }

  /** Fetches the configuration document in force at a peer. */
  fetchConfiguration(peer: string): ResultAsync<string, BamboolinkError> {
    return sendRequest(peer, { target: CONFIGURATION_PATH });
  }

  /** Fetches all ownership records that a peer knows. */
  fetchOwnershipRecords(
    peer: string,
  ): ResultAsync<
    { service: string; revision: number; text: string }[],
    BamboolinkError
  > {
    return sendRequest(peer, { target: OWNERSHIP_PATH })
      .andThen((text) => parseResponse(OwnershipRecordsResponse, text, peer));
  }

  /** Reads a record of the store through a peer. */
  readRecord(
    peer: string,
    key: string,
  ): ResultAsync<ReadRecordResult, BamboolinkError> {
    const body = JSON.stringify({ key });
    return sendRequest(peer, { target: STORE_GET_PATH, body })
      .andThen((text) => parseResponse(ReadRecordResponse, text, peer))
      .map(({ record, era }) => ({ record: record ?? undefined, era }));
  }

  /** Performs a compare-and-swap through a peer; without a response, the write may have taken effect. */
  writeRecord(
    peer: string,
    request: CasRequest,
  ): ResultAsync<WriteRecordResult, BamboolinkError> {
    const { key, value, expectedRevision, guard } = request;
    const target = guard === undefined
      ? STORE_WRITE_PATH
      : STORE_GUARDED_WRITE_PATH;
    const body = JSON.stringify({ key, value, expectedRevision, guard });
    return sendRequest(peer, { target, body })
      .andThen((text) => parseResponse(WriteRecordResponse, text, peer))
      .andThen((response) =>
        "revision" in response ? okAsync(response) : errAsync(
          BamboolinkError.create(
            response.code,
            "the peer could not write the record",
            {
              step: "peer.write",
              peer,
            },
          ),
        )
      );
  }
}

function sendRequest(
  peer: string,
  request: { target: string; body?: string },
): ResultAsync<string, BamboolinkError> {
  const memory = ResponseMemory.createForSmall(MAX_RESPONSE_BYTES);
  const connection = Connection.create(peer, memory);
  const exchange = connection.exchange({
    method: request.body === undefined ? "GET" : "POST",
    target: request.target,
    headers: ["host", peer],
    body: request.body === undefined ? undefined : Buffer.from(request.body),
  }, {
    cancellation: Cancellation.createWithTimeout(REQUEST_TIMEOUT_MS),
    nowMs: monotonicMs,
  })
    .finally(() => void connection.destroy());
  return ResultAsync.fromSafePromise(exchange).andThen((result) => {
    if (result.kind !== "answer") {
      return errAsync(result.error);
    }
    return result.status === 200 ? okAsync(result.body.toString()) : errAsync(
      BamboolinkError.create(
        "refused",
        "the peer could not serve the request",
        {
          step: "peer.ask",
          peer,
        },
      ),
    );
  });
}

function parseResponse<S extends z.ZodType>(
  schema: S,
  text: string,
  peer: string,
): Result<z.infer<S>, BamboolinkError> {
  const createError = (cause: unknown) =>
    BamboolinkError.create(
      "unknown_effect",
      "the peer's response is malformed",
      { step: "peer.ask", peer, cause },
    );
  const parseJson = Result.fromThrowable(
    (): unknown => JSON.parse(text),
    createError,
  );
  return parseJson().andThen((value): Result<z.infer<S>, BamboolinkError> => {
    const parsed = schema.safeParse(value);
    return parsed.success ? ok(parsed.data) : err(createError(parsed.error));
  });
}
