/**
 * Decides who gets ranges without an owner, and which ranges move from a hot owner to a cooler one.
 *
 * @module
 */
import type { Assignment, OwnershipRecord } from "./ownership_record.ts";
import { type KeyRange, sizeOf } from "./range_map.ts";

/**
 * The first assignment of a service waits at most so long for all its backend servers to announce
 * themselves, in milliseconds: they start one after the other, within seconds.
 */
const FIRST_ASSIGNMENT_MS = 6_000;

/** What a daemon sees of a service of which no key has had an owner yet. */
export interface FirstAssignmentState {
  /** Daemons that are known by name and were not heard yet. */
  readonly unseenDaemons: number;
  /** Daemons beside a backend server of the service that has not announced itself yet. */
  readonly unannouncedBackends: number;
  /** Backend servers that would take keys. */
  readonly candidates: number;
  /** How long the daemon has been running. */
  readonly uptimeMs: number;
}

/**
 * Whether the keys of a service are given out for the first time. Given out to those that come first,
 * the later ones would have nothing, and the first ones would be overloaded until keys have moved, each
 * of them cold.
 */
export function isFirstAssignmentDue(sight: FirstAssignmentState): boolean {
  const { unseenDaemons, unannouncedBackends, candidates, uptimeMs } = sight;
  const isComplete = unseenDaemons === 0 && unannouncedBackends === 0;
  return candidates > 0 && (isComplete || uptimeMs >= FIRST_ASSIGNMENT_MS);
}

/** A backend server that may own keys. */
export interface Candidate {
  readonly daemon: string;
  /** Relative capacity, for example its slots. */
  readonly weight: number;
}

/**
 * Gives each range without an owner to the candidates that are furthest below their share of keys.
 *
 * @returns no assignment where there is no candidate.
 */
export function assignUnowned(
  record: OwnershipRecord,
  unowned: readonly KeyRange[],
  candidates: readonly Candidate[],
): Assignment[] {
  const takers = candidates.filter(({ weight }) => weight > 0);
  if (takers.length === 0) {
    return [];
  }
  const total = takers.reduce((sum, { weight }) => sum + weight, 0);
  const held = new Map(
    takers.map(({ daemon }) => [daemon, countKeys(record, daemon)]),
  );
  const keys = [...held.values()].reduce((sum, count) => sum + count, 0) +
    unowned.reduce((sum, range) => sum + sizeOf(range), 0);
  const room = new Map(
    takers.map(({ daemon, weight }) => [
      daemon,
      (keys * weight) / total - (held.get(daemon) ?? 0),
    ]),
  );
  return unowned.flatMap((range) => divide(range, room));
}

/** Cuts a range among the candidates with room, largest room first. */
function divide(range: KeyRange, room: Map<string, number>): Assignment[] {
  const assignments: Assignment[] = [];
  let from = range.from;
  while (from <= range.to) {
    const [daemon, space] = [...room].reduce((best, entry) =>
      entry[1] > best[1] ? entry : best
    );
    const count = Math.min(
      range.to - from + 1,
      Math.max(1, Math.round(space)),
    );
    assignments.push({ from, to: from + count - 1, daemon, handover: "" });
    room.set(daemon, space - count);
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
