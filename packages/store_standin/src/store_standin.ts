/**
 * The HTTP side of the stand-in.
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
  KeyValueMemory,
  MAXIMUM_VALUE_BYTES,
  type MemoryChange,
  type MemoryRecord,
} from "./key_value_memory.ts";

const RangeRequest = z.object({
  key: z.string(),
  range_end: z.string().optional(),
});
const TxnRequest = z.object({
  compare: z.tuple([
    z.object({
      key: z.string(),
      target: z.literal("MOD"),
      result: z.literal("EQUAL"),
      mod_revision: z.coerce.number(),
    }),
  ]),
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

/** How often leases are looked over, in milliseconds. */
const LEASE_SWEEP_MS = 50;

type Handler = (body: unknown, response: ServerResponse) => unknown;

/** An answer other than 200. */
class Refusal extends Error {
  constructor(readonly status: number, message: string) {
    super(message);
  }
}

/** The stand-in as one HTTP server on loopback. */
export class StoreStandin {
  /** The records; tests may look into them. */
  readonly memory = KeyValueMemory.create();
  /** The faults; tests may set them. */
  readonly faults = Faults.create();
  private readonly server: Server;
  private sweep: NodeJS.Timeout | undefined;
  private readonly handlers: Readonly<Record<string, Handler>> = {
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
      void this.serve(request, response)
    );
  }

  /** Creates a stand-in that does not listen yet. */
  static create(): StoreStandin {
    return new StoreStandin();
  }

  /** Listens on loopback and returns the port. */
  async listen(port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, "127.0.0.1", resolve);
    });
    this.sweep = setInterval(
      () => this.memory.expireLeases(performance.now()),
      LEASE_SWEEP_MS,
    );
    return (this.server.address() as AddressInfo).port;
  }

  /** Stops and cuts all connections. */
  async close(): Promise<void> {
    clearInterval(this.sweep);
    const closed = new Promise((resolve) => this.server.close(resolve));
    this.server.closeAllConnections();
    await closed;
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = request.url ?? "";
    try {
      const text = await readText(request);
      if (path.startsWith("/standin/")) {
        response.on("finish", () => this.cutIfDown());
        return send(response, {
          status: 200,
          body: this.serveControl(path, text),
        });
      }
      this.faults.countCall(path);
      if (this.faults.down) {
        request.socket.destroy();
        return;
      }
      await this.serveCall({ path, text }, response);
    } catch (cause) {
      const status = cause instanceof Refusal ? cause.status : 400;
      send(response, {
        status,
        body: { code: 3, message: (cause as Error).message },
      });
    }
  }

  private async serveCall(
    call: { path: string; text: string },
    response: ServerResponse,
  ): Promise<void> {
    const handler = this.handlers[call.path];
    if (handler === undefined) {
      throw new Refusal(404, `unknown path ${call.path}`);
    }
    const answer = handler(JSON.parse(call.text), response);
    if (answer === undefined) {
      return;
    }
    const writes = call.path !== "/v3/kv/range";
    const lost = writes && this.faults.takeLostAnswer();
    if (this.faults.delayMs > 0) {
      await sleep(this.faults.delayMs);
    }
    if (lost || this.faults.down) {
      response.socket?.destroy();
      return;
    }
    send(response, { status: 200, body: answer });
  }

  private serveControl(path: string, text: string): unknown {
    if (path === "/standin/counts") {
      return { calls: this.faults.counts, revision: this.memory.revision };
    }
    if (path === "/standin/faults") {
      this.setFaults(FaultSettings.parse(JSON.parse(text)));
      return {};
    }
    throw new Refusal(404, `unknown path ${path}`);
  }

  /** Puts faults in force. */
  setFaults(settings: FaultSettings): void {
    this.faults.set(settings);
    if (settings.lapse_leases) {
      this.memory.lapseAllLeases();
    }
  }

  /** Going down also cuts the connections that are open. */
  private cutIfDown(): void {
    if (this.faults.down) {
      this.server.closeAllConnections();
    }
  }

  private get header(): { revision: string } {
    return { revision: String(this.memory.revision) };
  }

  private range(request: z.infer<typeof RangeRequest>): unknown {
    const kvs = this.memory.range(request.key, request.range_end).map(
      writeRecord,
    );
    return { header: this.header, kvs, count: String(kvs.length) };
  }

  private transact(request: z.infer<typeof TxnRequest>): unknown {
    const [compare] = request.compare;
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
      Buffer.byteLength(write.value, "base64") > MAXIMUM_VALUE_BYTES
    ) {
      throw new Refusal(400, "request is too large");
    }
    if (write.lease !== undefined && !this.memory.hasLease(write.lease)) {
      throw new Refusal(404, "requested lease not found");
    }
    const succeeded = this.memory.compareAndSwap(write, compare.mod_revision);
    return { header: this.header, ...(succeeded ? { succeeded } : {}) };
  }

  private grantLease(request: z.infer<typeof GrantRequest>): unknown {
    const id = this.memory.grantLease(request.TTL * 1_000, performance.now());
    return { header: this.header, ID: id, TTL: String(request.TTL) };
  }

  private keepAlive(request: z.infer<typeof LeaseRequest>): unknown {
    const ttlMs = this.memory.renewLease(request.ID, performance.now());
    const ttl = ttlMs > 0 ? { TTL: String(ttlMs / 1_000) } : {};
    return { result: { header: this.header, ID: request.ID, ...ttl } };
  }

  private revokeLease(request: z.infer<typeof LeaseRequest>): unknown {
    this.memory.revokeLease(request.ID);
    return { header: this.header };
  }

  private watch(
    request: z.infer<typeof WatchRequest>,
    response: ServerResponse,
  ): undefined {
    const { key, range_end: end, start_revision: start } =
      request.create_request;
    const range = { key, end };
    const missed = this.memory.changesSince(start, range);
    response.writeHead(200, { "content-type": "application/json" });
    if (missed === undefined) {
      const compact = {
        canceled: true,
        compact_revision: String(this.memory.revision),
      };
      response.end(
        JSON.stringify({ result: { header: this.header, ...compact } }) + "\n",
      );
      return;
    }
    this.writeWatch(response, { created: true });
    missed.forEach((change) =>
      this.writeWatch(response, { events: [writeChange(change)] })
    );
    const stop = this.memory.listen(range, (change) => {
      if (!this.faults.down) {
        this.writeWatch(response, { events: [writeChange(change)] });
      }
    });
    response.on("close", stop);
  }

  private writeWatch(response: ServerResponse, fields: object): void {
    response.write(
      JSON.stringify({ result: { header: this.header, ...fields } }) + "\n",
    );
  }
}

function writeRecord(record: MemoryRecord): unknown {
  return {
    key: record.key,
    value: record.value,
    mod_revision: String(record.revision),
  };
}

function writeChange(change: MemoryChange): unknown {
  const kv = {
    key: change.key,
    value: change.value,
    mod_revision: String(change.revision),
  };
  return change.type === "DELETE" ? { type: "DELETE", kv } : { kv };
}

async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString("utf8");
}

function send(
  response: ServerResponse,
  answer: { status: number; body: unknown },
): void {
  response.writeHead(answer.status, { "content-type": "application/json" });
  response.end(JSON.stringify(answer.body));
}
