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
/** Share of the distance to the target that is moved at once, so that loads don't swap places. */
const MOVED_SHARE = 0.8;
/** The same for an overloaded owner: it refuses requests until the last round of moves is done. */
const MOVED_SHARE_OVERLOADED = 1;
/** An owner sheds to one without any keys from this utilization on, so that it takes part at all. */
const SHARING_UTILIZATION = 0.05;
/**
 * The least work that is worth a move, in milliseconds of a slot a second: a request or two. Below it the
 * profile shows chance and not load, and moves by chance cut the key space into single keys.
 */
const LEAST_MOVED_MS = 350;
/** An owner above this refuses requests; others are better filled up beyond the mean than that. */
const OVERLOADED_UTILIZATION = 1;
/** While one is overloaded, others are filled up to this utilization at least, also beyond the mean. */
const FULL_UTILIZATION = 0.8;
/**
 * Owners are brought to the mean of all, but not above this utilization. Under overload all are then overloaded
 * alike, and none rests while another refuses; filled up further they would only refuse, too. It is above 1
 * since callers that come back after a refusal are counted again.
 */
const LARGEST_TARGET = 1.3;

/** The load of one owner of keys. */
export interface OwnerLoad {
  readonly daemon: string;
  /** Work offered for each slot: 1 keeps all slots busy, more can't be served. */
  readonly utilization: number;
  readonly slots: number;
  /** Usual time of a request, in milliseconds; 0 where none was served yet. */
  readonly serviceMs: number;
}

/** A move of keys to another owner. */
export interface PlannedMove extends KeyRange {
  readonly daemon: string;
  /** Work that the keys will bring there, in milliseconds of a slot a second. */
  readonly load: number;
}

/**
 * Plans moves from one hot owner to those below the target. Each taker gets the fewest keys: a move costs by
 * keys and not by their work.
 *
 * Every hot owner plans for itself, from the same reports, and gives each taker only the part of its room that
 * falls to itself (`shareRoom`). If each filled the coolest one, that would be the hottest a second later.
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
  const owners = balance([own, ...others]);
  const target = findTarget(owners);
  const giver = owners.find(({ daemon }) => daemon === own.daemon)!;
  const shares = shareRoom(giver, { owners, target, keyless: keys.keyless });
  return divide(giver, shares, { ...keys, target });
}

/** An owner's load beside that of the others. */
interface BalancedLoad {
  readonly daemon: string;
  readonly utilization: number;
  /** Work that it can do, in slots of an owner of average speed. */
  readonly capacity: number;
  /** Time of a request there, as a multiple of the mean. */
  readonly slowness: number;
}

/** What one taker gets from one giver. */
interface Share {
  readonly taker: BalancedLoad;
  /** In slots of an owner of average speed. */
  readonly amount: number;
}

/** Takes into account that owners are of different speeds: the same keys fill a slow one more. */
function balance(owners: readonly OwnerLoad[]): BalancedLoad[] {
  const times = owners
    .map(({ serviceMs }) => serviceMs)
    .filter((serviceMs) => serviceMs > 0);
  const meanMs = times.reduce((sum, ms) => sum + ms, 0) / times.length;
  return owners.map(({ daemon, utilization, slots, serviceMs }) => {
    const slowness = serviceMs > 0 ? serviceMs / meanMs : 1;
    return { daemon, utilization, slowness, capacity: slots / slowness };
  });
}

/** The utilization of all if each had work as it can do it, within the bound. */
function findTarget(owners: readonly BalancedLoad[]): number {
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
function shareRoom(
  giver: BalancedLoad,
  fleet: {
    owners: readonly BalancedLoad[];
    target: number;
    keyless: ReadonlySet<string>;
  },
): Share[] {
  const { owners, target, keyless } = fleet;
  const isNewcomerThere = owners.some(({ daemon }) => keyless.has(daemon));
  const excessOf = ({ utilization, capacity }: BalancedLoad) =>
    isHot(utilization, { target, isNewcomerThere })
      ? (utilization - target) * capacity
      : 0;
  const roomOf = ({ daemon, utilization, capacity }: BalancedLoad) => {
    const room = (target - utilization) * capacity;
    const isTaker = !isNewcomerThere || keyless.has(daemon);
    return isTaker && room * 1_000 >= LEAST_MOVED_MS ? room : 0;
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
  utilization: number,
  fleet: { target: number; isNewcomerThere: boolean },
): boolean {
  const { target, isNewcomerThere } = fleet;
  return isNewcomerThere
    ? utilization > Math.max(SHARING_UTILIZATION, target)
    : utilization > HOT_UTILIZATION &&
      utilization - target > WORTHWHILE_EXCESS;
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

function divide(
  own: BalancedLoad,
  shares: readonly Share[],
  keys: {
    ranges: readonly KeyRange[];
    profile: LoadProfile;
    keyless: ReadonlySet<string>;
    target: number;
  },
): PlannedMove[] {
  const left = RangeMap.create<true>();
  keys.ranges.forEach((range) => left.set(range, true));
  const { slowness, capacity, utilization } = own;
  let remaining = utilization * capacity;
  return shares.flatMap((share) => {
    const window = findWindow({ own, share }, { ...keys, left, remaining });
    if (window === undefined) {
      return [];
    }
    left.delete(window);
    const load = keys.profile.loadOf([window]);
    remaining -= load / 1_000 / slowness;
    const { daemon, slowness: takersSlowness } = share.taker;
    return [{ ...window, daemon, load: load / slowness * takersSlowness }];
  });
}

/** What a taker gets: about its share, or one key that is heavier than that. */
function findWindow(
  { own, share }: { own: BalancedLoad; share: Share },
  keys: {
    profile: LoadProfile;
    left: RangeMap<true>;
    keyless: ReadonlySet<string>;
    remaining: number;
  },
): KeyRange | undefined {
  const { profile, left, keyless, remaining } = keys;
  const { taker, amount } = share;
  const movedShare = own.utilization > OVERLOADED_UTILIZATION
    ? MOVED_SHARE_OVERLOADED
    : MOVED_SHARE;
  const load = amount * movedShare * own.slowness * 1_000;
  if (load < LEAST_MOVED_MS && !keyless.has(taker.daemon)) {
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
  const moved = profile.loadOf([heaviest]) / 1_000 / own.slowness;
  const takersAfter = (taker.utilization * taker.capacity + moved) /
    taker.capacity;
  return takersAfter < (remaining - moved) / own.capacity
    ? heaviest
    : undefined;
}
