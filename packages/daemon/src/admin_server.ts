/**
 * The admin server on loopback: announcements of the backend server, health checks, metrics and status.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Logger } from "@bamboolink/logger";
import type { Metrics } from "@bamboolink/metrics";
import { Announcement } from "@bamboolink/types";

const MAX_ANNOUNCEMENT_BYTES = 16_384;

/** Dependencies of the admin server. */
export interface AdminServerContext {
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called with each valid announcement; returns its conflicts with an earlier one, or an empty list to accept it. */
  readonly onAnnouncement: (announcement: Announcement) => readonly string[];
  /** Whether callers may send requests to this daemon. */
  readonly isReady: () => boolean;
  /** Returns the daemon's status, for people and tools. */
  readonly status: () => unknown;
}

/** The admin server, an HTTP server that listens on loopback. */
export class AdminServer {
  readonly server: Server;

  private constructor(private readonly context: AdminServerContext) {
    this.server = createServer((request, response) => {
      this.serve(request, response).catch((cause) => {
        context.logger.log("unexpected_error", {
          step: "admin_server.serve",
          cause,
        });
        response.destroy();
      });
    });
  }

  /** Creates a server; the caller makes `server` listen. */
  static create(context: AdminServerContext): AdminServer {
    return new AdminServer(context);
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    switch (`${request.method} ${request.url}`) {
      case "POST /bamboolink/v1/announcements":
        return await this.handleAnnouncement(request, response);
      case "GET /healthz":
        return sendJson(response, { status: 200, body: { status: "alive" } });
      case "GET /readyz": {
        const ready = this.context.isReady();
        return sendJson(response, {
          status: ready ? 200 : 503,
          body: {
            status: ready ? "ready" : "not ready",
          },
        });
      }
      case "GET /metrics":
        response.writeHead(200, {
          "content-type": "text/plain; version=0.0.4",
        });
        response.end(await this.context.metrics.render());
        return;
      case "GET /counters":
        return sendJson(response, {
          status: 200,
          body: await this.context.metrics.readCounters(),
        });
      case "GET /status":
        return sendJson(response, { status: 200, body: this.context.status() });
      default:
        return sendJson(response, {
          status: 404,
          body: {
            error: `unknown path ${request.method} ${request.url}`,
          },
        });
    }
  }

  private async handleAnnouncement(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const text = await readText(request);
    const parsed = Announcement.safeParse(parseJson(text ?? ""));
    if (parsed.success) {
      const conflicts = this.context.onAnnouncement(parsed.data);
      return conflicts.length === 0
        ? sendJson(response, { status: 200, body: { accepted: true } })
        : this.refuseAnnouncement(response, {
          status: 409,
          problems: conflicts,
        });
    }
    const problems = text === undefined
      ? [`the announcement is larger than ${MAX_ANNOUNCEMENT_BYTES} bytes`]
      : parsed.error.issues.map((issue) =>
        `${issue.path.join(".") || "(body)"}: ${issue.message}`
      );
    this.refuseAnnouncement(response, { status: 400, problems });
  }

  private refuseAnnouncement(
    response: ServerResponse,
    refusal: { status: number; problems: readonly string[] },
  ): void {
    const { status, problems } = refusal;
    this.context.logger.log("announcement_refused", { problems });
    sendJson(response, { status, body: { accepted: false, problems } });
  }
}

async function readText(request: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    size += (chunk as Buffer).length;
    if (size > MAX_ANNOUNCEMENT_BYTES) {
      return undefined;
    }
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString("utf8");
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function sendJson(
  response: ServerResponse,
  result: { status: number; body: unknown },
): void {
  response.writeHead(result.status, { "content-type": "application/json" });
  response.end(JSON.stringify(result.body));
}
