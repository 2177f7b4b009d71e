/**
 * Tests of the connections to other daemons.
 *
 * @module
 */
import {
  createServer as createHttp2Server,
  type Http2Server,
} from "node:http2";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { PassThrough } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import { create } from "@bufbuild/protobuf";
import {
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  Peer,
  type RenewRequest,
  RenewRequestSchema,
  RenewResponse_Answer,
} from "@bamboolink/protocol";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { expect } from "chai";
import { PeerClients } from "./peer_clients.ts";

/** When the ping of a connection that last received data at 0 has timed out, and when a later call is made. */
const PING_TIMED_OUT_AT_MS = 1_500;
const CALL_AT_MS = 1_600;

function listen(server: Server | Http2Server): Promise<number> {
  return new Promise((resolve) =>
    server.listen(
      0,
      "127.0.0.1",
      () => resolve((server.address() as AddressInfo).port),
    )
  );
}

function blockFor(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end) {
    // Blocks the event loop.
  }
}

describe("connections to other daemons", () => {
  let peer: Http2Server;
  let proxy: Server;
  const sockets: Socket[] = [];

  afterEach(() => {
    sockets.splice(0).forEach((socket) => socket.destroy());
    proxy.close();
    peer.close();
  });

  /** Starts a daemon behind a proxy that can stop passing data without closing the connection. */
  async function startPeer(): Promise<string> {
    peer = createHttp2Server(connectNodeAdapter({
      routes: (router) =>
        router.service(Peer, {
          renew: async function* (requests) {
            for await (const { number } of requests) {
              yield { answer: RenewResponse_Answer.PROMISED, number };
            }
          },
          exchange: () => create(ExchangeResponseSchema, { revision: 7n }),
        }),
    }));
    const port = await listen(peer);
    proxy = createServer((incoming) => {
      const outgoing = connect(port, "127.0.0.1");
      [incoming, outgoing].forEach((socket) =>
        socket.on("error", () => undefined)
      );
      incoming.pipe(outgoing).pipe(incoming);
      sockets.push(incoming, outgoing);
    });
    return `127.0.0.1:${await listen(proxy)}`;
  }

  // Guards against daemons that ended with an uncaught "PING timed out" after their process had stalled.
  it("survive a ping that timed out while the process stalled, and are opened again", async () => {
    const address = await startPeer();
    const clients = PeerClients.create();
    const outgoing = new PassThrough({ objectMode: true });
    const renewals = clients.clientOf(address)
      .renew(outgoing as AsyncIterable<RenewRequest>)[Symbol.asyncIterator]();
    outgoing.write(create(RenewRequestSchema, { number: 1n }));
    expect((await renewals.next()).value?.number).to.equal(1n);
    sockets.forEach((socket) => socket.unpipe().pause());

    const streamResult = renewals.next().then(() => "answered", () => "lost");
    const callResult = new Promise((resolve) =>
      setTimeout(() =>
        resolve(clients.call(address, {
          step: "test",
          send: (client, options) =>
            client.exchange(create(ExchangeRequestSchema, {}), options),
        })), CALL_AT_MS)
    );
    await sleep(PING_TIMED_OUT_AT_MS - 300);
    blockFor(500);
    expect(await streamResult).to.equal("lost");
    const response = await callResult as Awaited<
      ReturnType<typeof clients.call<{ revision: bigint }>>
    >;
    expect(response._unsafeUnwrap().revision).to.equal(7n);
    clients.close();
  });
});
