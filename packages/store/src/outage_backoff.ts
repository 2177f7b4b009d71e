/**
 * Pauses all calls to the store after a watch has failed.
 *
 * Without it, every loop of every daemon keeps calling during an outage, tens of calls per second from a single
 * daemon, and all of them reach the store at the moment it recovers. With it, single calls test whether the store is
 * back, after pauses that grow exponentially with jitter.
 *
 * @module
 */

const INITIAL_PAUSE_MS = 50;
const MAX_PAUSE_MS = 1_000;

/** Exponential backoff with jitter. Pure: time and randomness are parameters. */
export class OutageBackoff {
  private failures = 0;
  private pausedUntilMs = -Infinity;

  private constructor() {}

  /** Creates a backoff that allows calls. */
  static create(): OutageBackoff {
    return new OutageBackoff();
  }

  /** Whether a call may be made now. */
  mayCall(nowMs: number): boolean {
    return nowMs >= this.pausedUntilMs;
  }

  /** Records that a watch failed, and pauses all calls; `random` is a number in [0, 1). */
  recordFailure(nowMs: number, random: number): void {
    const maxPauseMs = Math.min(
      MAX_PAUSE_MS,
      INITIAL_PAUSE_MS * 2 ** this.failures,
    );
    this.failures = Math.min(this.failures + 1, 10);
    this.pausedUntilMs = nowMs + maxPauseMs * (0.5 + random / 2);
  }

  /** Records a response of any status, and allows calls again. */
  recordResponse(): void {
    this.failures = 0;
    this.pausedUntilMs = -Infinity;
  }
}
