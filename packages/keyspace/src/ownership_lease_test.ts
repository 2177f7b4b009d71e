/**
 * Tests of the duration of ownership leases; their safety is tested in `ownership_safety_test.ts`.
 *
 * @module
 */
import { expect } from "chai";
import {
  MAX_LEASE_MS,
  OwnershipLease,
  PROMISE_TTL_MS,
  SHORT_LEASE_MS,
} from "./ownership_lease.ts";

const ARBITERS = [
  { daemon: "one", appointmentId: 3 },
  { daemon: "two", appointmentId: 3 },
];

describe("ownership lease", () => {
  describe("of an owner whose record names no arbiters", () => {
    it("is valid for the maximum time after a read", () => {
      const lease = OwnershipLease.create();
      lease.confirm(1_000, { arbiters: [], revision: 1 });
      expect(lease.expiresAtMs).to.equal(1_000 + MAX_LEASE_MS);
    });
  });

  describe("of an owner whose record names arbiters", () => {
    it("is valid for the short time without all their promises", () => {
      const lease = OwnershipLease.create();
      lease.confirm(1_000, { arbiters: ARBITERS, revision: 1 });
      lease.recordPromise("one", 4_500);
      expect(lease.expiresAtMs).to.equal(1_000 + SHORT_LEASE_MS);
    });

    it("is valid as long as all of them have promised, up to the maximum time", () => {
      const lease = OwnershipLease.create();
      lease.confirm(1_000, { arbiters: ARBITERS, revision: 1 });
      lease.recordPromise("one", 4_500);
      lease.recordPromise("two", 4_000);
      expect(lease.expiresAtMs).to.equal(4_000 + PROMISE_TTL_MS);
      ARBITERS.forEach(({ daemon }) => lease.recordPromise(daemon, 10_500));
      expect(lease.expiresAtMs).to.equal(1_000 + MAX_LEASE_MS);
    });
  });

  describe("after the backend server was replaced by one of another service", () => {
    // Guards against two backend servers that hold a key: a daemon confirms its lease in one service; its backend
    // server is replaced by one of another service, which is assigned keys there and sealed at once. The read for the
    // former service must not count as a lease in the new one.
    it("discards earlier reads and promises", () => {
      const lease = OwnershipLease.create();
      lease.confirm(1_000, { arbiters: [], revision: 1 });
      lease.recordPromise("one", 1_000);
      lease.reset();
      expect(lease.remainingMs(1_001)).to.equal(0);
    });
  });
});
