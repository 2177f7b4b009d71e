/**
 * Tests that reports are decoded as their schema specifies.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { MemberReport } from "./member.ts";
import { decodeReportRow } from "./report_row.ts";

const REPORT_FIELDS = Object.keys(MemberReport.shape) as (keyof MemberReport)[];

const REPORT: MemberReport = {
  address: "10.0.0.1:7000",
  incarnation: 1,
  sequence: 7,
  availabilityZone: "zone-a",
  peerAddress: "10.0.0.1:8000",
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
  capacity: 1.5,
  statedStatus: {
    instance: "i-1",
    born: 1_000,
    isLeaving: true,
    limitPerSecond: 2.5,
  },
};
const ROW: readonly unknown[] = REPORT_FIELDS.map((field) => REPORT[field]);

/** Values at the limits of what fields accept, and of types that they don't accept. */
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

function decodeBySchema(row: readonly unknown[]): MemberReport | undefined {
  const entries = REPORT_FIELDS.map((field, index) => [field, row[index]]);
  return MemberReport.safeParse(Object.fromEntries(entries)).data;
}

describe("report row", () => {
  describe("of a valid report", () => {
    it("is decoded unchanged", () => {
      expect(decodeReportRow(ROW)).to.deep.equal(REPORT);
    });
  });

  // Anybody can send a datagram. What the schema rejects must not enter the view: a negative sequence number or an
  // infinite queueing time would be compared, forwarded and used.
  describe("with one or a few values changed", () => {
    it("is decoded without a stated status, and rejected with an invalid one", () => {
      const decodeWith = (statedStatus: unknown) =>
        decodeReportRow([...ROW.slice(0, -1), statedStatus]);
      const status = REPORT.statedStatus!;
      expect(decodeWith(null)).to.deep.equal({ ...REPORT, statedStatus: null });
      [
        { ...status, instance: 1 },
        { ...status, born: 0.5 },
        { ...status, isLeaving: null },
        { ...status, limitPerSecond: -1 },
        { ...status, limitPerSecond: Infinity },
        undefined,
      ].forEach((invalid) => expect(decodeWith(invalid)).to.equal(undefined));
    });

    it("is decoded or rejected exactly as by the schema", () => {
      const change = fc.tuple(
        fc.nat({ max: REPORT_FIELDS.length - 1 }),
        anyValue,
      );
      fc.assert(
        fc.property(
          fc.array(change, { minLength: 1, maxLength: 3 }),
          (changes) => {
            const row = changes.reduce<readonly unknown[]>(
              (changed, [index, value]) => changed.with(index, value),
              ROW,
            );
            expect(decodeReportRow(row)).to.deep.equal(decodeBySchema(row));
          },
        ),
        { numRuns: 3_000 },
      );
    });
  });

  describe("of a different length", () => {
    it("is rejected if required values are missing, and decoded if there are more", () => {
      const isDecoded = (length: number) =>
        decodeReportRow([...ROW, 1, 2].slice(0, length)) !== undefined;
      const lengths = ROW.slice(2).map((_, index) => index);
      expect(lengths.filter(isDecoded)).to.deep.equal([]);
      expect([ROW.length, ROW.length + 1].every(isDecoded)).to.equal(true);
    });

    // Guards against daemons that take each other for absent while a fleet is upgraded.
    it("is decoded without the stated status and the capacity, which earlier versions don't report", () => {
      const withoutStatus = { ...REPORT, statedStatus: null };
      expect(decodeReportRow(ROW.slice(0, -1))).to.deep.equal(withoutStatus);
      expect(decodeReportRow(ROW.slice(0, -2)))
        .to.deep.equal({ ...withoutStatus, capacity: REPORT.slots });
    });
  });
});
