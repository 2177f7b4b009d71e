/**
 * Joins neighbouring ranges of one backend server under a common fencing token, and fits a grant into a response of
 * limited size.
 *
 * @module
 */
import { type KeyRange, sizeOf } from "./range_map.ts";

/** A range that is to be granted. */
export interface JoinableRange extends KeyRange {
  readonly token: number;
  readonly handover: string;
  /** Whether the running incarnation has reported that it holds the range under this token. */
  readonly isHeld: boolean;
}

/** How much a response to a heartbeat can hold. */
export interface GrantLimit {
  /** Maximum total size of the ranges in a response, in bytes. */
  readonly bytes: number;
  /** Size of a range in a response, in bytes. */
  readonly measure: (range: Omit<JoinableRange, "isHeld">) => number;
}

/** A grant that fits a response. */
export interface FittedGrant {
  readonly ranges: readonly JoinableRange[];
  /** The ranges that don't fit. */
  readonly excess: readonly JoinableRange[];
}

/**
 * Joins neighbouring ranges that are held until at most `maxCount` remain, if possible. Those pairs come first whose
 * join raises the token on the fewest keys.
 *
 * A backend server keeps the keys that it holds when their token is raised. Without joins, each move and each server
 * that leaves adds ranges with tokens of their own, and the response that lists them grows for as long as the service
 * exists.
 *
 * @param ranges disjoint ranges in ascending order.
 */
export function joinHeldRanges(
  ranges: readonly JoinableRange[],
  maxCount: number,
): readonly JoinableRange[] {
  const limit = { bytes: maxCount, measure: () => 1 };
  return joinToFit(
    ranges,
    limit,
    ({ left, right }) => left.isHeld && right.isHeld,
  ).ranges;
}

/**
 * Fits ranges into a response. First neighbours are joined, also those that are not held yet: their handovers don't
 * count then, so the backend server is slow on them for a while. If that does not suffice, the smallest ranges are left
 * out.
 *
 * A backend server takes a response beyond its limit for none, so its holds would expire, and all its keys would be lost.
 */
export function fitRanges(
  ranges: readonly JoinableRange[],
  limit: GrantLimit,
): FittedGrant {
  const { ranges: joined, totalBytes } = joinToFit(ranges, limit, () => true);
  if (totalBytes <= limit.bytes) {
    return { ranges: joined, excess: [] };
  }
  const included = new Set<JoinableRange>();
  let remainingBytes = limit.bytes;
  joined.toSorted((left, right) => sizeOf(right) - sizeOf(left))
    .forEach((range) => {
      const bytes = limit.measure(range);
      if (bytes <= remainingBytes) {
        remainingBytes -= bytes;
        included.add(range);
      }
    });
  return {
    ranges: joined.filter((range) => included.has(range)),
    excess: joined.filter((range) => !included.has(range)),
  };
}

interface Pair {
  readonly left: JoinableRange;
  readonly right: JoinableRange;
}

/** Joins pairs of neighbours until the ranges fit a limit, or no pair may be joined. */
function joinToFit(
  ranges: readonly JoinableRange[],
  limit: GrantLimit,
  mayJoin: (pair: Pair) => boolean,
): { ranges: readonly JoinableRange[]; totalBytes: number } {
  let joined = ranges;
  let totalBytes = ranges.reduce((sum, one) => sum + limit.measure(one), 0);
  while (totalBytes > limit.bytes) {
    const index = findCheapestJoin(joined, mayJoin);
    if (index === undefined) {
      break;
    }
    const [left, right] = [joined[index]!, joined[index + 1]!];
    const pair = join({ left, right });
    totalBytes += limit.measure(pair) - limit.measure(left) -
      limit.measure(right);
    joined = joined.toSpliced(index, 2, pair);
  }
  return { ranges: joined, totalBytes };
}

/** The index of the first range of the pair whose join raises the token on the fewest keys. */
function findCheapestJoin(
  ranges: readonly JoinableRange[],
  mayJoin: (pair: Pair) => boolean,
): number | undefined {
  let cheapest: { index: number; raisedKeys: number } | undefined;
  ranges.slice(1).forEach((right, index) => {
    const pair = { left: ranges[index]!, right };
    if (pair.left.to + 1 !== right.from || !mayJoin(pair)) {
      return;
    }
    const raisedKeys = countRaisedKeys(pair);
    if (raisedKeys < (cheapest?.raisedKeys ?? Infinity)) {
      cheapest = { index, raisedKeys };
    }
  });
  return cheapest?.index;
}

function countRaisedKeys({ left, right }: Pair): number {
  const token = Math.max(left.token, right.token);
  return [left, right]
    .filter((range) => range.token < token)
    .reduce((sum, range) => sum + sizeOf(range), 0);
}

function join({ left, right }: Pair): JoinableRange {
  return {
    from: left.from,
    to: right.to,
    token: Math.max(left.token, right.token),
    handover: "",
    isHeld: left.isHeld && right.isHeld,
  };
}
