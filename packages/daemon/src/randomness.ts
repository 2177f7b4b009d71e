/**
 * Random numbers for jitter.
 *
 * @module
 */
import { randomInt } from "node:crypto";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Numbers from 0 up to 1. */
export class Randomness {
  private constructor(
    private readonly generator: ReturnType<typeof xoroshiro128plus>,
  ) {}

  /** Creates a generator with a seed of its own. */
  static create(): Randomness {
    return new Randomness(xoroshiro128plus(randomInt(2 ** 31)));
  }

  /** The next number. */
  next(): number {
    return uniformFloat64(this.generator);
  }
}
