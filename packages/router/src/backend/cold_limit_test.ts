/**
 * Tests of the rate of requests that a cold backend server may get.
 *
 * @module
 */
import type { TrafficService } from "@bamboolink/types";
import { expect } from "chai";
import { coldLimitOf } from "./cold_limit.ts";

const BOUNDS = { coldRatio: 1.5, coldExtra: 8 };

function services(changes: Partial<TrafficService>) {
  return new Map([["rooms", {
    name: "rooms",
    keyed: false,
    maximumConnections: 10,
    healthPath: "/healthz",
    ...changes,
  }]]);
}

describe("coldLimitOf", () => {
  it("is the rate that the service states, with what the bounds add", () => {
    expect(
      coldLimitOf("rooms", services({ coldRequestsPerSecond: 8.4 }), BOUNDS),
    )
      .to.equal(20);
  });

  it("is at least one request a second", () => {
    const none = { coldRatio: 1, coldExtra: 0 };
    expect(coldLimitOf("rooms", services({ coldRequestsPerSecond: 0.2 }), none))
      .to.equal(1);
  });

  it("is none for a service that states no rate", () => {
    expect(coldLimitOf("rooms", services({}), BOUNDS)).to.equal(0);
    expect(coldLimitOf("other", services({}), BOUNDS)).to.equal(0);
  });

  // Guards against a cold server that gets more than it may: after a loss of power daemons that have a configuration
  // send requests to one that has none for 0.3 s.
  it("is one request a second without a configuration", () => {
    expect(coldLimitOf("rooms", undefined, BOUNDS)).to.equal(1);
  });
});
