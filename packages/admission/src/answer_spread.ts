/**
 * Decides when a refused caller may come back.
 *
 * @module
 */

/** The earliest return, in milliseconds: sooner there is hardly more room than now. */
const EARLIEST_MS = 50;
/** The latest return, in milliseconds: later the estimate of the wait says nothing any more. */
const LATEST_MS = 1_000;
/**
 * Returns are spread over this many times the wait. Callers that were refused together would otherwise
 * come back together, and be refused together.
 */
const SPREAD = 1;

/** Creates a function that draws the time of return from the wait that made for the refusal. */
export function createAnswerSpread(
  random: () => number,
): (waitMs: number) => number {
  return (waitMs) => {
    const bounded = Math.min(LATEST_MS, Math.max(EARLIEST_MS, waitMs));
    return bounded * (1 + SPREAD * random());
  };
}
