/**
 * Learns how long daemons take to say that they have a request.
 *
 * @module
 */

/**
 * The shortest time after which a daemon counts as frozen or cut off, in milliseconds. A lost packet is
 * sent again after 200 ms, which must not look so.
 */
const SHORTEST_MS = 260;
/** A daemon that is short of processor time answers late, and giving up on it would make it worse. */
const USUAL_FACTOR = 4;
/** Weight of the latest time. */
const LEARNING_RATE = 0.1;

/** The usual time over all daemons: what slows one down mostly slows the others, or the own one. */
export class AcknowledgementTimes {
  private usualMs = 0;

  private constructor() {}

  /** Creates one that has seen nothing. */
  static create(): AcknowledgementTimes {
    return new AcknowledgementTimes();
  }

  /** Notes how long one took, in milliseconds. */
  record(tookMs: number): void {
    this.usualMs += LEARNING_RATE * (tookMs - this.usualMs);
  }

  /** After how long a daemon counts as frozen or cut off, in milliseconds. */
  get limitMs(): number {
    return Math.max(SHORTEST_MS, this.usualMs * USUAL_FACTOR);
  }
}
