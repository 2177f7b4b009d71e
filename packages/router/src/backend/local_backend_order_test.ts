/**
 * Tests of the order in which waiting requests reach a backend server.
 *
 * @module
 */
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { GrantTracker } from "@bamboolink/keyspace";
import { Logger } from "@bamboolink/logger";
import { expect } from "chai";
import { Cancellation } from "../attempts/cancellation.ts";
import type { RoutedRequest } from "../attempts/routed_request.ts";
import { bootMs, monotonicMs } from "../clock.ts";
import type { BackendProtocol } from "../ports/backend_protocol.ts";
import { SAMPLE_REQUEST } from "../testing/sample_request.ts";
import { LocalBackend } from "./local_backend.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";

const DEADLINE_MS = 4_000;
/** Time that a caller of another route gives, whose request must therefore begin first. */
const SHORT_DEADLINE_MS = 3_600;
/** How long the server takes for a request, in milliseconds: the others arrive meanwhile. */
const WORK_MS = 60;

function createRequest(target: string, callerWaitedMs: number): RoutedRequest {
  const sentAtMs = monotonicMs() - callerWaitedMs;
  return {
    ...SAMPLE_REQUEST,
    target,
    deadlineAtMs: sentAtMs + DEADLINE_MS,
  };
}

describe("LocalBackend with one slot", () => {
  let server: Server;
  let served: (string | undefined)[];

  beforeEach(async () => {
    served = [];
    server = createServer((incoming, response) => {
      served.push(incoming.url);
      setTimeout(() => response.end("done"), WORK_MS);
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  /** Runs a request, and while it runs, sends one of a new caller and then one whose caller has waited for a while. */
  async function runInOrder(
    options: { waitedMs: number },
  ) {
    const { port } = server.address() as AddressInfo;
    const backend = LocalBackend.create({
      address: `127.0.0.1:${port}`,
      protocol: {
        requestHeaders: () => [],
        classifyResponse: () => "answer",
        readStatus: () => undefined,
      } as unknown as BackendProtocol,
      logger: Logger.createRateLimited("test", { level: "error" }),
      grants: GrantTracker.create(bootMs()),
      quarantine: {
        classify: () => ({ kind: "clear" }),
        recordResponse: () => undefined,
      } as unknown as RequestQuarantine,
      onSuspicion: () => undefined,
      onLeaving: () => undefined,
    });
    backend.updateIdentity({
      instance: "i-1",
      born: undefined,
      service: SAMPLE_REQUEST.service,
      slots: 1,
      phase: "ready",
      isKeyed: false,
      forwardUntilMs: Infinity,
      coldUntilMs: -Infinity,
      coldLimit: 0,
    });
    const attempt = (request: RoutedRequest) =>
      backend.attempt(request, Cancellation.create());
    const first = attempt(createRequest("/first", 0));
    await sleep(WORK_MS / 3);
    const newCaller = attempt({
      ...createRequest("/new", 0),
      route: "search",
      deadlineAtMs: monotonicMs() + SHORT_DEADLINE_MS,
    });
    const waitingCaller = attempt(createRequest("/back", options.waitedMs));
    await Promise.all([first, newCaller, waitingCaller]);
    await backend.close();
    return served;
  }

  // Guards against repeats that are guessed from other callers' deadlines: callers that give less time than others of
  // their route were taken for repeats, and served before or after callers with the same needs.
  [30, 100].forEach((waitedMs) =>
    it(`runs the request of a caller that has waited for ${waitedMs} ms in the order of its times alone`, async () => {
      expect(await runInOrder({ waitedMs }))
        .to.deep.equal(["/first", "/new", "/back"]);
    })
  );
});
