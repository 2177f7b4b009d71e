/**
 * Tests of what is known of the keys that a backend server holds.
 *
 * @module
 */
import { expect } from "chai";
import { GrantTracker } from "./grant_tracker.ts";
import { OwnershipRecord } from "./ownership_record.ts";

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
