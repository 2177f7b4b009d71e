/**
 * Draws a random sample of backend servers to compare for one request.
 *
 * @module
 */

/** Number of backend servers to compare; up to this number, all of them are compared. */
const SAMPLE_SIZE = 5;

/**
 * Draws a few backend servers at random, including one for which `isNear` holds if there is one. In a large fleet,
 * comparing all servers for each request would cost more than the better choice saves.
 *
 * @returns the sample, which may contain a server twice.
 */
export function sampleBackends<T>(
  backends: readonly T[],
  choice: { isNear: (backend: T) => boolean; random: () => number },
): readonly T[] {
  if (backends.length <= SAMPLE_SIZE) {
    return backends;
  }
  const { isNear, random } = choice;
  const draw = (from: readonly T[]) => from[Math.floor(random() * from.length)];
  const near = draw(backends.filter(isNear));
  const drawn = Array.from({ length: SAMPLE_SIZE - 1 }, () => draw(backends)!);
  return near === undefined ? drawn : [near, ...drawn];
}
