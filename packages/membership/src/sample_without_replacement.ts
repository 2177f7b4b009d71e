/**
 * Random sampling without replacement.
 *
 * @module
 */

/** Draws up to `count` distinct items; `random` returns numbers in [0, 1). */
export function sampleWithoutReplacement<T>(
  items: readonly T[],
  options: { count: number; random: () => number },
): T[] {
  const remaining = [...items];
  const count = Math.min(options.count, remaining.length);
  return Array.from({ length: count }, () => {
    const index = Math.floor(options.random() * remaining.length);
    return remaining.splice(index, 1)[0]!;
  });
}
