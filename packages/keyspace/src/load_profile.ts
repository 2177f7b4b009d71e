/**
 * How much work the keys of one backend server bring, and which of them to move.
 *
 * @module
 */
import { KEY_COUNT, type KeyRange } from "./range_map.ts";

/** Keys in one bucket of the profile. Hot keys lie close together, so a few keys tell enough. */
const BUCKET_KEYS = 16;
/** The profile forgets half of what it has seen in this time, in milliseconds. */
const HALF_LIFE_MS = 2_000;

/** Work by key, as milliseconds of a slot for each second, decaying. */
export class LoadProfile {
  private readonly buckets = new Float64Array(KEY_COUNT / BUCKET_KEYS);
  private decayedAtMs = 0;

  private constructor() {}

  /** Creates an empty profile. */
  static create(): LoadProfile {
    return new LoadProfile();
  }

  /** Notes work for a key, in milliseconds of a slot. */
  note(key: number, workMs: number): void {
    const bucket = Math.floor(key / BUCKET_KEYS);
    this.buckets[bucket] = this.buckets[bucket]! + workMs;
  }

  /** Forgets old work. */
  decay(nowMs: number): void {
    const passedMs = nowMs - this.decayedAtMs;
    this.decayedAtMs = nowMs;
    const factor = 0.5 ** (passedMs / HALF_LIFE_MS);
    this.buckets.forEach((value, index) => {
      this.buckets[index] = value * factor;
    });
  }

  /** Work for the keys of a range, in milliseconds of a slot a second. */
  loadOf(ranges: readonly KeyRange[]): number {
    return ranges
      .flatMap((range) => bucketsOf(range))
      .reduce((sum, bucket) => sum + this.rateOf(bucket), 0);
  }

  /**
   * Finds the fewest neighbouring keys among `ranges` that bring about `load`. Few keys with much work
   * are cheap to move: what a move costs grows with the number of keys and not with their work.
   *
   * @returns `undefined` where no window brings between half of it and all of it.
   */
  findWindow(
    ranges: readonly KeyRange[],
    wanted: { load: number },
  ): KeyRange | undefined {
    const windows = ranges.flatMap((range) => this.windowsOf(range, wanted));
    return windows.reduce<KeyRange | undefined>(
      (best, window) =>
        best === undefined || window.to - window.from < best.to - best.from
          ? window
          : best,
      undefined,
    );
  }

  /** Slides a window over whole buckets of a range and keeps those with about the wanted load. */
  private windowsOf(range: KeyRange, wanted: { load: number }): KeyRange[] {
    const buckets = bucketsOf(range).filter((bucket) =>
      bucket * BUCKET_KEYS >= range.from &&
      (bucket + 1) * BUCKET_KEYS - 1 <= range.to
    );
    const windows: KeyRange[] = [];
    let start = 0;
    let load = 0;
    buckets.forEach((bucket, end) => {
      load += this.rateOf(bucket);
      while (load > wanted.load && start <= end) {
        load -= this.rateOf(buckets[start]!);
        start += 1;
      }
      if (load >= wanted.load / 2 && start <= end) {
        windows.push({
          from: buckets[start]! * BUCKET_KEYS,
          to: (bucket + 1) * BUCKET_KEYS - 1,
        });
      }
    });
    return windows;
  }

  /** A sum that decays with a half-life is the rate times the half-life divided by ln 2. */
  private rateOf(bucket: number): number {
    return this.buckets[bucket]! * Math.LN2 / (HALF_LIFE_MS / 1_000);
  }
}

function bucketsOf(range: KeyRange): number[] {
  const first = Math.floor(range.from / BUCKET_KEYS);
  const last = Math.floor(range.to / BUCKET_KEYS);
  return Array.from({ length: last - first + 1 }, (_, index) => first + index);
}
