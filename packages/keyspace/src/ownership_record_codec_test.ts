/**
 * Tests that ownership records are decoded as the schema of their stored form specifies.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { z } from "zod";
import { OwnershipRecord } from "./ownership_record.ts";
import { KEY_COUNT } from "./range_map.ts";

const StoredKey = z.int().min(0).max(KEY_COUNT - 1);
const StoredRange = z.tuple([
  StoredKey,
  StoredKey,
  z.int().min(0),
  z.string(),
  z.int().min(0),
]);

/** The specification of the stored form. */
const StoredRecord = z.object({
  daemons: z.array(z.string()),
  ranges: z.array(StoredRange),
  arbiters: z.array(z.tuple([z.string(), z.int().min(0)])).default([]),
  era: z.int().min(0).default(0),
  restored: z.boolean().default(false),
}).refine(({ daemons, ranges }) =>
  ranges.every(([from, to, index], position) =>
    from <= to && index < daemons.length &&
    (position === 0 || ranges[position - 1]![1] < from)
  )
);

/** Values at the limits of what fields accept, and of types that they don't accept. */
const LIMIT_VALUES: readonly unknown[] = [
  0,
  1,
  -1,
  0.5,
  KEY_COUNT - 1,
  KEY_COUNT,
  2 ** 53 - 1,
  2 ** 53,
  1e300,
  "",
  "a",
  true,
  null,
  [],
  {},
  ["a"],
  ["a", 1],
  ["a", 1, 1],
  [0, 1, 0, ""],
  [0, 1, 0, "", 0],
  [0, 1, 0, "", 0, 0],
];
const anyValue = fc.oneof(fc.constantFrom(...LIMIT_VALUES), fc.jsonValue());

const DAEMONS = ["a", "b", "c"];

/** Ranges in ascending order, most of them valid. */
const anyRanges = fc.array(
  fc.tuple(
    fc.integer({ min: 0, max: 3 }),
    fc.integer({ min: 1, max: 9_000 }),
    fc.integer({ min: 0, max: DAEMONS.length - 1 }),
    fc.constantFrom("", "proof"),
    fc.constantFrom(0, 65_537),
  ),
  { maxLength: 8 },
).map((parts) => {
  let next = 0;
  return parts.map(([gap, width, index, handover, seal]) => {
    const from = next + gap;
    const to = from + width - 1;
    next = to + 1;
    return [from, to, index, handover, seal];
  });
});

const anyRecord = fc.record({
  daemons: fc.constant(DAEMONS),
  ranges: anyRanges,
  arbiters: fc.constantFrom([], [["a", 1]], [["a", 0], ["c", 7]]),
  era: fc.nat(3),
  restored: fc.boolean(),
}, { requiredKeys: ["daemons", "ranges"] });

/** The values of a record and of its rows, each with a function that replaces it. */
function positionsOf(value: unknown): ((replacement: unknown) => void)[] {
  if (typeof value !== "object" || value === null) {
    return [];
  }
  const container = value as Record<string, unknown>;
  return Object.keys(container).flatMap((key) => [
    (replacement: unknown) => {
      // Copied, since a later replacement may be inside this one.
      container[key] = structuredClone(replacement);
    },
    ...positionsOf(container[key]),
  ]);
}

/** Number of keys in ranges. */
function countKeys(ranges: readonly { from: number; to: number }[]): number {
  return ranges.reduce((sum, { from, to }) => sum + to - from + 1, 0);
}

/** Checks that a text is decoded exactly if the schema accepts it, to the content that the schema returns. */
function checkAgainstSchema(value: unknown): void {
  const decoded = OwnershipRecord.decode(JSON.stringify(value), 7);
  const specified = StoredRecord.safeParse(JSON.parse(JSON.stringify(value)));
  expect(decoded.isOk()).to.equal(specified.success);
  if (decoded.isErr() || !specified.success) {
    expect(decoded._unsafeUnwrapErr().code).to.equal("invalid");
    return;
  }
  const record = decoded.value;
  const { daemons, ranges, arbiters, era, restored } = specified.data;
  ranges.forEach(([from, to, index, handover, seal]) =>
    [from, to].forEach((key) =>
      expect(record.ownerOf(key)).to.deep.equal({
        daemon: daemons[index],
        handover,
        seal,
      })
    )
  );
  expect(countKeys(record.segments)).to.equal(
    countKeys(ranges.map(([from, to]) => ({ from, to }))),
  );
  expect(record.arbiters).to.deep.equal(
    arbiters.map(([daemon, appointmentId]) => ({ daemon, appointmentId })),
  );
  expect(record).to.include({ era, isRestored: restored, revision: 7 });
}

describe("decoder of ownership records", () => {
  // Guards against keys with two owners or with none: the decoder must accept the same records as the schema by which
  // all earlier versions decode them, and read the same owners from them.
  describe("for a record with valid fields", () => {
    it("returns what the schema returns", () => {
      fc.assert(fc.property(anyRecord, checkAgainstSchema), { numRuns: 500 });
    });
  });

  describe("for a record in which some values are replaced", () => {
    it("rejects exactly what the schema rejects", () => {
      fc.assert(
        fc.property(
          anyRecord,
          fc.array(fc.tuple(fc.nat(), anyValue), {
            minLength: 1,
            maxLength: 2,
          }),
          (record, replacements) => {
            const value = structuredClone(record);
            replacements.forEach(([index, replacement]) => {
              const positions = positionsOf(value);
              positions[index % positions.length]!(replacement);
            });
            checkAgainstSchema(value);
          },
        ),
        { numRuns: 3_000 },
      );
    });
  });

  describe("for a record with one value at or beyond a limit", () => {
    it("rejects exactly what the schema rejects", () => {
      const createRecord = () => ({
        daemons: DAEMONS,
        ranges: [[0, 5, 0, "", 0], [6, 9, 1, "proof", 65_537]],
        arbiters: [["a", 1]],
        era: 1,
        restored: false,
      });
      positionsOf(createRecord()).forEach((_, index) =>
        LIMIT_VALUES.forEach((value) => {
          const record = structuredClone(createRecord());
          positionsOf(record)[index]!(value);
          checkAgainstSchema(record);
        })
      );
    });
  });

  describe("for any other JSON value", () => {
    it("rejects exactly what the schema rejects", () => {
      fc.assert(fc.property(anyValue, checkAgainstSchema), { numRuns: 500 });
      fc.assert(
        fc.property(
          fc.record({ daemons: anyValue, ranges: anyValue }),
          checkAgainstSchema,
        ),
        { numRuns: 500 },
      );
    });
  });

  describe("for a record with an invalid range", () => {
    // Guards against an error from which operators can't tell what is wrong with a record of hundreds of ranges.
    it("names the range", () => {
      const text = JSON.stringify({
        daemons: DAEMONS,
        ranges: [[0, 1, 0, "", 0], [1, 2, 0, "", 0]],
      });
      expect(OwnershipRecord.decode(text, 7)._unsafeUnwrapErr().message).to
        .include("ranges.1");
    });
  });
});
