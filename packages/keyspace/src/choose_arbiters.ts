/**
 * Chooses the daemons that are arbiters of the ownership of a service.
 *
 * @module
 */

/**
 * Number of arbiters. With one, its loss would make each takeover wait for the maximum ownership lease; with more, more
 * daemons would have to be up for ownership to survive an outage of the store.
 */
const ARBITER_COUNT = 2;

/** A daemon that may be an arbiter. */
export interface ArbiterCandidate {
  readonly daemon: string;
  readonly availabilityZone: string;
  /** Whether its backend server belongs to the service, so that it may own keys and have to be taken over itself. */
  readonly isOfService: boolean;
  /** Whether the store is reachable from it; otherwise it can make promises, but can't take an owner over. */
  readonly reachesStore: boolean;
}

/**
 * Chooses arbiters. Current arbiters that are still candidates stay, since a new one is of use only after the maximum
 * ownership lease. The others are daemons of other services, each in an availability zone of its own, as far as
 * possible.
 *
 * @returns the chosen daemons: fewer than `ARBITER_COUNT` where there are not enough candidates.
 */
export function chooseArbiters(
  current: readonly string[],
  candidates: readonly ArbiterCandidate[],
): string[] {
  const ordered = candidates.toSorted((left, right) =>
    Number(left.isOfService) - Number(right.isOfService) ||
    (left.daemon < right.daemon ? -1 : 1)
  );
  const staying = ordered
    .filter(({ daemon }) => current.includes(daemon))
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
  const eligible = ordered.filter((candidate) =>
    candidate.reachesStore && !chosen.includes(candidate)
  );
  const zones = new Set(chosen.map(({ availabilityZone }) => availabilityZone));
  return eligible.find(({ isOfService, availabilityZone }) =>
    !isOfService && !zones.has(availabilityZone)
  ) ?? eligible[0];
}
