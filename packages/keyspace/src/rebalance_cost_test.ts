/**
 * Simulations of the cost of rebalancing in a service with many owners, from the first request on.
 *
 * @module
 */
import { expect } from "chai";
import { KEY_COUNT } from "./mod.ts";
import { seededRandom } from "@bamboolink/simulation";
import { RebalanceSimulation } from "./testing/rebalance_simulation.ts";

const OWNERS = 98;
const SLOTS = 3;
/** Service time of a request, in milliseconds, and the mean utilization of all slots. */
const SERVICE_MS = 380;
const MEAN_UTILIZATION = 0.75;
const REQUESTS_PER_SECOND = OWNERS * SLOTS * MEAN_UTILIZATION / SERVICE_MS *
  1_000;
/** Number of adjacent keys that become hot, their share of the requests from then on, and when, in milliseconds. */
const HOT_KEYS = 200;
const FIRST_HOT_KEY = 20_000;
const HOT_SHARE = 0.3;
const HOT_FROM_MS = 5_000;

const EVEN_POPULARITY = Array.from({ length: KEY_COUNT }, () => 1 / KEY_COUNT);
const HOT_POPULARITY = EVEN_POPULARITY.map((share, key) =>
  share * (1 - HOT_SHARE) +
  (key >= FIRST_HOT_KEY && key < FIRST_HOT_KEY + HOT_KEYS
    ? HOT_SHARE / HOT_KEYS
    : 0)
);

function createSimulation(
  seed: number,
  popularity: (nowMs: number) => readonly number[],
): RebalanceSimulation {
  return RebalanceSimulation.create({
    owners: OWNERS,
    slots: SLOTS,
    requestsPerSecond: REQUESTS_PER_SECOND,
    meanServiceMs: SERVICE_MS,
    random: seededRandom(seed),
    popularity,
  });
}

function maxUtilization(simulation: RebalanceSimulation): number {
  return Math.max(...simulation.utilizations);
}

const SEEDS = [5, 6, 7];

describe("rebalance by 98 owners", () => {
  // Guards against 63 owners that move keys in the first second of the traffic, where 250 of 287 writes of the one
  // record conflict and moved keys remain without an owner: each owner gets about six requests per second, by chance
  // more or fewer than others. If the random error of a load measured from a few requests is ignored, owners with more
  // move the keys of these requests to those with fewer. With the seeds below, that takes 640 writes in 20 s and moves
  // two fifths of the keys, and owners receive up to four times what they can do.
  SEEDS.forEach((seed) =>
    it(`moves few keys while all keys cause the same work, seed ${seed}`, () => {
      const simulation = createSimulation(seed, () => EVEN_POPULARITY);
      const utilizations = Array.from({ length: 20 }, (_, second) => {
        simulation.runUntil((second + 1) * 1_000);
        return maxUtilization(simulation);
      });
      expect(Math.max(...utilizations)).to.be.below(1.2);
      expect(simulation.cost.writes).to.be.below(50);
      expect(simulation.cost.conflicts).to.be.below(5);
      expect(simulation.cost.movedKeys).to.be.below(KEY_COUNT / 10);
      expect(simulation.cost.refused / simulation.cost.requests).to.be.below(
        0.05,
      );
    }).timeout(30_000)
  );

  SEEDS.forEach((seed) =>
    it(`distributes hot keys among all owners within ten seconds, seed ${seed}`, () => {
      const simulation = createSimulation(
        seed,
        (nowMs) => nowMs < HOT_FROM_MS ? EVEN_POPULARITY : HOT_POPULARITY,
      );
      simulation.runUntil(HOT_FROM_MS + 1_000);
      const initialUtilization = maxUtilization(simulation);
      simulation.runUntil(HOT_FROM_MS + 10_000);
      expect(initialUtilization).to.be.above(6);
      expect(maxUtilization(simulation)).to.be.below(1.6);
      expect(simulation.cost.writes).to.be.below(150);
      expect(simulation.cost.maxUnownedMs).to.be.below(400);
    }).timeout(30_000)
  );
});
