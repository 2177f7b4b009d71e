/**
 * HTTP server of the stand-in: the calls of the key-value service, and the control calls under `/standin/`.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import { Faults, FaultSettings } from "./faults.ts";
import {
  MAX_VALUE_BYTES,
  MemoryKeyValueStore,
  type RecordChange,
  type StoredRecord,
} from "./memory_key_value_store.ts";

const RangeRequest = z.object({
  key: z.string(),
  range_end: z.string().optional(),
});
const TxnRequest = z.object({
  compare: z.array(z.object({
    key: z.string(),
    target: z.literal("MOD"),
    result: z.literal("EQUAL"),
    mod_revision: z.coerce.number(),
  })).min(1),
  success: z.tuple([
    z.union([
      z.object({
        request_put: z.object({
          key: z.string(),
          value: z.string(),
          lease: z.string().optional(),
        }),
      }),
      z.object({ request_delete_range: z.object({ key: z.string() }) }),
    ]),
  ]),
  failure: z.array(z.object({ request_range: RangeRequest })).default([]),
});
const WatchRequest = z.object({
  create_request: z.object({
    key: z.string(),
    range_end: z.string(),
    start_revision: z.coerce.number(),
  }),
});
const GrantRequest = z.object({ TTL: z.coerce.number().min(1) });
const LeaseRequest = z.object({ ID: z.string() });

/** Interval between checks for expired leases, in milliseconds. */
const LEASE_SWEEP_INTERVAL_MS = 50;

type CallHandler = (body: unknown, response: ServerResponse) => unknown;

/** Error that is sent as a response with the given status. */
class HttpError extends Error {
  constructor(readonly status: number, message: string) {
    super(message);
  }
}

/** A stand-in for the key-value service, as an HTTP server on loopback. */
export class StoreStandin {
  /** The stored state, accessible to tests. */
  readonly store = MemoryKeyValueStore.create();
  /** The injected faults, settable by tests. */
  readonly faults = Faults.create();
  private readonly server: Server;
  private leaseSweepTimer: NodeJS.Timeout | undefined;
  private readonly handlers: Readonly<Record<string, CallHandler>> = {
    "/v3/kv/range": (body) => this.range(RangeRequest.parse(body)),
    "/v3/kv/txn": (body) => this.transact(TxnRequest.parse(body)),
    "/v3/lease/grant": (body) => this.grantLease(GrantRequest.parse(body)),
    "/v3/lease/keepalive": (body) => this.keepAlive(LeaseRequest.parse(body)),
    "/v3/lease/revoke": (body) => this.revokeLease(LeaseRequest.parse(body)),
    "/v3/watch": (body, response) =>
      this.watch(WatchRequest.parse(body), response),
  };

  private constructor() {
    this.server = createServer((request, response) =>
      void this.handleRequest(request, response)
    );
  }

  /** Creates a stand-in that is not listening. */
  static create(): StoreStandin {
    return new StoreStandin();
  }

  /** Listens on loopback and returns the port; 0 lets the system choose one. Rejects if the port can't be bound. */
  async listen(port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, "127.0.0.1", resolve);
    });
    this.leaseSweepTimer = setInterval(
      () => this.store.expireLeases(performance.now()),
      LEASE_SWEEP_INTERVAL_MS,
    );
    return (this.server.address() as AddressInfo).port;
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    clearInterval(this.leaseSweepTimer);
    const closed = new Promise((resolve) => this.server.close(resolve));
    this.server.closeAllConnections();
    await closed;
  }

  private async handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = request.url ?? "";
    try {
      const text = await readBody(request);
      if (path.startsWith("/standin/")) {
        response.on("finish", () => this.closeConnectionsIfDown());
        return sendJson(response, {
          status: 200,
          body: this.handleControl(path, text),
        });
      }
      this.faults.countCall(path);
      if (this.faults.down) {
        request.socket.destroy();
        return;
      }
      await this.handleCall({ path, text }, response);
    } catch (cause) {
      const status = cause instanceof HttpError ? cause.status : 400;
      sendJson(response, {
        status,
        body: { code: 3, message: (cause as Error).message },
      });
    }
  }

  private async handleCall(
    call: { path: string; text: string },
    response: ServerResponse,
  ): Promise<void> {
    const handler = this.handlers[call.path];
    if (handler === undefined) {
      throw new HttpError(404, `unknown path ${call.path}`);
    }
    const result = handler(JSON.parse(call.text), response);
    if (result === undefined) {
      return;
    }
    const isWrite = call.path !== "/v3/kv/range";
    const isDropped = isWrite && this.faults.consumeDroppedResponse();
    if (this.faults.responseDelayMs > 0) {
      await sleep(this.faults.responseDelayMs);
    }
    if (isDropped || this.faults.down) {
      response.socket?.destroy();
      return;
    }
    sendJson(response, { status: 200, body: result });
  }

  private handleControl(path: string, text: string): unknown {
    if (path === "/standin/counts") {
      return { calls: this.faults.counts, revision: this.store.revision };
    }
    if (path === "/standin/faults") {
      this.setFaults(FaultSettings.parse(JSON.parse(text)));
      return {};
    }
    throw new HttpError(404, `unknown path ${path}`);
  }

  /** Replaces the injected faults and ends all leases if requested. */
  setFaults(settings: FaultSettings): void {
    this.faults.set(settings);
    if (settings.lapse_leases) {
      this.store.revokeAllLeases();
    }
  }

  /** Closes the open connections if the stand-in is down. */
  private closeConnectionsIfDown(): void {
    if (this.faults.down) {
      this.server.closeAllConnections();
    }
  }

  private get header(): { revision: string } {
    return { revision: String(this.store.revision) };
  }

  private range(request: z.infer<typeof RangeRequest>): unknown {
    const kvs = this.store.range(request.key, request.range_end).map(
      encodeRecord,
    );
    return { header: this.header, kvs, count: String(kvs.length) };
  }

  private transact(request: z.infer<typeof TxnRequest>): unknown {
    const [operation] = request.success;
    const write = "request_put" in operation
      ? { lease: undefined, ...operation.request_put }
      : {
        key: operation.request_delete_range.key,
        value: undefined,
        lease: undefined,
      };
    if (
      write.value !== undefined &&
      Buffer.byteLength(write.value, "base64") > MAX_VALUE_BYTES
    ) {
      throw new HttpError(400, "request is too large");
    }
    if (write.lease !== undefined && !this.store.hasLease(write.lease)) {
      throw new HttpError(404, "requested lease not found");
    }
    const isExpected = request.compare.every(({ key, mod_revision }) =>
      this.store.revisionOf(key) === mod_revision
    );
    if (!isExpected) {
      const responses = request.failure.map(({ request_range: { key } }) => ({
        response_range: {
          header: this.header,
          kvs: this.store.range(key, undefined).map(encodeRecord),
        },
      }));
      return { header: this.header, responses };
    }
    this.store.write(write);
    return { header: this.header, succeeded: true };
  }

  private grantLease(request: z.infer<typeof GrantRequest>): unknown {
    const id = this.store.grantLease(request.TTL * 1_000, performance.now());
    return { header: this.header, ID: id, TTL: String(request.TTL) };
  }

  private keepAlive(request: z.infer<typeof LeaseRequest>): unknown {
    const ttlMs = this.store.renewLease(request.ID, performance.now());
    const ttl = ttlMs > 0 ? { TTL: String(ttlMs / 1_000) } : {};
    return { result: { header: this.header, ID: request.ID, ...ttl } };
  }

  private revokeLease(request: z.infer<typeof LeaseRequest>): unknown {
    this.store.revokeLease(request.ID);
    return { header: this.header };
  }

  private watch(
    request: z.infer<typeof WatchRequest>,
    response: ServerResponse,
  ): undefined {
    const { key, range_end: end, start_revision: start } =
      request.create_request;
    const range = { key, end };
    const pastChanges = this.store.changesSince(start, range);
    response.writeHead(200, { "content-type": "application/json" });
    if (pastChanges === undefined) {
      const compaction = {
        canceled: true,
        compact_revision: String(this.store.revision),
      };
      response.end(
        JSON.stringify({ result: { header: this.header, ...compaction } }) +
          "\n",
      );
      return;
    }
    this.writeWatchResult(response, { created: true });
    pastChanges.forEach((change) =>
      this.writeWatchResult(response, { events: [encodeChange(change)] })
    );
    const unsubscribe = this.store.subscribe(range, (change) => {
      if (!this.faults.down) {
        this.writeWatchResult(response, { events: [encodeChange(change)] });
      }
    });
    response.on("close", unsubscribe);
  }

  private writeWatchResult(response: ServerResponse, fields: object): void {
    response.write(
      JSON.stringify({ result: { header: this.header, ...fields } }) + "\n",
    );
  }
}

function encodeRecord(record: StoredRecord): unknown {
  return {
    key: record.key,
    value: record.value,
    mod_revision: String(record.revision),
  };
}

function encodeChange(change: RecordChange): unknown {
  const kv = {
    key: change.key,
    value: change.value,
    mod_revision: String(change.revision),
  };
  return change.type === "DELETE" ? { type: "DELETE", kv } : { kv };
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString("utf8");
}

function sendJson(
  response: ServerResponse,
  content: { status: number; body: unknown },
): void {
  response.writeHead(content.status, { "content-type": "application/json" });
  response.end(JSON.stringify(content.body));
}
