/**
 * Tests of the measurement of the event loop's lag.
 *
 * @module
 */
import { createServer, type IncomingMessage } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { expect } from "chai";
import { hasDisconnected } from "./ingress/http_body.ts";
import { LoopLag } from "./loop_lag.ts";

/** Creates a lag meter with a timer period of 50 ms, on a manual clock. */
function createLag() {
  let nowMs = 0;
  const lag = LoopLag.create(50, () => nowMs);
  const advance = (byMs: number) => {
    nowMs += byMs;
  };
  const tickAfter = (byMs: number) => {
    advance(byMs);
    lag.recordTick();
  };
  return { lag, advance, tickAfter };
}

describe("LoopLag", () => {
  describe("while ticks are on time, or nearly", () => {
    it("is zero", () => {
      const { lag, tickAfter } = createLag();
      [50, 52, 61, 80].forEach(tickAfter);
      expect(lag.currentMs).to.equal(0);
    });
  });

  describe("when the event loop lags far behind", () => {
    // Guards against running requests for callers that disconnected a second ago: after a restart of all hosts, with
    // slow processors and code that is not compiled yet, each request is read late and still run, which delays the next
    // one.
    it("refuses less urgent requests first, then all", () => {
      const { lag, tickAfter } = createLag();
      tickAfter(50 + 150);
      expect(lag.isOverloaded({ rank: 2, timeMs: 480 })).to.equal(true);
      expect(lag.isOverloaded({ rank: 1, timeMs: 480 })).to.equal(false);
      tickAfter(50 + 400);
      expect(lag.isOverloaded({ rank: 0, timeMs: 480 })).to.equal(true);
    });

    // Guards against refusing requests with deadlines of seconds while a starting process decodes a large document.
    it("accepts requests that it leaves most of their time", () => {
      const { lag, tickAfter } = createLag();
      tickAfter(50 + 350);
      expect(lag.isOverloaded({ rank: 2, timeMs: 1_582 })).to.equal(false);
      tickAfter(50 + 600);
      expect(lag.isOverloaded({ rank: 2, timeMs: 1_582 })).to.equal(true);
      expect(lag.isOverloaded({ rank: 2, timeMs: 2_695 })).to.equal(false);
    });

    it("refuses all requests above a lag that delays the others, however long they may take", () => {
      const { lag, tickAfter } = createLag();
      tickAfter(50 + 1_700);
      expect(lag.isOverloaded({ rank: 0, timeMs: 60_000 })).to.equal(true);
    });
  });

  describe("when the event loop lags for long", () => {
    // Guards against a processor that is too slow for seconds, with all requests read as late as their time allows.
    it("accepts a smaller and smaller lag", () => {
      const { lag, tickAfter } = createLag();
      const isAcceptedAfter = (ticks: { lagMs: number; count: number }) => {
        Array.from({ length: ticks.count }, () => tickAfter(50 + ticks.lagMs));
        return !lag.isOverloaded({ rank: 2, timeMs: 1_582 });
      };
      expect(isAcceptedAfter({ lagMs: 350, count: 1 })).to.equal(true);
      expect(isAcceptedAfter({ lagMs: 300, count: 10 })).to.equal(false);
      expect(isAcceptedAfter({ lagMs: 190, count: 4 })).to.equal(true);
      expect(isAcceptedAfter({ lagMs: 450, count: 30 })).to.equal(false);
      expect(isAcceptedAfter({ lagMs: 110, count: 4 })).to.equal(false);
      expect(isAcceptedAfter({ lagMs: 95, count: 4 })).to.equal(true);
    });

    it("accepts the usual lag again once it has caught up", () => {
      const { lag, tickAfter } = createLag();
      Array.from({ length: 40 }, () => tickAfter(500));
      expect(lag.isOverloaded({ rank: 2, timeMs: 1_582 })).to.equal(true);
      Array.from({ length: 60 }, () => tickAfter(50));
      tickAfter(350);
      expect(lag.isOverloaded({ rank: 2, timeMs: 1_582 })).to.equal(false);
    });
  });

  describe("replaying a processor that is too slow for its requests", () => {
    /** Time to run and to refuse a request, and between two arrivals, in milliseconds. */
    const COSTS = { run: 6, refuse: 1, interval: 4 };
    const TIME_MS = 1_582;

    /** Replays the turns of the event loop; returns the maximum delay of reads in each half, and the share run. */
    function replayOverload() {
      let nowMs = 0;
      const lag = LoopLag.create(50, () => nowMs);
      const arrivals = Array.from(
        { length: 5_000 },
        (_, index) => index * COSTS.interval,
      );
      const delays: number[] = [];
      let lastTickAtMs = 0;
      let runCount = 0;
      while (delays.length < arrivals.length) {
        // Each turn reads all input that is there, and then the timer fires if it is due.
        const batch = arrivals.slice(delays.length).filter((arrivedAtMs) =>
          arrivedAtMs <= nowMs
        );
        batch.forEach((arrivedAtMs) => {
          delays.push(nowMs - arrivedAtMs);
          const isRefused = lag.isOverloaded({ rank: 2, timeMs: TIME_MS });
          runCount += isRefused ? 0 : 1;
          nowMs += isRefused ? COSTS.refuse : COSTS.run;
        });
        nowMs += batch.length === 0 ? 1 : 0;
        if (nowMs - lastTickAtMs >= 50) {
          lastTickAtMs = nowMs;
          lag.recordTick();
        }
      }
      const half = delays.length / 2;
      return {
        firstMaxMs: Math.max(...delays.slice(0, half)),
        secondMaxMs: Math.max(...delays.slice(half)),
        runShare: runCount / delays.length,
      };
    }

    // Guards against a backlog that grows until requests are read after their deadlines: each is run for nothing.
    it("stops the backlog from growing, and uses the processor for requests", () => {
      const { firstMaxMs, secondMaxMs, runShare } = replayOverload();
      expect(firstMaxMs).to.be.below(TIME_MS / 2);
      expect(secondMaxMs).to.be.below(TIME_MS / 4);
      expect(runShare).to.be.at.least(0.5);
    });
  });

  describe("within a long turn of the event loop", () => {
    // Guards against admitting hundreds of requests that are read in one turn, before the timer can fire, by the small
    // lag of the turn before.
    it("counts the time since the last tick", () => {
      const { lag, advance, tickAfter } = createLag();
      tickAfter(50);
      advance(850);
      expect(lag.currentMs).to.equal(800);
    });
  });

  describe("when the process has caught up", () => {
    it("is the maximum of the last ticks, and falls to zero after some more", () => {
      const { lag, tickAfter } = createLag();
      [1_050, 50, 50].forEach(tickAfter);
      expect(lag.currentMs).to.equal(1_000);
      [50, 50].forEach(tickAfter);
      expect(lag.currentMs).to.equal(0);
    });
  });

  describe("as a clock that leaves out the lag", () => {
    it("advances while ticks are on time", () => {
      const { lag, advance, tickAfter } = createLag();
      tickAfter(50);
      advance(20);
      expect(lag.runningMs).to.equal(70);
    });

    it("advances by one interval at most while a tick is overdue, and goes on after it", () => {
      const { lag, advance, tickAfter } = createLag();
      advance(400);
      expect(lag.runningMs).to.equal(50);
      tickAfter(100);
      expect(lag.runningMs).to.equal(50);
      tickAfter(50);
      expect(lag.runningMs).to.equal(100);
    });
  });

  describe("when a request is received together with its caller's disconnect", () => {
    /** Serves one request whose caller has disconnected at once; returns whether that is detected. */
    function serveOne(
      lag: LoopLag,
      request: { isFirst: boolean },
    ): Promise<boolean> {
      return new Promise((resolve) => {
        const serve = async (incoming: IncomingMessage) => {
          await lag.awaitPendingReads(request);
          resolve(hasDisconnected(incoming));
        };
        const server = createServer((incoming) => void serve(incoming));
        server.listen(0, "127.0.0.1", () => {
          const { port } = server.address() as AddressInfo;
          const socket = connect(port, "127.0.0.1");
          socket.end("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
          // Both are in the server's receive buffer before it reads again.
          const blockUntilMs = performance.now() + 50;
          socket.on("connect", () => {
            while (performance.now() < blockUntilMs);
          });
        });
        server.unref();
      });
    }

    // Guards against forwarding a request long after its caller has disconnected, only to abort it at once: under lag,
    // the request is read in one turn and the end of the connection in the next, and only one turn is waited for.
    it("detects the disconnect under lag", async () => {
      const { lag, advance } = createLag();
      advance(1_000);
      expect(await serveOne(lag, { isFirst: false })).to.equal(true);
    });

    // Guards against the same without lag: the packet that opens a connection is lost and retransmitted after a second,
    // the caller has disconnected meanwhile, and only a lagging process checks whether it is still connected.
    it("detects the disconnect for the first request of a connection", async () => {
      const { lag } = createLag();
      expect(await serveOne(lag, { isFirst: true })).to.equal(true);
    });
  });
});
