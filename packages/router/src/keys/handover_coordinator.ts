/**
 * Synchronizes the heartbeats of the two backend servers of a handover.
 *
 * Backend servers receive their grants only in the responses to their own heartbeats, about one per second. Without
 * synchronization, keys would have no holder for half a second on average: released at a heartbeat of their source and
 * granted at a later one of their recipient. So the recipient's daemon delays a heartbeat response while it expects
 * keys, and announces this; the source's daemon delays its own response until then and releases the keys only in it.
 *
 * @module
 */
import type { KeyRange } from "@bamboolink/keyspace";

/** Maximum delay of a heartbeat response, in milliseconds; a backend server considers it lost after a second. */
const MAX_RESPONSE_DELAY_MS = 750;
/** How long keys are expected after their move was announced, in milliseconds. */
const EXPECTATION_TTL_MS = 2_500;

/** Keys that are about to be received, and their load in milliseconds of slot time per second. */
export interface ExpectedRange extends KeyRange {
  readonly load: number;
}

interface Expectation {
  readonly expiresAtMs: number;
  readonly ranges: readonly ExpectedRange[];
}

/** Tracks the handovers of one daemon, and delays its heartbeat responses for them, as their source or recipient. */
export class HandoverCoordinator {
  private readonly expectations = new Map<string, Expectation>();
  private readonly awaitingRecipients = new Set<string>();
  private readonly pendingChecks = new Set<() => void>();
  private arrivalCount = 0;

  private constructor() {}

  /** Creates a coordinator without handovers. */
  static create(): HandoverCoordinator {
    return new HandoverCoordinator();
  }

  /** Records the ranges that another daemon has announced to move to this one; none if it no longer does. */
  expectRanges(
    source: string,
    ranges: readonly ExpectedRange[],
    nowMs: number,
  ): void {
    if (ranges.length === 0) {
      this.expectations.delete(source);
    } else {
      this.expectations.set(source, {
        expiresAtMs: nowMs + EXPECTATION_TTL_MS,
        ranges,
      });
    }
    this.runPendingChecks();
  }

  /** Records that another daemon delays a heartbeat response until it has received keys. */
  markAwaiting(recipient: string): void {
    this.awaitingRecipients.add(recipient);
    this.runPendingChecks();
  }

  /** Called after this daemon has been assigned keys; returns the expected ranges that it now owns. */
  takeArrived(isOwn: (key: number) => boolean): ExpectedRange[] {
    const arrived = [...this.expectations].filter(([, { ranges }]) =>
      ranges.some(({ from }) => isOwn(from))
    );
    arrived.forEach(([source]) => this.expectations.delete(source));
    this.arrivalCount += 1;
    this.runPendingChecks();
    return arrived.flatMap(([, { ranges }]) => ranges)
      .filter(({ from }) => isOwn(from));
  }

  /** The daemons from which keys are expected. */
  expectedSources(nowMs: number): string[] {
    return [...this.expectations]
      .filter(([, { expiresAtMs }]) => nowMs < expiresAtMs)
      .map(([source]) => source);
  }

  /** Waits until some of the expected keys are owned, none is expected any more, or the maximum delay has passed. */
  awaitKeys(now: () => number): Promise<void> {
    const { arrivalCount } = this;
    return this.waitUntil(() =>
      this.arrivalCount > arrivalCount ||
      this.expectedSources(now()).length === 0
    );
  }

  /**
   * Waits until all recipients of keys delay a heartbeat response, too, or the maximum delay has passed.
   *
   * @param daemons returns the recipients, which may change meanwhile.
   */
  async awaitRecipients(daemons: () => readonly string[]): Promise<void> {
    await this.waitUntil(() =>
      daemons().every((daemon) => this.awaitingRecipients.has(daemon))
    );
    this.awaitingRecipients.clear();
  }

  /** Checks again whether waits have ended. To be called when the planned moves have changed. */
  recheck(): void {
    this.runPendingChecks();
  }

  private waitUntil(isDone: () => boolean): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.pendingChecks.delete(check);
        resolve();
      };
      const check = () => {
        if (isDone()) {
          finish();
        }
      };
      const timer = setTimeout(finish, MAX_RESPONSE_DELAY_MS);
      this.pendingChecks.add(check);
      check();
    });
  }

  private runPendingChecks(): void {
    [...this.pendingChecks].forEach((check) => check());
  }
}
