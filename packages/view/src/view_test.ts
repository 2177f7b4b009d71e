/**
 * Property tests of copies of the records, compared with a naive replay of all writes.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { type Delta, View, type ViewRecord } from "./view.ts";

const SEED = 7;

/** A history of writes with consecutive revisions, some of which are deletions. */
const history = fc.array(
  fc.record({
    key: fc.constantFrom("a", "b", "c", "d"),
    isDeletion: fc.boolean(),
  }),
  { minLength: 1, maxLength: 40 },
).map((writes) =>
  writes.map(({ key, isDeletion }, index): ViewRecord => ({
    key,
    value: isDeletion ? undefined : `value-${index}`,
    revision: index + 1,
  }))
);

function replay(records: readonly ViewRecord[]): Map<string, string> {
  const contents = new Map<string, string>();
  records.forEach(({ key, value }) =>
    value === undefined ? contents.delete(key) : contents.set(key, value)
  );
  return contents;
}

function contentsOf(view: View): Map<string, string> {
  return new Map(view.list("").map(({ key, value }) => [key, value as string]));
}

/** Creates a copy that received every write in a delta of its own. */
function replicate(records: readonly ViewRecord[]): View {
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
    it("equals a replay of the history, in whatever order deltas arrive", () => {
      const property = fc.property(
        history,
        fc.array(fc.record({ at: fc.nat(40), since: fc.nat(40) }), {
          maxLength: 30,
        }),
        (records, exchanges) => {
          const source = replicate(records);
          const target = View.create();
          exchanges.forEach(({ at, since }) => {
            const older = replicate(records.slice(0, at));
            const delta = older.deltaSince(Math.min(since, target.revision));
            if (delta !== undefined) {
              target.merge(delta);
            }
            expect(contentsOf(target)).to.deep.equal(
              replay(records.slice(0, target.revision)),
            );
          });
          const remainingDelta = source.deltaSince(target.revision);
          if (remainingDelta !== undefined) {
            target.merge(remainingDelta);
          }
          expect(contentsOf(target)).to.deep.equal(replay(records));
        },
      );
      fc.assert(property, { seed: SEED, numRuns: 500 });
    });

    it("never decreases the revision", () => {
      const property = fc.property(
        history,
        fc.array(fc.nat(40)),
        (records, order) => {
          const view = View.create();
          order.forEach((at) => {
            const before = view.revision;
            const delta = replicate(records.slice(0, at)).deltaSince(
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

    it("rejects a delta that would leave a gap", () => {
      const view = replicate([{ key: "a", value: "1", revision: 1 }]);
      const laterDelta: Delta = {
        from: 5,
        to: 6,
        records: [{ key: "a", value: "2", revision: 6 }],
      };
      expect(view.merge(laterDelta)).to.equal("gap");
      expect(view.get("a")?.value).to.equal("1");
    });
  });

  describe("deletions", () => {
    // Guards against a deleted session record that stays on one daemon: the copy lacks deletions whose tombstones are
    // no longer kept, so a delta can't contain them and must contain all records instead.
    it("are applied to a copy that is older than the kept tombstones", () => {
      const writes = Array.from({ length: 3_000 }, (_, index) => [
        { key: `k${index}`, value: "x", revision: 2 * index + 1 },
        { key: `k${index}`, value: undefined, revision: 2 * index + 2 },
      ]).flat();
      const outdated = replicate(writes.slice(0, 1));
      const delta = replicate(writes).deltaSince(outdated.revision) as Delta;
      expect(delta.from).to.equal(0);
      outdated.merge(delta);
      expect(outdated.size).to.equal(0);
    });
  });
});
