/**
 * Measures how much work the keys of one backend server cause, and finds keys to move.
 *
 * @module
 */
import { KEY_COUNT, type KeyRange, sizeOf } from "./range_map.ts";

/**
 * Half-life of recorded work, in milliseconds: keys become hot within a second and stay hot for a few.
 */
const HALF_LIFE_MS = 1_000;
/** Work is not extrapolated from less than this time, in milliseconds: a few requests are not representative. */
const MIN_OBSERVED_MS = 400;
/** A window must carry at least this share of the wanted load. */
const MIN_WINDOW_SHARE = 0.7;
/** From this weight on all sums are scaled back; a double holds far larger values. */
const MAX_WEIGHT = 1e12;

/**
 * Standard deviation of a load that is measured from requests at random moments, in slots.
 *
 * @param measured `load`: in slots; `serviceMs`: service time of a request, in milliseconds.
 */
export function estimateDeviation(
  measured: { load: number; serviceMs: number },
): number {
  const { load, serviceMs } = measured;
  return Math.sqrt(load * serviceMs * Math.LN2 / 2 / HALF_LIFE_MS);
}

/** A range of keys and its work. */
interface Window extends KeyRange {
  readonly sum: number;
}

/** Exponentially decaying work by key, in milliseconds of slot time per second. */
export class LoadProfile {
  private readonly sums = new Float64Array(KEY_COUNT);
  /**
   * Weight of work that is recorded now, relative to work at the start. Increasing it has the same effect as decaying
   * all sums, without an update of each of them.
   */
  private weight = 1;
  /** All work and the sum of its squares, with the same decay; their ratio gives the size of a request. */
  private work = 0;
  private squaredWork = 0;
  private decayedAtMs = 0;
  private firstRecordedAtMs: number | undefined;

  private constructor() {}

  /** Creates an empty profile. */
  static create(): LoadProfile {
    return new LoadProfile();
  }

  /** Records work for a key, in milliseconds of slot time. */
  record(key: number, workMs: number): void {
    this.firstRecordedAtMs ??= this.decayedAtMs;
    this.sums[key] = this.sums[key]! + workMs * this.weight;
    this.work += workMs;
    this.squaredWork += workMs * workMs;
  }

  /**
   * Applies the load that the previous owner measured for keys that were moved from it, in milliseconds of slot time
   * per second. Without it, an owner would appear as little loaded as before for a second after it has received hot
   * keys, and would be sent more.
   */
  seed(range: KeyRange, load: number): void {
    const perKey = this.toSum(load) / sizeOf(range);
    for (let key = range.from; key <= range.to; key += 1) {
      this.sums[key] = perKey;
    }
  }

  /** Decays recorded work to the given time. */
  decay(nowMs: number): void {
    const elapsedMs = nowMs - this.decayedAtMs;
    this.decayedAtMs = nowMs;
    const growth = 2 ** (elapsedMs / HALF_LIFE_MS);
    this.weight *= growth;
    this.work /= growth;
    this.squaredWork /= growth;
    if (this.weight > MAX_WEIGHT) {
      const { weight } = this;
      this.sums.forEach((sum, key) => {
        this.sums[key] = sum / weight;
      });
      this.weight = 1;
    }
  }

  /** Work for the keys of ranges, in milliseconds of slot time per second. */
  loadOf(ranges: readonly KeyRange[]): number {
    const { sums } = this;
    let sum = 0;
    for (const { from, to } of ranges) {
      for (let key = from; key <= to; key += 1) {
        sum += sums[key]!;
      }
    }
    return this.toRate(sum);
  }

  /**
   * Standard deviation of a load's random error, in slots.
   *
   * An owner in a large fleet serves a few requests per second. Even where all owners have the same load, one may get
   * twice as many requests as another, and the reverse a second later.
   *
   * @param load in slots.
   */
  standardDeviationOf(load: number): number {
    const serviceMs = this.work === 0 ? 0 : this.squaredWork / this.work;
    const { observedShare } = this;
    // A shorter observation has a larger variance.
    return estimateDeviation({ load, serviceMs }) *
      Math.sqrt((2 - observedShare) / observedShare);
  }

  /**
   * Finds the smallest window of adjacent keys among `ranges` that carries about `load`. Few keys with much work are
   * cheap to move: the cost of a move grows with the number of keys and not with their work.
   *
   * @param wanted `load`: in milliseconds of slot time per second.
   * @returns `undefined` where no window carries at least `MIN_WINDOW_SHARE` of the load and not more than all of
   *   it.
   */
  findSmallestWindow(
    ranges: readonly KeyRange[],
    wanted: { load: number },
  ): KeyRange | undefined {
    return ranges.reduce<KeyRange | undefined>((best, range) => {
      const found = this.findSmallestIn(range, wanted);
      return found === undefined ||
          best !== undefined && sizeOf(best) <= sizeOf(found)
        ? best
        : found;
    }, undefined);
  }

  /** Finds the key among `ranges` that causes the most work; `undefined` where none causes any. */
  findHeaviestKey(ranges: readonly KeyRange[]): KeyRange | undefined {
    const { sums } = this;
    let heaviest = -1;
    let maxSum = 0;
    for (const { from, to } of ranges) {
      for (let key = from; key <= to; key += 1) {
        const sum = sums[key]!;
        if (sum > maxSum) {
          heaviest = key;
          maxSum = sum;
        }
      }
    }
    return heaviest < 0 ? undefined : { from: heaviest, to: heaviest };
  }

  /**
   * Finds the window of adjacent keys among `ranges` that carries the most work up to `load`.
   *
   * @param wanted `load`: in milliseconds of slot time per second.
   */
  findHeaviestWindow(
    ranges: readonly KeyRange[],
    wanted: { load: number },
  ): KeyRange | undefined {
    const maxSum = this.toSum(wanted.load);
    const windows = ranges.flatMap((range) =>
      this.findHeaviestIn(range, maxSum) ?? []
    );
    return windows.reduce<Window | undefined>(
      (best, window) =>
        best === undefined || window.sum > best.sum ? window : best,
      undefined,
    );
  }

  private findHeaviestIn(range: KeyRange, maxSum: number): Window | undefined {
    const { sums } = this;
    let best: Window | undefined;
    let from = range.from;
    let sum = 0;
    for (let to = range.from; to <= range.to; to += 1) {
      sum += sums[to]!;
      while (sum > maxSum && from <= to) {
        sum -= sums[from]!;
        from += 1;
      }
      if (from <= to && sum > (best?.sum ?? 0)) {
        best = { from, to, sum };
      }
    }
    return best;
  }

  /** Finds the smallest window in one range that carries about the wanted load, with a sliding window. */
  private findSmallestIn(
    range: KeyRange,
    wanted: { load: number },
  ): KeyRange | undefined {
    const { sums } = this;
    let best: KeyRange | undefined;
    let from = range.from;
    let sum = 0;
    const maxSum = this.toSum(wanted.load);
    for (let to = range.from; to <= range.to; to += 1) {
      sum += sums[to]!;
      while (sum > maxSum && from <= to) {
        sum -= sums[from]!;
        from += 1;
      }
      const isShorter = best === undefined || to - from < best.to - best.from;
      if (sum >= maxSum * MIN_WINDOW_SHARE && from <= to && isShorter) {
        best = { from, to };
      }
    }
    return best;
  }

  /** A sum that decays with a half-life is the rate times the half-life divided by ln 2. */
  private toRate(sum: number): number {
    return sum / this.weight / this.windowSeconds;
  }

  private toSum(rate: number): number {
    return rate * this.weight * this.windowSeconds;
  }

  /**
   * Effective time that the sums cover, in seconds. It is shorter at first: otherwise, an owner that receives far too
   * much work from the start of the traffic would estimate a third of it after half a second, and would move keys away
   * in three rounds rather than one.
   */
  private get windowSeconds(): number {
    return HALF_LIFE_MS / 1_000 / Math.LN2 * this.observedShare;
  }

  /** Share of the work covered by a long-running profile that this one can have observed. */
  private get observedShare(): number {
    const { firstRecordedAtMs, decayedAtMs } = this;
    const observedMs = firstRecordedAtMs === undefined
      ? Infinity
      : Math.max(MIN_OBSERVED_MS, decayedAtMs - firstRecordedAtMs);
    return 1 - 2 ** (-observedMs / HALF_LIFE_MS);
  }
}
