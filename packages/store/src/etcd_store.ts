/**
 * A client of etcd's version 3 interface in its published JSON form (`/v3/kv/range`, `/v3/kv/txn`,
 * `/v3/lease/...`, `/v3/watch`). Keys and values are base64, 64-bit numbers are decimal strings.
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
  /** How long one call may take, in milliseconds. */
  readonly timeoutMs: number;
  readonly callsPerSecond: number;
  readonly callBurst: number;
  /** Gives numbers from 0 up to 1, for the spread of pauses. */
  readonly random: () => number;
}

/** How long a connection attempt may take, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Errors of a connection that was never made; no byte can have arrived. */
const NOT_CONNECTED = new Set([
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
const RangeAnswer = z.object({
  header: Header,
  kvs: z.array(KeyValue).default([]),
});
const TxnAnswer = z.object({
  header: Header,
  succeeded: z.boolean().default(false),
});
const LeaseAnswer = z.object({ ID: z.string() });
const KeepAliveAnswer = z.object({
  result: z.object({ ID: z.string(), TTL: int64 }),
});
const WatchAnswer = z.object({
  result: z.object({
    header: Header,
    canceled: z.boolean().default(false),
    compact_revision: int64,
    events: z.array(z.object({ type: z.string().default("PUT"), kv: KeyValue }))
      .default([]),
  }),
});

/** The platform's store behind etcd's published interface. */
export class EtcdStore extends Store {
  private constructor(
    private readonly options: EtcdStoreOptions,
    private readonly agent: Agent,
    private readonly budget: CallRateLimiter,
    private readonly outage: OutageBackoff,
  ) {
    super();
  }

  /** Creates a client; it connects when it is first used. */
  static create(options: EtcdStoreOptions): EtcdStore {
    const agent = new Agent({
      connect: { timeout: CONNECT_TIMEOUT_MS },
      bodyTimeout: 0,
    });
    const budget = CallRateLimiter.create({
      perSecond: options.callsPerSecond,
      burst: options.callBurst,
    });
    return new EtcdStore(options, agent, budget, OutageBackoff.create());
  }

  /** This service replicates its writes and does not go back. */
  override get era(): number {
    return 0;
  }

  override list(prefix: string): ResultAsync<Listing, BamboolinkError> {
    const body = {
      key: encode(prefix),
      range_end: encode(endOfPrefix(prefix)),
    };
    return this.call({
      path: "/v3/kv/range",
      body,
      step: "store.list",
      schema: RangeAnswer,
    })
      .map((answer) => ({
        records: answer.kvs.map(toRecord),
        revision: answer.header.revision,
      }));
  }

  override get(
    key: string,
  ): ResultAsync<StoredRecord | undefined, BamboolinkError> {
    return this.call({
      path: "/v3/kv/range",
      body: { key: encode(key) },
      step: "store.get",
      schema: RangeAnswer,
    })
      .map((answer) => answer.kvs.map(toRecord)[0]);
  }

  override compareAndSwap(
    cas: CasRequest,
  ): ResultAsync<number, BamboolinkError> {
    const step = "store.compare_and_swap";
    const key = encode(cas.key);
    const lease = cas.lease === undefined ? {} : { lease: cas.lease };
    const write = cas.value === undefined
      ? { request_delete_range: { key } }
      : { request_put: { key, value: encode(cas.value), ...lease } };
    const compare = {
      key,
      target: "MOD",
      result: "EQUAL",
      mod_revision: String(cas.expectedRevision),
    };
    const body = { compare: [compare], success: [write], failure: [] };
    return this.call({
      path: "/v3/kv/txn",
      body,
      step,
      schema: TxnAnswer,
      writes: true,
    })
      .andThen((answer) =>
        answer.succeeded ? ok(answer.header.revision) : err(
          this.fail("conflict", `${cas.key} was changed by somebody else`, {
            step,
          }),
        )
      );
  }

  override grantLease(
    ttlSeconds: number,
  ): ResultAsync<string, BamboolinkError> {
    const body = { TTL: String(ttlSeconds), ID: "0" };
    return this.call({
      path: "/v3/lease/grant",
      body,
      step: "store.grant_lease",
      schema: LeaseAnswer,
      writes: true,
    })
      .map((answer) => answer.ID);
  }

  override renewLease(lease: string): ResultAsync<void, BamboolinkError> {
    const step = "store.renew_lease";
    return this.call({
      path: "/v3/lease/keepalive",
      body: { ID: lease },
      step,
      schema: KeepAliveAnswer,
      writes: true,
    })
      .andThen((answer) =>
        answer.result.TTL > 0
          ? ok(undefined)
          : err(this.fail("not_found", `lease ${lease} has lapsed`, { step }))
      );
  }

  override revokeLease(lease: string): ResultAsync<void, BamboolinkError> {
    const schema = z.object({});
    return this.call({
      path: "/v3/lease/revoke",
      body: { ID: lease },
      step: "store.revoke_lease",
      schema,
      writes: true,
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
        key: encode(prefix),
        range_end: encode(endOfPrefix(prefix)),
        start_revision: String(options.fromRevision),
      },
    };
    this.runWatch(body, { abort, handler: options.handler })
      .then((end) => abort.signal.aborted || options.handler.onEnd(end));
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
    const held = this.holdBack(step);
    if (held !== undefined) {
      return held;
    }
    try {
      const response = await request(`${this.options.url}/v3/watch`, {
        ...this.requestOptions(body),
        signal: context.abort.signal,
      });
      this.outage.recordResponse();
      for await (const line of readLines(response.body)) {
        const { result } = WatchAnswer.parse(JSON.parse(line));
        if (result.canceled) {
          return this.fail(
            "not_found",
            `changes before revision ${result.compact_revision} are gone`,
            { step },
          );
        }
        context.handler.onChanges(result.events.map(({ type, kv }) => ({
          key: decode(kv.key),
          value: type === "DELETE" ? undefined : decode(kv.value),
          revision: kv.mod_revision,
        })));
      }
      return this.fail("unreachable", "the store ended the watch", { step });
    } catch (cause) {
      this.outage.recordFailure(performance.now(), this.options.random());
      return this.fail("unreachable", "the watch of the store broke", {
        step,
        cause,
      });
    }
  }

  /** Makes one call; `writes` decides whether a lost answer leaves the effect unknown. */
  private call<S extends z.ZodType>(
    call: {
      path: string;
      body: unknown;
      step: string;
      schema: S;
      writes?: boolean;
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
      writes?: boolean;
    },
  ): Promise<Result<z.infer<S>, BamboolinkError>> {
    const { step } = call;
    const held = this.holdBack(step);
    if (held !== undefined) {
      return err(held);
    }
    const lost: ErrorCode = call.writes === true
      ? "unknown_effect"
      : "unreachable";
    try {
      const response = await request(this.options.url + call.path, {
        ...this.requestOptions(call.body),
        signal: AbortSignal.timeout(this.options.timeoutMs),
      });
      const text = await response.body.text();
      this.outage.recordResponse();
      if (response.statusCode >= 500) {
        return err(
          this.fail(
            lost,
            `the store answered ${response.statusCode}: ${text}`,
            { step },
          ),
        );
      }
      if (response.statusCode !== 200) {
        return err(
          this.fail(
            "refused",
            `the store answered ${response.statusCode}: ${text}`,
            { step },
          ),
        );
      }
      return ok(call.schema.parse(JSON.parse(text)));
    } catch (cause) {
      const code =
        NOT_CONNECTED.has((cause as NodeJS.ErrnoException).code ?? "")
          ? "unreachable"
          : lost;
      return err(this.fail(code, "the store did not answer", { step, cause }));
    }
  }

  /** Whether a call is held back here, by the budget or because the store is away. */
  private holdBack(step: string): BamboolinkError | undefined {
    const nowMs = performance.now();
    if (!this.outage.mayCall(nowMs)) {
      return this.fail(
        "unreachable",
        "the store was unreachable a moment ago",
        { step },
      );
    }
    return this.budget.tryAcquire(nowMs)
      ? undefined
      : this.fail("overloaded", "the budget of calls to the store is used up", {
        step,
      });
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

  private fail(
    code: ErrorCode,
    message: string,
    at: { step: string; cause?: unknown },
  ): BamboolinkError {
    return BamboolinkError.create(code, message, {
      ...at,
      peer: new URL(this.options.url).host,
    });
  }
}

async function* readLines(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let rest = "";
  for await (const chunk of body) {
    const lines = (rest + decoder.decode(chunk, { stream: true })).split("\n");
    rest = lines.pop() ?? "";
    yield* lines.filter((line) => line.trim() !== "");
  }
}

function toRecord(kv: z.infer<typeof KeyValue>): StoredRecord {
  return {
    key: decode(kv.key),
    value: decode(kv.value),
    revision: kv.mod_revision,
    era: 0,
  };
}

function encode(text: string): string {
  return Buffer.from(text, "utf8").toString("base64");
}

function decode(text: string): string {
  return Buffer.from(text, "base64").toString("utf8");
}

/** The first key after all keys with a prefix. Our prefixes are ASCII and end in `/` or a letter. */
function endOfPrefix(prefix: string): string {
  return prefix.slice(0, -1) +
    String.fromCharCode(prefix.charCodeAt(prefix.length - 1) + 1);
}
