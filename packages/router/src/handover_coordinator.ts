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
import type { KeyRange } from "@bamboolink/keyspace";

/** How long an answer is held back, in milliseconds; a backend server takes one for lost after a second. */
const HOLD_BACK_MS = 750;
/** How long keys are expected after the word that they come, in milliseconds. */
const EXPECT_MS = 2_500;

/** Keys that are to come, and the work they bring, in milliseconds of a slot a second. */
export interface ExpectedRange extends KeyRange {
  readonly load: number;
}

interface Expectation {
  readonly untilMs: number;
  readonly ranges: readonly ExpectedRange[];
}

/** What both ends of handovers wait for, at one daemon. */
export class HandoverCoordinator {
  private readonly expectations = new Map<string, Expectation>();
  private readonly awaiting = new Set<string>();
  private readonly waits = new Set<() => void>();
  private arrivals = 0;

  private constructor() {}

  /** Creates a desk without handovers. */
  static create(): HandoverCoordinator {
    return new HandoverCoordinator();
  }

  /** Another daemon says that keys are about to come from it. */
  expectRanges(
    sender: string,
    ranges: readonly ExpectedRange[],
    nowMs: number,
  ): void {
    this.expectations.set(sender, { untilMs: nowMs + EXPECT_MS, ranges });
  }

  /** Another daemon says that it holds back an answer for keys to come. */
  markAwaiting(sender: string): void {
    this.awaiting.add(sender);
    this.wake();
  }

  /** The own keys have become more; returns which of those that were expected are among them. */
  takeArrived(isOwn: (key: number) => boolean): ExpectedRange[] {
    const arrived = [...this.expectations].filter(([, { ranges }]) =>
      ranges.some(({ from }) => isOwn(from))
    );
    arrived.forEach(([sender]) => this.expectations.delete(sender));
    this.arrivals += 1;
    this.wake();
    return arrived.flatMap(([, { ranges }]) => ranges)
      .filter(({ from }) => isOwn(from));
  }

  /** Daemons from which keys are expected. */
  expectedSenders(nowMs: number): string[] {
    return [...this.expectations]
      .filter(([, { untilMs }]) => nowMs < untilMs)
      .map(([sender]) => sender);
  }

  /** Holds back an answer until some of the expected keys have come. */
  awaitKeys(now: () => number): Promise<void> {
    const { arrivals } = this;
    return this.waitUntil(() =>
      this.arrivals > arrivals || this.expectedSenders(now()).length === 0
    );
  }

  /** Holds back an answer until all daemons that are to take keys hold back one, too. */
  async awaitRecipients(daemons: readonly string[]): Promise<void> {
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
