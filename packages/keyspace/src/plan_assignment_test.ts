/**
 * Tests of the assignment of keys without an owner.
 *
 * @module
 */
import { expect } from "chai";
import { OwnershipRecord } from "./ownership_record.ts";
import { assignUnowned } from "./plan_assignment.ts";
import { KEY_COUNT, sizeOf } from "./range_map.ts";
import { seededRandom } from "@bamboolink/simulation";

const SEED = 20_261_204;
const ALL_KEYS = [{ from: 0, to: KEY_COUNT - 1 }];

function createCandidates(count: number) {
  return Array.from(
    { length: count },
    (_, index) => ({ daemon: `daemon-${index}`, weight: 1 }),
  );
}

/** Divides all keys among daemons, and then moves small ranges to random ones, as hot keys do. */
function createFragmented(daemons: number, moves: number): OwnershipRecord {
  const random = seededRandom(SEED);
  const candidates = createCandidates(daemons);
  const empty = OwnershipRecord.create();
  const divided = empty.assign(assignUnowned(empty, ALL_KEYS, candidates));
  return Array.from({ length: moves }).reduce((record: OwnershipRecord) => {
    const from = Math.floor(random() * (KEY_COUNT - 60));
    const { daemon } = candidates[Math.floor(random() * daemons)]!;
    return record.assign([{ from, to: from + 59, daemon, handover: "" }]);
  }, divided);
}

/** Removes the last daemons one after the other until `remaining` are left. */
function scaleIn(
  record: OwnershipRecord,
  counts: { daemons: number; remaining: number },
): OwnershipRecord {
  const { daemons, remaining } = counts;
  return Array.from({ length: daemons - remaining }).reduce(
    (current: OwnershipRecord, _, index) => {
      const left = createCandidates(daemons - index - 1);
      const leaving = `daemon-${left.length}`;
      const released = current.rangesOf(leaving);
      const rest = current.release(released);
      return rest.assign(assignUnowned(rest, released, left));
    },
    record,
  );
}

describe("assignUnowned", () => {
  describe("when daemons with many small ranges leave", () => {
    const fragmented = createFragmented(12, 150);
    const left = scaleIn(fragmented, { daemons: 12, remaining: 3 });

    // Guards against grants that grow until a backend server takes their response for none: each daemon that left added
    // its small ranges to those of the others.
    it("joins these with their neighbours", () => {
      const before = Math.max(
        ...fragmented.daemons.map((daemon) =>
          fragmented.rangesOf(daemon).length
        ),
      );
      left.daemons.forEach((daemon) =>
        expect(left.rangesOf(daemon).length).to.be.at.most(before)
      );
    });

    it("gives each daemon about its share of the keys", () => {
      expect(left.daemons).to.have.length(3);
      left.daemons.forEach((daemon) => {
        const count = left.rangesOf(daemon)
          .reduce((sum, range) => sum + sizeOf(range), 0);
        expect(count).to.be.closeTo(KEY_COUNT / 3, KEY_COUNT / 3 * 0.06);
      });
    });
  });
});
