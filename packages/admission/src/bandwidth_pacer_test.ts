/**
 * Tests of how large responses share the network link of a host with small ones.
 *
 * @module
 */
import { expect } from "chai";
import { BandwidthPacer, type WaitingResponse } from "./bandwidth_pacer.ts";

/** Bandwidth of a network link of 10.5 Mbit/s. */
const BYTES_PER_SECOND = 1_312_500;
const CHUNK_BYTES = 32_768;
const RESPONSE_BYTES = 94_500;

interface Sent {
  readonly deadlineAtMs: number;
  readonly sentAtMs: number;
}

/**
 * Simulates a server that produces large responses at the given rate for `forMs` milliseconds; returns when each
 * response was sent, and the longest time for which a small message would have waited behind the written data.
 */
function simulate(responsesPerSecond: number, isPaced: boolean, forMs = 1_000) {
  const pacer = BandwidthPacer.create<WaitingResponse>(
    isPaced ? BYTES_PER_SECOND : Infinity,
  );
  const sent: Sent[] = [];
  let linkFreeAtMs = 0;
  let maxWaitMs = 0;
  for (let nowMs = 0; nowMs < 2 * forMs; nowMs += 1) {
    if (nowMs < forMs && nowMs % Math.round(1_000 / responsesPerSecond) === 0) {
      pacer.add({ deadlineAtMs: nowMs + 700, remainingBytes: RESPONSE_BYTES });
    }
    for (let next = pacer.next(nowMs); next; next = pacer.next(nowMs)) {
      const bytes = Math.min(CHUNK_BYTES, next.remainingBytes);
      next.remainingBytes -= bytes;
      pacer.recordWritten(bytes, nowMs);
      linkFreeAtMs = Math.max(linkFreeAtMs, nowMs) +
        bytes / (BYTES_PER_SECOND / 1_000);
      if (next.remainingBytes === 0) {
        const { deadlineAtMs } = next;
        sent.push({ deadlineAtMs, sentAtMs: linkFreeAtMs });
        pacer.remove((response) => response.remainingBytes === 0);
      }
    }
    maxWaitMs = Math.max(maxWaitMs, linkFreeAtMs - nowMs);
  }
  return { sent, maxWaitMs };
}

describe("BandwidthPacer", () => {
  describe("when more large responses are produced than the network link carries", () => {
    // Guards against small calls to a host that miss their deadlines, and peers that consider the host unresponsive:
    // when 20 responses of 94 kB are written per second to a network link that carries 14, buffers delay everything
    // written later.
    it("delays small messages by one chunk at most", () => {
      expect(simulate(20, false).maxWaitMs).to.be.above(400);
      expect(simulate(20, true).maxWaitMs).to.be.below(40);
    });

    it("uses the network link as fully as without pacing", () => {
      const paced = simulate(20, true).sent.at(-1)!.sentAtMs;
      const unpaced = simulate(20, false).sent.at(-1)!.sentAtMs;
      expect(paced).to.be.below(unpaced * 1.02);
    });
  });

  describe("when the network link is overloaded by a third for seconds", () => {
    // Guards against hardly any download arriving in time although three in four could: 20 responses of 94 kB per
    // second for 4 s, each due within 700 ms, are sent over a network link that carries 14, in the order of their
    // deadlines even if these have passed.
    it("sends most of the responses in time that the network link can carry", () => {
      const { sent } = simulate(20, true, 4_000);
      const inTime = sent.filter(({ deadlineAtMs, sentAtMs }) =>
        sentAtMs <= deadlineAtMs
      );
      expect(inTime).to.have.length.above(45);
    });
  });

  describe("when a response is requested", () => {
    it("includes waiting responses, those being produced and the response itself in the estimate", () => {
      const pacer = BandwidthPacer.create<WaitingResponse>(1_000_000);
      pacer.recordWritten(20_000, 0);
      // Already too late, so a response that is in time is sent before it.
      pacer.add({ deadlineAtMs: 0, remainingBytes: 30_000 });
      expect(pacer.estimateDelayMs(50_000, 10)).to.equal(60);
      pacer.add({ deadlineAtMs: 900, remainingBytes: 30_000 });
      expect(pacer.estimateDelayMs(50_000, 10)).to.equal(90);
    });
  });

  describe("when responses wait", () => {
    it("sends the one with the earliest deadline first", () => {
      const pacer = BandwidthPacer.create<WaitingResponse>(1_000_000);
      pacer.add({ deadlineAtMs: 900, remainingBytes: 1 });
      pacer.add({ deadlineAtMs: 300, remainingBytes: 1 });
      expect(pacer.next(0)?.deadlineAtMs).to.equal(300);
    });
  });

  describe("when the bandwidth of the network link is not known", () => {
    it("delays nothing", () => {
      const pacer = BandwidthPacer.create<WaitingResponse>(Infinity);
      pacer.recordWritten(1e9, 0);
      expect(pacer.delayMs(0)).to.equal(0);
      expect(pacer.estimateDelayMs(1e9, 0)).to.equal(0);
    });
  });
});
