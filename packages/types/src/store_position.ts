/**
 * Combines the store's era and revision into one number that keeps rising when the store is restored from an older
 * snapshot.
 *
 * A restored store issues the same revisions again. Comparing revisions alone would make every later change look older
 * than the records already known. A revision is therefore compared within its era, which is the store's own count of
 * its restores.
 *
 * @module
 */

/**
 * Distance between two successive eras, in revisions. It must exceed the number of revisions that a restore can lose.
 * Fencing tokens and seal identifiers are products of the combined number and must stay exact integers: 2^53 divided by
 * the 2^16 seal identifiers of one revision leaves 2^37, enough for 2,000 eras and for more writes than occur in a
 * century.
 */
const REVISIONS_PER_ERA = 2 ** 26;

/** A point in the history of the store. */
export interface StorePosition {
  /** How often the store had been restored from an older snapshot. */
  readonly era: number;
  /** The store's own revision number; 0 for a record that does not exist. */
  readonly revision: number;
}

/**
 * Converts a position to a monotonic revision, which rises with every change, also across eras.
 *
 * @returns the monotonic revision, or 0 for revision 0 (no record).
 */
export function toMonotonicRevision({ era, revision }: StorePosition): number {
  return revision === 0 ? 0 : era * REVISIONS_PER_ERA + revision;
}

/**
 * Converts a monotonic revision back to the store's own revision in the given era.
 *
 * @returns the store's revision, 0 for 0, or `undefined` for a revision of an earlier era.
 */
export function toStoreRevision(
  monotonicRevision: number,
  era: number,
): number | undefined {
  if (monotonicRevision === 0) {
    return 0;
  }
  const revision = monotonicRevision - era * REVISIONS_PER_ERA;
  return revision > 0 ? revision : undefined;
}
