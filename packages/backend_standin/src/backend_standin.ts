/**
 * The backend server stand-in: it announces itself, runs requests in its slots, checks fencing tokens
 * if it is told to, and writes down every run.
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
import { type Announcement, HEADERS } from "@bamboolink/types";
import { request } from "undici";
import { BackendFaults } from "./backend_faults.ts";

/** How a stand-in behaves. */
export interface BackendStandinOptions {
  readonly host: string;
  readonly service: string;
  /** Admin address of the daemon on its host, `address:port`. */
  readonly daemon: string;
  readonly slots: number;
  readonly connections: number;
  readonly checksFencing: boolean;
  /** How long a request takes, in milliseconds. */
  readonly serviceMs: number;
}

/** One run of one request. */
export interface Run {
  readonly requestId: string;
  readonly idempotencyKey: string;
  readonly method: string;
  readonly url: string;
  readonly partition: number;
  readonly token: number;
  state: "running" | "finished" | "cancelled";
}

interface Refusal {
  readonly status: number;
  readonly error: string;
  readonly fenced: boolean;
}

/** How often the announcement is repeated, in milliseconds. */
const ANNOUNCE_EVERY_MS = 500;
/** The ledger keeps this many runs. */
const LEDGER_LIMIT = 200_000;

/** One backend server stand-in. */
export class BackendStandin {
  /** What ran, oldest first. */
  readonly ledger: Run[] = [];
  private readonly server: Server;
  private readonly highestTokens = new Map<number, number>();
  private faults = BackendFaults.parse({});
  private announcing: NodeJS.Timeout | undefined;
  private state: Announcement["state"] = "ready";

  private constructor(private readonly options: BackendStandinOptions) {
    this.server = createServer((incoming, response) =>
      void this.serve(incoming, response)
    );
    this.server.keepAliveTimeout = 60_000;
  }

  /** Creates a stand-in that does not listen yet. */
  static create(options: BackendStandinOptions): BackendStandin {
    return new BackendStandin(options);
  }

  /** Listens on loopback, begins to announce itself and returns the port. */
  async listen(port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, "127.0.0.1", resolve);
    });
    this.announcing = setInterval(
      () => void this.announce(),
      ANNOUNCE_EVERY_MS,
    );
    void this.announce();
    return this.port;
  }

  /** Announces that it drains. */
  drain(): void {
    this.state = "draining";
    void this.announce();
  }

  /** Stops and cuts all connections. */
  async close(): Promise<void> {
    clearInterval(this.announcing);
    const closed = new Promise((resolve) => this.server.close(resolve));
    this.server.closeAllConnections();
    await closed;
  }

  private get port(): number {
    return (this.server.address() as AddressInfo | null)?.port ?? 0;
  }

  private async announce(): Promise<void> {
    const announcement: Announcement = {
      service: this.options.service,
      port: this.port,
      slots: this.options.slots,
      connections: this.options.connections,
      checks_fencing: this.options.checksFencing,
      state: this.state,
    };
    try {
      const answer = await request(
        `http://${this.options.daemon}/bamboolink/v1/announcements`,
        {
          method: "POST",
          headers: { "content-type": "application/json" },
          body: JSON.stringify(announcement),
          signal: AbortSignal.timeout(ANNOUNCE_EVERY_MS),
        },
      );
      await answer.body.dump();
    } catch {
      // The daemon may not be up yet; the next announcement comes soon.
    }
  }

  private async serve(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(incoming).catch(() => undefined);
    if (body === undefined) {
      return;
    }
    if (incoming.url?.startsWith("/standin/")) {
      return this.serveControl(incoming.url, { body, response });
    }
    const refusal = this.findRefusal(incoming);
    if (refusal !== undefined) {
      if (refusal.fenced) {
        response.setHeader(HEADERS.fenced, "1");
      }
      return sendJson(response, {
        status: refusal.status,
        body: { error: refusal.error },
      });
    }
    await this.run({ incoming, body }, response);
  }

  private serveControl(
    url: string,
    context: { body: Buffer; response: ServerResponse },
  ): void {
    if (url === "/standin/ledger") {
      return sendJson(context.response, { status: 200, body: this.ledger });
    }
    if (url === "/standin/faults") {
      this.faults = BackendFaults.parse(
        JSON.parse(context.body.toString("utf8")),
      );
      return sendJson(context.response, { status: 200, body: {} });
    }
    if (url === "/standin/drain") {
      this.drain();
      return sendJson(context.response, { status: 200, body: {} });
    }
    sendJson(context.response, {
      status: 404,
      body: { error: "unknown path" },
    });
  }

  private findRefusal(incoming: IncomingMessage): Refusal | undefined {
    if (this.faults.shed) {
      return { status: 503, error: "shedding load", fenced: false };
    }
    return this.options.checksFencing ? this.checkFencing(incoming) : undefined;
  }

  /** Refuses a token below the highest one seen, and any grant that has expired. */
  private checkFencing(incoming: IncomingMessage): Refusal | undefined {
    const partition = Number(incoming.headers[HEADERS.partition]);
    const token = Number(incoming.headers[HEADERS.fencingToken]);
    const expires = Number(incoming.headers[HEADERS.grantExpires]);
    const highest = this.highestTokens.get(partition) ?? 0;
    if (!(token >= highest)) {
      return {
        status: 412,
        error: `fencing token ${token} is below ${highest}`,
        fenced: true,
      };
    }
    if (!(Number(process.hrtime.bigint() / 1_000_000n) < expires)) {
      return { status: 412, error: "the grant has expired", fenced: true };
    }
    this.highestTokens.set(partition, token);
    return undefined;
  }

  private async run(
    request: { incoming: IncomingMessage; body: Buffer },
    response: ServerResponse,
  ): Promise<void> {
    const { incoming, body } = request;
    const run = this.writeRun(incoming);
    response.on("close", () => {
      run.state = response.writableFinished ? "finished" : "cancelled";
    });
    if (this.faults.stuck) {
      return;
    }
    await sleep(this.faults.service_ms ?? this.options.serviceMs);
    if (response.destroyed) {
      return;
    }
    const answer = JSON.stringify({
      request_id: run.requestId,
      url: run.url,
      served_by: this.options.host,
      partition: run.partition,
      token: run.token,
      received_bytes: body.length,
      echo: body.toString("utf8").slice(0, 1_000),
    });
    response.writeHead(incoming.method === "POST" ? 201 : 200, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(answer),
    });
    if (this.faults.cut_answers > 0) {
      this.faults = {
        ...this.faults,
        cut_answers: this.faults.cut_answers - 1,
      };
      response.write(
        answer.slice(0, answer.length / 2),
        () => response.socket?.destroy(),
      );
      return;
    }
    response.end(answer);
  }

  private writeRun(incoming: IncomingMessage): Run {
    const run: Run = {
      requestId: String(incoming.headers[HEADERS.requestId] ?? ""),
      idempotencyKey: String(incoming.headers[HEADERS.idempotencyKey] ?? ""),
      method: incoming.method ?? "",
      url: incoming.url ?? "",
      partition: Number(incoming.headers[HEADERS.partition]),
      token: Number(incoming.headers[HEADERS.fencingToken]),
      state: "running",
    };
    this.ledger.push(run);
    if (this.ledger.length > LEDGER_LIMIT) {
      this.ledger.shift();
    }
    return run;
  }
}

async function readBody(incoming: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of incoming) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

function sendJson(
  response: ServerResponse,
  answer: { status: number; body: unknown },
): void {
  response.writeHead(answer.status, { "content-type": "application/json" });
  response.end(JSON.stringify(answer.body));
}
