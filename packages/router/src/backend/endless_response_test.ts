/**
 * Tests of servers that send responses without end.
 *
 * @module
 */
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

describe("a response without end", function () {
  this.timeout(30_000);
  let server: EndlessServer;

  afterEach(() => server.close());

  // Guards against a server that occupies a daemon through an idle connection: empty lines behind a response were read
  // for as long as the connection was kept.
  it("of empty lines behind a complete response closes the connection", async () => {
    server = await EndlessServer.create({
      start: "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole",
      repeated: "\r\n".repeat(16_384),
    });
    const connection = Connection.create(server.address);
    const send = () =>
      connection.exchange(
        { method: "GET", target: "/", headers: [], body: undefined },
        {
          cancellation: Cancellation.createWithTimeout(DEADLINE_MS),
          nowMs: monotonicMs,
        },
      );
    const first = await send();
    expect(first.kind).to.equal("answer");
    await server.awaitClosed();
    expect(server.openCount).to.equal(0);
    const next = await send();
    expect(next.kind).to.equal("answer");
    await connection.destroy();
  });

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
      await server.awaitClosed();
      expect(server.openCount).to.equal(0);
    });
  });
});
