/**
 * Decides when large answers may leave over the host's network link.
 *
 * The load it answers: hosts beside servers of large answers, whose link carries fewer of them than their slots can
 * make. What is written faster than the link carries waits in its buffers, and every small answer, acknowledgement and
 * heartbeat behind it, too: in five seconds 96 of 2,086 requests to such hosts ended at their deadline, and peers took them
 * for silent 71 times. So small messages leave at once, and large answers wait here, in pieces, for the time at which the link is
 * free.
 *
 * @module
 */

/** How far ahead of the link pieces are written, in milliseconds: enough that it never idles between two timers. */
const AHEAD_MS = 10;

/** One large answer that waits. */
export interface WaitingResponse {
  /** Until when its caller wants it, on the clock of the daemon. */
  readonly objectiveAtMs: number;
  /** What has not left yet, in bytes. */
  remainingBytes: number;
}

/** How long an answer waits for the link, and takes on it, in milliseconds. */
export interface LinkDelay {
  /** Where it is in time: it goes before those that are not. */
  readonly onTimeMs: number;
  /** Where it is late: it goes after all others. */
  readonly lateMs: number;
}

/** The pace of one link. */
export class LinkPacer<Answer extends WaitingResponse> {
  private waiting: Answer[] = [];
  private clearAtMs = -Infinity;

  private constructor(private readonly bytesPerMs: number) {}

  /**
   * Creates the pacer of an idle link.
   *
   * @param bytesPerSecond what large answers may take of the link; infinite where its speed is not known.
   */
  static create<Answer extends WaitingResponse>(
    bytesPerSecond: number,
  ): LinkPacer<Answer> {
    return new LinkPacer(bytesPerSecond / 1_000);
  }

  /** How many answers wait. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Notes bytes that were written. */
  recordWritten(bytes: number, nowMs: number): void {
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

  /**
   * The answer of which the next piece may leave now, if there is one. Answers that can still arrive in time go
   * before those that can't: in the order of their objectives alone, all of them are late as soon as the link is
   * asked for more than it carries (replayed in the test).
   */
  next(nowMs: number): Answer | undefined {
    if (this.delayMs(nowMs) > 0) {
      return undefined;
    }
    return this.waiting.find((answer) => this.isInTime(answer, nowMs)) ??
      this.waiting[0];
  }

  /** Until the next piece may leave, in milliseconds. */
  delayMs(nowMs: number): number {
    return Math.max(0, this.clearAtMs - nowMs - AHEAD_MS);
  }

  /**
   * Until an answer would have left that is asked for now.
   *
   * @param bytes its size, and that of those that are being made already.
   */
  estimateDelay(bytes: number, nowMs: number): LinkDelay {
    const inTime = this.waiting.filter((answer) =>
      this.isInTime(answer, nowMs)
    );
    const clearMs = Math.max(0, this.clearAtMs - nowMs);
    return {
      onTimeMs: clearMs + (sumBytes(inTime) + bytes) / this.bytesPerMs,
      lateMs: clearMs + (sumBytes(this.waiting) + bytes) / this.bytesPerMs,
    };
  }

  private isInTime(answer: Answer, nowMs: number): boolean {
    const leftAtMs = nowMs + answer.remainingBytes / this.bytesPerMs;
    return leftAtMs <= answer.objectiveAtMs;
  }
}

function sumBytes(answers: readonly WaitingResponse[]): number {
  return answers.reduce((sum, { remainingBytes }) => sum + remainingBytes, 0);
}
