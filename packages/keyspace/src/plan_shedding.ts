/**
 * Decides which keys a hot backend server sheds, and to whom.
 *
 * The load it answers: a few neighbouring keys get a third of all requests within a second, while the
 * other backend servers have room.
 *
 * @module
 */
import type { LoadProfile } from "./load_profile.ts";
import { type KeyRange, RangeMap } from "./range_map.ts";

/**
 * An owner sheds only while its utilization is above this: below it no request waits long, and a move
 * would cost more than it brings.
 */
const HOT_UTILIZATION = 0.45;
/** The least distance above the mean that is worth a move. */
const WORTHWHILE_EXCESS = 0.15;
/** Share of the distance to the mean that is moved at once, so that loads don't swap places. */
const MOVED_SHARE = 0.8;
/** An owner sheds to one without any keys from this utilization on, so that it takes part at all. */
const SHARING_UTILIZATION = 0.05;
/**
 * Moves planned at once. Keys that get a third of all requests need a third of all backend servers, and a
 * handover takes about a second: with a few at a time the keys would be cool again before the last has moved
 * (replayed in the test).
 */
const MOST_MOVES = 32;
/**
 * The least work that is worth a move, in milliseconds of a slot a second: a request or two. Below it the
 * profile shows chance and not load, and moves by chance cut the key space into single keys.
 */
const LEAST_MOVED_MS = 350;
/**
 * Takers are filled up to this utilization at most. Work offered to a hot owner counts in full, also what
 * it refuses, so the mean alone can be more than an owner can do.
 */
const FULL_UTILIZATION = 0.8;
/** An owner above this refuses requests; others are better filled up beyond the mean than that. */
const OVERLOADED_UTILIZATION = 1;

/** The load of one owner of keys. */
export interface OwnerLoad {
  readonly daemon: string;
  /** Work offered for each slot: 1 keeps all slots busy, more can't be served. */
  readonly utilization: number;
  readonly slots: number;
}

/** A move of keys to another owner. */
export interface PlannedMove extends KeyRange {
  readonly daemon: string;
}

/**
 * Plans moves from one hot owner to those below the target, the coolest first. Each takes what it lacks
 * to it, in the fewest keys: a move costs by keys and not by their work.
 *
 * @param own the load of the owner that may shed.
 * @param others the owners that may take keys.
 * @param keys the keys of the owner, the work that each brings, and owners that have no keys yet.
 */
export function planShedding(
  own: OwnerLoad,
  others: readonly OwnerLoad[],
  keys: {
    ranges: readonly KeyRange[];
    profile: LoadProfile;
    keyless: ReadonlySet<string>;
  },
): PlannedMove[] {
  if (others.length === 0) {
    return [];
  }
  const target = own.utilization > OVERLOADED_UTILIZATION
    ? FULL_UTILIZATION
    : Math.min(FULL_UTILIZATION, findMean([own, ...others]));
  const excess = own.utilization - target;
  const isHot = own.utilization > HOT_UTILIZATION && excess > WORTHWHILE_EXCESS;
  const takers = others
    .filter(({ daemon, utilization }) =>
      isHot && utilization < target ||
      own.utilization > SHARING_UTILIZATION && keys.keyless.has(daemon)
    )
    .sort((left, right) => left.utilization - right.utilization)
    .slice(0, MOST_MOVES);
  return divide(own, takers, { ...keys, target });
}

function divide(
  own: OwnerLoad,
  takers: readonly OwnerLoad[],
  keys: {
    ranges: readonly KeyRange[];
    profile: LoadProfile;
    keyless: ReadonlySet<string>;
    target: number;
  },
): PlannedMove[] {
  const left = RangeMap.create<true>();
  keys.ranges.forEach((range) => left.set(range, true));
  let excess = (own.utilization - keys.target) * own.slots;
  return takers.flatMap((taker) => {
    const window = findWindow({ own, taker }, { ...keys, left, excess });
    if (window === undefined) {
      return [];
    }
    left.delete(window);
    excess -= keys.profile.loadOf([window]) / 1_000;
    return [{ ...window, daemon: taker.daemon }];
  });
}

/** What a taker gets: about what it lacks to the target, or one key that is heavier than that. */
function findWindow(
  { own, taker }: { own: OwnerLoad; taker: OwnerLoad },
  keys: {
    profile: LoadProfile;
    left: RangeMap<true>;
    keyless: ReadonlySet<string>;
    target: number;
    excess: number;
  },
): KeyRange | undefined {
  const { profile, left, keyless, target, excess } = keys;
  const room = (target - taker.utilization) * taker.slots;
  const load = Math.min(room, excess) * MOVED_SHARE * 1_000;
  const isShared = keyless.has(taker.daemon);
  if (load <= 0 || load < LEAST_MOVED_MS && !isShared) {
    return undefined;
  }
  const window = profile.findWindow(left.segments, { load });
  if (window !== undefined) {
    return window;
  }
  const heaviest = profile.findHeaviest(left.segments);
  if (heaviest === undefined) {
    return undefined;
  }
  // One key alone brings more than the taker lacks. It is better off there as long as the taker is then
  // less loaded than its owner was; without this the hottest keys never leave the hottest owner.
  const moved = profile.loadOf([heaviest]) / 1_000;
  const remaining = target * own.slots + excess - moved;
  return taker.utilization * taker.slots + moved < remaining
    ? heaviest
    : undefined;
}

/** The utilization if all work were spread over all slots. */
function findMean(owners: readonly OwnerLoad[]): number {
  const slots = owners.reduce((sum, owner) => sum + owner.slots, 0);
  const work = owners.reduce(
    (sum, { utilization, slots }) => sum + utilization * slots,
    0,
  );
  return slots === 0 ? 0 : work / slots;
}
