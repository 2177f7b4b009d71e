/**
 * Tests of the outcome that a caller receives whose request waited for an owner.
 *
 * @module
 */
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { Logger } from "@bamboolink/logger";
import { Metrics } from "@bamboolink/metrics";
import { CONFIGURATION_KEY, HEADERS, tableKey } from "@bamboolink/types";
import { expect } from "chai";
import { request } from "undici";
import {
  type AttemptResult,
  Destination,
  notRun,
  type RoutedRequest,
  unknown,
} from "./attempt.ts";
import { monotonicMs } from "./clock.ts";
import { EventLoopDelay } from "./event_loop_delay.ts";
import { RequestRouter } from "./request_router.ts";
import { Fleet } from "./fleet.ts";
import { Randomness } from "./randomness.ts";

const DEADLINE_MS = 200;

/**
 * An owner whose session is suspended, so that it refuses every request. With `blocksProcess`, the event loop is
 * blocked after the first refusal until the deadline has passed.
 */
class SuspendedOwner extends Destination {
  attempts = 0;

  constructor(private readonly blocksProcess: boolean) {
    super();
  }

  override attempt(routed: RoutedRequest): Promise<AttemptResult> {
    this.attempts += 1;
    if (routed.signal.aborted || monotonicMs() >= routed.deadlineMs) {
      return Promise.resolve(
        unknown("deadline", "attempted past its deadline"),
      );
    }
    if (this.blocksProcess) {
      setImmediate(() => blockUntil(routed.deadlineMs + 20));
    }
    return Promise.resolve(
      notRun("not_owner", "this daemon may not serve the key"),
    );
  }
}

function blockUntil(endMs: number): void {
  while (monotonicMs() < endMs) {
    // Blocks the event loop.
  }
}

function createFleet(logger: Logger): Fleet {
  const fleet = Fleet.create(logger);
  const version = {
    version: 1,
    author: "test",
    note: "",
    attempt: "1",
    applied_at_ms: 1,
    document: {
      schema: "bamboolink/1",
      availability_zones: [{ name: "z", region: "r" }],
      services: [{
        name: "quote-desk",
        availability_zones: ["z"],
        partitions: 16,
        queue: { length: 1, retry_after_ms: 1 },
        objective: { good_share: 0.99, within_ms: 100 },
        weights: { imbalance: 1, unavailable_time: 1 },
        operations: [{
          name: "quote",
          method: "GET",
          path: "/quotes/:part",
          key: { from: "path", parameter: "part" },
          idempotent: true,
          priority: "interactive",
          timeout_ms: DEADLINE_MS,
        }],
      }],
    },
  };
  const shard = {
    service: "quote-desk",
    first: 0,
    version: 1,
    changes: [],
    sessions: ["other"],
    owners: new Array(16).fill(0),
    tokens: new Array(16).fill(1),
    overrides: [],
  };
  fleet.merge({
    from: 0,
    to: 2,
    records: [
      {
        key: CONFIGURATION_KEY,
        value: JSON.stringify({ current: version, history: [] }),
        revision: 1,
      },
      {
        key: tableKey("quote-desk", 0),
        value: JSON.stringify(shard),
        revision: 2,
      },
    ],
  });
  return fleet;
}

describe("request router", () => {
  let server: Server;

  afterEach(() => server.close());

  async function requestOutcome(owner: Destination): Promise<string> {
    const logger = Logger.create("test", { format: "human", level: "error" });
    const router = RequestRouter.create({
      fleet: createFleet(logger),
      local: owner,
      remote: owner,
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
    const { port } = server.address() as AddressInfo;
    const response = await request(`http://127.0.0.1:${port}/quotes/a`, {
      headers: { connection: "close" },
    });
    await response.body.dump();
    return `${response.headers[HEADERS.outcome]} ${
      response.headers[HEADERS.reason]
    }`;
  }

  it("reports a request as not run if every attempt was refused", async () => {
    const owner = new SuspendedOwner(false);
    expect(await requestOutcome(owner)).to.equal("not_run not_owner");
    expect(owner.attempts).to.be.above(1);
  });

  // Guards against "may have run" for a request that no backend server can have received: its daemon stalled while
  // the request waited for the owner, and made one more attempt after the deadline.
  it("reports a request as not run if the daemon stalled past its deadline", async () => {
    const owner = new SuspendedOwner(true);
    expect(await requestOutcome(owner)).to.equal("not_run not_owner");
    expect(owner.attempts).to.equal(1);
  });
});
