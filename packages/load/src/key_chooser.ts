/**
 * Selection of request keys with a skewed distribution: a small hot set, which changes over time, and many
 * cold keys.
 *
 * @module
 */

/** Distribution of requests over keys. */
export interface KeyDistribution {
  /** Total number of keys. */
  readonly keys: number;
  /** Number of keys that are hot at the same time. */
  readonly hotKeys: number;
  /** Share of requests for hot keys, from 0 to 1. */
  readonly hotShare: number;
  /** Interval in milliseconds after which a different set of keys becomes hot. */
  readonly moveEveryMs: number;
}

/** Chooses a key for each request. */
export class KeyChooser {
  private constructor(
    private readonly shape: KeyDistribution,
    private readonly random: () => number,
  ) {}

  /** Creates a chooser; `random` returns uniformly distributed numbers from 0 (inclusive) to 1 (exclusive). */
  static create(shape: KeyDistribution, random: () => number): KeyChooser {
    return new KeyChooser(shape, random);
  }

  /** Returns the key of a request that arrives `arrivalMs` milliseconds after the start. */
  choose(arrivalMs: number): string {
    const { keys, hotKeys, hotShare, moveEveryMs } = this.shape;
    if (this.random() >= hotShare) {
      return `key-${Math.floor(this.random() * keys)}`;
    }
    const generation = Math.floor(arrivalMs / moveEveryMs);
    const index = generation * hotKeys + Math.floor(this.random() * hotKeys);
    return `key-${index % keys}`;
  }
}
