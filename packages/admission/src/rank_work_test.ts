/**
 * Tests of the slot time that more urgent ranks leave over.
 *
 * @module
 */
import { expect } from "chai";
import { RankWork } from "./rank_work.ts";

describe("RankWork", () => {
  it("leaves all to any rank before the first start", () => {
    expect(RankWork.create().shareLeftTo(3)).to.equal(1);
  });

  // Guards against requests that are admitted, overtaken by more urgent ones while they wait, and refused then.
  it("subtracts the work of more urgent ranks among the last starts", () => {
    const work = RankWork.create();
    Array.from(
      { length: 50 },
      () => work.recordStart({ rank: 2, estimateMs: 90 }),
    );
    Array.from(
      { length: 5 },
      () => work.recordStart({ rank: 0, estimateMs: 120 }),
    );
    expect(work.shareLeftTo(0)).to.equal(1);
    expect(work.shareLeftTo(1)).to.be.closeTo(1 - 600 / 2_400, 0.001);
    expect(work.shareLeftTo(2)).to.equal(work.shareLeftTo(1));
  });

  it("leaves something over, so that waits are finite", () => {
    const work = RankWork.create();
    Array.from(
      { length: 40 },
      () => work.recordStart({ rank: 0, estimateMs: 10 }),
    );
    expect(work.shareLeftTo(1)).to.be.above(0);
  });
});
