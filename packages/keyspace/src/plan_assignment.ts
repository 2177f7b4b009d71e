/**
 * Decides which owners get keys without an owner, and when the keys of a new service are assigned for the first time.
 *
 * @module
 */
import type { Assignment, OwnershipRecord } from "./ownership_record.ts";
import { type KeyRange, RangeMap, sizeOf } from "./range_map.ts";

/**
 * Maximum time for which the first assignment of a service waits for all its backend servers to announce themselves, in
 * milliseconds: they start one after the other, within seconds.
 */
const FIRST_ASSIGNMENT_TIMEOUT_MS = 6_000;
/** Ranges up to this part of the smallest candidate's share of keys are assigned to the owner of a neighbouring range. */
const MAX_JOINED_PART = 0.02;
/** Part of its share by which a candidate may exceed it with such ranges. */
const MAX_JOINED_EXCESS = 0.05;

/** What a daemon has observed of a service none of whose keys has had an owner yet. */
export interface FirstAssignmentState {
  /** Known daemons that are not alive: no report of them was received yet, or they have become unresponsive. */
  readonly absentDaemons: number;
  /** Daemons on whose hosts a backend server of the service has not announced itself yet. */
  readonly unannouncedBackends: number;
  /** Backend servers that can own keys. */
  readonly candidates: number;
  /** How long the daemon has been running, in milliseconds. */
  readonly uptimeMs: number;
}

/**
 * Whether the keys of a service are to be assigned for the first time. If they were assigned to the servers that start
 * first, the later ones would have no keys, and the first ones would be overloaded until keys have moved, each of them
 * cold.
 */
export function isFirstAssignmentDue(state: FirstAssignmentState): boolean {
  const { absentDaemons, unannouncedBackends, candidates, uptimeMs } = state;
  const isComplete = absentDaemons === 0 && unannouncedBackends === 0;
  return candidates > 0 &&
    (isComplete || uptimeMs >= FIRST_ASSIGNMENT_TIMEOUT_MS);
}

/** A backend server that may own keys. */
export interface Candidate {
  readonly daemon: string;
  /** Relative capacity, for example its slots. */
  readonly weight: number;
}

/**
 * Assigns each range without an owner to the candidates with the largest deficit relative to their share of keys. Small
 * ranges are assigned to the owner of a neighbouring range, if it does not exceed its share by much: otherwise the ranges
 * of a fleet that moves keys and replaces servers alternate more and more, and each owner's grant grows.
 *
 * @returns no assignment where there is no candidate with a positive weight.
 */
export function assignUnowned(
  record: OwnershipRecord,
  unowned: readonly KeyRange[],
  candidates: readonly Candidate[],
): Assignment[] {
  const eligible = candidates.filter(({ weight }) => weight > 0);
  if (eligible.length === 0) {
    return [];
  }
  const totalWeight = eligible.reduce((sum, { weight }) => sum + weight, 0);
  const owned = new Map(
    eligible.map(({ daemon }) => [daemon, countKeys(record, daemon)]),
  );
  const keyCount = [...owned.values()].reduce((sum, count) => sum + count, 0) +
    unowned.reduce((sum, range) => sum + sizeOf(range), 0);
  const shares = new Map(
    eligible.map((
      { daemon, weight },
    ) => [daemon, (keyCount * weight) / totalWeight]),
  );
  const deficits = new Map(
    [...shares].map((
      [daemon, share],
    ) => [daemon, share - (owned.get(daemon) ?? 0)]),
  );
  const smallSize = Math.min(...shares.values()) * MAX_JOINED_PART;
  const isSmall = (range: KeyRange) => sizeOf(range) <= smallSize;
  const divided = unowned.filter((range) => !isSmall(range))
    .flatMap((range) => divideRange(range, deficits));
  const owners = RangeMap.createFrom(
    record.segments.map(({ from, to, value: { daemon } }) => ({
      from,
      to,
      value: daemon,
    })),
  );
  divided.forEach((assignment) => owners.set(assignment, assignment.daemon));
  const joined = unowned.filter(isSmall).flatMap((range) => {
    const assignments =
      assignToNeighbour(range, { owners, shares, deficits }) ??
        divideRange(range, deficits);
    assignments.forEach((assignment) =>
      owners.set(assignment, assignment.daemon)
    );
    return assignments;
  });
  return [...divided, ...joined].toSorted((left, right) =>
    left.from - right.from
  );
}

/** Assigns a range to the neighbouring owner with the larger deficit, and updates the deficits; `undefined` if none may. */
function assignToNeighbour(
  range: KeyRange,
  state: {
    owners: RangeMap<string>;
    shares: ReadonlyMap<string, number>;
    deficits: Map<string, number>;
  },
): Assignment[] | undefined {
  const { owners, shares, deficits } = state;
  const { from, to } = range;
  const count = sizeOf(range);
  const [neighbour] = [owners.get(from - 1), owners.get(to + 1)]
    .flatMap((daemon) => daemon ?? [])
    .filter((daemon) =>
      (deficits.get(daemon) ?? -Infinity) - count >=
        -MAX_JOINED_EXCESS * (shares.get(daemon) ?? 0)
    )
    .toSorted((left, right) => deficits.get(right)! - deficits.get(left)!);
  if (neighbour === undefined) {
    return undefined;
  }
  deficits.set(neighbour, deficits.get(neighbour)! - count);
  return [{ from, to, daemon: neighbour, handover: "" }];
}

/** Divides a range among the candidates by their deficits, largest deficit first, and updates the deficits. */
function divideRange(
  range: KeyRange,
  deficits: Map<string, number>,
): Assignment[] {
  const assignments: Assignment[] = [];
  let from = range.from;
  while (from <= range.to) {
    const [daemon, deficit] = [...deficits].reduce((best, entry) =>
      entry[1] > best[1] ? entry : best
    );
    const count = Math.min(
      range.to - from + 1,
      Math.max(1, Math.round(deficit)),
    );
    assignments.push({ from, to: from + count - 1, daemon, handover: "" });
    deficits.set(daemon, deficit - count);
    from += count;
  }
  return assignments;
}

function countKeys(record: OwnershipRecord, daemon: string): number {
  return record.rangesOf(daemon).reduce(
    (sum, range) => sum + sizeOf(range),
    0,
  );
}
