/**
 * How much work the keys of one backend server bring, and which of them to move.
 *
 * @module
 */
import { KEY_COUNT, type KeyRange, sizeOf } from "./range_map.ts";

/**
 * The profile forgets half of what it has seen in this time, in milliseconds: keys turn hot within a
 * second and stay so for a few.
 */
const HALF_LIFE_MS = 1_000;
/** Work is not extrapolated from less than this, in milliseconds: a few requests say little. */
const LEAST_SEEN_MS = 400;
/** A window must bring this share of the wanted load. */
const LEAST_SHARE = 0.7;
/** From this weight on all sums are scaled back; a double holds far more. */
const LARGEST_WEIGHT = 1e12;

/**
 * How far a load may be off that is measured from requests at random moments: one standard deviation, in slots.
 *
 * @param measured `load`: in slots; `serviceMs`: time of a request, in milliseconds.
 */
export function estimateDeviation(
  measured: { load: number; serviceMs: number },
): number {
  const { load, serviceMs } = measured;
  return Math.sqrt(load * serviceMs * Math.LN2 / 2 / HALF_LIFE_MS);
}

/** Neighbouring keys and what they bring. */
interface Window extends KeyRange {
  readonly sum: number;
}

/** Work by key, as milliseconds of a slot for each second, decaying. */
export class LoadProfile {
  private readonly sums = new Float64Array(KEY_COUNT);
  /**
   * What is noted now counts so many times what was noted at first. Growing it is the same as letting
   * all sums decay, without touching each of them.
   */
  private weight = 1;
  /** All work, and the sum of its squares, decaying alike: they say how large a request is. */
  private work = 0;
  private squares = 0;
  private decayedAtMs = 0;
  private firstNotedMs: number | undefined;

  private constructor() {}

  /** Creates an empty profile. */
  static create(): LoadProfile {
    return new LoadProfile();
  }

  /** Notes work for a key, in milliseconds of a slot. */
  record(key: number, workMs: number): void {
    this.firstNotedMs ??= this.decayedAtMs;
    this.sums[key] = this.sums[key]! + workMs * this.weight;
    this.work += workMs;
    this.squares += workMs * workMs;
  }

  /**
   * Takes over what another owner saw of keys that have come from it, in milliseconds of a slot a second. Without
   * it an owner looks as cool as before for a second after it was given hot keys, and is given more.
   */
  seed(range: KeyRange, load: number): void {
    const each = this.toSum(load) / sizeOf(range);
    for (let key = range.from; key <= range.to; key += 1) {
      this.sums[key] = each;
    }
  }

  /** Forgets old work. */
  decay(nowMs: number): void {
    const passedMs = nowMs - this.decayedAtMs;
    this.decayedAtMs = nowMs;
    const growth = 2 ** (passedMs / HALF_LIFE_MS);
    this.weight *= growth;
    this.work /= growth;
    this.squares /= growth;
    if (this.weight > LARGEST_WEIGHT) {
      const { weight } = this;
      this.sums.forEach((sum, key) => {
        this.sums[key] = sum / weight;
      });
      this.weight = 1;
    }
  }

  /** Work for the keys of ranges, in milliseconds of a slot a second. */
  loadOf(ranges: readonly KeyRange[]): number {
    let sum = 0;
    ranges.forEach(({ from, to }) => {
      for (let key = from; key <= to; key += 1) {
        sum += this.sums[key]!;
      }
    });
    return this.toRate(sum);
  }

  /**
   * How far a load may be off by chance: one standard deviation, in slots.
   *
   * An owner of a large fleet sees a few requests a second. Even where all owners get the same, one sees twice of
   * what its neighbour does, and a second later it is the other way round.
   */
  standardDeviationOf(load: number): number {
    const serviceMs = this.work === 0 ? 0 : this.squares / this.work;
    const { remembered } = this;
    // What has been remembered for a shorter time varies more.
    return estimateDeviation({ load, serviceMs }) *
      Math.sqrt((2 - remembered) / remembered);
  }

  /**
   * Finds the fewest neighbouring keys among `ranges` that bring about `load`. Few keys with much work
   * are cheap to move: what a move costs grows with the number of keys and not with their work.
   *
   * @returns `undefined` where no window brings nearly all of it, and not more.
   */
  findWindow(
    ranges: readonly KeyRange[],
    wanted: { load: number },
  ): KeyRange | undefined {
    return ranges.reduce<KeyRange | undefined>((best, range) => {
      const found = this.findIn(range, wanted);
      return found === undefined ||
          best !== undefined && sizeOf(best) <= sizeOf(found)
        ? best
        : found;
    }, undefined);
  }

  /** The key among `ranges` that brings the most work. */
  findHeaviest(ranges: readonly KeyRange[]): KeyRange | undefined {
    const key = ranges.reduce((best, { from, to }) => {
      const found = this.sums.subarray(from, to + 1).reduce(
        (heaviest, sum, index) =>
          sum > (this.sums[heaviest] ?? 0) ? from + index : heaviest,
        best,
      );
      return found;
    }, -1);
    return key < 0 ? undefined : { from: key, to: key };
  }

  /** Finds neighbouring keys among `ranges` that bring as much as there is up to `load`. */
  findLargest(
    ranges: readonly KeyRange[],
    wanted: { load: number },
  ): KeyRange | undefined {
    const largest = this.toSum(wanted.load);
    const windows = ranges.flatMap((range) =>
      this.findLargestIn(range, largest) ?? []
    );
    return windows.reduce<Window | undefined>(
      (best, window) =>
        best === undefined || window.sum > best.sum ? window : best,
      undefined,
    );
  }

  private findLargestIn(range: KeyRange, largest: number): Window | undefined {
    let best: Window | undefined;
    let from = range.from;
    let sum = 0;
    for (let to = range.from; to <= range.to; to += 1) {
      sum += this.sums[to]!;
      while (sum > largest && from <= to) {
        sum -= this.sums[from]!;
        from += 1;
      }
      if (from <= to && sum > (best?.sum ?? 0)) {
        best = { from, to, sum };
      }
    }
    return best;
  }

  /** Slides a window over a range; the smallest one with about the wanted load. */
  private findIn(
    range: KeyRange,
    wanted: { load: number },
  ): KeyRange | undefined {
    let best: KeyRange | undefined;
    let from = range.from;
    let sum = 0;
    const largest = this.toSum(wanted.load);
    for (let to = range.from; to <= range.to; to += 1) {
      sum += this.sums[to]!;
      while (sum > largest && from <= to) {
        sum -= this.sums[from]!;
        from += 1;
      }
      const isShorter = best === undefined || to - from < best.to - best.from;
      if (sum >= largest * LEAST_SHARE && from <= to && isShorter) {
        best = { from, to };
      }
    }
    return best;
  }

  /** A sum that decays with a half-life is the rate times the half-life divided by ln 2. */
  private toRate(sum: number): number {
    return sum / this.weight / this.memorySeconds;
  }

  private toSum(rate: number): number {
    return rate * this.weight * this.memorySeconds;
  }

  /**
   * The time whose work is in the sums, in seconds. It is shorter at first: without that, an owner that was
   * given far too much at the start of the traffic would see a third of it after half a second, and shed in
   * three rounds what can go in one.
   */
  private get memorySeconds(): number {
    return HALF_LIFE_MS / 1_000 / Math.LN2 * this.remembered;
  }

  /** The share of what a long-running owner would remember that this one can have seen. */
  private get remembered(): number {
    const { firstNotedMs, decayedAtMs } = this;
    const seenMs = firstNotedMs === undefined
      ? Infinity
      : Math.max(LEAST_SEEN_MS, decayedAtMs - firstNotedMs);
    return 1 - 2 ** (-seenMs / HALF_LIFE_MS);
  }
}
