/**
 * Property tests of the copies of the records, against a naive copy that replays the whole history.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { type Delta, View, type ViewRecord } from "./view.ts";

const SEED = 7;

/** A history: each write has the next revision; some delete. */
const history = fc.array(
  fc.record({
    key: fc.constantFrom("a", "b", "c", "d"),
    deletes: fc.boolean(),
  }),
  { minLength: 1, maxLength: 40 },
).map((writes) =>
  writes.map(({ key, deletes }, index): ViewRecord => ({
    key,
    value: deletes ? undefined : `value-${index}`,
    revision: index + 1,
  }))
);

function replay(records: readonly ViewRecord[]): Map<string, string> {
  const naive = new Map<string, string>();
  records.forEach(({ key, value }) =>
    value === undefined ? naive.delete(key) : naive.set(key, value)
  );
  return naive;
}

function contentsOf(view: View): Map<string, string> {
  return new Map(view.list("").map(({ key, value }) => [key, value as string]));
}

/** A copy that heard of everything, one write at a time. */
function follow(records: readonly ViewRecord[]): View {
  const view = View.create();
  records.forEach((record) =>
    view.merge({
      from: record.revision - 1,
      to: record.revision,
      records: [record],
    })
  );
  return view;
}

describe("view", () => {
  describe("merge", () => {
    it("equals a replay of the history, however deltas arrive", () => {
      const property = fc.property(
        history,
        fc.array(fc.record({ at: fc.nat(40), since: fc.nat(40) }), {
          maxLength: 30,
        }),
        (records, exchanges) => {
          const source = follow(records);
          const target = View.create();
          exchanges.forEach(({ at, since }) => {
            const older = follow(records.slice(0, at));
            const delta = older.deltaSince(Math.min(since, target.revision));
            if (delta !== undefined) {
              target.merge(delta);
            }
            expect(contentsOf(target)).to.deep.equal(
              replay(records.slice(0, target.revision)),
            );
          });
          const rest = source.deltaSince(target.revision);
          if (rest !== undefined) {
            target.merge(rest);
          }
          expect(contentsOf(target)).to.deep.equal(replay(records));
        },
      );
      fc.assert(property, { seed: SEED, numRuns: 500 });
    });

    it("never goes back in revision", () => {
      const property = fc.property(
        history,
        fc.array(fc.nat(40)),
        (records, order) => {
          const view = View.create();
          order.forEach((at) => {
            const before = view.revision;
            const delta = follow(records.slice(0, at)).deltaSince(
              view.revision,
            );
            if (delta !== undefined) {
              view.merge(delta);
            }
            expect(view.revision).to.be.at.least(before);
          });
        },
      );
      fc.assert(property, { seed: SEED, numRuns: 300 });
    });

    it("refuses a delta that would leave a gap", () => {
      const view = follow([{ key: "a", value: "1", revision: 1 }]);
      const late: Delta = {
        from: 5,
        to: 6,
        records: [{ key: "a", value: "2", revision: 6 }],
      };
      expect(view.merge(late)).to.equal("gap");
      expect(view.get("a")?.value).to.equal("1");
    });
  });

  describe("deletions", () => {
    // Symptom: a session record that was deleted comes back on one daemon.
    // Sequence: the copy is further behind than the kept traces of deletions reach.
    // Cause: a delta can't name what nobody remembers, so such a copy must be replaced whole.
    it("that are forgotten reach a copy that is far behind", () => {
      const writes = Array.from({ length: 3_000 }, (_, index) => [
        { key: `k${index}`, value: "x", revision: 2 * index + 1 },
        { key: `k${index}`, value: undefined, revision: 2 * index + 2 },
      ]).flat();
      const behind = follow(writes.slice(0, 1));
      const delta = follow(writes).deltaSince(behind.revision) as Delta;
      expect(delta.from).to.equal(0);
      behind.merge(delta);
      expect(behind.size).to.equal(0);
    });
  });
});
