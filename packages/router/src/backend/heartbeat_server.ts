/**
 * HTTP server for the heartbeats and departures of the backend server on this host.
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
import { readBody } from "../ingress/http_body.ts";
import type {
  BackendNotification,
  BackendProtocol,
} from "../ports/backend_protocol.ts";

const MAX_BODY_BYTES = 4_194_304;
/** Keep-alive timeout in milliseconds; longer than the interval between two heartbeats. */
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

/**
 * Creates the server for heartbeats, which does not listen yet. It responds with 400 to a malformed notification and
 * with 503 to a heartbeat that is not acknowledged.
 */
export function createHeartbeatServer(context: {
  backendManager: BackendManager;
  protocol: BackendProtocol;
  logger: Logger;
}): Server {
  const { backendManager, protocol, logger } = context;
  const serve = async (incoming: IncomingMessage, response: ServerResponse) => {
    const read = await readBody(incoming, { bytes: MAX_BODY_BYTES });
    if (read.kind !== "body") {
      response.destroy();
      return;
    }
    const notification = protocol.parseNotification(
      incoming.method ?? "",
      incoming.url ?? "",
      read.body?.toString() ?? "",
    );
    if (notification.isErr()) {
      logger.log("heartbeat_unreadable", { cause: notification.error });
      response.writeHead(400, { "content-length": "0" }).end();
      return;
    }
    const heartbeatResponse = await handleNotification(
      backendManager,
      notification.value,
    );
    if (heartbeatResponse.kind === "unacknowledged") {
      response.writeHead(503, { "content-length": "0" }).end();
      return;
    }
    const text = protocol.encodeAcknowledgement(heartbeatResponse.grant);
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
    });
    response.end(text);
  };
  return createServer(
    { keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS },
    (incoming, response) => {
      serve(incoming, response).catch((cause) => {
        logger.log("unexpected_error", { step: "heartbeat_server", cause });
        response.destroy();
      });
    },
  );
}

async function handleNotification(
  backendManager: BackendManager,
  notification: BackendNotification,
): Promise<HeartbeatResponse> {
  if (notification.kind === "heartbeat") {
    return await backendManager.handleHeartbeat(notification);
  }
  backendManager.handleDeparture(notification);
  return { kind: "acknowledged", grant: undefined };
}
