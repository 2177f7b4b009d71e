/**
 * Compares owners by utilization relative to their speed, and allocates the headroom of the least utilized ones to the
 * sources, the owners that move keys away.
 *
 * @module
 */

import { estimateDeviation } from "./load_profile.ts";

/** The load of one owner of keys. */
export interface OwnerLoad {
  readonly daemon: string;
  /** Offered work relative to `slots`: 1 keeps them all busy; more than that can't be served. */
  readonly utilization: number;
  /** Slots that requests can keep busy: fewer than it has if it limits the rate of requests. */
  readonly slots: number;
  /** Typical service time of a request, in milliseconds; 0 where too few were served yet. */
  readonly serviceMs: number;
  /** Standard deviation of the utilization's random error; estimated where it is not known. */
  readonly deviation?: number;
}

/** An owner's load relative to the other owners. */
export interface BalancedLoad {
  readonly daemon: string;
  readonly utilization: number;
  readonly slots: number;
  /** Standard deviation of the utilization's random error. */
  readonly deviation: number;
  /** Work that it can do, in slots of an owner of average speed. */
  readonly capacity: number;
  /** Service time of a request there, as a multiple of the mean. */
  readonly slowness: number;
}

/** Work that one owner may move to another. */
export interface MoveAllocation {
  readonly recipient: BalancedLoad;
  /** In slots of an owner of average speed. */
  readonly amount: number;
}

/**
 * Unless there is an owner without keys (`KEYLESS_SHARING_UTILIZATION`), an owner moves keys away only while its
 * utilization is above this: below it no request waits long, and a move would cost more than it gains.
 */
const HOT_UTILIZATION = 0.6;
/** Minimum excess over the target utilization that justifies a move, unless there is an owner without keys. */
const MIN_EXCESS = 0.25;
/**
 * Minimum excess in standard deviations, under the same condition. An owner in a large fleet serves a few requests per
 * second. Without this bound, a third of 98 owners with equal work would move keys away within a second, although a
 * second later these keys cause no more work than others, and this would take 645 writes in 20 s rather than 22.
 */
const MIN_EXCESS_DEVIATIONS = 2;
/**
 * While there is an owner without keys, one above this utilization and the target moves keys to it, so that it gets a
 * share of the work.
 */
const KEYLESS_SHARING_UTILIZATION = 0.05;
/**
 * An owner above this utilization refuses requests; to avoid that, other owners may be filled beyond the mean
 * utilization.
 */
export const OVERLOADED_UTILIZATION = 1;
/** While any owner is overloaded, the others are filled to at least this utilization, even beyond the mean. */
const MIN_TARGET_UTILIZATION_IN_OVERLOAD = 0.8;
/**
 * Owners are balanced towards the mean of all, but not above this utilization. Under overload all are then overloaded
 * equally, and none is idle while another refuses requests; filled further, they would only refuse requests, too. It is
 * above 1 since retries after a refusal are counted again.
 */
const MAX_TARGET_UTILIZATION = 1.3;
/** Measured speeds are limited to this factor from the mean, since cold servers and small samples distort them. */
const MAX_SLOWNESS = 2.5;
/** Headroom below this is not used, in slots: one or two requests would fill it. */
export const MIN_HEADROOM = 0.35;

/** Relates the owners' loads to their speeds: the same keys use more of a slow owner than of a fast one. */
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
      MAX_SLOWNESS,
      Math.max(1 / MAX_SLOWNESS, measured),
    );
    return {
      daemon,
      utilization,
      slots,
      deviation,
      slowness,
      capacity: slots / slowness,
    };
  });
}

/** The utilization of all owners if work were divided by capacity, within the bounds. */
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
  const minimum = isOverloaded ? MIN_TARGET_UTILIZATION_IN_OVERLOAD : mean;
  return Math.min(MAX_TARGET_UTILIZATION, Math.max(mean, minimum));
}

/**
 * Allocates headroom of recipients to one source.
 *
 * The excesses of all sources and the headrooms of all recipients are each laid out as consecutive intervals, in
 * the order of the owners' names; the source gets the parts of the headrooms that overlap its own excess. All daemons
 * compute nearly the same layout, so no headroom is allocated twice.
 *
 * @param fleet all owners, the target utilization, and the owners without keys.
 */
export function allocateHeadroom(
  source: BalancedLoad,
  fleet: {
    owners: readonly BalancedLoad[];
    target: number;
    keyless: ReadonlySet<string>;
  },
): MoveAllocation[] {
  const { owners, target, keyless } = fleet;
  const hasKeylessOwner = owners.some(({ daemon }) => keyless.has(daemon));
  const excessOf = (owner: BalancedLoad) =>
    isSource(owner, { target, hasKeylessOwner })
      ? (owner.utilization - target) * owner.capacity
      : 0;
  const headroomOf = ({ daemon, utilization, capacity }: BalancedLoad) => {
    const headroom = (target - utilization) * capacity;
    const isRecipient = !hasKeylessOwner || keyless.has(daemon);
    return isRecipient && headroom >= MIN_HEADROOM ? headroom : 0;
  };
  const excesses = layOut(owners, excessOf);
  const headrooms = layOut(owners, headroomOf);
  const own = excesses.intervals.find(({ owner }) => owner === source)!;
  // Where the headroom does not suffice, each source gets the same share of its excess.
  const allocatedShare = Math.min(
    1,
    headrooms.total / (excesses.total || 1),
  );
  return headrooms.intervals.map(({ owner, from, to }) => {
    const start = Math.max(own.from * allocatedShare, from);
    const end = Math.min(own.to * allocatedShare, to);
    return { recipient: owner, amount: Math.max(0, end - start) };
  }).filter(({ amount }) => amount > 0);
}

/**
 * Whether an owner could move keys away, whatever the load of the others: most owners of a large fleet can't, and need
 * not compare themselves with hundreds of others ten times a second.
 */
export function mayBeSource(
  { utilization }: OwnerLoad,
  keyless: ReadonlySet<string>,
): boolean {
  return utilization >
    (keyless.size > 0 ? KEYLESS_SHARING_UTILIZATION : HOT_UTILIZATION);
}

/** Whether an owner has so much work that it moves keys away. */
function isSource(
  { utilization, deviation }: BalancedLoad,
  fleet: { target: number; hasKeylessOwner: boolean },
): boolean {
  const { target, hasKeylessOwner } = fleet;
  const minExcess = Math.max(MIN_EXCESS, MIN_EXCESS_DEVIATIONS * deviation);
  return hasKeylessOwner
    ? utilization > Math.max(KEYLESS_SHARING_UTILIZATION, target)
    : utilization > HOT_UTILIZATION && utilization - target > minExcess;
}

/** Lays out one interval per owner end to end, in the order of the owners' names. */
function layOut(
  owners: readonly BalancedLoad[],
  lengthOf: (owner: BalancedLoad) => number,
): {
  intervals: { owner: BalancedLoad; from: number; to: number }[];
  total: number;
} {
  const ordered = owners.toSorted((left, right) =>
    left.daemon < right.daemon ? -1 : 1
  );
  let total = 0;
  const intervals = ordered.map((owner) => {
    const from = total;
    total += lengthOf(owner);
    return { owner, from, to: total };
  });
  return { intervals, total };
}
