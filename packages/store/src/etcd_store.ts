/**
 * Client of etcd's version 3 API over its JSON gateway (`/v3/kv/range`, `/v3/kv/txn`, `/v3/lease/...`, `/v3/watch`).
 * Keys and values are base64, 64-bit numbers are decimal strings.
 *
 * @module
 */
import { BamboolinkError, type ErrorCode } from "@bamboolink/errors";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { Agent, type Dispatcher, request } from "undici";
import { z } from "zod";
import { CallRateLimiter } from "./call_rate_limiter.ts";
import { OutageBackoff } from "./outage_backoff.ts";
import {
  type CasRequest,
  type Listing,
  Store,
  type StoredRecord,
  type Watch,
  type WatchHandler,
  type WatchOptions,
} from "./store.ts";

/** Settings of the client. */
export interface EtcdStoreOptions {
  /** For example `http://127.0.0.1:2379`. */
  readonly url: string;
  /** Timeout of one call, in milliseconds. */
  readonly timeoutMs: number;
  readonly callsPerSecond: number;
  readonly callBurst: number;
  /** Returns numbers in [0, 1), for the jitter of pauses. */
  readonly random: () => number;
}

const CONNECT_TIMEOUT_MS = 1_000;
/** Error codes of connection attempts that failed, so that no byte can have reached the store. */
const NOT_CONNECTED_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "UND_ERR_CONNECT_TIMEOUT",
]);

const int64 = z.coerce.number().default(0);
const Header = z.object({ revision: int64 });
const KeyValue = z.object({
  key: z.string(),
  value: z.string().default(""),
  mod_revision: int64,
});
const RangeResponse = z.object({
  header: Header,
  kvs: z.array(KeyValue).default([]),
});
const TxnResponse = z.object({
  header: Header,
  succeeded: z.boolean().default(false),
  /** The result of the failure branch: a read of the guard, if there is one. */
  responses: z.array(
    z.object({
      response_range: z.object({ kvs: z.array(KeyValue).default([]) }),
    })
      .partial(),
  ).default([]),
});
const LeaseResponse = z.object({ ID: z.string() });
const KeepAliveResponse = z.object({
  result: z.object({ ID: z.string(), TTL: int64 }),
});
const WatchResponse = z.object({
  result: z.object({
    header: Header,
    canceled: z.boolean().default(false),
    compact_revision: int64,
    events: z.array(z.object({ type: z.string().default("PUT"), kv: KeyValue }))
      .default([]),
  }),
});

/** The platform's key-value service, accessed through etcd's API. */
export class EtcdStore extends Store {
  private constructor(
    private readonly options: EtcdStoreOptions,
    private readonly agent: Agent,
    private readonly rateLimiter: CallRateLimiter,
    private readonly outageBackoff: OutageBackoff,
  ) {
    super();
  }

  /** Creates a client; it connects on first use. */
  static create(options: EtcdStoreOptions): EtcdStore {
    const agent = new Agent({
      connect: { timeout: CONNECT_TIMEOUT_MS },
      bodyTimeout: 0,
    });
    const rateLimiter = CallRateLimiter.create({
      perSecond: options.callsPerSecond,
      burst: options.callBurst,
    });
    return new EtcdStore(options, agent, rateLimiter, OutageBackoff.create());
  }

  /** Always 0: etcd replicates its writes and is not rolled back to an older snapshot. */
  override get era(): number {
    return 0;
  }

  override list(prefix: string): ResultAsync<Listing, BamboolinkError> {
    const body = {
      key: toBase64(prefix),
      range_end: toBase64(endOfPrefix(prefix)),
    };
    return this.call({
      path: "/v3/kv/range",
      body,
      step: "store.list",
      schema: RangeResponse,
    })
      .map((response) => ({
        records: response.kvs.map(toRecord),
        revision: response.header.revision,
      }));
  }

  override get(
    key: string,
  ): ResultAsync<StoredRecord | undefined, BamboolinkError> {
    return this.call({
      path: "/v3/kv/range",
      body: { key: toBase64(key) },
      step: "store.get",
      schema: RangeResponse,
    })
      .map((response) => response.kvs.map(toRecord)[0]);
  }

  override compareAndSwap(
    cas: CasRequest,
  ): ResultAsync<number, BamboolinkError> {
    const step = "store.compare_and_swap";
    const key = toBase64(cas.key);
    const lease = cas.lease === undefined ? {} : { lease: cas.lease };
    const write = cas.value === undefined
      ? { request_delete_range: { key } }
      : { request_put: { key, value: toBase64(cas.value), ...lease } };
    const { guard } = cas;
    const guardKey = toBase64(guard?.key ?? "");
    const body = {
      compare: [
        compareRevision(key, cas.expectedRevision),
        ...(guard === undefined
          ? []
          : [compareRevision(guardKey, guard.revision)]),
      ],
      success: [write],
      failure: guard === undefined
        ? []
        : [{ request_range: { key: guardKey } }],
    };
    return this.call({
      path: "/v3/kv/txn",
      body,
      step,
      schema: TxnResponse,
      isWrite: true,
    })
      .andThen((response) => {
        if (response.succeeded) {
          return ok(response.header.revision);
        }
        const found = response.responses[0]?.response_range?.kvs[0];
        const hasGuard = guard === undefined ||
          (found?.mod_revision ?? 0) === guard.revision;
        return err(
          hasGuard
            ? this.createError(
              "conflict",
              `${cas.key} was changed by another writer`,
              { step },
            )
            : this.createError("superseded", `${guard.key} has changed`, {
              step,
            }),
        );
      });
  }

  override grantLease(
    ttlSeconds: number,
  ): ResultAsync<string, BamboolinkError> {
    const body = { TTL: String(ttlSeconds), ID: "0" };
    return this.call({
      path: "/v3/lease/grant",
      body,
      step: "store.grant_lease",
      schema: LeaseResponse,
      isWrite: true,
    })
      .map((response) => response.ID);
  }

  override renewLease(lease: string): ResultAsync<void, BamboolinkError> {
    const step = "store.renew_lease";
    return this.call({
      path: "/v3/lease/keepalive",
      body: { ID: lease },
      step,
      schema: KeepAliveResponse,
      isWrite: true,
    })
      .andThen((response) =>
        response.result.TTL > 0 ? ok(undefined) : err(
          this.createError("not_found", `lease ${lease} has expired`, {
            step,
          }),
        )
      );
  }

  override revokeLease(lease: string): ResultAsync<void, BamboolinkError> {
    const schema = z.object({});
    return this.call({
      path: "/v3/lease/revoke",
      body: { ID: lease },
      step: "store.revoke_lease",
      schema,
      isWrite: true,
    })
      .map(() => undefined);
  }

  override watch(
    prefix: string,
    options: WatchOptions,
  ): Watch {
    const abort = new AbortController();
    const body = {
      create_request: {
        key: toBase64(prefix),
        range_end: toBase64(endOfPrefix(prefix)),
        start_revision: String(options.fromRevision),
      },
    };
    this.runWatch(body, { abort, handler: options.handler })
      .then((error) => abort.signal.aborted || options.handler.onEnd(error));
    return { stop: () => abort.abort() };
  }

  override close(): Promise<void> {
    return this.agent.destroy();
  }

  private async runWatch(
    body: unknown,
    context: { abort: AbortController; handler: WatchHandler },
  ): Promise<BamboolinkError> {
    const step = "store.watch";
    const rejection = this.findThrottlingError(step);
    if (rejection !== undefined) {
      return rejection;
    }
    try {
      const response = await request(`${this.options.url}/v3/watch`, {
        ...this.requestOptions(body),
        signal: context.abort.signal,
      });
      this.outageBackoff.recordResponse();
      for await (const line of readLines(response.body)) {
        const { result } = WatchResponse.parse(JSON.parse(line));
        if (result.canceled) {
          return this.createError(
            "not_found",
            `changes before revision ${result.compact_revision} have been compacted`,
            { step },
          );
        }
        context.handler.onChanges(result.events.map(({ type, kv }) => ({
          key: fromBase64(kv.key),
          value: type === "DELETE" ? undefined : fromBase64(kv.value),
          revision: kv.mod_revision,
        })));
      }
      return this.createError(
        "unreachable",
        "the store closed the watch stream",
        { step },
      );
    } catch (cause) {
      this.outageBackoff.recordFailure(
        performance.now(),
        this.options.random(),
      );
      return this.createError("unreachable", "the watch of the store failed", {
        step,
        cause,
      });
    }
  }

  /** Makes one call; `isWrite` decides whether a lost response leaves the effect unknown. */
  private call<S extends z.ZodType>(
    call: {
      path: string;
      body: unknown;
      step: string;
      schema: S;
      isWrite?: boolean;
    },
  ): ResultAsync<z.infer<S>, BamboolinkError> {
    return new ResultAsync(this.makeCall(call));
  }

  private async makeCall<S extends z.ZodType>(
    call: {
      path: string;
      body: unknown;
      step: string;
      schema: S;
      isWrite?: boolean;
    },
  ): Promise<Result<z.infer<S>, BamboolinkError>> {
    const { step } = call;
    const rejection = this.findThrottlingError(step);
    if (rejection !== undefined) {
      return err(rejection);
    }
    const lostResponseCode: ErrorCode = call.isWrite === true
      ? "unknown_effect"
      : "unreachable";
    try {
      const response = await request(this.options.url + call.path, {
        ...this.requestOptions(call.body),
        signal: AbortSignal.timeout(this.options.timeoutMs),
      });
      const text = await response.body.text();
      this.outageBackoff.recordResponse();
      if (response.statusCode >= 500) {
        return err(
          this.createError(
            lostResponseCode,
            `the store responded with ${response.statusCode}: ${text}`,
            { step },
          ),
        );
      }
      if (response.statusCode !== 200) {
        return err(
          this.createError(
            "refused",
            `the store responded with ${response.statusCode}: ${text}`,
            { step },
          ),
        );
      }
      return ok(call.schema.parse(JSON.parse(text)));
    } catch (cause) {
      const code =
        NOT_CONNECTED_CODES.has((cause as NodeJS.ErrnoException).code ?? "")
          ? "unreachable"
          : lostResponseCode;
      return err(
        this.createError(code, "the store did not respond", { step, cause }),
      );
    }
  }

  /** The error of a call that must not be made, because of the rate limit or an outage; else `undefined`. */
  private findThrottlingError(step: string): BamboolinkError | undefined {
    const nowMs = performance.now();
    if (!this.outageBackoff.mayCall(nowMs)) {
      return this.createError(
        "unreachable",
        "no call is made while backing off from an unreachable store",
        { step },
      );
    }
    return this.rateLimiter.tryAcquire(nowMs) ? undefined : this.createError(
      "overloaded",
      "the rate limit of calls to the store is reached",
      {
        step,
      },
    );
  }

  private requestOptions(
    body: unknown,
  ): Omit<Dispatcher.RequestOptions, "path" | "origin"> & {
    dispatcher: Agent;
  } {
    return {
      dispatcher: this.agent,
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(body),
    };
  }

  private createError(
    code: ErrorCode,
    message: string,
    details: { step: string; cause?: unknown },
  ): BamboolinkError {
    return BamboolinkError.create(code, message, {
      ...details,
      peer: new URL(this.options.url).host,
    });
  }
}

async function* readLines(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let partialLine = "";
  for await (const chunk of body) {
    const lines = (partialLine + decoder.decode(chunk, { stream: true })).split(
      "\n",
    );
    partialLine = lines.pop() ?? "";
    yield* lines.filter((line) => line.trim() !== "");
  }
}

function toRecord(kv: z.infer<typeof KeyValue>): StoredRecord {
  return {
    key: fromBase64(kv.key),
    value: fromBase64(kv.value),
    revision: kv.mod_revision,
    era: 0,
  };
}

/** A condition of a transaction: the record is at a revision, 0 if there is none. */
function compareRevision(key: string, revision: number) {
  return {
    key,
    target: "MOD",
    result: "EQUAL",
    mod_revision: String(revision),
  };
}

function toBase64(text: string): string {
  return Buffer.from(text, "utf8").toString("base64");
}

function fromBase64(text: string): string {
  return Buffer.from(text, "base64").toString("utf8");
}

/** The first key after all keys with a prefix. The prefixes in use are ASCII and end in `/` or a letter. */
function endOfPrefix(prefix: string): string {
  return prefix.slice(0, -1) +
    String.fromCharCode(prefix.charCodeAt(prefix.length - 1) + 1);
}
