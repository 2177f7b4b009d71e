/**
 * Brings the two heartbeats of a handover together.
 *
 * Backend servers learn what they hold only from the answers to their own heartbeats, about one a
 * second. Left to chance, keys would have no holder for half a second on average: released at one
 * heartbeat of the old owner, granted at a later one of the new. So the new owner's daemon holds back an
 * answer when it expects keys, and says so; the old owner's daemon holds back its own until then and
 * releases only in that answer.
 *
 * @module
 */

/** How long an answer is held back, in milliseconds; a backend server takes one for lost after a second. */
const HOLD_BACK_MS = 750;
/** How long keys are expected after the word that they come, in milliseconds. */
const EXPECT_MS = 2_500;

/** What both ends of handovers wait for, at one daemon. */
export class HandoverDesk {
  private expectUntilMs = -Infinity;
  private readonly senders = new Set<string>();
  private readonly awaiting = new Set<string>();
  private readonly waits = new Set<() => void>();

  private constructor() {}

  /** Creates a desk without handovers. */
  static create(): HandoverDesk {
    return new HandoverDesk();
  }

  /** Another daemon says that keys are about to come from it. */
  noteExpected(sender: string, nowMs: number): void {
    this.expectUntilMs = nowMs + EXPECT_MS;
    this.senders.add(sender);
  }

  /** Another daemon says that it holds back an answer for keys to come. */
  noteAwaiting(sender: string): void {
    this.awaiting.add(sender);
    this.wake();
  }

  /** Keys have come, or the plan is void. */
  noteDone(): void {
    this.expectUntilMs = -Infinity;
    this.senders.clear();
    this.wake();
  }

  /** Daemons from which keys are expected. */
  expectedFrom(nowMs: number): string[] {
    return nowMs < this.expectUntilMs ? [...this.senders] : [];
  }

  /** Holds back an answer until expected keys have come. */
  awaitKeys(now: () => number): Promise<void> {
    return this.waitUntil(() => now() >= this.expectUntilMs);
  }

  /** Holds back an answer until all daemons that are to take keys hold back one, too. */
  async awaitTakers(daemons: readonly string[]): Promise<void> {
    await this.waitUntil(() =>
      daemons.every((daemon) => this.awaiting.has(daemon))
    );
    this.awaiting.clear();
  }

  private waitUntil(isDone: () => boolean): Promise<void> {
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        this.waits.delete(look);
        resolve();
      };
      const look = () => {
        if (isDone()) {
          end();
        }
      };
      const timer = setTimeout(end, HOLD_BACK_MS);
      this.waits.add(look);
      look();
    });
  }

  private wake(): void {
    [...this.waits].forEach((look) => look());
  }
}
