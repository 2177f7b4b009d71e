/**
 * Tests of servers that send responses without end.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { Cancellation } from "../attempts/cancellation.ts";
import { monotonicMs } from "../clock.ts";
import { ENDLESS_FORMS, EndlessServer } from "../testing/endless_server.ts";
import { Connection } from "./exchange.ts";
import { ResponseMemory } from "./response_memory.ts";

const PROCESS_BYTES = 350_000_000;
const EXCHANGES = 20;
/** Time of each request, in milliseconds; responses must end before it, whatever load the machine has. */
const DEADLINE_MS = 10_000;
/** Time within which the server detects that its connections were closed, in milliseconds. */
const CLOSE_MS = 2_000;

describe("a response without end", function () {
  this.timeout(30_000);
  let server: EndlessServer;

  afterEach(() => server.close());

  // Guards against a server that takes a daemon's memory and processor time: what it sent was parsed and kept until the
  // request's deadline.
  Object.entries(ENDLESS_FORMS).forEach(([name, form]) => {
    it(`of ${name} is ended, and its connection is closed`, async () => {
      server = await EndlessServer.create(form);
      const memory = ResponseMemory.create(PROCESS_BYTES);
      const connections = Array.from(
        { length: EXCHANGES },
        () => Connection.create(server.address, memory),
      );
      const cancellations = connections.map(() =>
        Cancellation.createWithTimeout(DEADLINE_MS)
      );
      const results = await Promise.all(
        connections.map((connection, index) =>
          connection.exchange(
            { method: "GET", target: "/", headers: [], body: undefined },
            { cancellation: cancellations[index]!, nowMs: monotonicMs },
          )
        ),
      );
      results.forEach(({ kind }) => expect(kind).to.equal("lost"));
      cancellations.forEach(({ isCancelled }) =>
        expect(isCancelled).to.equal(false)
      );
      expect(memory.usedBytes).to.equal(0);
      const endAtMs = monotonicMs() + CLOSE_MS;
      while (server.openCount > 0 && monotonicMs() < endAtMs) {
        await sleep(10);
      }
      expect(server.openCount).to.equal(0);
    });
  });
});
