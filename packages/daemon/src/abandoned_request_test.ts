/**
 * Tests of requests whose forwarding daemon has given them up before this process reads them.
 *
 * @module
 */
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { Logger } from "@bamboolink/logger";
import { Metrics } from "@bamboolink/metrics";
import { HEADERS } from "@bamboolink/types";
import { expect } from "chai";
import { type AttemptResult, Destination } from "./attempt.ts";
import { EventLoopDelay } from "./event_loop_delay.ts";
import { Randomness } from "./randomness.ts";
import { RequestRouter } from "./request_router.ts";
import { createFleet } from "./testing/sample_fleet.ts";

const REQUESTS = 20;
/** Long enough for all requests to be read and served. */
const SETTLING_MS = 200;

/** A backend server that counts the requests it receives. */
class CountingBackend extends Destination {
  attempts = 0;

  override attempt(): Promise<AttemptResult> {
    this.attempts += 1;
    const body = Buffer.from("ok");
    return Promise.resolve({ kind: "answer", status: 200, headers: {}, body });
  }
}

describe("a forwarded request", () => {
  let server: Server;
  let backend: CountingBackend;

  beforeEach(async () => {
    backend = new CountingBackend();
    const logger = Logger.create("test", { format: "human", level: "error" });
    const router = RequestRouter.create({
      fleet: createFleet(logger, { timeoutMs: 1_000, owner: "own" }),
      local: backend,
      remote: backend,
      logger,
      metrics: Metrics.create(),
      randomness: Randomness.create(),
      delay: EventLoopDelay.create(50),
      sessionId: () => "own",
      maximumBodyBytes: 1_000,
      maximumWaiting: 10,
    });
    server = createServer((incoming, response) =>
      void router.serve(incoming, response)
    );
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  /** Sends a request as another daemon does; `leaves` closes the connection at once. Returns what is received. */
  async function forward(leaves: boolean): Promise<string> {
    const { port } = server.address() as AddressInfo;
    const socket = connect(port, "127.0.0.1").setEncoding("utf8");
    await new Promise((resolve) => socket.once("connect", resolve));
    const headers = `host: a\r\n${HEADERS.forwardedBy}: other\r\n`;
    socket.write(`GET /quotes/a HTTP/1.1\r\n${headers}\r\n`);
    if (leaves) {
      socket.destroy();
      return "";
    }
    const text = await new Promise<string>((resolve) =>
      socket.once("data", resolve)
    );
    socket.destroy();
    return text;
  }

  // Guards against a daemon that falls behind and spends its slots on requests whose callers have given up, while it
  // refuses those that could still be answered: the end of the connection arrives with the request, but is read later.
  it("is not run if its daemon has closed the connection", async () => {
    await Promise.all(Array.from({ length: REQUESTS }, () => forward(true)));
    await sleep(SETTLING_MS);
    expect(backend.attempts).to.equal(0);
  });

  it("is run if its daemon waits for the response", async () => {
    const responses = await Promise.all(
      Array.from({ length: REQUESTS }, () => forward(false)),
    );
    responses.forEach((text) => expect(text).to.match(/^HTTP\/1.1 200 OK/));
    expect(backend.attempts).to.equal(REQUESTS);
  });
});
