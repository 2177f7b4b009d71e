/**
 * Decides when owners request the current state of the store, to extend their ownership leases, and when the daemon
 * that reads on behalf of all of them does so.
 *
 * It is sized for 98 owners that each need a confirmation every 1.5 s. With requests at arbitrary times, a read would
 * be due every 0.4 s; with aligned requests, one read in 1.4 s is enough.
 *
 * @module
 */

/**
 * Interval at which an owner repeats its request while it receives no response of the shared reader, in milliseconds.
 */
export const CONFIRM_INTERVAL_MS = 1_500;
/**
 * Bounds of the delay from the response of a shared read to the owner's next request, in milliseconds. A shorter delay
 * causes more reads; a longer one lets confirmations get older.
 */
const NEXT_REQUEST_DELAY_MS = { min: 900, max: 1_100 };
/** Interval of the shared reads, in milliseconds: they take place at multiples of it on the reading daemon's clock. */
const SHARED_READ_INTERVAL_MS = 1_400;
/**
 * Maximum time for which a request waits for the next shared read, in milliseconds; an owner reads the store on its own
 * after 800.
 */
const MAX_BATCH_DELAY_MS = 600;
/**
 * Delay of requests that don't wait for the next shared read, in milliseconds. Their owners send the next request about
 * 1.2 s after this one. As that period is shorter than `SHARED_READ_INTERVAL_MS`, one of the next few requests falls
 * within `MAX_BATCH_DELAY_MS` before a shared read and waits for it.
 */
const UNALIGNED_BATCH_DELAY_MS = 200;

/** For how long from now the reading daemon collects requests before it reads, in milliseconds. */
export function batchDelayMs(nowMs: number): number {
  const untilReadMs = SHARED_READ_INTERVAL_MS - nowMs % SHARED_READ_INTERVAL_MS;
  return untilReadMs <= MAX_BATCH_DELAY_MS
    ? untilReadMs
    : UNALIGNED_BATCH_DELAY_MS;
}

/** When one owner sends its confirmation requests. */
export class ConfirmationSchedule {
  private sentAtMs = -Infinity;
  private dueAtMs = -Infinity;

  private constructor(private readonly random: () => number) {}

  /**
   * Creates the schedule of an owner that has sent no request yet.
   *
   * @param random source of numbers from 0 up to 1, for jitter.
   */
  static create(random: () => number): ConfirmationSchedule {
    return new ConfirmationSchedule(random);
  }

  /** Whether a request is due; with `intervalMs`, whether at least that time has passed since the last one. */
  isDue(nowMs: number, intervalMs?: number): boolean {
    return nowMs >=
      (intervalMs === undefined ? this.dueAtMs : this.sentAtMs + intervalMs);
  }

  /** Records that a request was sent, or that a read of the store has begun. */
  recordSent(nowMs: number): void {
    this.sentAtMs = nowMs;
    this.dueAtMs = nowMs + CONFIRM_INTERVAL_MS;
  }

  /** Records that the response of a shared read was received. */
  recordSharedRead(nowMs: number): void {
    const { min, max } = NEXT_REQUEST_DELAY_MS;
    this.dueAtMs = nowMs + min + (max - min) * this.random();
  }
}
