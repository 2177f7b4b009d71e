/**
 * Decides when large answers may leave over the host's network link.
 *
 * The load it answers: hosts beside servers of large answers, whose link carries fewer of them than their slots can
 * make. What is written faster than the link carries waits in its buffers, and every small answer, acknowledgement and
 * heartbeat behind it, too: 145 of 2,100 calls to such a host ended at their deadline and its peers took it for
 * silent. So small messages leave at once, and large answers wait here, in pieces, for the time at which the link is
 * free.
 *
 * @module
 */

/** How far ahead of the link pieces are written, in milliseconds: enough that it never idles between two timers. */
const AHEAD_MS = 10;

/** One large answer that waits. */
export interface WaitingAnswer {
  /** Until when its caller wants it, on the clock of the daemon. */
  readonly objectiveAtMs: number;
  /** What has not left yet, in bytes. */
  bytesLeft: number;
}

/** The pace of one link. */
export class LinkPacer<Answer extends WaitingAnswer> {
  private waiting: Answer[] = [];
  private clearAtMs = -Infinity;

  private constructor(private readonly bytesPerMs: number) {}

  /**
   * Creates the pacer of an idle link.
   *
   * @param bytesPerSecond what large answers may take of the link; infinite where its speed is not known.
   */
  static create<Answer extends WaitingAnswer>(
    bytesPerSecond: number,
  ): LinkPacer<Answer> {
    return new LinkPacer(bytesPerSecond / 1_000);
  }

  /** How many answers wait. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Notes bytes that were written. */
  noteWritten(bytes: number, nowMs: number): void {
    this.clearAtMs = Math.max(this.clearAtMs, nowMs) + bytes / this.bytesPerMs;
  }

  /** Lets an answer wait for its turn: those that are wanted first go first. */
  add(answer: Answer): void {
    const index = this.waiting.findIndex(({ objectiveAtMs }) =>
      objectiveAtMs > answer.objectiveAtMs
    );
    this.waiting.splice(index < 0 ? this.waiting.length : index, 0, answer);
  }

  /** Takes out answers that nobody waits for any more, or that have left. */
  remove(isGone: (answer: Answer) => boolean): void {
    this.waiting = this.waiting.filter((answer) => !isGone(answer));
  }

  /** The answer of which the next piece may leave now, if there is one. */
  next(nowMs: number): Answer | undefined {
    return this.delayMs(nowMs) <= 0 ? this.waiting[0] : undefined;
  }

  /** Until the next piece may leave, in milliseconds. */
  delayMs(nowMs: number): number {
    return Math.max(0, this.clearAtMs - nowMs - AHEAD_MS);
  }

  /**
   * Until an answer would have left that is asked for now, in milliseconds.
   *
   * @param bytes its size, and that of those that are being made already.
   */
  expectMs(bytes: number, nowMs: number): number {
    const waiting = this.waiting.reduce(
      (sum, { bytesLeft }) => sum + bytesLeft,
      0,
    );
    return Math.max(0, this.clearAtMs - nowMs) +
      (waiting + bytes) / this.bytesPerMs;
  }
}
