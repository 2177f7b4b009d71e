/**
 * Tests of the planner's notes on takeovers.
 *
 * @module
 */
import type { SessionRecord } from "@bamboolink/types";
import { expect } from "chai";
import { TakeoverTracker } from "./takeover_tracker.ts";
import { DEFAULT_TIMING } from "./timing.ts";

const LONGEST_WORK_MS = 5_000;

function sealedRecord(options: Partial<SessionRecord>): SessionRecord {
  return {
    id: "lost",
    host: "host-1",
    region: "r",
    availability_zone: "z",
    control_address: "host-1:1",
    data_address: "host-1:2",
    service: "s",
    slots: 6,
    checks_fencing: true,
    longest_work_ms: LONGEST_WORK_MS,
    draining: false,
    state: "sealed",
    witnesses: ["a", "b", "c"],
    replaces: [],
    declared_lost: false,
    started_at_ms: 0,
    sealed_reason: "",
    ...options,
  };
}

/** The first moment, in steps of 10 ms, at which the partitions may be given away. */
function firstReplaceable(
  record: SessionRecord,
  refusing: readonly string[],
): number | undefined {
  const book = TakeoverTracker.create(DEFAULT_TIMING);
  book.observe([record], 0);
  refusing.forEach((witness) =>
    book.recordRefusal("lost", { witness, remainingMs: 500, nowMs: 0 })
  );
  const times = Array.from({ length: 1_000 }, (_, index) => index * 10);
  return times.find((nowMs) => {
    book.advance(nowMs);
    return book.mayReplace("lost");
  });
}

describe("takeover", () => {
  describe("from a backend server that checks its grants", () => {
    it("waits until the last promise of enough witnesses has run out, and no longer", () => {
      expect(firstReplaceable(sealedRecord({}), ["a", "b"])).to.equal(510);
    });

    it("is stuck with one refusal less, and goes on when it comes", () => {
      const book = TakeoverTracker.create(DEFAULT_TIMING);
      book.observe([sealedRecord({})], 0);
      book.recordRefusal("lost", { witness: "a", remainingMs: 0, nowMs: 0 });
      book.advance(60_000);
      expect(book.findStuck()).to.deep.equal(["lost"]);
      expect([...book.pendingRefusals().keys()]).to.deep.equal(["b", "c"]);
      book.recordRefusal("lost", {
        witness: "b",
        remainingMs: 0,
        nowMs: 60_000,
      });
      book.advance(60_000);
      expect(book.mayReplace("lost")).to.equal(true);
    });
  });

  describe("from a backend server that does not check", () => {
    // Symptom: an order runs at the old backend server while the new owner runs the next one.
    // Sequence: the daemon is lost right after it handed an order over; the server works on.
    // Cause: a takeover that waits only for the end of the daemon's right to serve.
    it("also waits for the longest work that may have been handed over", () => {
      const record = sealedRecord({ checks_fencing: false });
      expect(firstReplaceable(record, ["a", "b"])).to.equal(
        510 + LONGEST_WORK_MS,
      );
    });
  });

  describe("by an operator's word", () => {
    it("needs no witness, but still waits for the last promise", () => {
      const record = sealedRecord({ declared_lost: true });
      expect(firstReplaceable(record, [])).to.equal(1_010);
    });
  });
});
