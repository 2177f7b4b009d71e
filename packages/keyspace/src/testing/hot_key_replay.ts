/**
 * Replays the load of hot keys with a planner, or with owners that are assigned with full knowledge and without delay.
 *
 * @module
 */
import { KEY_COUNT, RebalancePlanner } from "../mod.ts";
import {
  createSlowPhases,
  type HotKeyDeployment,
  HotKeyLoad,
  requestsPerSecondAt,
} from "./hot_key_load.ts";
import {
  type IdealPlan,
  type RebalanceCost,
  RebalanceSimulation,
  type SimulatedPlanner,
} from "./rebalance_simulation.ts";
import { seededRandom } from "@bamboolink/simulation";

/** Utilization of all owners together. */
const UTILIZATION = 0.85;
/** Interval of heartbeats on the platform, in milliseconds. */
const HEARTBEAT_INTERVAL_MS = 870;
const DURATION_MS = 40_000;

/** Owners that plan moves and hand keys over. */
export interface ReplayedMoves {
  readonly kind: "planner";
  readonly create?: () => SimulatedPlanner;
  readonly planIntervalMs?: number;
  readonly holdMs?: number;
  readonly heartbeatMs?: number;
  readonly replans?: boolean;
  readonly beginsPartially?: boolean;
}

/** How the owners of keys change in a replay. */
export type ReplayedPlanner =
  | ReplayedMoves
  /** Knows the popularity of each key at once, and moves keys without delay. */
  | { readonly kind: "full_knowledge" };

/** The planner of the product. */
export const PRODUCT_PLANNER: ReplayedMoves = {
  kind: "planner",
  replans: true,
  planIntervalMs: 100,
  holdMs: 300,
  create: () => {
    const planner = RebalancePlanner.create();
    return {
      plan: (own, others, keys, nowMs) => {
        planner.update(
          { own, others, ...keys, reportAgeMs: 0, coldMs: 0 },
          nowMs,
        );
        return planner.plannedMoves;
      },
      confirm: (planned) => {
        planner.take(0);
        return planned;
      },
    };
  },
};

/** Replays the load of a deployment. */
export function replayHotKeys(
  deployment: HotKeyDeployment,
  planner: ReplayedPlanner,
  { seed, utilization = UTILIZATION }: { seed: number; utilization?: number },
): RebalanceCost {
  const { speeds, slots, meanServiceMs, objectiveMs, deadlineMs } = deployment;
  const load = HotKeyLoad.create(seededRandom(seed), DURATION_MS);
  const phases = speeds.map((_, owner) =>
    createSlowPhases(deployment, seededRandom(1_000 * seed + owner))
  );
  const simulation = RebalanceSimulation.create({
    owners: speeds.length,
    slots,
    speeds,
    meanServiceMs,
    requestsPerSecond: requestsPerSecondAt(deployment, utilization),
    popularity: (nowMs) => load.popularityAt(nowMs),
    popularityIntervalMs: 50,
    random: seededRandom(seed),
    slownessOf: (owner, phase) => phases[owner]!(phase),
    limits: { objectiveMs, deadlineMs },
    synchronizedHeartbeatMs:
      (planner.kind === "planner" ? planner.heartbeatMs : undefined) ??
        HEARTBEAT_INTERVAL_MS,
    ...(planner.kind === "full_knowledge"
      ? { assignIdeally: (nowMs) => assignIdeally(load, deployment, nowMs) }
      : {
        ...(planner.create && { createPlanner: planner.create }),
        holdMs: planner.holdMs ?? 0,
        replans: planner.replans ?? false,
        beginsPartially: planner.beginsPartially ?? false,
        ...(planner.planIntervalMs &&
          { planIntervalMs: planner.planIntervalMs }),
      }),
  });
  simulation.runUntil(DURATION_MS);
  return simulation.cost;
}

/**
 * Gives the one key to the fastest owner, divides the other keys by what speed is left, and each group of hot keys one
 * by one to the owner that is then the least utilized.
 */
function assignIdeally(
  load: HotKeyLoad,
  { speeds }: HotKeyDeployment,
  nowMs: number,
): IdealPlan[] {
  const shares = load.popularityAt(nowMs);
  const { heavyKey } = load;
  const fastest = speeds.indexOf(Math.max(...speeds));
  const capacity = speeds.reduce((sum, speed) => sum + speed, 0);
  const work = speeds.map(() => 0);
  work[fastest] = shares[heavyKey]! * capacity;
  const assign = (key: number): IdealPlan => {
    const owner = speeds.reduce(
      (best, speed, index) =>
        work[index]! / speed < work[best]! / speeds[best]! ? index : best,
      0,
    );
    work[owner]! += shares[key]! * capacity;
    return { owner, range: { from: key, to: key } };
  };
  const heavy = { owner: fastest, range: { from: heavyKey, to: heavyKey } };
  const group = load.groupAt(nowMs);
  if (nowMs === 0) {
    return [...divideAll(speeds, work), heavy];
  }
  if (group === undefined || nowMs - group.startsAtMs > 100) {
    return [];
  }
  // All other keys cause the same work; it was divided by speed at the start.
  const baseShare = 1 - shares[heavyKey]! - group.share * (1 - 1 / 6);
  divideAll(speeds, work).forEach(({ owner, range }) => {
    work[owner]! += (range.to - range.from + 1) / KEY_COUNT * baseShare *
      capacity;
  });
  const keys = Array.from(
    { length: group.to - group.from + 1 },
    (_, index) => group.from + index,
  );
  return [...keys.map(assign), heavy];
}

/** Divides all keys so that all owners have the same utilization, with the work that they have already. */
function divideAll(
  speeds: readonly number[],
  work: readonly number[],
): IdealPlan[] {
  const room = speeds.map((speed, index) => Math.max(0, speed - work[index]!));
  const total = room.reduce((sum, value) => sum + value, 0);
  let from = 0;
  return room.flatMap((value, owner) => {
    const size = owner === room.length - 1
      ? KEY_COUNT - from
      : Math.round(value / total * KEY_COUNT);
    const range = { from, to: from + size - 1 };
    from += size;
    return size > 0 ? [{ owner, range }] : [];
  });
}
