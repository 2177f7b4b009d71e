/**
 * Holds calls back while the store is away.
 *
 * What goes wrong without it: during an outage every loop of every daemon goes on calling, and when the
 * store comes back it is met by all of them at once. It shows as tens of calls a second from one daemon
 * to a store that is down. Here one call at a time finds out whether the store is back, after pauses
 * that grow and are spread.
 *
 * @module
 */

/** The first pause, and the longest, in milliseconds. */
const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 1_000;

/** Decides whether a call may be made. Pure: time and randomness come in. */
export class OutageBackoff {
  private failures = 0;
  private closedUntilMs = -Infinity;

  private constructor() {}

  /** Creates an open gate. */
  static create(): OutageBackoff {
    return new OutageBackoff();
  }

  /** Whether a call may be made now. */
  mayCall(nowMs: number): boolean {
    return nowMs >= this.closedUntilMs;
  }

  /** Notes a call without an answer; `random` is a number from 0 up to 1. */
  recordFailure(nowMs: number, random: number): void {
    const ceiling = Math.min(
      LONGEST_PAUSE_MS,
      FIRST_PAUSE_MS * 2 ** this.failures,
    );
    this.failures = Math.min(this.failures + 1, 10);
    this.closedUntilMs = nowMs + ceiling * (0.5 + random / 2);
  }

  /** Notes an answer, whatever it said. */
  recordResponse(): void {
    this.failures = 0;
    this.closedUntilMs = -Infinity;
  }
}
