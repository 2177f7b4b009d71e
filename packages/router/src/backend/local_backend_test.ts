/**
 * Tests of requests at a backend server that crashes while it runs them, or responds with an error.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { GrantTracker } from "@bamboolink/keyspace";
import { Logger } from "@bamboolink/logger";
import { fingerprintRequest } from "@bamboolink/quarantine";
import { expect } from "chai";
import { Cancellation } from "../attempts/cancellation.ts";
import { bootMs, monotonicMs } from "../clock.ts";
import { LocalBackend } from "./local_backend.ts";
import { LoopLag } from "../loop_lag.ts";
import type { BackendProtocol } from "../ports/backend_protocol.ts";
import { RequestQuarantine } from "./request_quarantine.ts";
import { SAMPLE_REQUEST } from "../testing/sample_request.ts";
import type { RoutedRequest } from "../attempts/routed_request.ts";

const SLOTS = 4;
const INTERNAL_SERVER_ERROR = 500;

const createRequest = (target: string): RoutedRequest => ({
  ...SAMPLE_REQUEST,
  target,
  objectiveAtMs: monotonicMs() + 1_000,
  deadlineAtMs: monotonicMs() + 2_000,
});

/** Interval at which the event loop's lag is measured, in milliseconds. */
const TICK_MS = 50;
/** How long the process is not run, in milliseconds: longer than the breaks of one crash are apart otherwise. */
const STALL_MS = 300;

/** Keeps the event loop from running. */
function stall(): void {
  const endMs = monotonicMs() + STALL_MS;
  while (monotonicMs() < endMs);
}

/**
 * Starts a backend server that fails requests for `/failing`, and crashes at once when it receives one for `/lethal`. Its
 * other connections break when the next request has arrived on one of them.
 *
 * @param onBreak called after these have broken, before the daemon can detect it.
 */
function startServer(onBreak: () => void): Promise<Server> {
  let hasCrashed = false;
  const serve = (incoming: IncomingMessage, response: ServerResponse) => {
    if (hasCrashed) {
      server.close();
      server.closeAllConnections();
      onBreak();
      return;
    }
    if (incoming.url === "/failing") {
      response.statusCode = INTERNAL_SERVER_ERROR;
      response.end();
      return;
    }
    if (incoming.url !== "/lethal") {
      response.end("done");
      return;
    }
    hasCrashed = true;
    incoming.socket.destroy();
  };
  const server = createServer(serve);
  return new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve(server))
  );
}

function createBackend(server: Server, lag: LoopLag) {
  const logger = Logger.createRateLimited("test", { level: "error" });
  const quarantine = RequestQuarantine.create({
    address: "own",
    logger,
    random: () => 0,
    nowMs: monotonicMs,
    runningMs: () => lag.runningMs,
    broadcast: () => undefined,
    sendToSome: () => undefined,
    sendTo: () => undefined,
  });
  const { port } = server.address() as AddressInfo;
  const backend = LocalBackend.create({
    address: `127.0.0.1:${port}`,
    protocol: {
      requestHeaders: () => [],
      classifyResponse: () => "answer",
      readStatus: () => undefined,
    } as unknown as BackendProtocol,
    logger,
    grants: GrantTracker.create(bootMs()),
    quarantine,
    onSuspicion: () => undefined,
    onLeaving: () => undefined,
  });
  backend.updateIdentity({
    instance: "i-1",
    born: undefined,
    service: SAMPLE_REQUEST.service,
    slots: SLOTS,
    phase: "ready",
    isKeyed: false,
    forwardUntilMs: Infinity,
    coldUntilMs: -Infinity,
    coldLimit: 0,
  });
  return { backend, quarantine };
}

/** Reports that a server has crashed while it was running the requests. */
function suspect(
  quarantine: RequestQuarantine,
  requests: readonly RoutedRequest[],
): void {
  quarantine.applyUpdate({
    kind: "crash_reports",
    sender: "other",
    suspected: requests.map((
      request,
    ) => [fingerprintRequest(request), [7], 0, 0]),
  });
}

describe("LocalBackend", () => {
  let server: Server;
  let lag: LoopLag;
  let ticks: NodeJS.Timeout;
  let onBreak: () => void;

  beforeEach(async () => {
    onBreak = () => undefined;
    server = await startServer(() => onBreak());
    lag = LoopLag.create(TICK_MS, monotonicMs);
    ticks = setInterval(() => lag.recordTick(), TICK_MS);
  });

  afterEach(() => {
    clearInterval(ticks);
    server.close();
    server.closeAllConnections();
  });

  /** Runs a lethal and another suspect; returns how they end, and how they are classified after the crash. */
  async function runSuspects() {
    const { backend, quarantine } = createBackend(server, lag);
    const attempt = (request: RoutedRequest) =>
      backend.attempt(request, Cancellation.create());
    await Promise.all(
      ["/a", "/b"].map((target) => attempt(createRequest(target))),
    );
    const suspects = ["/lethal", "/popular"].map(createRequest);
    suspect(quarantine, suspects);
    const outcomes = await Promise.all(suspects.map(attempt));
    quarantine.recordBackendEnd({ instance: "i-1", proof: "refused" });
    await backend.close();
    return {
      outcomes: outcomes.map(({ kind }) => kind),
      classifications: suspects.map((request) =>
        quarantine.classify(request).kind
      ),
    };
  }

  describe("when a server responds to suspects", () => {
    // Guards against clearing a request because a failing server has responded to it.
    it("clears only what it has not responded to with an error", async () => {
      const { backend, quarantine } = createBackend(server, lag);
      const suspects = ["/failing", "/beside"].map(createRequest);
      suspect(quarantine, suspects);
      await Promise.all(
        suspects.map((request) =>
          backend.attempt(request, Cancellation.create())
        ),
      );
      expect(suspects.map((request) => quarantine.classify(request).kind))
        .to.deep.equal(["suspect", "clear"]);
      await backend.close();
    });
  });

  describe("when a server crashes while running a suspect and another suspect is queued", () => {
    // Guards against quarantining the queued request: it is sent next, on a connection to the crashed server whose
    // break has not been detected yet.
    it("quarantines only the first", async () => {
      const { outcomes, classifications } = await runSuspects();
      expect(outcomes).to.deep.equal(["unknown", "unknown"]);
      expect(classifications).to.deep.equal(["quarantined", "suspect"]);
    });

    // Guards against quarantining the queued request because its connection's break is read late.
    it("quarantines only the first if the process is not run for a moment", async () => {
      onBreak = stall;
      const { outcomes, classifications } = await runSuspects();
      expect(outcomes).to.deep.equal(["unknown", "unknown"]);
      expect(classifications).to.deep.equal(["quarantined", "suspect"]);
    });
  });
});
