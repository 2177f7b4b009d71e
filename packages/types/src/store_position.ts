/**
 * One order for everything that the store says, also when it comes back from an older copy of itself.
 *
 * A store that went back gives out revisions again. Whoever compared them alone would take all changes since for older
 * than what it knows. So a revision counts within its era: the store's own count of how often it went back.
 *
 * @module
 */

/**
 * How many revisions an era is ahead of the one before. It must be more than a store can lose by going back; the
 * products that fencing tokens and seals are made of must stay exact as numbers: 2^53 over the 2^16 names of seals of one
 * revision leaves 2^37, for 2,000 eras and more writes than a century brings.
 */
const REVISIONS_PER_ERA = 2 ** 26;

/** Where the store stood at a moment. */
export interface StorePosition {
  /** How often the store had gone back. */
  readonly era: number;
  /** The store's own count of its changes. */
  readonly revision: number;
}

/** A number that rises with each change and over eras; 0 for what is not there. */
export function toMonotonicRevision({ era, revision }: StorePosition): number {
  return revision === 0 ? 0 : era * REVISIONS_PER_ERA + revision;
}

/** The store's own revision by its order in an era; `undefined` for one of an earlier era. */
export function toStoreRevision(
  order: number,
  era: number,
): number | undefined {
  if (order === 0) {
    return 0;
  }
  const revision = order - era * REVISIONS_PER_ERA;
  return revision > 0 ? revision : undefined;
}
