/**
 * Takes what the backend server on this host says of itself.
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
import type { BackendManager, HeartbeatResponse } from "./backend_manager.ts";
import { readBody } from "./http_body.ts";
import type {
  BackendNotification,
  BackendProtocol,
} from "./ports/backend_protocol.ts";

const MAXIMUM_BODY_BYTES = 4_194_304;
/** Longer than the pause between two heartbeats, in milliseconds. */
const KEEP_ALIVE_MS = 30_000;

/** Creates the server for heartbeats; it does not listen yet. */
export function createHeartbeatServer(context: {
  backendManager: BackendManager;
  protocol: BackendProtocol;
  logger: Logger;
}): Server {
  const { backendManager, protocol, logger } = context;
  const serve = async (incoming: IncomingMessage, response: ServerResponse) => {
    const read = await readBody(incoming, { bytes: MAXIMUM_BODY_BYTES });
    if (read.kind !== "body") {
      response.destroy();
      return;
    }
    const notice = protocol.parseNotification(
      incoming.method ?? "",
      incoming.url ?? "",
      read.body?.toString() ?? "",
    );
    if (notice.isErr()) {
      logger.log("heartbeat_unreadable", { cause: notice.error });
      response.writeHead(400, { "content-length": "0" }).end();
      return;
    }
    const answer = await takeNotice(backendManager, notice.value);
    if (answer.kind === "unacknowledged") {
      response.writeHead(503, { "content-length": "0" }).end();
      return;
    }
    const text = protocol.encodeAcknowledgement(answer.grant);
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
    });
    response.end(text);
  };
  return createServer(
    { keepAliveTimeout: KEEP_ALIVE_MS },
    (incoming, response) => {
      serve(incoming, response).catch((cause) => {
        logger.log("unexpected_error", { step: "heartbeat_server", cause });
        response.destroy();
      });
    },
  );
}

async function takeNotice(
  keeper: BackendManager,
  notice: BackendNotification,
): Promise<HeartbeatResponse> {
  if (notice.kind === "heartbeat") {
    return await keeper.handleHeartbeat(notice);
  }
  keeper.handleDeparture(notice);
  return { kind: "acknowledged", grant: undefined };
}
