/**
 * Differential test of `RangeMap` against a map with one entry for each key.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { RangeMap } from "./range_map.ts";

const KEYS = 24;
const key = fc.nat(KEYS - 1);
const change = fc.record({
  ends: fc.tuple(key, key),
  value: fc.option(fc.nat(2), { nil: undefined }),
});

describe("range map", () => {
  describe("after arbitrary changes", () => {
    it("equals a map with one entry for each key", () => {
      const property = fc.property(fc.array(change), (changes) => {
        const map = RangeMap.create<number>();
        const reference = new Map<number, number>();
        changes.forEach(({ ends, value }) => {
          const from = Math.min(...ends);
          const to = Math.max(...ends);
          const keys = Array.from(
            { length: to - from + 1 },
            (_, at) => from + at,
          );
          if (value === undefined) {
            map.delete({ from, to });
            keys.forEach((each) => reference.delete(each));
          } else {
            map.set({ from, to }, value);
            keys.forEach((each) => reference.set(each, value));
          }
        });
        Array.from(
          { length: KEYS },
          (_, each) => expect(map.get(each)).to.equal(reference.get(each)),
        );
        const gaps = map.gaps({ from: 0, to: KEYS - 1 });
        const missing = gaps.reduce(
          (sum, { from, to }) => sum + to - from + 1,
          0,
        );
        expect(missing).to.equal(KEYS - reference.size);
      });
      fc.assert(property, { seed: 3, numRuns: 500 });
    });

    it("merges adjacent ranges with equal values", () => {
      const map = RangeMap.create<number>();
      map.set({ from: 0, to: 3 }, 1);
      map.set({ from: 4, to: 7 }, 1);
      expect(map.segments).to.deep.equal([{ from: 0, to: 7, value: 1 }]);
    });
  });
});
