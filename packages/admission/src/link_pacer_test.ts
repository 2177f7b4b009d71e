/**
 * Tests of how large answers share a link with small ones.
 *
 * @module
 */
import { expect } from "chai";
import { LinkPacer, type WaitingResponse } from "./link_pacer.ts";

/** A link of 10.5 Mbit/s. */
const BYTES_PER_SECOND = 1_312_500;
const PIECE_BYTES = 32_768;
const ANSWER_BYTES = 94_500;

interface Sent {
  readonly objectiveAtMs: number;
  readonly leftAtMs: number;
}

/**
 * Plays a time in which a server makes so many answers a second; returns when each had left, and the longest time that a
 * small message would have waited behind what was written.
 */
function play(answersASecond: number, isPaced: boolean, forMs = 1_000) {
  const pacer = LinkPacer.create<WaitingResponse>(
    isPaced ? BYTES_PER_SECOND : Infinity,
  );
  const sent: Sent[] = [];
  let linkFreeAtMs = 0;
  let longestWaitMs = 0;
  for (let nowMs = 0; nowMs < 2 * forMs; nowMs += 1) {
    if (nowMs < forMs && nowMs % Math.round(1_000 / answersASecond) === 0) {
      pacer.add({ objectiveAtMs: nowMs + 700, remainingBytes: ANSWER_BYTES });
    }
    for (let next = pacer.next(nowMs); next; next = pacer.next(nowMs)) {
      const bytes = Math.min(PIECE_BYTES, next.remainingBytes);
      next.remainingBytes -= bytes;
      pacer.recordWritten(bytes, nowMs);
      linkFreeAtMs = Math.max(linkFreeAtMs, nowMs) +
        bytes / (BYTES_PER_SECOND / 1_000);
      if (next.remainingBytes === 0) {
        const { objectiveAtMs } = next;
        sent.push({ objectiveAtMs, leftAtMs: linkFreeAtMs });
        pacer.remove((answer) => answer.remainingBytes === 0);
      }
    }
    longestWaitMs = Math.max(longestWaitMs, linkFreeAtMs - nowMs);
  }
  return { sent, longestWaitMs };
}

describe("link pacer", () => {
  describe("when more large answers are made than the link carries", () => {
    // Symptom: small calls to a host of large answers end at their deadline, and it seems silent.
    // Sequence: 20 answers of 94 kB a second are written to a link that carries 14.
    // Cause: what waits for the link waits in its buffers, in front of all that is written later.
    it("lets small messages wait for one piece at most", () => {
      expect(play(20, false).longestWaitMs).to.be.above(400);
      expect(play(20, true).longestWaitMs).to.be.below(40);
    });

    it("uses the link as well as without", () => {
      const paced = play(20, true).sent.at(-1)!.leftAtMs;
      const unpaced = play(20, false).sent.at(-1)!.leftAtMs;
      expect(paced).to.be.below(unpaced * 1.02);
    });
  });

  describe("when it is asked for a third more than it carries, for long", () => {
    // Symptom: hardly any download of a busy host arrives in time, although three in four could.
    // Sequence: 20 answers of 94 kB a second for 4 s, each wanted within 700 ms, over a link that carries 14.
    // Cause: the one that was wanted first went first, also when it was late already.
    it("keeps most of those in time that it can carry", () => {
      const { sent } = play(20, true, 4_000);
      const inTime = sent.filter(({ objectiveAtMs, leftAtMs }) =>
        leftAtMs <= objectiveAtMs
      );
      expect(inTime).to.have.length.above(45);
    });
  });

  describe("when an answer is asked for", () => {
    it("expects what waits, what is being made and the answer itself to leave first", () => {
      const pacer = LinkPacer.create<WaitingResponse>(1_000_000);
      pacer.recordWritten(20_000, 0);
      // Late already, so one that is in time goes before it.
      pacer.add({ objectiveAtMs: 0, remainingBytes: 30_000 });
      expect(pacer.estimateDelay(50_000, 10)).to.deep.equal({
        onTimeMs: 60,
        lateMs: 90,
      });
    });
  });

  describe("when answers wait", () => {
    it("lets go first what is wanted first", () => {
      const pacer = LinkPacer.create<WaitingResponse>(1_000_000);
      pacer.add({ objectiveAtMs: 900, remainingBytes: 1 });
      pacer.add({ objectiveAtMs: 300, remainingBytes: 1 });
      expect(pacer.next(0)?.objectiveAtMs).to.equal(300);
    });
  });

  describe("of a link whose speed is not known", () => {
    it("holds nothing back", () => {
      const pacer = LinkPacer.create<WaitingResponse>(Infinity);
      pacer.recordWritten(1e9, 0);
      expect(pacer.delayMs(0)).to.equal(0);
      expect(pacer.estimateDelay(1e9, 0)).to.deep.equal({
        onTimeMs: 0,
        lateMs: 0,
      });
    });
  });
});
