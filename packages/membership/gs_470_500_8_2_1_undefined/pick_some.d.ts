/**
 * Draws at random without putting back.
 *
 * @module
 */
/** Draws up to `count` of the given things. */
export declare function pickSome<T>(from: readonly T[], choice: {
  count: number;
  random: () => number;
}): T[];
