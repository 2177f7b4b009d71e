/**
 * Expected waits at one backend server, by the rank of a request.
 *
 * @module
 */

/** Maximum number of ranks for which waits are reported; less urgent ranks have the wait of the last one. */
export const MAX_RANK_WAITS = 8;
/** Longest wait that is accepted from another daemon, in milliseconds: far beyond the deadline of any request. */
export const MAX_WAIT_MS = 600_000;

/**
 * Expected waits of requests that arrive now, in milliseconds: the value at index `i` is that of rank `i`, and ranks
 * beyond the last index have the last value. There is at least one value.
 */
export interface RankWaits {
  /** Waits of requests that can still meet their latency objective. */
  readonly onTimeMs: readonly number[];
  /** Waits of requests that miss their objective and run in the slot time that others leave over. */
  readonly lateMs: readonly number[];
}

/** Returns the wait of a rank from one of the lists of {@link RankWaits}; 0 for ranks below 0. */
export function waitOfRank(waitsMs: readonly number[], rank: number): number {
  return rank < 0 ? 0 : waitsMs[Math.min(rank, waitsMs.length - 1)] ?? 0;
}

/** Prepares waits for transmission, in as few values as possible; without waits, both lists are empty. */
export function encodeRankWaits(
  waits: RankWaits | undefined,
): { onTimeMs: number[]; lateMs: number[] } {
  const onTimeMs = encodeWaits(waits?.onTimeMs ?? []);
  const lateMs = encodeWaits(waits?.lateMs ?? []);
  const isSame = lateMs.length === onTimeMs.length &&
    lateMs.every((waitMs, rank) => waitMs === onTimeMs[rank]);
  return { onTimeMs, lateMs: isSame ? [] : lateMs };
}

/** Rounds waits and drops values at the end that equal the one before. */
function encodeWaits(waitsMs: readonly number[]): number[] {
  const rounded = waitsMs.slice(0, MAX_RANK_WAITS).map((waitMs) =>
    Math.min(MAX_WAIT_MS, Math.round(waitMs))
  );
  const last = rounded.at(-1);
  const lastChange = rounded.findLastIndex((waitMs) => waitMs !== last);
  return rounded.slice(0, lastChange + 2);
}

/**
 * Creates waits from two reported lists.
 *
 * @returns `undefined` if no waits are reported. Without late waits, those of requests that are on time apply.
 */
export function toRankWaits(
  onTimeMs: readonly number[],
  lateMs: readonly number[],
): RankWaits | undefined {
  return onTimeMs.length === 0
    ? undefined
    : { onTimeMs, lateMs: lateMs.length === 0 ? onTimeMs : lateMs };
}

/** Whether a value received from another daemon is a list of waits. */
export function isWaitList(value: unknown): value is number[] {
  return Array.isArray(value) && value.length <= MAX_RANK_WAITS &&
    value.every((waitMs) =>
      typeof waitMs === "number" && waitMs >= 0 && waitMs <= MAX_WAIT_MS
    );
}
