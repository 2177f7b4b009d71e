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
import { Cancellation } from "./cancellation.ts";
import { bootMs, monotonicMs } from "./clock.ts";
import { LocalBackend } from "./local_backend.ts";
import type { BackendProtocol } from "./ports/backend_protocol.ts";
import { RequestQuarantine } from "./request_quarantine.ts";
import { SAMPLE_REQUEST } from "./testing/sample_request.ts";
import type { RoutedRequest } from "./routed_request.ts";

const SLOTS = 4;
const INTERNAL_SERVER_ERROR = 500;

const createRequest = (target: string): RoutedRequest => ({
  ...SAMPLE_REQUEST,
  target,
  objectiveAtMs: monotonicMs() + 1_000,
  deadlineAtMs: monotonicMs() + 2_000,
});

/**
 * Starts a backend server that fails requests for `/failing`, and crashes at once when it receives one for `/lethal`. Its
 * other connections break when the next request has arrived on one of them.
 */
function startServer(): Promise<Server> {
  let hasCrashed = false;
  const serve = (incoming: IncomingMessage, response: ServerResponse) => {
    if (hasCrashed) {
      server.close();
      server.closeAllConnections();
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

function createBackend(server: Server) {
  const logger = Logger.createRateLimited("test", { level: "error" });
  const quarantine = RequestQuarantine.create({
    address: "own",
    logger,
    random: () => 0,
    nowMs: monotonicMs,
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

  beforeEach(async () => {
    server = await startServer();
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  describe("when a server responds to suspects", () => {
    // Guards against clearing a request because a failing server has responded to it.
    it("clears only what it has not responded to with an error", async () => {
      const { backend, quarantine } = createBackend(server);
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
      const { backend, quarantine } = createBackend(server);
      const attempt = (request: RoutedRequest) =>
        backend.attempt(request, Cancellation.create());
      await Promise.all(
        ["/a", "/b"].map((target) => attempt(createRequest(target))),
      );
      const suspects = ["/lethal", "/popular"].map(createRequest);
      suspect(quarantine, suspects);
      const outcomes = await Promise.all(suspects.map(attempt));
      expect(outcomes.map(({ kind }) => kind))
        .to.deep.equal(["unknown", "unknown"]);
      quarantine.recordBackendEnd({ instance: "i-1", proof: "refused" });
      expect(suspects.map((request) => quarantine.classify(request).kind))
        .to.deep.equal(["quarantined", "suspect"]);
      await backend.close();
    });
  });
});
