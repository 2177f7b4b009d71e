/**
 * Decides when the datagrams of a broadcast are sent.
 *
 * Designed for large fleets on slow network links: gossip to 58 daemons takes 50 ms of a link of 15 Mbit/s. A link that
 * is full drops datagrams, so such a burst loses most of them and those of other broadcasts that follow.
 *
 * @module
 */

/** Share of the network link's bandwidth that broadcasts may use. */
const BROADCAST_SHARE = 0.8;
/** Datagrams that take the network link this long, in milliseconds, are sent at once. */
const SEND_AHEAD_MS = 10;
/** Datagrams that would be delayed for longer than this, in milliseconds, are sent at once. */
const MAX_DELAY_MS = 1_000;

/** A datagram and where it is sent. */
export interface OutgoingDatagram {
  readonly bytes: Uint8Array;
  readonly address: string;
}

/** Paces the broadcasts of one daemon to the bandwidth of its host's network link. */
export class DatagramPacer<T extends OutgoingDatagram = OutgoingDatagram> {
  private waiting: T[] = [];
  private linkFreeAtMs = -Infinity;

  private constructor(private readonly bytesPerMs: number) {}

  /**
   * Creates the pacer of an idle network link.
   *
   * @param linkBytesPerSecond bandwidth of the network link; `Infinity` if unknown, which delays nothing.
   */
  static create<T extends OutgoingDatagram = OutgoingDatagram>(
    linkBytesPerSecond: number,
  ): DatagramPacer<T> {
    return new DatagramPacer<T>(linkBytesPerSecond * BROADCAST_SHARE / 1_000);
  }

  /** Number of datagrams that have not been sent yet. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Queues datagrams; small ones are sent before large ones. */
  add(datagrams: readonly T[]): void {
    this.waiting = [...this.waiting, ...datagrams].toSorted((left, right) =>
      left.bytes.length - right.bytes.length
    );
  }

  /** Removes queued datagrams that match the predicate, because newer ones replace them. */
  remove(predicate: (datagram: T) => boolean): void {
    this.waiting = this.waiting.filter((datagram) => !predicate(datagram));
  }

  /** Removes and returns the queued datagrams that are to be sent now. */
  takeDue(nowMs: number): T[] {
    this.linkFreeAtMs = Math.max(this.linkFreeAtMs, nowMs);
    const waitingBytes = this.waiting.reduce(
      (sum, { bytes }) => sum + bytes.length,
      0,
    );
    const excessBytes = waitingBytes - this.bytesPerMs * MAX_DELAY_MS;
    const due: T[] = [];
    let dueBytes = 0;
    while (
      due.length < this.waiting.length &&
      ((this.linkFreeAtMs - nowMs) * BROADCAST_SHARE < SEND_AHEAD_MS ||
        dueBytes < excessBytes)
    ) {
      const next = this.waiting[due.length]!;
      due.push(next);
      dueBytes += next.bytes.length;
      this.linkFreeAtMs += next.bytes.length / this.bytesPerMs;
    }
    this.waiting = this.waiting.slice(due.length);
    return due;
  }
}
