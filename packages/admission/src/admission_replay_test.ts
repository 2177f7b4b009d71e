/**
 * Replays overload of a service, and compares what callers get with simpler rules and with full knowledge.
 *
 * @module
 */
import { expect } from "chai";
import {
  type AdmissionScenario,
  type CallerHabits,
  percentile,
  servedShare,
} from "./testing/admission_model.ts";
import {
  createBurstScenario,
  createHotOwnerScenario,
  createOverloadScenario,
  createSteadyScenario,
  createWavesScenario,
} from "./testing/admission_scenarios.ts";
import { AdmissionSimulation } from "./testing/admission_simulation.ts";
import { serveWithFullKnowledge } from "./testing/full_knowledge.ts";
import { EarliestDeadlineQueue } from "./testing/queue_rules.ts";

const SEED = 1;
const DURATION_MS = 30_000;
/** Callers with the same needs are served alike within this difference. */
const MAX_DIFFERENCE = 0.03;
const SCENARIOS = {
  "a group of hot keys that moves from owner to owner": createHotOwnerScenario,
  "waves of load with three ranks": createWavesScenario,
  "overload that does not end": createOverloadScenario,
};
const HABITS: Readonly<Record<string, CallerHabits>> = {
  "don't repeat": { maxRetries: 0, heedsRetryAfter: true },
  "repeat once when they are told": { maxRetries: 1, heedsRetryAfter: true },
  "repeat once at once": { maxRetries: 1, heedsRetryAfter: false },
  "repeat many times when they are told": {
    maxRetries: 10,
    heedsRetryAfter: true,
  },
  "repeat many times at once": { maxRetries: 10, heedsRetryAfter: false },
};

function replaySteady(
  load: number,
  options: { deadlinesMs: readonly number[]; habits?: CallerHabits },
) {
  const scenario = createSteadyScenario(SEED, {
    load,
    durationMs: 3 * DURATION_MS,
    ...options,
  });
  const { kinds } = AdmissionSimulation.run(scenario);
  return { kinds, served: servedShare(kinds) };
}

describe("the queues of a service", () => {
  Object.entries(SCENARIOS).forEach(([name, createScenario]) =>
    describe(`replaying ${name}`, () => {
      const create = (): AdmissionScenario => createScenario(SEED, DURATION_MS);
      const { kinds } = AdmissionSimulation.run(create());

      // Single requests of any rank may be refused: their work varies.
      it("serves no less urgent rank better than a more urgent one", () => {
        const shares = kinds.map((kind) => servedShare([kind]));
        shares.slice(1).forEach((share, index) =>
          expect(share).to.be.below(shares[index]! + 0.001)
        );
      });

      it("serves nearly what full knowledge would have served", () => {
        expect(servedShare(kinds))
          .to.be.at.least(serveWithFullKnowledge(create()) - 0.1);
      });
    })
  );

  Object.entries(HABITS).forEach(([name, habits]) =>
    describe(`for callers that ${name}`, () => {
      [1.2, 1.5, 3].forEach((load) => {
        const { kinds, served } = replaySteady(load, {
          deadlinesMs: [1_200, 1_200, 2_000, 2_000],
          habits,
        });

        it(`serve as many at a load of ${load} as the slots can`, () => {
          expect(served).to.be.at.least(1 / load - MAX_DIFFERENCE);
        });

        it(`serve those with the same needs alike at a load of ${load}`, () => {
          const shares = kinds.map((kind) => servedShare([kind]));
          const [brief, alsoBrief, patient, alsoPatient] = shares;
          expect(Math.abs(brief! - alsoBrief!)).to.be.below(MAX_DIFFERENCE);
          expect(Math.abs(patient! - alsoPatient!))
            .to.be.below(MAX_DIFFERENCE);
        });

        // Guards against callers that are held until their time is over.
        it(`refuse within 50 ms at a load of ${load}`, () => {
          const refusedMs = kinds.flatMap((kind) => kind.refusedMs);
          expect(percentile(refusedMs, 0.95)).to.be.below(50);
        });
      });
    })
  );

  describe("at a load of 1.5", () => {
    // Guards against queueing delay without additional throughput: bounded by the deadline alone, it is 1.9 s.
    it("serve in less than 400 ms what the deadline alone serves just before it", () => {
      const deadlinesMs = [2_000];
      const habits = HABITS["don't repeat"]!;
      const { kinds, served } = replaySteady(1.5, { deadlinesMs, habits });
      const other = AdmissionSimulation.run(
        createSteadyScenario(SEED, {
          load: 1.5,
          durationMs: 3 * DURATION_MS,
          deadlinesMs,
          habits,
        }),
        EarliestDeadlineQueue.create,
      );
      const medianOf = (figures: typeof kinds) =>
        percentile(figures.flatMap(({ servedMs }) => servedMs), 0.5);
      expect(medianOf(kinds)).to.be.below(400);
      expect(medianOf(other.kinds)).to.be.above(1_800);
      expect(served).to.be.at.least(servedShare(other.kinds) - MAX_DIFFERENCE);
    });
  });

  describe("at a load of 1.2", () => {
    it("serve half of the callers that come back when they are told", () => {
      const { kinds } = replaySteady(1.2, { deadlinesMs: [1_200, 2_000] });
      const sum = (field: "toldRetries" | "servedToldRetries") =>
        kinds.reduce((total, kind) => total + kind[field], 0);
      expect(sum("toldRetries")).to.be.above(100);
      expect(sum("servedToldRetries")).to.be.at.least(sum("toldRetries") / 2);
    });
  });

  describe("at a load of 0.9", () => {
    it("refuse next to nothing", () => {
      const { served } = replaySteady(0.9, { deadlinesMs: [1_200, 2_000] });
      expect(served).to.be.above(0.998);
    });
  });

  describe("replaying bursts of 1 s", () => {
    // Guards against refusing requests that a wait would serve: without one, every third of a burst is refused.
    it("serve most of the burst by waiting", () => {
      const { kinds } = AdmissionSimulation.run(
        createBurstScenario(SEED, DURATION_MS),
      );
      expect(servedShare(kinds)).to.be.above(0.95);
    });
  });
});
