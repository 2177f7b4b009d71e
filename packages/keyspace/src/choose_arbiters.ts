/**
 * Decides which daemons are arbiters of the ownership of a service.
 *
 * @module
 */

/**
 * How many there are. With one, its loss would make each takeover wait for the longest tenure; with more, an
 * outage of the store is survived only if more daemons live.
 */
const ARBITER_COUNT = 2;

/** A daemon that may be an arbiter. */
export interface ArbiterCandidate {
  readonly daemon: string;
  readonly availabilityZone: string;
  /** Whether its backend server owns keys: then it may be the one that is to be taken over. */
  readonly isOwner: boolean;
  /** Whether it reaches the store; one that does not can promise, but take nobody over. */
  readonly reachesStore: boolean;
}

/**
 * Chooses arbiters: those who are it and live stay, since a new one is of use only after the longest tenure; the
 * others are daemons without keys, each in a zone of its own, as far as there are such.
 */
export function chooseArbiters(
  present: readonly string[],
  candidates: readonly ArbiterCandidate[],
): string[] {
  const ordered = candidates.toSorted((left, right) =>
    Number(left.isOwner) - Number(right.isOwner) ||
    (left.daemon < right.daemon ? -1 : 1)
  );
  const staying = ordered
    .filter(({ daemon }) => present.includes(daemon))
    .slice(0, ARBITER_COUNT);
  const missing = Array.from({ length: ARBITER_COUNT - staying.length });
  return missing
    .reduce<ArbiterCandidate[]>((chosen) => {
      const next = findNext(chosen, ordered);
      return next === undefined ? chosen : [...chosen, next];
    }, staying)
    .map(({ daemon }) => daemon);
}

function findNext(
  chosen: readonly ArbiterCandidate[],
  ordered: readonly ArbiterCandidate[],
): ArbiterCandidate | undefined {
  const free = ordered.filter((candidate) =>
    candidate.reachesStore && !chosen.includes(candidate)
  );
  const zones = new Set(chosen.map(({ availabilityZone }) => availabilityZone));
  return free.find(({ isOwner, availabilityZone }) =>
    !isOwner && !zones.has(availabilityZone)
  ) ?? free[0];
}
