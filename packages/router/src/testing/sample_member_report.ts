/**
 * A sample report for tests.
 *
 * @module
 */
import type { MemberReport } from "@bamboolink/membership";

/** Creates the report of a daemon beside a ready backend server that is used to half of its capacity. */
export function createMemberReport(
  address: string,
  changes: Partial<MemberReport> = {},
): MemberReport {
  return {
    address,
    incarnation: 1,
    sequence: 1,
    availabilityZone: "a",
    peerAddress: address,
    service: "rooms",
    phase: "ready",
    slots: 6,
    waitMs: 0,
    serviceMs: 100,
    utilization: 0.5,
    failureShare: 0,
    configurationVersion: 1,
    ownershipRevision: 1,
    reachesStore: true,
    capacity: 6,
    statedStatus: null,
    rankWaitsMs: [],
    lateRankWaitsMs: [],
    bodyWaitMs: 0,
    ...changes,
  };
}
