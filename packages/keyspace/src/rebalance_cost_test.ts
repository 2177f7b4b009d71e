/**
 * Replays of what shedding costs a service of many owners, from the first request on.
 *
 * @module
 */
import { expect } from "chai";
import { KEY_COUNT } from "./mod.ts";
import { seededRandom } from "./testing/seeded_random.ts";
import { SheddingWorld } from "./testing/rebalance_simulation.ts";

const OWNERS = 98;
const SLOTS = 3;
/** Time of a request, in milliseconds, and the share of the slots that all requests together take. */
const REQUEST_MS = 380;
const LOAD = 0.75;
const REQUESTS_PER_SECOND = OWNERS * SLOTS * LOAD / REQUEST_MS * 1_000;
/** Neighbouring keys that become hot, the share of the requests that they get then, and when, in milliseconds. */
const HOT_KEYS = 200;
const FIRST_HOT_KEY = 20_000;
const HOT_SHARE = 0.3;
const HOT_FROM_MS = 5_000;

const EVEN = Array.from({ length: KEY_COUNT }, () => 1 / KEY_COUNT);
const HOT = EVEN.map((share, key) =>
  share * (1 - HOT_SHARE) +
  (key >= FIRST_HOT_KEY && key < FIRST_HOT_KEY + HOT_KEYS
    ? HOT_SHARE / HOT_KEYS
    : 0)
);

function createWorld(
  seed: number,
  popularity: (nowMs: number) => readonly number[],
): SheddingWorld {
  return SheddingWorld.create({
    owners: OWNERS,
    slots: SLOTS,
    requestsPerSecond: REQUESTS_PER_SECOND,
    requestMs: REQUEST_MS,
    random: seededRandom(seed),
    popularity,
  });
}

function highest(world: SheddingWorld): number {
  return Math.max(...world.utilizations);
}

const SEEDS = [5, 6, 7];

describe("shedding by 98 owners", () => {
  // Symptom: in the first second of the traffic 63 owners shed keys, 250 of 287 writes of the one record lose the
  // race, and moved keys wait without an owner.
  // Sequence: each owner gets some six requests a second, a second more or fewer than its neighbours by chance; those
  // that got more shed the keys that these requests were for, to those that got fewer.
  // Cause: a load that was measured from a few requests was taken for certain. By the seeds here 640 writes in 20 s and
  // two fifths of the keys moved, and owners were given up to four times of what they can do.
  SEEDS.forEach((seed) =>
    it(`moves next to nothing while all keys bring the same, seed ${seed}`, () => {
      const world = createWorld(seed, () => EVEN);
      const seen = Array.from({ length: 20 }, (_, second) => {
        world.playUntil((second + 1) * 1_000);
        return highest(world);
      });
      expect(Math.max(...seen)).to.be.below(1.2);
      expect(world.cost.writes).to.be.below(50);
      expect(world.cost.lostWrites).to.be.below(5);
      expect(world.cost.movedKeys).to.be.below(KEY_COUNT / 10);
      expect(world.cost.refused / world.cost.requests).to.be.below(0.05);
    }).timeout(30_000)
  );

  SEEDS.forEach((seed) =>
    it(`still brings hot keys to all within ten seconds, seed ${seed}`, () => {
      const world = createWorld(
        seed,
        (nowMs) => nowMs < HOT_FROM_MS ? EVEN : HOT,
      );
      world.playUntil(HOT_FROM_MS + 1_000);
      const first = highest(world);
      world.playUntil(HOT_FROM_MS + 10_000);
      expect(first).to.be.above(6);
      expect(highest(world)).to.be.below(1.6);
      expect(world.cost.writes).to.be.below(150);
      expect(world.cost.longestUnownedMs).to.be.below(400);
    }).timeout(30_000)
  );
});
