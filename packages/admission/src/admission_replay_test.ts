/**
 * Replays overload of a service with the rules that were considered for its admission, and with full knowledge.
 *
 * @module
 */
import { expect } from "chai";
import {
  ExpectedWaitRule,
  RandomDrawRule,
  ThresholdRule,
} from "./testing/admission_rules.ts";
import {
  createHotOwnerScenario,
  createOverloadScenario,
  createWavesScenario,
} from "./testing/admission_scenarios.ts";
import type {
  AdmissionRule,
  AdmissionScenario,
} from "./testing/admission_model.ts";
import { AdmissionSimulation } from "./testing/admission_simulation.ts";
import { serveWithFullKnowledge } from "./testing/full_knowledge.ts";
import { seededRandom } from "@bamboolink/simulation";

const SEED = 1;
const DURATION_MS = 30_000;
/** Payoff of a late response relative to that of one on time, where callers state both. */
const LATE_PAYOFF = 0.3;

function replay(
  createScenario: (seed: number, durationMs: number) => AdmissionScenario,
  createRule: (random: () => number) => AdmissionRule,
) {
  const random = seededRandom(SEED + 100);
  const figures = AdmissionSimulation.run(
    createScenario(SEED, DURATION_MS),
    () => createRule(random),
  );
  const { requests, onTime, late, wastedAttempts } = figures;
  return {
    ...figures,
    served: (onTime + late) / requests,
    payoff: (onTime + LATE_PAYOFF * late) / requests,
    wasted: wastedAttempts / requests,
  };
}

const SCENARIOS = {
  "a group of hot keys that moves from owner to owner": createHotOwnerScenario,
  "waves of load with three ranks": createWavesScenario,
  "overload that does not end": createOverloadScenario,
};

describe("admission of a service", () => {
  Object.entries(SCENARIOS).forEach(([name, createScenario]) =>
    describe(`replaying ${name}`, () => {
      const draw = replay(createScenario, RandomDrawRule.create);
      const threshold = replay(createScenario, ThresholdRule.create);
      const wait = replay(createScenario, ExpectedWaitRule.create);

      it("serves as much by expected waits as without refusals at the first daemon", () => {
        expect(wait.served).to.be.at.least(draw.served - 0.003);
        expect(wait.payoff).to.be.at.least(draw.payoff - 0.003);
      });

      // Most attempts that are refused all the same are of callers that have come back.
      it("wastes fewer attempts", () => {
        expect(wait.wasted).to.be.below(draw.wasted);
      });

      // A threshold wastes fewer attempts, but refuses requests that a free server could have run.
      it("refuses next to nothing while a slot is free", () => {
        expect(wait.refusedBesideFreeSlot / wait.requests).to.be.below(0.001);
        expect(threshold.refusedBesideFreeSlot)
          .to.be.above(wait.refusedBesideFreeSlot);
      });

      // Single requests of any rank may be refused: their work varies.
      it("serves no less urgent rank better than a more urgent one", () => {
        const shares = wait.ranks.filter(({ requests }) => requests > 0)
          .map(({ requests, onTime, late }) => (onTime + late) / requests);
        shares.slice(1).forEach((share, index) =>
          expect(share).to.be.below(shares[index]! + 0.001)
        );
      });

      it("serves nearly what full knowledge would have served", () => {
        const known = serveWithFullKnowledge(createScenario(SEED, DURATION_MS));
        expect(wait.served).to.be.at.least(known.served - 0.1);
      });
    })
  );
});
