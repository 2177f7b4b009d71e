/**
 * Tests of the transmitted form of waits by rank.
 *
 * @module
 */
import { expect } from "chai";
import {
  encodeRankWaits,
  isWaitList,
  toRankWaits,
  waitOfRank,
} from "./rank_waits.ts";

describe("waits by rank", () => {
  describe("in transmitted form", () => {
    it("contain no values that follow from others", () => {
      expect(encodeRankWaits({ onTimeMs: [0, 5, 5], lateMs: [0, 5.2, 5] }))
        .to.deep.equal({ onTimeMs: [0, 5], lateMs: [] });
      expect(encodeRankWaits({ onTimeMs: [0, 5], lateMs: [0, 900] }))
        .to.deep.equal({ onTimeMs: [0, 5], lateMs: [0, 900] });
    });

    it("are empty where they are not known", () => {
      expect(encodeRankWaits(undefined))
        .to.deep.equal({ onTimeMs: [], lateMs: [] });
      expect(toRankWaits([], [])).to.equal(undefined);
    });

    // Guards against a report that other daemons reject as a whole because one wait is infinite.
    it("are valid whatever the waits were", () => {
      const onTimeMs = [1e9, Infinity, 3, 4, 5, 6, 7, 8, 9, 10];
      expect(isWaitList(encodeRankWaits({ onTimeMs, lateMs: [] }).onTimeMs))
        .to.equal(true);
    });

    it("mean the same for each rank after decoding", () => {
      const sent = encodeRankWaits({ onTimeMs: [3, 7, 7], lateMs: [3, 7, 7] });
      const received = toRankWaits(sent.onTimeMs, sent.lateMs)!;
      expect([0, 1, 2, 9].map((rank) => waitOfRank(received.lateMs, rank)))
        .to.deep.equal([3, 7, 7, 7]);
    });
  });
});
