/**
 * Compares the owners of keys by what they can do, and divides the room of the cool ones among the hot ones.
 *
 * @module
 */

import { estimateDeviation } from "./load_profile.ts";

/** The load of one owner of keys. */
export interface OwnerLoad {
  readonly daemon: string;
  /** Work offered for each slot: 1 keeps all slots busy, more can't be served. */
  readonly utilization: number;
  readonly slots: number;
  /** Usual time of a request, in milliseconds; 0 where too few were served yet. */
  readonly serviceMs: number;
  /** How far the utilization may be off by chance, one standard deviation; estimated where it is not known. */
  readonly deviation?: number;
}

/** An owner's load beside that of the others. */
export interface BalancedLoad {
  readonly daemon: string;
  readonly utilization: number;
  /** How far that may be off by chance: one standard deviation. */
  readonly deviation: number;
  /** Work that it can do, in slots of an owner of average speed. */
  readonly capacity: number;
  /** Time of a request there, as a multiple of the mean. */
  readonly slowness: number;
}

/** What one taker gets from one giver. */
export interface MoveAllocation {
  readonly taker: BalancedLoad;
  /** In slots of an owner of average speed. */
  readonly amount: number;
}

/**
 * An owner sheds only while its utilization is above this: below it no request waits long, and a move
 * would cost more than it brings.
 */
const HOT_UTILIZATION = 0.6;
/** The least distance above the target that is worth a move. */
const WORTHWHILE_EXCESS = 0.25;
/**
 * An owner counts as hot only from so many standard deviations above the target on. One of a large fleet sees a few
 * requests a second: without this, a third of 98 owners with equal work shed in a second, keys that bring no more than
 * others a second later, in 645 writes in 20 s in place of 22 (replayed).
 */
const CERTAIN_DEVIATIONS = 2;
/** An owner sheds to one without any keys from this utilization on, so that it takes part at all. */
const SHARING_UTILIZATION = 0.05;
/** An owner above this refuses requests; others are better filled up beyond the mean than that. */
export const OVERLOADED_UTILIZATION = 1;
/** While one is overloaded, others are filled up to this utilization at least, also beyond the mean. */
const FULL_UTILIZATION = 0.8;
/**
 * Owners are brought to the mean of all, but not above this utilization. Under overload all are then overloaded
 * alike, and none rests while another refuses; filled up further they would only refuse, too. It is above 1
 * since callers that come back after a refusal are counted again.
 */
const LARGEST_TARGET = 1.3;
/** Measured speeds are believed within this factor of the mean; cold servers and few requests mislead. */
const LARGEST_SLOWNESS = 2.5;
/** Room below this is left, in slots: a request or two would fill it. */
export const MIN_HEADROOM = 0.35;

/** Takes into account that owners are of different speeds: the same keys fill a slow one more. */
export function balanceLoads(owners: readonly OwnerLoad[]): BalancedLoad[] {
  const times = owners
    .map(({ serviceMs }) => serviceMs)
    .filter((serviceMs) => serviceMs > 0);
  const meanMs = times.reduce((sum, ms) => sum + ms, 0) / times.length;
  return owners.map((owner) => {
    const { daemon, utilization, slots, serviceMs } = owner;
    const deviation = owner.deviation ??
      estimateDeviation({ load: utilization * slots, serviceMs }) / slots;
    const measured = serviceMs > 0 ? serviceMs / meanMs : 1;
    const slowness = Math.min(
      LARGEST_SLOWNESS,
      Math.max(1 / LARGEST_SLOWNESS, measured),
    );
    return {
      daemon,
      utilization,
      deviation,
      slowness,
      capacity: slots / slowness,
    };
  });
}

/** The utilization of all if each had work as it can do it, within the bound. */
export function findTargetUtilization(owners: readonly BalancedLoad[]): number {
  const capacity = owners.reduce((sum, owner) => sum + owner.capacity, 0);
  const work = owners.reduce(
    (sum, { utilization, capacity }) => sum + utilization * capacity,
    0,
  );
  const mean = capacity === 0 ? 0 : work / capacity;
  const isOverloaded = owners.some(({ utilization }) =>
    utilization > OVERLOADED_UTILIZATION
  );
  const least = isOverloaded ? FULL_UTILIZATION : mean;
  return Math.min(LARGEST_TARGET, Math.max(mean, least));
}

/**
 * Lays what all givers have too much, and the room of all takers, side by side in the order of their names, and
 * returns what lies beside the giver's own part. All daemons find nearly the same, so no room is given twice.
 */
export function allocateHeadroom(
  giver: BalancedLoad,
  fleet: {
    owners: readonly BalancedLoad[];
    target: number;
    keyless: ReadonlySet<string>;
  },
): MoveAllocation[] {
  const { owners, target, keyless } = fleet;
  const isNewcomerThere = owners.some(({ daemon }) => keyless.has(daemon));
  const excessOf = (owner: BalancedLoad) =>
    isHot(owner, { target, isNewcomerThere })
      ? (owner.utilization - target) * owner.capacity
      : 0;
  const roomOf = ({ daemon, utilization, capacity }: BalancedLoad) => {
    const room = (target - utilization) * capacity;
    const isTaker = !isNewcomerThere || keyless.has(daemon);
    return isTaker && room >= MIN_HEADROOM ? room : 0;
  };
  const excesses = layOut(owners, excessOf);
  const rooms = layOut(owners, roomOf);
  const own = excesses.parts.find(({ owner }) => owner === giver)!;
  // Where there is less room than is wanted, each giver gets its part of it.
  const granted = Math.min(1, rooms.total / (excesses.total || 1));
  return rooms.parts.map(({ owner, from, to }) => {
    const start = Math.max(own.from * granted, from);
    const end = Math.min(own.to * granted, to);
    return { taker: owner, amount: Math.max(0, end - start) };
  }).filter(({ amount }) => amount > 0);
}

function isHot(
  { utilization, deviation }: BalancedLoad,
  fleet: { target: number; isNewcomerThere: boolean },
): boolean {
  const { target, isNewcomerThere } = fleet;
  const least = Math.max(WORTHWHILE_EXCESS, CERTAIN_DEVIATIONS * deviation);
  return isNewcomerThere
    ? utilization > Math.max(SHARING_UTILIZATION, target)
    : utilization > HOT_UTILIZATION && utilization - target > least;
}

/** Lays the owners' lengths end to end, in the order of their names. */
function layOut(
  owners: readonly BalancedLoad[],
  lengthOf: (owner: BalancedLoad) => number,
): {
  parts: { owner: BalancedLoad; from: number; to: number }[];
  total: number;
} {
  const ordered = owners.toSorted((left, right) =>
    left.daemon < right.daemon ? -1 : 1
  );
  let total = 0;
  const parts = ordered.map((owner) => {
    const from = total;
    total += lengthOf(owner);
    return { owner, from, to: total };
  });
  return { parts, total };
}
