/**
 * Tests of what daemons read from each other and from the store: spoiled bytes are refused, and nothing throws.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { BamboolinkError } from "@bamboolink/errors";
import { OwnershipRecord } from "@bamboolink/keyspace";
import {
  decodeGossip,
  encodeGossip,
  type MemberReport,
} from "@bamboolink/membership";
import { decodeDatagram, encodeDatagram } from "./datagram_codec.ts";
import {
  decodeOutcome,
  decodeRequest,
  encodeFrame,
  FRAME_KINDS,
  FrameReader,
} from "./link_codec.ts";

const SEED = 20_261_203;
const RUNS = 2_000;

/** Valid bytes of which a few are replaced, left out or added. */
function spoil(bytes: Uint8Array): fc.Arbitrary<Buffer> {
  const change = fc.record({
    at: fc.nat(Math.max(0, bytes.length - 1)),
    length: fc.nat(6),
    added: fc.uint8Array({ maxLength: 6 }),
  });
  return fc.array(change, { minLength: 1, maxLength: 3 }).map((changes) =>
    changes.reduce(
      (whole, { at, length, added }) =>
        Buffer.concat([
          whole.subarray(0, at),
          added,
          whole.subarray(at + length),
        ]),
      Buffer.from(bytes),
    )
  );
}

function check(bytes: Uint8Array, look: (spoiled: Buffer) => void): void {
  fc.assert(fc.property(spoil(bytes), look), { seed: SEED, numRuns: RUNS });
}

describe("decoders", () => {
  describe("of gossip, given spoiled bytes", () => {
    const report: MemberReport = {
      address: "10.0.0.1:7620",
      incarnation: 1,
      beat: 7,
      availabilityZone: "a",
      forwardAddress: "10.0.0.1:7621",
      service: "rooms",
      phase: "ready",
      slots: 6,
      waitMs: 3,
      serviceMs: 40,
      utilization: 0.5,
      failureShare: 0,
      configurationVersion: 2,
      ownershipRevision: 9,
      reachesStore: true,
    };

    it("refuse them, or read reports of the right types", () => {
      const bytes = encodeGossip({
        sender: report.address,
        reports: [report, { ...report, address: "10.0.0.2:7620" }],
        beats: [{ name: 77, incarnation: 1, beat: 7 }],
      });
      check(bytes, (spoiled) => {
        const reports = decodeGossip(spoiled).map((message) => message.reports)
          .unwrapOr([]);
        reports.forEach(({ beat, slots, address }) => {
          expect([beat, slots].every(Number.isInteger)).to.equal(true);
          expect(address).to.be.a("string");
        });
      });
    });
  });

  describe("of datagrams, given spoiled bytes", () => {
    it("refuse them, or read a question of the right types", () => {
      const bytes = encodeDatagram({
        kind: "ask_promise",
        sender: "10.0.0.1:7620",
        service: "rooms",
        askedAtMs: 17,
        confirmedRevision: 4,
      });
      check(bytes, (spoiled) => {
        decodeDatagram(spoiled).map((datagram) => {
          if (datagram.kind === "ask_promise") {
            expect(Number.isInteger(datagram.confirmedRevision)).to.equal(true);
          }
        });
      });
    });
  });

  describe("of ownership records, given spoiled bytes", () => {
    // Symptom: keys have two owners, or none, after somebody wrote into the record.
    // Sequence: a record with rows that are cut short, out of order or out of range is read.
    // Cause: such rows were taken over.
    it("refuse them, or read ranges that don't overlap", () => {
      const record = OwnershipRecord.create().assign([
        { from: 0, to: 99, daemon: "one", handover: "" },
        { from: 100, to: 65_535, daemon: "two", handover: "proof" },
      ]).appoint(["one"]);
      check(Buffer.from(record.encode()), (spoiled) => {
        const segments = OwnershipRecord.decode(spoiled.toString(), 3)
          .map((read) => read.segments).unwrapOr([]);
        segments.forEach(({ from, to }, index) => {
          expect(from).to.be.within(0, to);
          expect(to).to.be.at.most(65_535);
          const next = segments[index + 1];
          expect(next === undefined || next.from > to).to.equal(true);
        });
      });
    });
  });

  describe("of link frames, given spoiled bytes", () => {
    it("refuse them with an error that names the step, or read a frame", () => {
      const bytes = encodeFrame({
        kind: FRAME_KINDS.request,
        id: 5,
        head: ["id", "rooms", "r-1", 1, true, null, "desk", 50, 90, false],
        body: undefined,
      });
      check(bytes, (spoiled) => {
        try {
          FrameReader.create().push(spoiled).forEach((frame) => {
            decodeRequest(frame, 0);
            decodeOutcome(frame);
          });
        } catch (cause) {
          expect(cause).to.be.instanceOf(BamboolinkError);
        }
      });
    });
  });
});
