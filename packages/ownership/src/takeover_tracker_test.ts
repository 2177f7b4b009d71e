/**
 * Tests of the planner's takeovers.
 *
 * @module
 */
import type { SessionRecord } from "@bamboolink/types";
import { expect } from "chai";
import { TakeoverTracker } from "./takeover_tracker.ts";
import { DEFAULT_TIMING } from "./timing.ts";

const MAX_WORK_MS = 5_000;

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
    longest_work_ms: MAX_WORK_MS,
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

/** Returns the first time, in steps of 10 ms, at which the partitions may be assigned to others. */
function findFirstReplaceableMs(
  record: SessionRecord,
  refusing: readonly string[],
): number | undefined {
  const tracker = TakeoverTracker.create(DEFAULT_TIMING);
  tracker.observe([record], 0);
  refusing.forEach((witness) =>
    tracker.recordRefusal("lost", { witness, remainingMs: 500, nowMs: 0 })
  );
  const times = Array.from({ length: 1_000 }, (_, index) => index * 10);
  return times.find((nowMs) => {
    tracker.advance(nowMs);
    return tracker.mayReplace("lost");
  });
}

describe("TakeoverTracker", () => {
  describe("with a backend server that checks its grants", () => {
    it("waits until the last promises of enough witnesses have expired, and no longer", () => {
      expect(findFirstReplaceableMs(sealedRecord({}), ["a", "b"])).to.equal(
        510,
      );
    });

    it("is stuck while one refusal is missing, and continues when it arrives", () => {
      const tracker = TakeoverTracker.create(DEFAULT_TIMING);
      tracker.observe([sealedRecord({})], 0);
      tracker.recordRefusal("lost", { witness: "a", remainingMs: 0, nowMs: 0 });
      tracker.advance(60_000);
      expect(tracker.findStuck()).to.deep.equal(["lost"]);
      expect([...tracker.pendingRefusals().keys()]).to.deep.equal(["b", "c"]);
      tracker.recordRefusal("lost", {
        witness: "b",
        remainingMs: 0,
        nowMs: 60_000,
      });
      tracker.advance(60_000);
      expect(tracker.mayReplace("lost")).to.equal(true);
    });
  });

  describe("with a backend server that does not check its grants", () => {
    // Guards against an old backend server that still runs a request while the new owner runs the next one: the daemon
    // is lost right after it dispatched the request, and the takeover waits only for the end of the daemon's lease.
    it("also waits for the longest request that may have been dispatched", () => {
      const record = sealedRecord({ checks_fencing: false });
      expect(findFirstReplaceableMs(record, ["a", "b"])).to.equal(
        510 + MAX_WORK_MS,
      );
    });
  });

  describe("after an operator has declared the session lost", () => {
    it("needs no refusals, but still waits for the last promise", () => {
      const record = sealedRecord({ declared_lost: true });
      expect(findFirstReplaceableMs(record, [])).to.equal(1_010);
    });
  });
});
