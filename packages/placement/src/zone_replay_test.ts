/**
 * Replays of waves of load that reach four availability zones one after the other.
 *
 * @module
 */
import { expect } from "chai";
import {
  chooseByScore,
  createAffinityChoice,
  createInformedChoice,
} from "./testing/zone_policies.ts";
import {
  createScenario,
  FEW_SPEEDS,
  summarize,
  UNEVEN_SPEEDS,
} from "./testing/zone_scenarios.ts";
import { type ZonePolicy, ZoneSimulation } from "./testing/zone_simulation.ts";

/** A replay takes a second; a busy machine takes longer. */
const REPLAY_TIMEOUT_MS = 60_000;

function replay(
  policy: ZonePolicy,
  utilization: number,
  options: Partial<Parameters<typeof createScenario>[0]> = {},
) {
  const scenario = createScenario({ utilization, seed: 7, ...options });
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

  describe("with zone affinity", () => {
    it("keeps nearly all requests in their zones while these have capacity", () => {
      const { worstZoneOnTime, crossZoneMegabytes } = replay(
        createAffinityChoice(),
        0.6,
      );
      expect(worstZoneOnTime).to.be.above(0.99);
      expect(crossZoneMegabytes).to.be.below(1);
    });

    // Guards against a zone with a third of the capacity of the others that keeps its requests although they are late,
    // or that sends out its uploads while it could send out small requests.
    it("serves the callers of a zone with few servers as well as others, and keeps their uploads", () => {
      const { worstZoneOnTime, crossedUploads, crossedRequests } = replay(
        createAffinityChoice(),
        0.6,
        { speeds: UNEVEN_SPEEDS },
      );
      expect(worstZoneOnTime).to.be.above(0.99);
      expect(crossedUploads / crossedRequests).to.be.below(0.05);
    });

    // Guards against more late responses than the choice by score gives when waves need more than all capacity.
    it("serves no zone worse than the score alone when all zones are full", () => {
      const byScore = replay(chooseByScore, 0.8);
      const byAffinity = replay(createAffinityChoice(), 0.8);
      expect(byAffinity.worstZoneOnTime).to.be.above(
        byScore.worstZoneOnTime - 0.01,
      );
      expect(byAffinity.crossZoneMegabytes).to.be.below(
        byScore.crossZoneMegabytes / 3,
      );
    });

    // Guards against a price that operators set without effect.
    it("sends fewer bytes to other zones the more a kilobyte costs", () => {
      const megabytes = [0, 2, 10].map((price) =>
        replay(createAffinityChoice({ crossZoneMsPerKilobyte: price }), 0.7, {
          speeds: FEW_SPEEDS,
        }).crossZoneMegabytes
      );
      expect(megabytes[1]).to.be.below(megabytes[0]! / 2);
      expect(megabytes[2]).to.be.below(megabytes[1]!);
    });

    // Guards against callers of a zone whose requests are late because its servers are lost, and against work that stays
    // away from the zone after they have returned.
    it("serves the callers of a zone that loses its servers for 6 s", () => {
      const isLost = (zone: number, nowMs: number) =>
        zone === 1 && nowMs > 10_000 && nowMs < 16_000;
      const { worstZoneOnTime, crossedRequests, requests } = replay(
        createAffinityChoice(),
        0.5,
        { isAvailable: (zone, nowMs) => !isLost(zone, nowMs) },
      );
      expect(worstZoneOnTime).to.be.above(0.99);
      expect(crossedRequests / requests).to.be.below(0.1);
    });

    // Guards against choices that rely on reports which no longer arrive.
    it("serves all zones while daemons know only the outcomes of their requests", () => {
      const { worstZoneOnTime, crossZoneMegabytes } = replay(
        createAffinityChoice(),
        0.6,
        { hasReports: (nowMs) => nowMs < 10_000 },
      );
      expect(worstZoneOnTime).to.be.above(0.99);
      // The choice by score sends 45 MB in the same waves with reports.
      expect(crossZoneMegabytes).to.be.below(5);
    });
  });
});
