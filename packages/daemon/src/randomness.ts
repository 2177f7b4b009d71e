/**
 * Random numbers for jitter.
 *
 * @module
 */
import { randomInt } from "node:crypto";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Generator of uniformly distributed numbers from 0 to below 1. */
export class Randomness {
  private constructor(
    private readonly generator: ReturnType<typeof xoroshiro128plus>,
  ) {}

  /** Creates a generator with a random seed. */
  static create(): Randomness {
    return new Randomness(xoroshiro128plus(randomInt(2 ** 31)));
  }

  next(): number {
    return uniformFloat64(this.generator);
  }
}
