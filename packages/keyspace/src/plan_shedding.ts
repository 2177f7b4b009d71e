/**
 * Decides which keys a hot backend server sheds, and to whom.
 *
 * @module
 */
import type { LoadProfile } from "./load_profile.ts";
import type { KeyRange } from "./range_map.ts";

/**
 * An owner sheds only while its utilization is above this: below it no request waits long, and a move
 * would cost more than it brings.
 */
const HOT_UTILIZATION = 0.7;
/** The least difference of utilization that is worth a move. */
const WORTHWHILE_DIFFERENCE = 0.25;
/** Share of the difference that is moved at once; less than half, so that loads don't swap places. */
const MOVED_SHARE = 0.4;

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
 * Plans at most one move from one hot owner to the coolest other one.
 *
 * @param own the load of the owner that may shed.
 * @param others the owners that may take keys.
 */
export function planShedding(
  own: OwnerLoad,
  others: readonly OwnerLoad[],
  keys: { ranges: readonly KeyRange[]; profile: LoadProfile },
): PlannedMove | undefined {
  if (own.utilization < HOT_UTILIZATION || others.length === 0) {
    return undefined;
  }
  const coolest = others.reduce((best, other) =>
    other.utilization < best.utilization ? other : best
  );
  const difference = own.utilization - coolest.utilization;
  if (difference < WORTHWHILE_DIFFERENCE) {
    return undefined;
  }
  const slots = Math.min(own.slots, coolest.slots);
  const load = difference * MOVED_SHARE * slots * 1_000;
  const window = keys.profile.findWindow(keys.ranges, { load });
  return window === undefined
    ? undefined
    : { ...window, daemon: coolest.daemon };
}
