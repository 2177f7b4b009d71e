/**
 * Tests of what a tenure rests on; that it is safe is tested in `tenure_safety_test.ts`.
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

describe("tenure", () => {
  describe("of an owner whose record names no arbiters", () => {
    it("lasts for the longest time after a read", () => {
      const tenure = OwnershipLease.create();
      tenure.confirm(1_000, { arbiters: [], revision: 1 });
      expect(tenure.expiresAtMs).to.equal(1_000 + MAX_LEASE_MS);
    });
  });

  describe("of an owner whose record names arbiters", () => {
    it("lasts for the short time without their promises", () => {
      const tenure = OwnershipLease.create();
      tenure.confirm(1_000, { arbiters: ARBITERS, revision: 1 });
      tenure.recordPromise("one", 4_500);
      expect(tenure.expiresAtMs).to.equal(1_000 + SHORT_LEASE_MS);
    });

    it("lasts as long as all of them promise, up to the longest time", () => {
      const tenure = OwnershipLease.create();
      tenure.confirm(1_000, { arbiters: ARBITERS, revision: 1 });
      tenure.recordPromise("one", 4_500);
      tenure.recordPromise("two", 4_000);
      expect(tenure.expiresAtMs).to.equal(4_000 + PROMISE_TTL_MS);
      ARBITERS.forEach(({ daemon }) => tenure.recordPromise(daemon, 10_500));
      expect(tenure.expiresAtMs).to.equal(1_000 + MAX_LEASE_MS);
    });
  });

  describe("after the backend server was replaced by one of another service", () => {
    // Symptom: two backend servers hold a key.
    // Sequence: a daemon reads that nobody takes it over in one service; its backend server is replaced by one of
    // another service, which is given keys there and sealed at once.
    // Cause: what was read for the former service was taken for a right in the new one.
    it("rests on nothing that was read or promised before", () => {
      const tenure = OwnershipLease.create();
      tenure.confirm(1_000, { arbiters: [], revision: 1 });
      tenure.recordPromise("one", 1_000);
      tenure.reset();
      expect(tenure.maxHoldMs(1_001)).to.equal(0);
    });
  });
});
