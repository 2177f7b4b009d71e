/**
 * Which keys requests ask for: a few hot ones, which move, before many cold ones.
 *
 * @module
 */

/** How keys are chosen. */
export interface KeyShape {
  /** How many keys there are. */
  readonly keys: number;
  /** How many of them are hot at a time. */
  readonly hotKeys: number;
  /** The share of the requests that go to hot keys, from 0 to 1. */
  readonly hotShare: number;
  /** How often the hot keys change, in milliseconds. */
  readonly moveEveryMs: number;
}

/** Chooses keys. */
export class KeyChooser {
  private constructor(
    private readonly shape: KeyShape,
    private readonly random: () => number,
  ) {}

  /** Creates a chooser; `random` gives numbers from 0 up to 1. */
  static create(shape: KeyShape, random: () => number): KeyChooser {
    return new KeyChooser(shape, random);
  }

  /** The key of a request that arrives `atMs` after the start. */
  choose(atMs: number): string {
    const { keys, hotKeys, hotShare, moveEveryMs } = this.shape;
    if (this.random() >= hotShare) {
      return `key-${Math.floor(this.random() * keys)}`;
    }
    const generation = Math.floor(atMs / moveEveryMs);
    const index = generation * hotKeys + Math.floor(this.random() * hotKeys);
    return `key-${index % keys}`;
  }
}
