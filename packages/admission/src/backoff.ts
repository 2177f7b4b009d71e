/**
 * When to come back. Both spread over a range, so that what was refused together does not return
 * together.
 *
 * @module
 */

/** The longest pause between two attempts inside the fleet, in milliseconds. */
const MAXIMUM_BACKOFF_MS = 400;

/**
 * The pause before attempt number `attempt` (1 for the first retry), in milliseconds.
 *
 * @param random a number from 0 up to 1.
 */
export function backoffMs(
  attempt: number,
  options: { baseMs: number; random: number },
): number {
  const ceiling = Math.min(
    MAXIMUM_BACKOFF_MS,
    options.baseMs * 2 ** (attempt - 1),
  );
  return ceiling * (0.5 + options.random / 2);
}

/**
 * When a refused caller may come back, in milliseconds: after the work ahead of it, at least `leastMs`,
 * and spread over as long again.
 *
 * @param random a number from 0 up to 1.
 */
export function retryAfterMs(
  waitMs: number,
  options: { leastMs: number; random: number },
): number {
  const base = Math.max(options.leastMs, waitMs);
  return Math.ceil(base * (1 + options.random));
}
