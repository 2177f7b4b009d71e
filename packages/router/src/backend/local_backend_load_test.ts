/**
 * Tests of what is reported of a backend server that states its load.
 *
 * @module
 */
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { GrantTracker } from "@bamboolink/keyspace";
import { Logger } from "@bamboolink/logger";
import { expect } from "chai";
import { Cancellation } from "../attempts/cancellation.ts";
import { bootMs, monotonicMs } from "../clock.ts";
import type { BackendProtocol } from "../ports/backend_protocol.ts";
import { SAMPLE_REQUEST } from "../testing/sample_request.ts";
import { LocalBackend } from "./local_backend.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";

const WORK_MS = 30;
const SLOW = 3;
const INSTANCE = {
  instance: "i-1",
  born: undefined,
  service: SAMPLE_REQUEST.service,
  slots: 4,
  phase: "ready",
  isKeyed: false,
  forwardUntilMs: Infinity,
  coldUntilMs: -Infinity,
  coldLimit: 0,
} as const;

/** A server whose work takes as much longer as it states. */
class StatingServer {
  slowness = 1;
  private readonly server: Server = createServer((_incoming, response) => {
    const { slowness } = this;
    response.setHeader("slowness", String(slowness));
    setTimeout(() => response.end("done"), WORK_MS * slowness);
  });

  async start(): Promise<string> {
    await new Promise<void>((resolve) =>
      this.server.listen(0, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

const PROTOCOL = {
  requestHeaders: () => [],
  classifyResponse: () => "answer",
  readStatus: (
    { headers }: { headers: Readonly<Record<string, unknown>> },
  ) => ({
    rateLimit: { kind: "absent" },
    isLeaving: false,
    load: {
      kind: "stated",
      running: 1,
      waiting: 0,
      slots: 4,
      slowness: Number(headers["slowness"]),
    },
  }),
} as unknown as BackendProtocol;

function createBackend(address: string): LocalBackend {
  const backend = LocalBackend.create({
    address,
    protocol: PROTOCOL,
    logger: Logger.createRateLimited("test", { level: "error" }),
    grants: GrantTracker.create(bootMs()),
    quarantine: {
      classify: () => ({ kind: "clear" }),
      recordResponse: () => undefined,
    } as unknown as RequestQuarantine,
    onSuspicion: () => undefined,
    onLeaving: () => undefined,
  });
  backend.updateIdentity(INSTANCE);
  return backend;
}

describe("LocalBackend of a server that states its load", () => {
  let server: StatingServer;
  let backend: LocalBackend;

  beforeEach(async () => {
    server = new StatingServer();
    backend = createBackend(await server.start());
  });

  afterEach(async () => {
    await backend.close();
    server.stop();
  });

  async function run(): Promise<number> {
    const outcome = await backend.attempt({
      ...SAMPLE_REQUEST,
      objectiveAtMs: monotonicMs() + 2_000,
      deadlineAtMs: monotonicMs() + 4_000,
    }, Cancellation.create());
    expect(outcome.kind).to.equal("answer");
    return backend.loadReportFor(SAMPLE_REQUEST.route).serviceMs;
  }

  // Guards against daemons that send requests to a server that is three times as slow now, because its averages show the
  // past, and keep away from it when it is fast again, because they show the slow phase.
  it("reports service times at the stated speed, and learns them at the mean speed", async () => {
    await run();
    const usualMs = await run();
    server.slowness = SLOW;
    const slowMs = await run();
    expect(backend.slowdown).to.be.above(2);
    expect(slowMs).to.be.above(1.5 * usualMs);
    server.slowness = 1;
    const againMs = await run();
    expect(backend.slowdown).to.be.below(1.2);
    expect(againMs).to.be.below(1.4 * usualMs);
  });

  it("forgets the load of an earlier incarnation", async () => {
    await run();
    server.slowness = SLOW;
    await run();
    backend.updateIdentity({ ...INSTANCE, instance: "i-2" });
    expect(backend.slowdown).to.equal(1);
  });
});
