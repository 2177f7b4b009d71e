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

/**
 * Number of servers of the own zone to compare for a request that may stay there. With one or two, a request would leave
 * its zone while a third server there is idle.
 */
const OWN_ZONE_SAMPLE_SIZE = 4;
/** Number of servers of other zones to compare for a request that does not stay in its zone. */
const OTHER_ZONE_SAMPLE_SIZE = 4;

/** The backend servers to compare for one request, by zone. */
export interface ZoneSample<T> {
  readonly own: readonly T[];
  readonly others: readonly T[];
}

/** Draws a few distinct backend servers of the own zone and of other zones. */
export function sampleByZone<T>(
  backends: readonly T[],
  choice: { isOwnZone: (backend: T) => boolean; random: () => number },
): ZoneSample<T> {
  const { isOwnZone, random } = choice;
  const own: T[] = [];
  const others: T[] = [];
  backends.forEach((backend) =>
    (isOwnZone(backend) ? own : others).push(backend)
  );
  return {
    own: drawDistinct(own, { count: OWN_ZONE_SAMPLE_SIZE, random }),
    others: drawDistinct(others, { count: OTHER_ZONE_SAMPLE_SIZE, random }),
  };
}

/** Draws up to `count` items; reorders the array. */
function drawDistinct<T>(
  items: T[],
  options: { count: number; random: () => number },
): readonly T[] {
  const { count, random } = options;
  if (items.length <= count) {
    return items;
  }
  for (let index = 0; index < count; index += 1) {
    const other = index + Math.floor(random() * (items.length - index));
    [items[index], items[other]] = [items[other]!, items[index]!];
  }
  return items.slice(0, count);
}
