/**
 * Decides which keys a hot backend server sheds, and to whom.
 *
 * The loads it answers: a few neighbouring keys get a third of all requests within a second, while the
 * other backend servers have room; and one key gets more than any one server can do.
 *
 * @module
 */
import {
  allocateHeadroom,
  type BalancedLoad,
  balanceLoads,
  findTargetUtilization,
  MIN_HEADROOM,
  type MoveAllocation,
  OVERLOADED_UTILIZATION,
  type OwnerLoad,
} from "./balance_loads.ts";
import type { LoadProfile } from "./load_profile.ts";
import { type KeyRange, RangeMap } from "./range_map.ts";

/** Share of the distance to the target that is moved at once, so that loads don't swap places. */
const MOVED_SHARE = 0.8;
/** The same for an overloaded owner: it refuses requests until the last round of moves is done. */
const MOVED_SHARE_OVERLOADED = 1;
/**
 * The least work that is worth a move, in milliseconds of a slot a second: a request or two. Below it the
 * profile shows chance and not load, and moves by chance cut the key space into single keys.
 */
const LEAST_MOVED_MS = MIN_HEADROOM * 1_000;
/**
 * A key is heavy from this share of what its owner can do. Below 1, since the profile lags: a key that has just
 * become hot would be noticed only after a round of other moves, a second later.
 */
const HEAVY_SHARE = 0.5;
/** A heavy key moves only to an owner that then has at most this share of its owner's utilization. */
const WORTHWHILE_RELIEF = 0.75;

/** A move of keys to another owner. */
export interface PlannedMove extends KeyRange {
  readonly daemon: string;
  /** Work that the keys will bring there, in milliseconds of a slot a second. */
  readonly load: number;
}

/** The keys of the owner that plans. */
interface OwnKeys {
  readonly ranges: readonly KeyRange[];
  /** The work that each key brings. */
  readonly profile: LoadProfile;
  /** Owners that have no keys yet. */
  readonly keyless: ReadonlySet<string>;
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
 */
export function planRebalance(
  own: OwnerLoad,
  others: readonly OwnerLoad[],
  keys: OwnKeys,
): PlannedMove[] {
  const owners = balanceLoads([own, ...others]);
  const giver = owners.find(({ daemon }) => daemon === own.daemon)!;
  const heavy = findHeavyKey(giver, keys);
  const place = heavy === undefined
    ? undefined
    : findPlaceFor(heavy, { giver, owners, profile: keys.profile });
  if (heavy !== undefined && place !== undefined) {
    return [createMove(heavy, { giver, taker: place, profile: keys.profile })];
  }
  const target = findTargetUtilization(owners);
  const shares = allocateHeadroom(giver, {
    owners,
    target,
    keyless: keys.keyless,
  });
  return divide({ giver, shares, heavy }, keys);
}

/**
 * The one key, if there is one, that fills an overloaded owner almost alone. A key can't be shared, so it belongs
 * on the server that can do most of it, with as little beside it as possible.
 */
function findHeavyKey(
  giver: BalancedLoad,
  { ranges, profile }: OwnKeys,
): KeyRange | undefined {
  // A key looks heavy by chance most easily where the whole load does.
  if (giver.utilization - giver.deviation <= OVERLOADED_UTILIZATION) {
    return undefined;
  }
  const heaviest = profile.findHeaviest(ranges);
  return heaviest !== undefined &&
      loadAt(heaviest, { giver, profile }) > giver.capacity * HEAVY_SHARE
    ? heaviest
    : undefined;
}

/** The owner that would be the least loaded with a key, if that is clearly better than where the key is. */
function findPlaceFor(
  key: KeyRange,
  fleet: {
    giver: BalancedLoad;
    owners: readonly BalancedLoad[];
    profile: LoadProfile;
  },
): BalancedLoad | undefined {
  const { giver, owners } = fleet;
  const load = loadAt(key, fleet);
  const utilizationWith = ({ utilization, capacity }: BalancedLoad) =>
    utilization + load / capacity;
  const [best] = owners
    .filter((owner) => owner !== giver)
    .toSorted((left, right) => utilizationWith(left) - utilizationWith(right));
  return best !== undefined &&
      utilizationWith(best) < giver.utilization * WORTHWHILE_RELIEF
    ? best
    : undefined;
}

/** Divides the giver's keys among the takers; a heavy key that is best where it is stays. */
function divide(
  plan: {
    giver: BalancedLoad;
    shares: readonly MoveAllocation[];
    heavy: KeyRange | undefined;
  },
  { ranges, profile, keyless }: OwnKeys,
): PlannedMove[] {
  const { giver, shares, heavy } = plan;
  const left = RangeMap.create<true>();
  ranges.forEach((range) => left.set(range, true));
  if (heavy !== undefined) {
    left.delete(heavy);
  }
  let remaining = giver.utilization * giver.capacity;
  return shares.flatMap((share) => {
    const isNewcomer = keyless.has(share.taker.daemon);
    const window = findWindow(
      { giver, share, isNewcomer },
      { profile, left, remaining },
    );
    if (window === undefined) {
      return [];
    }
    left.delete(window);
    remaining -= loadAt(window, { giver, profile });
    return [createMove(window, { giver, taker: share.taker, profile })];
  });
}

/** What a taker gets: about its share, else one key that is heavier than that, else what there is. */
function findWindow(
  to: { giver: BalancedLoad; share: MoveAllocation; isNewcomer: boolean },
  keys: { profile: LoadProfile; left: RangeMap<true>; remaining: number },
): KeyRange | undefined {
  const { giver, share, isNewcomer } = to;
  const { profile, left, remaining } = keys;
  const movedShare = giver.utilization > OVERLOADED_UTILIZATION
    ? MOVED_SHARE_OVERLOADED
    : MOVED_SHARE;
  const load = share.amount * movedShare * giver.slowness * 1_000;
  if (load < LEAST_MOVED_MS && !isNewcomer) {
    return undefined;
  }
  const window = profile.findWindow(left.segments, { load });
  if (window !== undefined) {
    return window;
  }
  const heaviest = profile.findHeaviest(left.segments);
  if (
    heaviest !== undefined && relieves(heaviest, { to, profile, remaining })
  ) {
    return heaviest;
  }
  const largest = profile.findLargest(left.segments, { load });
  return largest !== undefined && profile.loadOf([largest]) >= LEAST_MOVED_MS
    ? largest
    : undefined;
}

/**
 * Whether a key that brings more than the taker lacks is better off there: the taker is then less loaded than
 * its owner is. Without this the hottest keys never leave the hottest owner.
 */
function relieves(
  key: KeyRange,
  move: {
    to: { giver: BalancedLoad; share: MoveAllocation };
    profile: LoadProfile;
    remaining: number;
  },
): boolean {
  const { to: { giver, share: { taker } }, profile, remaining } = move;
  const load = loadAt(key, { giver, profile });
  const takersAfter = taker.utilization + load / taker.capacity;
  return takersAfter < (remaining - load) / giver.capacity;
}

/** The work of keys, in slots of an owner of average speed. */
function loadAt(
  range: KeyRange,
  at: { giver: BalancedLoad; profile: LoadProfile },
): number {
  return at.profile.loadOf([range]) / 1_000 / at.giver.slowness;
}

function createMove(
  range: KeyRange,
  move: { giver: BalancedLoad; taker: BalancedLoad; profile: LoadProfile },
): PlannedMove {
  const { giver, taker, profile } = move;
  const load = loadAt(range, { giver, profile }) * taker.slowness * 1_000;
  return { from: range.from, to: range.to, daemon: taker.daemon, load };
}
