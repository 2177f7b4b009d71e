/**
 * Decides how long a watch of the store waits until it is renewed.
 *
 * A watch whose connection has gone silent says nothing, as one without changes does. Its renewal tells the two apart.
 *
 * @module
 */

/** The longest wait, in milliseconds. Each renewal counts as a call. */
const LONGEST_WAIT_MS = 28_000;
/** Mean time between two renewals among all daemons, in milliseconds. One that learns of a change tells the others. */
const RENEWAL_MS = 500;

/** What a wait depends on. */
export interface WatchWait {
  /** How many daemons watch. */
  readonly daemons: number;
  /** Whether the other daemons' waits begin now, too: at a start, and when all were told of a change. */
  readonly isInStep: boolean;
  readonly random: () => number;
}

/** Chooses a wait, in milliseconds. */
export function chooseWatchWait(
  { daemons, isInStep, random }: WatchWait,
): number {
  const waitMs = Math.min(LONGEST_WAIT_MS, daemons * RENEWAL_MS);
  return Math.ceil(isInStep ? waitMs * (1 - random()) : waitMs);
}
