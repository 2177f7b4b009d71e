/**
 * Chooses the retry-after delay of a refused caller.
 *
 * @module
 */

/** Callers honour a delay of up to this share of the time that they have left. */
const HONOURED_SHARE = 1 / 3;

/** When there is room for a request that is refused now. */
export interface ExpectedRoom {
  /** Expected time until there is room, in milliseconds; 0 if unknown. */
  readonly roomMs: number;
  /** How much later that may be, in milliseconds; `Infinity` if unknown. */
  readonly uncertaintyMs: number;
  /** For how long the caller still waits, in milliseconds. */
  readonly remainingMs: number;
  /** Expected time that the request takes, in milliseconds; 0 if unknown. */
  readonly serviceMs: number;
}

/**
 * Draws the delay after which a refused caller should retry: a time at which there is room for it, and after which it
 * can still be served. Delays are spread over the time that the room is uncertain by, so that callers that are refused
 * together don't come back together.
 *
 * @param random returns numbers from 0 up to 1.
 * @returns `isHonoured`: whether the caller can come back then. If there is no such time, `returnMs` is the time at
 *   which there is room for others.
 */
export function drawReturnMs(
  { roomMs, uncertaintyMs, remainingMs, serviceMs }: ExpectedRoom,
  random: () => number,
): { returnMs: number; isHonoured: boolean } {
  const latestMs = Math.min(
    remainingMs * HONOURED_SHARE,
    remainingMs - serviceMs,
  );
  if (roomMs >= latestMs) {
    return { returnMs: roomMs, isHonoured: false };
  }
  const spreadMs = Math.min(uncertaintyMs, latestMs - roomMs);
  return { returnMs: roomMs + spreadMs * random(), isHonoured: true };
}

/** A refusal for another reason than the queue of a server. */
export interface Refusal {
  /** Expected time until the cause has ended, in milliseconds; 0 if unknown. */
  readonly waitMs: number;
  /** For how long the caller still waits, in milliseconds. */
  readonly remainingMs: number;
}

/**
 * Creates a function that draws the delay after which a refused caller should retry, in milliseconds. Nothing measures
 * how exact these waits are, so each counts as uncertain by its own length.
 *
 * @param random returns numbers from 0 up to 1.
 */
export function createRetryAfterSampler(
  random: () => number,
): (refusal: Refusal) => number {
  return ({ waitMs, remainingMs }) =>
    drawReturnMs({
      roomMs: waitMs,
      uncertaintyMs: waitMs > 0 ? waitMs : Infinity,
      remainingMs: Math.max(0, remainingMs),
      serviceMs: 0,
    }, random).returnMs;
}
