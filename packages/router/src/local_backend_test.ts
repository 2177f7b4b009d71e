/**
 * Tests of requests at a backend server that ends under them.
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
import { bootMs, steadyMs } from "./clock.ts";
import { LocalBackend } from "./local_backend.ts";
import type { BackendProtocol } from "./ports/backend_protocol.ts";
import { RequestQuarantine } from "./request_quarantine.ts";
import { SAMPLE_REQUEST } from "./testing/sample_request.ts";
import type { RoutedRequest } from "./routed_request.ts";

const SLOTS = 4;

const ask = (target: string): RoutedRequest => ({
  ...SAMPLE_REQUEST,
  target,
  objectiveAtMs: steadyMs() + 1_000,
  deadlineAtMs: steadyMs() + 2_000,
});

/** The connections of a server that ends break one after the other within this time, in milliseconds. */
const BREAKING_MS = 10;

/** A backend server that ends at once under a request for `/lethal`. */
function startServer(): Promise<Server> {
  let hasEnded = false;
  const serve = (incoming: IncomingMessage, response: ServerResponse) => {
    if (hasEnded) {
      return;
    }
    if (incoming.url !== "/lethal") {
      response.end("done");
      return;
    }
    hasEnded = true;
    incoming.socket.destroy();
    setTimeout(() => {
      server.close();
      server.closeAllConnections();
    }, BREAKING_MS);
  };
  const server = createServer(serve);
  return new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve(server))
  );
}

function createBackend(server: Server) {
  const logger = Logger.createBounded("test", { level: "error" });
  const quarantine = RequestQuarantine.create({
    address: "own",
    logger,
    random: () => 0,
    nowMs: steadyMs,
    broadcast: () => undefined,
    sendToSome: () => undefined,
  });
  const { port } = server.address() as AddressInfo;
  const backend = LocalBackend.create({
    address: `127.0.0.1:${port}`,
    protocol: {
      requestHeaders: () => [],
      classifyResponse: () => "answer",
    } as unknown as BackendProtocol,
    logger,
    grants: GrantTracker.create(bootMs()),
    quarantine,
    onSuspicion: () => undefined,
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

describe("LocalBackend", () => {
  let server: Server;

  beforeEach(async () => {
    server = await startServer();
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  describe("when a server ends under a suspect while another one waits for its turn", () => {
    // Guards against a popular request being quarantined, since its turn came on a connection to the server that had
    // just ended, which nobody had noticed yet.
    it("has only the first quarantined", async () => {
      const { backend, quarantine } = createBackend(server);
      const attempt = (work: RoutedRequest) =>
        backend.attempt(work, Cancellation.create());
      await Promise.all(["/a", "/b"].map((target) => attempt(ask(target))));
      const suspects = ["/lethal", "/popular"].map(ask);
      quarantine.applyUpdate({
        kind: "crash_reports",
        sender: "other",
        suspected: suspects.map((
          work,
        ) => [fingerprintRequest(work), [7], 0, 0]),
      });
      const outcomes = await Promise.all(suspects.map(attempt));
      expect(outcomes.map(({ kind }) => kind))
        .to.deep.equal(["unknown", "unknown"]);
      quarantine.recordBackendEnd({ instance: "i-1", proof: "refused" });
      expect(suspects.map((work) => quarantine.classify(work).kind))
        .to.deep.equal(["quarantined", "suspect"]);
      await backend.close();
    });
  });
});
