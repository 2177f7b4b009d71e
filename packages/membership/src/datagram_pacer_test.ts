/**
 * Tests of when the datagrams of a broadcast are sent.
 *
 * @module
 */
import { expect } from "chai";
import { DatagramPacer } from "./datagram_pacer.ts";

/** Number of other daemons in a large fleet. */
const RECIPIENTS = 58;
/** Sizes of a crash report, gossip and an ownership record, in bytes. */
const REPORT_BYTES = 100;
const GOSSIP_BYTES = 1_600;
const RECORD_BYTES = 4_096;
/** Bandwidths of network links of 15 and 200 Mbit/s, in bytes per second. */
const SLOW_LINK = 1_875_000;
const FAST_LINK = 25_000_000;
/** What the queue of a slow link holds, in milliseconds of its bandwidth. */
const LINK_QUEUE_MS = 15;
const MS_PER_SECOND = 1_000;
const STEP_MS = 5;

const createBroadcast = (size: number) =>
  Array.from({ length: RECIPIENTS }, (_, index) => ({
    bytes: new Uint8Array(size),
    address: `10.0.0.${index}:7`,
  }));

/** Sends all datagrams over a link that drops what its queue does not hold; returns how many of each size arrive. */
function transmit(pacer: DatagramPacer): Map<number, number> {
  const bytesPerMs = SLOW_LINK / MS_PER_SECOND;
  const arrived = new Map<number, number>();
  let queuedBytes = 0;
  for (let nowMs = 0; pacer.waitingCount > 0; nowMs += STEP_MS) {
    pacer.takeDue(nowMs).forEach(({ bytes: { length } }) => {
      if (queuedBytes + length <= LINK_QUEUE_MS * bytesPerMs) {
        queuedBytes += length;
        arrived.set(length, (arrived.get(length) ?? 0) + 1);
      }
    });
    queuedBytes = Math.max(0, queuedBytes - STEP_MS * bytesPerMs);
  }
  return arrived;
}

describe("DatagramPacer", () => {
  describe("on a slow network link", () => {
    // Guards against a crash report that reaches no daemon: gossip to all of them, sent a moment before, fills the queue
    // of the network link.
    it("sends no more than the link's queue holds", () => {
      const pacer = DatagramPacer.create(SLOW_LINK);
      pacer.add(createBroadcast(GOSSIP_BYTES));
      pacer.add(createBroadcast(REPORT_BYTES));
      expect([...transmit(pacer)]).to.have.deep.members([
        [GOSSIP_BYTES, RECIPIENTS],
        [REPORT_BYTES, RECIPIENTS],
      ]);
    });

    it("sends a small broadcast at once, also while a large one waits", () => {
      const pacer = DatagramPacer.create(SLOW_LINK);
      pacer.add(createBroadcast(GOSSIP_BYTES));
      pacer.takeDue(0);
      pacer.add(createBroadcast(REPORT_BYTES));
      const due = pacer.takeDue(STEP_MS);
      expect(due.slice(0, RECIPIENTS).map(({ bytes }) => bytes.length)).to.deep
        .equal(createBroadcast(REPORT_BYTES).map(() => REPORT_BYTES));
    });

    it("sends at once what would be delayed for too long", () => {
      const pacer = DatagramPacer.create(SLOW_LINK);
      Array.from({ length: 100 }).forEach(() =>
        pacer.add(createBroadcast(RECORD_BYTES))
      );
      pacer.takeDue(0);
      expect(pacer.waitingCount * RECORD_BYTES).to.be.at.most(SLOW_LINK);
    });

    it("removes datagrams that newer ones replace", () => {
      const pacer = DatagramPacer.create(SLOW_LINK);
      pacer.add(createBroadcast(RECORD_BYTES));
      pacer.add(createBroadcast(GOSSIP_BYTES));
      pacer.remove(({ bytes }) => bytes.length === GOSSIP_BYTES);
      expect(pacer.waitingCount).to.equal(RECIPIENTS);
    });
  });

  [FAST_LINK, Infinity].forEach((bytesPerSecond) =>
    describe(`on a network link of ${bytesPerSecond} bytes per second`, () => {
      it("sends each broadcast at once", () => {
        const pacer = DatagramPacer.create(bytesPerSecond);
        [GOSSIP_BYTES, REPORT_BYTES, RECORD_BYTES].forEach((size, index) => {
          pacer.add(createBroadcast(size));
          expect(pacer.takeDue(index * MS_PER_SECOND)).to.have.length(
            RECIPIENTS,
          );
        });
      });
    })
  );
});
