/**
 * Tests that reports are read as their schema says.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { MemberReport } from "./member.ts";
import { readReportRow } from "./report_row.ts";

const FIELDS = Object.keys(MemberReport.shape) as (keyof MemberReport)[];

const REPORT: MemberReport = {
  address: "10.0.0.1:7000",
  incarnation: 1,
  sequence: 7,
  availabilityZone: "zone-a",
  forwardAddress: "10.0.0.1:8000",
  service: "quotes",
  phase: "ready",
  slots: 6,
  waitMs: 12,
  serviceMs: 90,
  utilization: 0.5,
  failureShare: 0.25,
  configurationVersion: 3,
  ownershipRevision: 8,
  reachesStore: true,
};
const ROW: readonly unknown[] = FIELDS.map((field) => REPORT[field]);

/** Values at the edges of what fields take, and of types that they don't. */
const anyValue = fc.oneof(
  fc.constantFrom<unknown>(
    0,
    -0,
    1,
    -1,
    0.5,
    1.5,
    NaN,
    Infinity,
    2 ** 53,
    2 ** 53 - 1,
    1n,
    "",
    "ready",
    "asleep",
    true,
    null,
    undefined,
  ),
  fc.anything(),
);

function readBySchema(row: readonly unknown[]): MemberReport | undefined {
  const named = FIELDS.map((field, index) => [field, row[index]]);
  return MemberReport.safeParse(Object.fromEntries(named)).data;
}

describe("report row", () => {
  describe("of a report", () => {
    it("is read as it was", () => {
      expect(readReportRow(ROW)).to.deep.equal(REPORT);
    });
  });

  // Anybody can send a datagram. What the schema refuses must not get into the view: a negative beat or an endless wait
  // would be compared, passed on and believed.
  describe("with a value changed, or a few", () => {
    it("is read, or refused, just as by the schema", () => {
      const change = fc.tuple(fc.nat({ max: FIELDS.length - 1 }), anyValue);
      fc.assert(
        fc.property(fc.array(change, { minLength: 1, maxLength: 3 }), (all) => {
          const row = all.reduce<readonly unknown[]>(
            (changed, [index, value]) => changed.with(index, value),
            ROW,
          );
          expect(readReportRow(row)).to.deep.equal(readBySchema(row));
        }),
        { numRuns: 3_000 },
      );
    });
  });

  describe("of another length", () => {
    it("is refused where values are missing, and read where there are more", () => {
      const isRead = (length: number) =>
        readReportRow([...ROW, 1, 2].slice(0, length)) !== undefined;
      const lengths = ROW.map((_, index) => index);
      expect(lengths.filter(isRead)).to.deep.equal([]);
      expect([ROW.length, ROW.length + 1].every(isRead)).to.equal(true);
    });
  });
});
