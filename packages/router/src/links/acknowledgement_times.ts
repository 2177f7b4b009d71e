/**
 * Learns how long daemons take to acknowledge a request, and derives a timeout from it.
 *
 * @module
 */

/**
 * Minimum time without an acknowledgement after which a daemon counts as unresponsive, in milliseconds. TCP retransmits
 * a lost packet after 200 ms, which must not count as such.
 */
const MIN_TIMEOUT_MS = 260;
/** Timeout as a multiple of the average. A daemon short of processor time responds late; retries would add load. */
const TIMEOUT_FACTOR = 4;
/** Weight of the latest time in the moving average (EWMA). */
const ACKNOWLEDGEMENT_EWMA_WEIGHT = 0.1;

/** Average acknowledgement time over all daemons: what slows one down mostly slows the others, or this one, too. */
export class AcknowledgementTimes {
  private averageMs = 0;

  private constructor() {}

  /** Creates an instance without measurements. */
  static create(): AcknowledgementTimes {
    return new AcknowledgementTimes();
  }

  /** Records the time until an acknowledgement, in milliseconds. */
  record(durationMs: number): void {
    this.averageMs += ACKNOWLEDGEMENT_EWMA_WEIGHT *
      (durationMs - this.averageMs);
  }

  /** Time without an acknowledgement after which a daemon counts as unresponsive, in milliseconds. */
  get timeoutMs(): number {
    return Math.max(MIN_TIMEOUT_MS, this.averageMs * TIMEOUT_FACTOR);
  }
}
