/**
 * Delays before retries, with jitter, so that requests that fail together are not retried together.
 *
 * @module
 */

/** Maximum delay between two attempts inside the fleet, in milliseconds. */
const MAX_BACKOFF_MS = 400;

/**
 * Exponential backoff before retry number `attempt` (1 for the first retry), in milliseconds.
 *
 * @param options the maximum delay before the first retry, in milliseconds, and a random number from 0 up to 1.
 */
export function backoffMs(
  attempt: number,
  options: { baseMs: number; random: number },
): number {
  const ceiling = Math.min(
    MAX_BACKOFF_MS,
    options.baseMs * 2 ** (attempt - 1),
  );
  return ceiling * (0.5 + options.random / 2);
}

/**
 * Delay after which a refused caller may retry, in milliseconds: the wait for the work ahead of it, but at least
 * `minMs`, plus jitter of up to as long again.
 *
 * @param waitMs expected wait, in milliseconds.
 * @param options the minimum in milliseconds, and a random number from 0 up to 1.
 */
export function retryAfterMs(
  waitMs: number,
  options: { minMs: number; random: number },
): number {
  const base = Math.max(options.minMs, waitMs);
  return Math.ceil(base * (1 + options.random));
}
