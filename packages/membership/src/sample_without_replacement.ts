/**
 * Draws at random without putting back.
 *
 * @module
 */

/** Draws up to `count` of the given things. */
export function sampleWithoutReplacement<T>(
  from: readonly T[],
  choice: { count: number; random: () => number },
): T[] {
  const left = [...from];
  const picked = Math.min(choice.count, left.length);
  return Array.from({ length: picked }, () => {
    const index = Math.floor(choice.random() * left.length);
    return left.splice(index, 1)[0]!;
  });
}
