/**
 * Serves a daemon's metrics as plain text over HTTP.
 *
 * @module
 */
import { createServer } from "node:http";
import type { Logger } from "@bamboolink/logger";
import type { Metrics } from "@bamboolink/metrics";
import { splitAddress } from "./members/gossip_node.ts";

/** Starts the metrics server if an address is set. The server does not keep the process running. */
export function startMetricsServer(context: {
  address: string | undefined;
  metrics: Metrics;
  logger: Logger;
}): void {
  const { address, metrics, logger } = context;
  if (address === undefined) {
    return;
  }
  const server = createServer((_incoming, response) => {
    void metrics.render().then((text) => {
      response.writeHead(200, { "content-type": "text/plain" });
      response.end(text);
    });
  });
  server.on(
    "error",
    (cause) => logger.log("metrics_unavailable", { peer: address, cause }),
  );
  const { host, port } = splitAddress(address);
  server.listen(port, host);
  server.unref();
}
