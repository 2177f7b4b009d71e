/**
 * Tests of the measure of the event loop's lag.
 *
 * @module
 */
import { createServer, type IncomingMessage } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { expect } from "chai";
import { hasLeft } from "./http_body.ts";
import { LoopLag } from "./loop_lag.ts";

/** A measure fed by a timer of 50 ms, on a clock that is set by hand. */
function createLag() {
  let nowMs = 0;
  const lag = LoopLag.create(50, () => nowMs);
  const pass = (byMs: number) => {
    nowMs += byMs;
  };
  const tickAfter = (byMs: number) => {
    pass(byMs);
    lag.recordTick();
  };
  return { lag, pass, tickAfter };
}

describe("loop lag", () => {
  describe("while ticks are on time, or nearly", () => {
    it("is none", () => {
      const { lag, tickAfter } = createLag();
      [50, 52, 61, 80].forEach(tickAfter);
      expect(lag.currentMs).to.equal(0);
    });
  });

  describe("when the process is far behind", () => {
    // Symptom: after a restart of all hosts requests are run for callers that left a second ago.
    // Sequence: processors are small and code is not compiled yet; requests come as fast as ever.
    // Cause: each was read late and run all the same, which made the next one later.
    it("refuses the less urgent first, then all", () => {
      const { lag, tickAfter } = createLag();
      tickAfter(50 + 150);
      expect(lag.isOverloaded(2)).to.equal(true);
      expect(lag.isOverloaded(1)).to.equal(false);
      tickAfter(50 + 400);
      expect(lag.isOverloaded(0)).to.equal(true);
    });
  });

  describe("within a turn that goes on for long", () => {
    // Symptom: as above, although the lag of each turn was measured.
    // Sequence: hundreds of requests are read in one turn, before the timer can fire.
    // Cause: they were judged by the lag of the turn before, which was small.
    it("counts the time since the last tick", () => {
      const { lag, pass, tickAfter } = createLag();
      tickAfter(50);
      pass(850);
      expect(lag.currentMs).to.equal(800);
    });
  });

  describe("when the process has caught up", () => {
    it("is the largest of the last ticks, and is forgotten after some", () => {
      const { lag, tickAfter } = createLag();
      [1_050, 50, 50].forEach(tickAfter);
      expect(lag.currentMs).to.equal(1_000);
      [50, 50].forEach(tickAfter);
      expect(lag.currentMs).to.equal(0);
    });
  });

  describe("when a request is read together with its caller's leaving", () => {
    /** Serves one request whose caller has left at once; tells whether that is noticed. */
    function serveOne(
      lag: LoopLag,
      request: { isFirst: boolean },
    ): Promise<boolean> {
      return new Promise((resolve) => {
        const serve = async (incoming: IncomingMessage) => {
          await lag.awaitPendingReads(request);
          resolve(hasLeft(incoming));
        };
        const server = createServer((incoming) => void serve(incoming));
        server.listen(0, "127.0.0.1", () => {
          const { port } = server.address() as AddressInfo;
          const socket = connect(port, "127.0.0.1");
          socket.end("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
          // Both lie in the server's buffer before it reads again.
          const untilMs = performance.now() + 50;
          socket.on("connect", () => {
            while (performance.now() < untilMs);
          });
        });
        server.unref();
      });
    }

    // Symptom: a request reaches a backend server long after its caller has left, and is cut at once.
    // Sequence: the process is behind; request and end of the connection wait together; the request is
    // read in one turn and handed over before the end is read in the next.
    // Cause: one turn was waited for.
    it("notices that while the process is behind", async () => {
      const { lag, pass } = createLag();
      pass(1_000);
      expect(await serveOne(lag, { isFirst: false })).to.equal(true);
    });

    // Symptom: the same, at a process that is not behind.
    // Sequence: the packet that opens a connection is lost and sent again after a second; the caller has
    // left meanwhile, and its request and its leaving come together.
    // Cause: only a process that was behind looked whether the caller was still there.
    it("notices that for the first request of a connection", async () => {
      const { lag } = createLag();
      expect(await serveOne(lag, { isFirst: true })).to.equal(true);
    });
  });
});
