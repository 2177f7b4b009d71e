/**
 * Decides when a refused caller may come back.
 *
 * @module
 */

/** The earliest return, in milliseconds: sooner there is hardly more room than now. */
const EARLIEST_MS = 40;
/** The latest return, in milliseconds: later the estimate of the wait says nothing any more. */
const LATEST_MS = 1_000;
/**
 * Share of the time in which a return is still useful. A caller that comes back when its objective can't
 * be met any more has come in vain; arrivals vary, so room may be there before the queue is empty.
 */
const USEFUL_SHARE = 0.5;
/** Returns are spread around their mean by this share either way, so that those refused together don't come together. */
const SPREAD = 0.4;

/** Creates a function that draws the time of return. */
export function createAnswerSpread(
  random: () => number,
): (refusal: { waitMs: number; usefulMs: number }) => number {
  return ({ waitMs, usefulMs }) => {
    const bounded = Math.min(LATEST_MS, Math.max(EARLIEST_MS, waitMs));
    const isUseful = usefulMs * USEFUL_SHARE > EARLIEST_MS;
    const meanMs = isUseful
      ? Math.min(bounded, usefulMs * USEFUL_SHARE)
      : bounded;
    return meanMs * (1 - SPREAD + 2 * SPREAD * random());
  };
}
