/**
 * Tests of how far requests deviate from their estimates.
 *
 * @module
 */
import { expect } from "chai";
import { EstimateSpread } from "./estimate_spread.ts";

describe("EstimateSpread", () => {
  it("is not 0 before any request has ended, and approaches 0 for exact estimates", () => {
    const spread = EstimateSpread.create();
    expect(spread.share).to.be.above(0);
    Array.from(
      { length: 100 },
      () => spread.record({ estimateMs: 100, tookMs: 100 }),
    );
    expect(spread.share).to.be.below(0.001);
  });

  it("approaches the mean deviation either way", () => {
    const spread = EstimateSpread.create();
    Array.from(
      { length: 200 },
      (_, index) =>
        spread.record({ estimateMs: 100, tookMs: index % 2 === 0 ? 70 : 130 }),
    );
    expect(spread.share).to.be.closeTo(0.3, 0.001);
  });

  // Guards against a margin that refuses everything because one request took a hundred times as long as usual.
  it("counts a single request as no more than its estimate", () => {
    const spread = EstimateSpread.create();
    const before = spread.share;
    spread.record({ estimateMs: 100, tookMs: 10_000 });
    expect(spread.share).to.be.at.most(before + 0.1);
    spread.record({ estimateMs: 0, tookMs: 50 });
    expect(spread.share).to.be.at.most(before + 0.1);
  });
});
