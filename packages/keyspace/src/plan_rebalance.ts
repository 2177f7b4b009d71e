/**
 * Decides which keys an overutilized backend server moves away, and to which owners.
 *
 * It is designed for two kinds of load: a few adjacent keys get a third of all requests within a second while the other
 * backend servers have headroom; and one key gets more requests than any one server can serve.
 *
 * @module
 */
import {
  allocateHeadroom,
  type BalancedLoad,
  balanceLoads,
  findTargetUtilization,
  mayBeSource,
  MIN_HEADROOM,
  type MoveAllocation,
  OVERLOADED_UTILIZATION,
  type OwnerLoad,
} from "./balance_loads.ts";
import type { LoadProfile } from "./load_profile.ts";
import { type KeyRange, RangeMap } from "./range_map.ts";

/** Share of the allocated work that is moved at once, so that source and recipient don't swap loads. */
const MOVED_SHARE = 0.8;
/** The same for an overloaded owner: it refuses requests until the last round of moves is done. */
const MOVED_SHARE_OVERLOADED = 1;
/**
 * Minimum work that is worth a move, in milliseconds of slot time per second: one or two requests. Below it the profile
 * shows random variation rather than load, and moves by chance would split the key space into single keys. At an owner
 * that can keep less than one slot busy, it is this share of what it can.
 */
const MIN_MOVED_WORK_MS = MIN_HEADROOM * 1_000;
/**
 * A key is heavy from this share of its owner's capacity on. It is below 1 since the profile lags: a key that has
 * just become hot would otherwise be detected only after a round of other moves, a second later.
 */
const HEAVY_KEY_SHARE = 0.5;
/** A heavy key moves only to an owner whose utilization with it is below this multiple of the source's. */
const MAX_RELATIVE_UTILIZATION = 0.75;

/** A move of keys to another owner. */
export interface PlannedMove extends KeyRange {
  readonly daemon: string;
  /** Work that the keys will cause there, in milliseconds of slot time per second. */
  readonly load: number;
}

/** The keys of the owner that plans. */
interface OwnKeys {
  readonly ranges: readonly KeyRange[];
  /** The work that each key causes. */
  readonly profile: LoadProfile;
  /** Owners without keys. */
  readonly keyless: ReadonlySet<string>;
}

/**
 * Plans moves from one owner to others below the target utilization. Each recipient gets as few keys as possible:
 * the cost of a move depends on the number of keys and not on their work.
 *
 * Every source plans independently, from the same load reports, and uses only its own part of each recipient's
 * headroom (`allocateHeadroom`). If every one filled the least loaded owner, that would be the most loaded a second
 * later.
 *
 * @param own the load of the owner that may move keys away.
 * @param others the owners that may receive keys.
 */
export function planRebalance(
  own: OwnerLoad,
  others: readonly OwnerLoad[],
  keys: OwnKeys,
): PlannedMove[] {
  if (!mayBeSource(own, keys.keyless)) {
    return [];
  }
  const owners = balanceLoads([own, ...others]);
  const source = owners.find(({ daemon }) => daemon === own.daemon)!;
  const heavyKey = findHeavyKey(source, keys);
  const heavyKeyRecipient = heavyKey === undefined
    ? undefined
    : findRecipientOf(heavyKey, { source, owners, profile: keys.profile });
  if (heavyKey !== undefined && heavyKeyRecipient !== undefined) {
    return [
      createMove(heavyKey, {
        source,
        recipient: heavyKeyRecipient,
        profile: keys.profile,
      }),
    ];
  }
  const target = findTargetUtilization(owners);
  const allocations = allocateHeadroom(source, {
    owners,
    target,
    keyless: keys.keyless,
  });
  return divideKeys({ source, allocations, heavyKey }, keys);
}

/**
 * The one key, if there is one, that causes most of an overloaded owner's work. A key can't be split, so it belongs on
 * the server that can do most of its work, with as few other keys as possible.
 */
function findHeavyKey(
  source: BalancedLoad,
  { ranges, profile }: OwnKeys,
): KeyRange | undefined {
  // Where the whole load may be overestimated by chance, the load of a key is, too.
  if (source.utilization - source.deviation <= OVERLOADED_UTILIZATION) {
    return undefined;
  }
  const heaviest = profile.findHeaviestKey(ranges);
  return heaviest !== undefined &&
      loadAt(heaviest, { source, profile }) >
        source.capacity * HEAVY_KEY_SHARE
    ? heaviest
    : undefined;
}

/**
 * The owner that would be the least utilized with a key, if it is clearly less utilized than the key's owner is now.
 */
function findRecipientOf(
  key: KeyRange,
  fleet: {
    source: BalancedLoad;
    owners: readonly BalancedLoad[];
    profile: LoadProfile;
  },
): BalancedLoad | undefined {
  const { source, owners } = fleet;
  const load = loadAt(key, fleet);
  const utilizationWith = ({ utilization, capacity }: BalancedLoad) =>
    utilization + load / capacity;
  const [best] = owners
    .filter((owner) => owner !== source)
    .toSorted((left, right) => utilizationWith(left) - utilizationWith(right));
  return best !== undefined &&
      utilizationWith(best) < source.utilization * MAX_RELATIVE_UTILIZATION
    ? best
    : undefined;
}

/** Divides the source's keys among the recipients; a heavy key without a better owner stays. */
function divideKeys(
  plan: {
    source: BalancedLoad;
    allocations: readonly MoveAllocation[];
    heavyKey: KeyRange | undefined;
  },
  { ranges, profile, keyless }: OwnKeys,
): PlannedMove[] {
  const { source, allocations, heavyKey } = plan;
  const movable = RangeMap.create<true>();
  ranges.forEach((range) => movable.set(range, true));
  if (heavyKey !== undefined) {
    movable.delete(heavyKey);
  }
  let remainingLoad = source.utilization * source.capacity;
  return allocations.flatMap((allocation) => {
    const isKeyless = keyless.has(allocation.recipient.daemon);
    const window = findWindow(
      { source, allocation, isKeyless },
      { profile, movable, remainingLoad },
    );
    if (window === undefined) {
      return [];
    }
    movable.delete(window);
    remainingLoad -= loadAt(window, { source, profile });
    return [
      createMove(window, { source, recipient: allocation.recipient, profile }),
    ];
  });
}

/**
 * Chooses the keys of one move: a window with about the allocated work; else one heavier key; else the window with the
 * most work up to the allocation.
 */
function findWindow(
  move: {
    source: BalancedLoad;
    allocation: MoveAllocation;
    isKeyless: boolean;
  },
  keys: {
    profile: LoadProfile;
    movable: RangeMap<true>;
    remainingLoad: number;
  },
): KeyRange | undefined {
  const { source, allocation, isKeyless } = move;
  const { profile, movable, remainingLoad } = keys;
  const movedShare = source.utilization > OVERLOADED_UTILIZATION
    ? MOVED_SHARE_OVERLOADED
    : MOVED_SHARE;
  const load = allocation.amount * movedShare * source.slowness * 1_000;
  const minMovedWorkMs = MIN_MOVED_WORK_MS * Math.min(1, source.slots);
  if (load < minMovedWorkMs && !isKeyless) {
    return undefined;
  }
  const window = profile.findSmallestWindow(movable.segments, { load });
  if (window !== undefined) {
    return window;
  }
  const heaviest = profile.findHeaviestKey(movable.segments);
  if (
    heaviest !== undefined &&
    isBetterAtRecipient(heaviest, { move, profile, remainingLoad })
  ) {
    return heaviest;
  }
  const heaviestWindow = profile.findHeaviestWindow(movable.segments, { load });
  return heaviestWindow !== undefined &&
      profile.loadOf([heaviestWindow]) >= minMovedWorkMs
    ? heaviestWindow
    : undefined;
}

/**
 * Whether a key with more work than the recipient's headroom should still move, since the recipient would then be less
 * utilized than the source. Without this the hottest keys never move away from the hottest owner.
 */
function isBetterAtRecipient(
  key: KeyRange,
  plan: {
    move: { source: BalancedLoad; allocation: MoveAllocation };
    profile: LoadProfile;
    remainingLoad: number;
  },
): boolean {
  const {
    move: { source, allocation: { recipient } },
    profile,
    remainingLoad,
  } = plan;
  const load = loadAt(key, { source, profile });
  const recipientUtilization = recipient.utilization +
    load / recipient.capacity;
  return recipientUtilization < (remainingLoad - load) / source.capacity;
}

/** The work of keys, in slots of an owner of average speed. */
function loadAt(
  range: KeyRange,
  at: { source: BalancedLoad; profile: LoadProfile },
): number {
  return at.profile.loadOf([range]) / 1_000 / at.source.slowness;
}

function createMove(
  range: KeyRange,
  move: {
    source: BalancedLoad;
    recipient: BalancedLoad;
    profile: LoadProfile;
  },
): PlannedMove {
  const { source, recipient, profile } = move;
  const load = loadAt(range, { source, profile }) * recipient.slowness * 1_000;
  return { from: range.from, to: range.to, daemon: recipient.daemon, load };
}
