/**
 * Tests of what is known of the keys that a backend server was granted.
 *
 * @module
 */
import { expect } from "chai";
import { GrantTracker } from "./grant_tracker.ts";
import { OwnershipRecord } from "./ownership_record.ts";
import { KEY_COUNT } from "./range_map.ts";

const DAEMON = "10.0.0.1:7000";
const HALF = KEY_COUNT / 2;

/** Assigns the lower half of the keys without a handover, and the upper half with one. */
function createRecord() {
  return OwnershipRecord.create().assign([
    { from: 0, to: HALF - 1, daemon: DAEMON, handover: "" },
    { from: HALF, to: KEY_COUNT - 1, daemon: DAEMON, handover: "proof" },
  ]);
}

function createTracker(): GrantTracker {
  const tracker = GrantTracker.create(0);
  tracker.applyRecord(createRecord(), { daemon: DAEMON, revision: 7 });
  return tracker;
}

const grantAt = (tracker: GrantTracker, nowMs: number) =>
  tracker.createGrant({ leaseRemainingMs: 3_000, nowMs, processingMs: 0 });

const NOW_MS = 100_000;

function assign(ranges: readonly { from: number; to: number }[]) {
  return OwnershipRecord.create().assign(
    ranges.map((range) => ({ ...range, daemon: "a", handover: "" })),
  );
}

function grantAll(grants: GrantTracker): void {
  grants.createGrant({
    leaseRemainingMs: 10_000,
    nowMs: NOW_MS,
    processingMs: 100,
  });
}

describe("GrantTracker", () => {
  describe("for keys that were granted without a handover", () => {
    it("returns the time of the first grant", () => {
      const tracker = createTracker();
      expect(tracker.acquiredAtMs(1)).to.equal(undefined);
      grantAt(tracker, 100);
      grantAt(tracker, 900);
      expect(tracker.acquiredAtMs(1)).to.equal(100);
      expect(tracker.acquiredAtMs(HALF)).to.equal(undefined);
    });

    it("returns their share of all keys since a time", () => {
      const tracker = createTracker();
      grantAt(tracker, 100);
      expect(tracker.acquiredShareSince(99)).to.equal(0.5);
      expect(tracker.acquiredShareSince(100)).to.equal(0);
    });
  });

  describe("when a new incarnation of the server is granted them", () => {
    // Guards against estimates for warm keys after a restart of the server, which has lost what it held.
    it("counts from its first grant, also for keys handed over to the former one", () => {
      const tracker = createTracker();
      grantAt(tracker, 100);
      tracker.recordNewIncarnation(true);
      grantAt(tracker, 5_000);
      expect(tracker.acquiredAtMs(1)).to.equal(5_000);
      expect(tracker.acquiredAtMs(HALF)).to.equal(5_000);
    });
  });

  describe("when this daemon restarts beside a running server", () => {
    // Guards against refusals by the times of cold keys, although the server has held the keys all the time.
    it("does not count keys as cold that the server already holds", () => {
      const tracker = createTracker();
      tracker.adoptTokens([{ from: 0, to: HALF - 1, token: 9_000 }], 50);
      grantAt(tracker, 100);
      expect(tracker.acquiredAtMs(1)).to.equal(undefined);
    });
  });

  // Guards against a heartbeat response that is delayed although the backend server waits for it to serve its keys.
  it("holds all keys only while none waits for a grant", () => {
    const grants = GrantTracker.create(NOW_MS - 60_000);
    expect(grants.holdsAll(NOW_MS)).to.equal(true);
    const own = { daemon: "a", revision: 1 };
    grants.applyRecord(assign([{ from: 0, to: 99 }]), own);
    expect(grants.holdsAll(NOW_MS)).to.equal(false);
    grantAll(grants);
    expect(grants.holdsAll(NOW_MS + 4_800)).to.equal(true);
    expect(grants.holdsAll(NOW_MS + 4_900)).to.equal(false);
    grants.applyRecord(assign([{ from: 0, to: 119 }]), own);
    expect(grants.holdsAll(NOW_MS)).to.equal(false);
    grantAll(grants);
    expect(grants.holdsAll(NOW_MS)).to.equal(true);
    grants.beginRelease([{ from: 50, to: 59 }]);
    expect(grants.holdsAll(NOW_MS)).to.equal(true);
  });
});
