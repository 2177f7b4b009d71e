/**
 * Tests of the bound on the wait in a queue.
 *
 * @module
 */
import { expect } from "chai";
import { StandingQueue } from "./standing_queue.ts";

/** A server that makes 50 starts in 2.5 s. */
const PACE = { meanMs: 100, capacity: 2 };

function record(queue: StandingQueue, backlogMs: number, nowMs: number): void {
  queue.record(1, backlogMs, { pace: PACE, nowMs });
}

function limitAt(queue: StandingQueue, nowMs: number, rank = 1): number {
  return queue.limitMs(rank, { pace: PACE, nowMs });
}

describe("StandingQueue", () => {
  describe("while the queue has been empty lately", () => {
    // Guards against refusing a burst that is served as soon as it is over.
    it("bounds nothing", () => {
      const queue = StandingQueue.create();
      record(queue, 0, 0);
      expect(queue.ranks).to.deep.equal([]);
      record(queue, 900, 10);
      record(queue, 1_500, 2_400);
      expect(limitAt(queue, 2_400)).to.equal(Infinity);
    });
  });

  describe("once it has been standing for 50 starts", () => {
    it("lets it become shorter at half of the pace of the slots, down to what keeps them busy", () => {
      const queue = StandingQueue.create();
      record(queue, 50, 0);
      record(queue, 1_200, 2_500);
      record(queue, 1_190, 2_510);
      expect(limitAt(queue, 2_500)).to.equal(1_200);
      expect(limitAt(queue, 3_500)).to.equal(700);
      expect(limitAt(queue, 60_000)).to.equal(100);
      expect(queue.standingMs(1, 60_000)).to.equal(60_000);
    });

    it("begins anew when it has been empty", () => {
      const queue = StandingQueue.create();
      record(queue, 50, 0);
      record(queue, 1_200, 2_500);
      record(queue, 0, 4_000);
      record(queue, 50, 4_010);
      expect(limitAt(queue, 4_010)).to.equal(Infinity);
    });

    // Guards against refusing urgent requests because less urgent ones wait.
    it("bounds no more urgent requests", () => {
      const queue = StandingQueue.create();
      record(queue, 50, 0);
      record(queue, 1_200, 2_500);
      expect(limitAt(queue, 9_000, 0)).to.equal(Infinity);
      expect(queue.ranks).to.deep.equal([1]);
    });
  });

  it("counts the least urgent ranks as one", () => {
    const queue = StandingQueue.create();
    queue.record(40, 10, { pace: PACE, nowMs: 0 });
    expect(queue.standingMs(7, 10)).to.equal(10);
  });
});
