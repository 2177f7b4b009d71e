/**
 * Loads that admission is replayed on, scaled down from deployments with 20 to 40 servers a service.
 *
 * @module
 */
import type {
  AdmissionScenario,
  CallerHabits,
  RequestKind,
} from "./admission_model.ts";
import { seededRandom } from "@bamboolink/simulation";

/** Added to the seed of the arrivals to seed the choices of daemons. */
const PLACEMENT_SEED = 1_000;
/** The same for when refused callers are to come back. */
const CALLER_SEED = 2_000;
const SLOTS = 6;
const DAEMONS = 8;
/** Length of a period in which one owner's keys are hot, and of the pause before it, in milliseconds. */
const HOT_PERIOD_MS = 4_500;
/** Share of all requests that the hot keys get. */
const HOT_SHARE = 0.2;
/** Load outside of the hot keys, relative to the capacity. */
const KEYED_LOAD = 0.7;
/** A wave of load: its interval, how long it lasts, and the load in and outside of it. */
const WAVE = { intervalMs: 10_000, lengthMs: 4_500, high: 1.3, low: 0.6 };

/** Callers that retry a refused request once, after the stated delay. */
const USUAL_HABITS: CallerHabits = { maxRetries: 1, heedsRetryAfter: true };

/** A burst of load: its interval, how long it lasts, and the load in and outside of it. */
const BURST = { intervalMs: 5_000, lengthMs: 1_000, high: 1.6, low: 0.7 };
const STEADY_SERVICE = { speeds: [1, 1, 1], slots: 4, workMs: 100 };
const OWNER_SPEEDS = [0.7, 0.7, 1.7, 0.7, 0.7, 1.7];
const SERVER_SPEEDS = [0.6, 1.0, 1.4, 0.6, 1.0, 1.4];
const KEYED_KIND = {
  rank: 2,
  workMs: 133,
  deadlineMs: 1_582,
};
/** Three kinds of requests of one service, with their shares of its work. */
const MIXED_KINDS = [
  { share: 0.2, rank: 0, workMs: 61, deadlineMs: 1_447 },
  { share: 0.4, rank: 1, workMs: 200, deadlineMs: 3_181 },
  { share: 0.4, rank: 2, workMs: 133, deadlineMs: 1_582 },
];

/** A keyed service with owners of unequal speeds, of which one after the other gets a group of hot keys. */
export function createHotOwnerScenario(
  seed: number,
  durationMs: number,
): AdmissionScenario {
  const totalSpeed = sum(OWNER_SPEEDS);
  const perSecond = KEYED_LOAD * capacityOf(OWNER_SPEEDS, KEYED_KIND.workMs);
  return {
    durationMs,
    speeds: OWNER_SPEEDS,
    slots: SLOTS,
    daemons: DAEMONS,
    habits: USUAL_HABITS,
    kinds: [{ ...KEYED_KIND, perSecond }],
    loadAt: () => 1,
    ownerAt: (nowMs, random) => {
      const period = Math.floor(nowMs / HOT_PERIOD_MS);
      const isHot = period % 2 === 1;
      if (isHot && random < HOT_SHARE) {
        return Math.floor(period / 2) % OWNER_SPEEDS.length;
      }
      const rest = isHot ? (random - HOT_SHARE) / (1 - HOT_SHARE) : random;
      return indexByWeight(OWNER_SPEEDS, rest * totalSpeed);
    },
    random: seededRandom(seed),
    placementRandom: seededRandom(seed + PLACEMENT_SEED),
    callerRandom: seededRandom(seed + CALLER_SEED),
  };
}

/** A service without keys whose load comes in waves, with three ranks. */
export function createWavesScenario(
  seed: number,
  durationMs: number,
): AdmissionScenario {
  const { intervalMs, lengthMs, high, low } = WAVE;
  return {
    durationMs,
    speeds: SERVER_SPEEDS,
    slots: SLOTS,
    daemons: DAEMONS,
    habits: USUAL_HABITS,
    kinds: MIXED_KINDS.map(({ share, ...kind }): RequestKind => ({
      ...kind,
      perSecond: share * capacityOf(SERVER_SPEEDS, kind.workMs),
    })),
    loadAt: (nowMs) => nowMs % intervalMs < lengthMs ? high : low,
    ownerAt: undefined,
    random: seededRandom(seed),
    placementRandom: seededRandom(seed + PLACEMENT_SEED),
    callerRandom: seededRandom(seed + CALLER_SEED),
  };
}

/** The same service with a load that stays above its capacity. */
export function createOverloadScenario(
  seed: number,
  durationMs: number,
): AdmissionScenario {
  return { ...createWavesScenario(seed, durationMs), loadAt: () => WAVE.high };
}

/** A service with servers of one speed and 100 ms of work, at a constant load of callers that give different times. */
export function createSteadyScenario(
  seed: number,
  options: {
    load: number;
    durationMs: number;
    deadlinesMs: readonly number[];
    habits?: CallerHabits;
  },
): AdmissionScenario {
  const { load, durationMs, deadlinesMs, habits = USUAL_HABITS } = options;
  const { slots, speeds, workMs } = STEADY_SERVICE;
  const perSecond = load * speeds.length * slots / workMs * 1_000;
  return {
    durationMs,
    speeds,
    slots,
    daemons: speeds.length,
    habits,
    kinds: deadlinesMs.map((deadlineMs) => ({
      rank: 1,
      workMs,
      deadlineMs,
      perSecond: perSecond / deadlinesMs.length,
    })),
    loadAt: () => 1,
    ownerAt: undefined,
    random: seededRandom(seed),
    placementRandom: seededRandom(seed + PLACEMENT_SEED),
    callerRandom: seededRandom(seed + CALLER_SEED),
  };
}

/** The same service at a load of 0.7, with a burst of 1.6 for one of five seconds. */
export function createBurstScenario(
  seed: number,
  durationMs: number,
): AdmissionScenario {
  const { intervalMs, lengthMs, high, low } = BURST;
  return {
    ...createSteadyScenario(seed, {
      load: 1,
      durationMs,
      deadlinesMs: [1_200],
    }),
    loadAt: (nowMs) => nowMs % intervalMs < lengthMs ? high : low,
  };
}

/** Requests per second that use all slots. */
function capacityOf(speeds: readonly number[], workMs: number): number {
  return sum(speeds) * SLOTS / workMs * 1_000;
}

function indexByWeight(weights: readonly number[], position: number): number {
  const ends = weights.map((_, index) => sum(weights.slice(0, index + 1)));
  const found = ends.findIndex((end) => position < end);
  return found < 0 ? weights.length - 1 : found;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
