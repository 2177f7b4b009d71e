/**
 * The server on loopback: announcements of the backend server, health, metrics and status.
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

/** The largest announcement in bytes. */
const MAXIMUM_BYTES = 16_384;

/** What the server needs. */
export interface AdminServerContext {
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Takes an announcement and returns what is wrong with it. */
  readonly onAnnouncement: (announcement: Announcement) => readonly string[];
  /** Whether callers should be sent here. */
  readonly isReady: () => boolean;
  /** Status for people and tools. */
  readonly status: () => unknown;
}

/** The server on loopback. */
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

  /** Creates a server that does not listen yet. */
  static create(context: AdminServerContext): AdminServer {
    return new AdminServer(context);
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    switch (`${request.method} ${request.url}`) {
      case "POST /bamboolink/v1/announcements":
        return await this.takeAnnouncement(request, response);
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

  private async takeAnnouncement(
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
      ? [`the announcement is larger than ${MAXIMUM_BYTES} bytes`]
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
    if (size > MAXIMUM_BYTES) {
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
  answer: { status: number; body: unknown },
): void {
  response.writeHead(answer.status, { "content-type": "application/json" });
  response.end(JSON.stringify(answer.body));
}
