/**
 * Server process of the hop benchmark: HTTP/1.1, HTTP/2 and connect-es, each on its own port; sends the ports to its
 * parent process.
 *
 * @module
 */
import { createServer } from "node:http";
import { createServer as createHttp2Server } from "node:http2";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { Peer } from "../../packages/protocol/dist/mod.js";

const BODY = JSON.stringify({ price: 12, lots: 3, part: "BC547".repeat(20) });

const http1Server = createServer((request, response) => {
  if (request.url === "/cpu") {
    const { user, system } = process.cpuUsage();
    return response.end(String(user + system));
  }
  request.resume().on("end", () => {
    response.writeHead(200, { "content-type": "application/json" });
    response.end(BODY);
  });
});
const http2Server = createHttp2Server();
http2Server.on("stream", (stream) => {
  stream.resume().on("end", () => {
    stream.respond({ ":status": 200, "content-type": "application/json" });
    stream.end(BODY);
  });
});
const connectServer = createHttp2Server(connectNodeAdapter({
  acceptCompression: [],
  routes: (router) =>
    router.service(Peer, {
      renew: async function* (requests) {
        for await (const { number } of requests) {
          yield { answer: 1, number };
        }
      },
      exchange: () => ({ revision: 7n }),
    }),
}));
const ports = await Promise.all(
  [http1Server, http2Server, connectServer].map((server) =>
    new Promise((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve(server.address().port))
    )
  ),
);
process.send(ports);
