/**
 * A stand-in for a backend server: announces itself to the daemon of its host, runs requests, checks fencing
 * tokens if configured to, and records every run in a ledger.
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

/** Settings of a stand-in. */
export interface BackendStandinOptions {
  readonly host: string;
  readonly service: string;
  /** Admin address of the daemon on the stand-in's host, as `address:port`. */
  readonly daemon: string;
  /** Announced number of requests that run at once; the stand-in does not enforce it. */
  readonly slots: number;
  /** Announced maximum number of connections; the stand-in does not enforce it. */
  readonly connections: number;
  /** Whether requests with a stale fencing token or an expired grant are refused. */
  readonly checksFencing: boolean;
  /** Processing time of a request in milliseconds. */
  readonly serviceMs: number;
}

/** One execution of a request, as listed by `GET /standin/ledger`. */
export interface Run {
  readonly requestId: string;
  readonly idempotencyKey: string;
  readonly method: string;
  readonly url: string;
  readonly partition: number;
  readonly token: number;
  state: "running" | "finished" | "cancelled";
}

/** Response to a request that is not run. */
interface Refusal {
  readonly status: number;
  readonly error: string;
  readonly fenced: boolean;
}

/** Interval between announcements, in milliseconds. */
const ANNOUNCEMENT_INTERVAL_MS = 500;
/** Maximum number of runs in the ledger; the oldest are removed first. */
const MAX_LEDGER_RUNS = 200_000;

/** A stand-in for a backend server, as an HTTP server on loopback. */
export class BackendStandin {
  /** Executed requests, oldest first. */
  readonly ledger: Run[] = [];
  private readonly server: Server;
  private readonly highestTokens = new Map<number, number>();
  private faults = BackendFaults.parse({});
  private announcementTimer: NodeJS.Timeout | undefined;
  private state: Announcement["state"] = "ready";

  private constructor(private readonly options: BackendStandinOptions) {
    this.server = createServer((incoming, response) =>
      void this.handleRequest(incoming, response)
    );
    this.server.keepAliveTimeout = 60_000;
  }

  /** Creates a stand-in that is not listening. */
  static create(options: BackendStandinOptions): BackendStandin {
    return new BackendStandin(options);
  }

  /**
   * Listens on loopback, starts to announce itself and returns the port; 0 lets the system choose one. Rejects if
   * the port can't be bound.
   */
  async listen(port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, "127.0.0.1", resolve);
    });
    this.announcementTimer = setInterval(
      () => void this.announce(),
      ANNOUNCEMENT_INTERVAL_MS,
    );
    void this.announce();
    return this.port;
  }

  /** Announces that the stand-in is draining. */
  drain(): void {
    this.state = "draining";
    void this.announce();
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    clearInterval(this.announcementTimer);
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
      const response = await request(
        `http://${this.options.daemon}/bamboolink/v1/announcements`,
        {
          method: "POST",
          headers: { "content-type": "application/json" },
          body: JSON.stringify(announcement),
          signal: AbortSignal.timeout(ANNOUNCEMENT_INTERVAL_MS),
        },
      );
      await response.body.dump();
    } catch {
      // The daemon may not have started yet; the next announcement follows within ANNOUNCEMENT_INTERVAL_MS.
    }
  }

  private async handleRequest(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(incoming).catch(() => undefined);
    if (body === undefined) {
      return;
    }
    if (incoming.url?.startsWith("/standin/")) {
      return this.handleControl(incoming.url, { body, response });
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
    await this.executeRequest({ incoming, body }, response);
  }

  private handleControl(
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

  /** Refuses a token below the highest one seen for its partition, and a grant that has expired. */
  private checkFencing(incoming: IncomingMessage): Refusal | undefined {
    const partition = Number(incoming.headers[HEADERS.partition]);
    const token = Number(incoming.headers[HEADERS.fencingToken]);
    const expiresAtMs = Number(incoming.headers[HEADERS.grantExpires]);
    const highestToken = this.highestTokens.get(partition) ?? 0;
    if (!(token >= highestToken)) {
      return {
        status: 412,
        error: `fencing token ${token} is below ${highestToken}`,
        fenced: true,
      };
    }
    if (!(Number(process.hrtime.bigint() / 1_000_000n) < expiresAtMs)) {
      return { status: 412, error: "the grant has expired", fenced: true };
    }
    this.highestTokens.set(partition, token);
    return undefined;
  }

  private async executeRequest(
    request: { incoming: IncomingMessage; body: Buffer },
    response: ServerResponse,
  ): Promise<void> {
    const { incoming, body } = request;
    const run = this.recordRun(incoming);
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
    const responseBody = JSON.stringify({
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
      "content-length": Buffer.byteLength(responseBody),
    });
    if (this.faults.cut_answers > 0) {
      this.faults = {
        ...this.faults,
        cut_answers: this.faults.cut_answers - 1,
      };
      response.write(
        responseBody.slice(0, responseBody.length / 2),
        () => response.socket?.destroy(),
      );
      return;
    }
    response.end(responseBody);
  }

  private recordRun(incoming: IncomingMessage): Run {
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
    if (this.ledger.length > MAX_LEDGER_RUNS) {
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
  content: { status: number; body: unknown },
): void {
  response.writeHead(content.status, { "content-type": "application/json" });
  response.end(JSON.stringify(content.body));
}
