/**
 * Chooses when a refused caller should retry, so that its retry finds room.
 *
 * Designed for bursts of a few seconds, in which many callers are refused by one service, or by the owner of one group
 * of keys. A caller ignores delays of more than a third of its remaining time. Each refusal therefore
 * reserves slot time at the moment that its caller is told, and later reservations of the same or a less urgent rank
 * come after it.
 *
 * @module
 */

/** Minimum delay, in milliseconds; sooner there is hardly more room than now. */
const MIN_RETURN_MS = 40;
/**
 * Maximum delay as a share of the caller's remaining time. Callers ignore delays of more than a third of it, and some
 * of it passes until the refusal reaches them.
 */
const MAX_REMAINING_SHARE = 0.32;
/** Jitter of retries for which no reservation is promising, as a share, so that they don't arrive together. */
const LATEST_JITTER_SHARE = 0.1;
/** Minimum number of slots for which reservations are made, so that their distance stays finite. */
const MIN_SLOTS = 0.01;

/** A refusal, and what is known of the capacity that refused it. */
export interface ReturnQuery {
  /** The service or the owner of the key; reservations at one resource take account of each other. */
  readonly resource: string;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Expected time until there is room for this rank, in milliseconds. */
  readonly waitMs: number;
  /** For how long the caller still waits at most, in milliseconds. */
  readonly remainingMs: number;
  /** Slot time that the request needs, in milliseconds. */
  readonly workMs: number;
  /** Slots of the resource that the callers of this daemon may use. */
  readonly slots: number;
}

interface Reservation {
  readonly atMs: number;
  readonly rank: number;
  /** Time after it in which the slots are used by it, in milliseconds. */
  readonly durationMs: number;
}

/** The reservations that one daemon has made for the callers that it refused. */
export class ReturnSchedule {
  /** Future reservations by resource, the earliest first. */
  private readonly reservations = new Map<string, Reservation[]>();

  private constructor(private readonly random: () => number) {}

  /**
   * Creates a schedule without reservations.
   *
   * @param random returns numbers from 0 up to 1.
   */
  static create(random: () => number): ReturnSchedule {
    return new ReturnSchedule(random);
  }

  /** Number of reservations that are not due yet. */
  countAt(nowMs: number): number {
    return [...this.reservations.values()].reduce(
      (sum, reservations) =>
        sum + reservations.filter(({ atMs }) => atMs > nowMs).length,
      0,
    );
  }

  /**
   * Reserves room for a caller; returns the delay after which it should retry, in milliseconds. If there is no room
   * within the time that callers accept, it returns the latest delay that they accept and reserves nothing.
   */
  reserve(query: ReturnQuery, nowMs: number): number {
    const { resource, rank, waitMs, remainingMs, workMs, slots } = query;
    const latestMs = Math.max(0, remainingMs) * MAX_REMAINING_SHARE;
    const durationMs = workMs / Math.max(MIN_SLOTS, slots);
    const future = (this.reservations.get(resource) ?? [])
      .filter((reservation) =>
        reservation.atMs + reservation.durationMs > nowMs
      );
    const atMs = findRoom(future, {
      rank,
      durationMs,
      fromMs: nowMs + Math.max(MIN_RETURN_MS, waitMs),
    });
    this.reservations.set(resource, future);
    if (atMs > nowMs + latestMs) {
      return latestMs * (1 - LATEST_JITTER_SHARE * this.random());
    }
    const index = future.findIndex((other) => other.atMs > atMs);
    this.reservations.set(
      resource,
      future.toSpliced(index < 0 ? future.length : index, 0, {
        atMs,
        rank,
        durationMs,
      }),
    );
    return atMs - nowMs;
  }
}

/** Finds the first time from which no reservation of the same or a more urgent rank uses the slots. */
function findRoom(
  reservations: readonly Reservation[],
  wanted: { rank: number; durationMs: number; fromMs: number },
): number {
  return reservations
    .filter(({ rank }) => rank <= wanted.rank)
    .reduce(
      (fromMs, { atMs, durationMs }) =>
        atMs - fromMs >= wanted.durationMs
          ? fromMs
          : Math.max(fromMs, atMs + durationMs),
      wanted.fromMs,
    );
}
