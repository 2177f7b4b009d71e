/**
 * Replays overload of a service, also with full knowledge.
 *
 * @module
 */
import { expect } from "chai";
import {
  createHotOwnerScenario,
  createOverloadScenario,
  createWavesScenario,
} from "./testing/admission_scenarios.ts";
import type { AdmissionScenario } from "./testing/admission_model.ts";
import { AdmissionSimulation } from "./testing/admission_simulation.ts";
import { serveWithFullKnowledge } from "./testing/full_knowledge.ts";

const SEED = 1;
const DURATION_MS = 30_000;

function replay(
  createScenario: (seed: number, durationMs: number) => AdmissionScenario,
) {
  const figures = AdmissionSimulation.run(createScenario(SEED, DURATION_MS));
  const { requests, onTime, late } = figures;
  return { ...figures, served: (onTime + late) / requests };
}

const SCENARIOS = {
  "a group of hot keys that moves from owner to owner": createHotOwnerScenario,
  "waves of load with three ranks": createWavesScenario,
  "overload that does not end": createOverloadScenario,
};

describe("admission of a service", () => {
  Object.entries(SCENARIOS).forEach(([name, createScenario]) =>
    describe(`replaying ${name}`, () => {
      const played = replay(createScenario);

      // Single requests of any rank may be refused: their work varies.
      it("serves no less urgent rank better than a more urgent one", () => {
        const shares = played.ranks.filter(({ requests }) => requests > 0)
          .map(({ requests, onTime, late }) => (onTime + late) / requests);
        shares.slice(1).forEach((share, index) =>
          expect(share).to.be.below(shares[index]! + 0.001)
        );
      });

      it("serves nearly what full knowledge would have served", () => {
        const known = serveWithFullKnowledge(createScenario(SEED, DURATION_MS));
        expect(played.served).to.be.at.least(known.served - 0.1);
      });
    })
  );
});
