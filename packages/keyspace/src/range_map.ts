/**
 * A map from ranges of keys to values.
 *
 * @module
 */

/** Number of keys: a key is an integer from 0 to this number minus one. */
export const KEY_COUNT = 65_536;

/** A range of keys, including both ends. */
export interface KeyRange {
  readonly from: number;
  readonly to: number;
}

/** A range of keys with a value. */
export interface Segment<V> extends KeyRange {
  readonly value: V;
}

/** Number of keys in a range. */
export function sizeOf(range: KeyRange): number {
  return range.to - range.from + 1;
}

/** The intersection of two ranges; `undefined` where they are disjoint. */
export function intersect(
  left: KeyRange,
  right: KeyRange,
): KeyRange | undefined {
  const from = Math.max(left.from, right.from);
  const to = Math.min(left.to, right.to);
  return from <= to ? { from, to } : undefined;
}

/**
 * Disjoint ranges of keys in ascending order, each with a value. Adjacent ranges with equal values are merged. Values
 * are compared with `Object.is`, unless another comparison is given.
 */
export class RangeMap<V> {
  private constructor(
    private entries: Segment<V>[],
    private readonly isEqual: (left: V, right: V) => boolean,
  ) {}

  /** Creates a map without keys. */
  static create<V>(
    isEqual: (left: V, right: V) => boolean = Object.is,
  ): RangeMap<V> {
    return new RangeMap<V>([], isEqual);
  }

  /**
   * Creates a map of ranges that are disjoint and in ascending order, in linear time; setting them one by one would
   * take quadratic time.
   */
  static createFrom<V>(
    segments: readonly Segment<V>[],
    isEqual: (left: V, right: V) => boolean = Object.is,
  ): RangeMap<V> {
    const map = new RangeMap<V>([...segments], isEqual);
    map.merge();
    return map;
  }

  /** All ranges in ascending order. */
  get segments(): readonly Segment<V>[] {
    return this.entries;
  }

  /** The value of a key; `undefined` where it has none. */
  get(key: number): V | undefined {
    return this.find(key)?.value;
  }

  /** The range that contains a key; `undefined` where the key has no value. */
  find(key: number): Segment<V> | undefined {
    let low = 0;
    let high = this.entries.length - 1;
    while (low <= high) {
      const middle = (low + high) >> 1;
      const segment = this.entries[middle]!;
      if (key < segment.from) {
        high = middle - 1;
      } else if (key > segment.to) {
        low = middle + 1;
      } else {
        return segment;
      }
    }
    return undefined;
  }

  /** The parts of this map's ranges within a range. */
  within(range: KeyRange): Segment<V>[] {
    return this.entries.flatMap((segment) => {
      const shared = intersect(segment, range);
      return shared === undefined ? [] : [{ ...shared, value: segment.value }];
    });
  }

  /** The parts of a range that have no value. */
  gaps(range: KeyRange): KeyRange[] {
    const covered = this.within(range);
    const starts = [range.from, ...covered.map(({ to }) => to + 1)];
    const ends = [...covered.map(({ from }) => from - 1), range.to];
    return starts
      .map((from, index) => ({ from, to: ends[index]! }))
      .filter(({ from, to }) => from <= to);
  }

  /** Sets the value of all keys of a range. */
  set(range: KeyRange, value: V): void {
    this.delete(range);
    const { from, to } = range;
    const index = this.entries.findIndex((segment) => segment.from > to);
    const at = index < 0 ? this.entries.length : index;
    this.entries.splice(at, 0, { from, to, value });
    this.merge();
  }

  /** Removes all keys of a range. */
  delete(range: KeyRange): void {
    this.entries = this.entries.flatMap((segment) =>
      this.subtract(segment, range)
    );
  }

  /** Removes all keys. */
  clear(): void {
    this.entries = [];
  }

  /** Replaces the value of each range. */
  replace(change: (value: V) => V): void {
    this.entries = this.entries.map((segment) => ({
      ...segment,
      value: change(segment.value),
    }));
    this.merge();
  }

  private subtract(segment: Segment<V>, range: KeyRange): Segment<V>[] {
    if (intersect(segment, range) === undefined) {
      return [segment];
    }
    const before = { ...segment, to: range.from - 1 };
    const after = { ...segment, from: range.to + 1 };
    return [before, after].filter(({ from, to }) => from <= to);
  }

  private merge(): void {
    const merged: Segment<V>[] = [];
    this.entries.forEach((segment) => {
      const last = merged.at(-1);
      const isMergeable = last !== undefined && last.to + 1 === segment.from &&
        this.isEqual(last.value, segment.value);
      if (isMergeable) {
        merged[merged.length - 1] = { ...last, to: segment.to };
      } else {
        merged.push(segment);
      }
    });
    this.entries = merged;
  }
}
