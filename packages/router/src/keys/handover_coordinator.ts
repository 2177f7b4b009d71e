/**
 * Synchronizes the heartbeats of the two backend servers of a handover.
 *
 * Backend servers receive their grants only in the responses to their own heartbeats, about one per second. Without
 * synchronization, keys would have no holder for half a second on average: released at a heartbeat of their source and
 * granted at a later one of their recipient. So the recipient's daemon delays a heartbeat response while it expects
 * keys, and announces this; the source's daemon delays its own response until then and releases the keys only in it.
 *
 * While an owner has more load than it can serve, moves are likely. All owners then delay their responses for a while in
 * advance, so that a move begins as soon as it is planned rather than at the next heartbeats.
 *
 * @module
 */
import type { KeyRange } from "@bamboolink/keyspace";

/** Maximum delay of a heartbeat response, in milliseconds; a backend server considers it lost after a second. */
const MAX_RESPONSE_DELAY_MS = 750;
/**
 * How long a response is delayed for moves that may be planned, in milliseconds. In the replay of hot keys, 300 ms
 * prevent nearly as many refusals as 650 ms with fewer store writes, and leave time for the handover.
 */
const MAX_PLAN_DELAY_MS = 300;
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

  /** The latest time at which a heartbeat that arrives now may be responded to. */
  latestResponseMs(nowMs: number): number {
    return nowMs + MAX_RESPONSE_DELAY_MS;
  }

  /** Waits until moves from or to this daemon are planned, it has been assigned keys, or for a maximum delay. */
  awaitPlan(isPlanned: () => boolean, now: () => number): Promise<void> {
    const { arrivalCount } = this;
    return this.waitUntil(
      () =>
        isPlanned() || this.arrivalCount > arrivalCount ||
        this.expectedSources(now()).length > 0,
      MAX_PLAN_DELAY_MS,
    );
  }

  /** Waits until some of the expected keys are owned, none is expected any more, or the latest time has come. */
  awaitKeys(now: () => number, latestMs: number): Promise<void> {
    const { arrivalCount } = this;
    return this.waitUntil(
      () =>
        this.arrivalCount > arrivalCount ||
        this.expectedSources(now()).length === 0,
      latestMs - now(),
    );
  }

  /**
   * Waits until all recipients of keys delay a heartbeat response, too, or for a maximum time.
   *
   * @param daemons returns the recipients, which may change meanwhile.
   */
  async awaitRecipients(
    daemons: () => readonly string[],
    maxMs: number,
  ): Promise<void> {
    await this.waitUntil(
      () => daemons().every((daemon) => this.awaitingRecipients.has(daemon)),
      maxMs,
    );
    this.awaitingRecipients.clear();
  }

  /** Checks again whether waits have ended. To be called when the planned moves have changed. */
  recheck(): void {
    this.runPendingChecks();
  }

  private waitUntil(isDone: () => boolean, maxMs: number): Promise<void> {
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
      const timer = setTimeout(finish, Math.max(0, maxMs));
      this.pendingChecks.add(check);
      check();
    });
  }

  private runPendingChecks(): void {
    [...this.pendingChecks].forEach((check) => check());
  }
}
