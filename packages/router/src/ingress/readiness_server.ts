/**
 * Serves the readiness check, by which the platform learns whether callers may send requests to this daemon.
 *
 * @module
 */
import { createServer, type Server } from "node:http";
import type { CallerProtocol } from "../ports/caller_protocol.ts";

/** Creates the server for readiness checks, which responds with 200, or 503 if not ready; it is not listening yet. */
export function createReadinessServer(context: {
  callers: CallerProtocol;
  isReady: () => boolean;
}): Server {
  const { callers, isReady } = context;
  return createServer((incoming, response) => {
    const isCheck = callers.isReadinessCheck(
      incoming.method ?? "",
      incoming.url ?? "",
    );
    response.writeHead(!isCheck ? 404 : isReady() ? 200 : 503, {
      "content-length": "0",
    });
    response.end();
  });
}
