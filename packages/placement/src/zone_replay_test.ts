/**
 * Replays of waves of load that reach four availability zones one after the other.
 *
 * @module
 */
import { expect } from "chai";
import {
  chooseByScore,
  createInformedChoice,
} from "./testing/zone_policies.ts";
import { createScenario, summarize } from "./testing/zone_scenarios.ts";
import { type ZonePolicy, ZoneSimulation } from "./testing/zone_simulation.ts";

/** A replay takes a second; a busy machine takes longer. */
const REPLAY_TIMEOUT_MS = 60_000;

function replay(policy: ZonePolicy, utilization: number) {
  const scenario = createScenario({ utilization, seed: 7 });
  return summarize(ZoneSimulation.run(scenario, policy));
}

describe("replay of waves in four zones", function () {
  this.timeout(REPLAY_TIMEOUT_MS);

  // Guards against a simulation whose load no choice could serve, with which comparisons would mean nothing.
  it("has capacity for all requests within their zones", () => {
    const informed = replay(
      createInformedChoice({ smallRequestShare: 0.7, largeBytes: 8_000 }),
      0.6,
    );
    expect(informed.worstZoneOnTime).to.be.above(0.99);
    expect(informed.crossZoneMegabytes).to.be.below(1);
  });

  // The baseline of other choices: callers of all zones are served, at the price of many bytes.
  it("crosses zones for more than a quarter of all requests by the score alone", () => {
    const { worstZoneOnTime, crossedRequests, requests } = replay(
      chooseByScore,
      0.6,
    );
    expect(worstZoneOnTime).to.be.above(0.99);
    expect(crossedRequests / requests).to.be.above(0.25);
  });
});
