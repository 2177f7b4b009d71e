/**
 * Tests of requests at a backend server that is cold.
 *
 * @module
 */
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import { GrantTracker } from "@bamboolink/keyspace";
import { Logger } from "@bamboolink/logger";
import { expect } from "chai";
import { Cancellation } from "../attempts/cancellation.ts";
import { monotonicMs } from "../clock.ts";
import type { BackendProtocol } from "../ports/backend_protocol.ts";
import { LocalBackend } from "./local_backend.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import { SAMPLE_REQUEST } from "../testing/sample_request.ts";

/** For how long the server of the tests is cold, and takes for a request meanwhile, in milliseconds. */
const COLD_MS = 600;
const COLD_SERVICE_MS = 500;

/** Starts a server that responds slowly while it is cold, and records when requests arrive. */
function startServer(
  coldUntilMs: number,
  arrivals: Map<string, number>,
): Promise<Server> {
  const server = createServer((incoming, response) => {
    const nowMs = monotonicMs();
    arrivals.set(incoming.url ?? "", nowMs);
    setTimeout(
      () => response.end("done"),
      nowMs < coldUntilMs ? COLD_SERVICE_MS : 1,
    );
  });
  return new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve(server))
  );
}

function createBackend(server: Server, coldUntilMs: number): LocalBackend {
  const { port } = server.address() as AddressInfo;
  const quarantine = {
    classify: () => ({ kind: "unknown" }),
    recordResponse: () => undefined,
    recordBrokenConnection: () => undefined,
  };
  const backend = LocalBackend.create({
    address: `127.0.0.1:${port}`,
    protocol: {
      requestHeaders: () => [],
      classifyResponse: () => "answer",
      readStatus: () => undefined,
    } as unknown as BackendProtocol,
    logger: Logger.createRateLimited("test", { level: "error" }),
    grants: GrantTracker.create(0),
    quarantine: quarantine as unknown as RequestQuarantine,
    onSuspicion: () => undefined,
    onLeaving: () => undefined,
  });
  backend.updateIdentity({
    instance: "a",
    born: 1,
    service: SAMPLE_REQUEST.service,
    phase: "ready",
    isKeyed: false,
    forwardUntilMs: Infinity,
    slots: 2,
    coldUntilMs,
    coldLimit: 0,
  });
  return backend;
}

describe("LocalBackend beside a cold server", () => {
  let stop: () => Promise<void> = () => Promise.resolve();

  afterEach(() => stop());

  async function start() {
    const coldUntilMs = monotonicMs() + COLD_MS;
    const arrivals = new Map<string, number>();
    const server = await startServer(coldUntilMs, arrivals);
    const backend = createBackend(server, coldUntilMs);
    stop = async () => {
      await backend.close();
      server.close();
    };
    const attempt = (target: string) =>
      backend.attempt({
        ...SAMPLE_REQUEST,
        target,
        objectiveAtMs: monotonicMs() + 300,
        deadlineAtMs: monotonicMs() + 5_000,
      }, Cancellation.create());
    return { backend, attempt, arrivals, coldUntilMs };
  }

  // Guards against requests that hold slots of the warm server for as long as on the cold one, and against refusing
  // them: an objective that the cold server can't meet is no reason to refuse what the warm one finishes in time.
  it("sends a request that ends sooner on the warm server only when that is warm", async () => {
    const { backend, attempt, arrivals, coldUntilMs } = await start();
    expect(backend.isCold).to.equal(true);
    expect((await attempt("/first")).kind).to.equal("answer");
    const outcomes = await Promise.all([attempt("/second"), attempt("/third")]);
    expect(outcomes.map(({ kind }) => kind)).to.deep.equal([
      "answer",
      "answer",
    ]);
    expect(arrivals.get("/second")).to.be.at.least(coldUntilMs);
    expect(arrivals.get("/third")).to.be.at.least(coldUntilMs);
    expect(backend.isCold).to.equal(false);
  });

  // Guards against a request that waits without a timer: another one that arrives when the server has just become warm
  // replaces the timer, which is due and has not run.
  it("sends a waiting request also if another one arrives just before its timer runs", async () => {
    const { attempt, coldUntilMs } = await start();
    await attempt("/first");
    const second = attempt("/second");
    await nextTurn();
    while (monotonicMs() < coldUntilMs + 5);
    const outcomes = await Promise.all([second, attempt("/third")]);
    expect(outcomes.map(({ kind }) => kind)).to.deep.equal([
      "answer",
      "answer",
    ]);
  });
});
