/**
 * Tests of what a caller receives whose daemon was not run by its host for a while.
 *
 * @module
 */
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { Logger } from "@bamboolink/logger";
import { Metrics } from "@bamboolink/metrics";
import { HEADERS } from "@bamboolink/types";
import { expect } from "chai";
import { request } from "undici";
import { monotonicMs } from "./clock.ts";
import { EventLoopDelay } from "./event_loop_delay.ts";
import { OwnerForwarder } from "./owner_forwarder.ts";
import { Randomness } from "./randomness.ts";
import { RequestRouter } from "./request_router.ts";
import { createFleet } from "./testing/sample_fleet.ts";

const TIMEOUT_MS = 200;
/** How long the process stalls past the deadline. */
const EXCESS_MS = 20;

function blockUntil(endMs: number): void {
  while (monotonicMs() < endMs) {
    // Blocks the event loop.
  }
}

async function listen(server: Server): Promise<number> {
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return (server.address() as AddressInfo).port;
}

describe("a daemon that stalls while the owner of a key serves a request", () => {
  let servers: Server[];
  let forwarder: OwnerForwarder;

  afterEach(async () => {
    await forwarder.close();
    servers.forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
  });

  /** Sends one request through a daemon to an owner that responds as given; returns the outcome and its reason. */
  async function requestOutcome(
    respond: (response: ServerResponse, id: string) => void,
  ): Promise<string> {
    const logger = Logger.create("test", { format: "human", level: "error" });
    const owner = createServer((incoming, response) => {
      respond(response, String(incoming.headers[HEADERS.requestId]));
      const remainingMs = Number(incoming.headers[HEADERS.deadlineMs]);
      blockUntil(monotonicMs() + remainingMs + EXCESS_MS);
    });
    const fleet = createFleet(logger, {
      timeoutMs: TIMEOUT_MS,
      owner: "owner",
      ownerPort: await listen(owner),
    });
    const sessionId = () => "entrance";
    forwarder = OwnerForwarder.create({ fleet, sessionId });
    const router = RequestRouter.create({
      fleet,
      local: forwarder,
      remote: forwarder,
      logger,
      metrics: Metrics.create(),
      randomness: Randomness.create(),
      delay: EventLoopDelay.create(50),
      sessionId,
      maximumBodyBytes: 1_000,
      maximumWaiting: 10,
    });
    const daemon = createServer((incoming, response) =>
      void router.serve(incoming, response)
    );
    servers = [owner, daemon];
    const response = await request(
      `http://127.0.0.1:${await listen(daemon)}/quotes/a`,
      { headers: { connection: "close" } },
    );
    await response.body.dump();
    const reason = response.headers[HEADERS.reason];
    return [response.headers[HEADERS.outcome], reason].join(" ").trim();
  }

  // Guards against "may have run" for a request whose response had arrived in time: a process that was not run for a
  // while must read what has arrived before it gives up a request whose deadline passed meanwhile.
  it("returns a response that arrived meanwhile", async () => {
    const outcome = await requestOutcome((response, id) => {
      response.setHeader(HEADERS.requestId, id);
      response.setHeader("content-length", 2);
      response.end("ok");
    });
    expect(outcome).to.equal("done");
  });

  it("gives up a request without a response at its deadline", async () => {
    const outcome = await requestOutcome(() => undefined);
    expect(outcome).to.equal("unknown deadline");
  });
});
