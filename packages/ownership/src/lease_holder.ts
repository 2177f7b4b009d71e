/**
 * The holder's side of a lease: its promises, and the time until which they permit it to serve.
 *
 * @module
 */
import { holderDurationMs, type LeaseTiming, quorumOf } from "./timing.ts";

/**
 * Delay before the first retry at a witness that was not permitted to promise, in milliseconds. It doubles up to
 * the regular renewal interval: after a stall of many daemons the witnesses can promise again within tens of
 * milliseconds, and a witness that is partitioned from the network costs only three additional renewals.
 */
const INITIAL_RETRY_DELAY_MS = 50;

/** Promises that one session has from its witnesses. All times are in milliseconds of the holder's clock. */
export class LeaseHolder {
  private readonly expiresAtMs = new Map<string, number>();
  private readonly lastSentAtMs = new Map<string, number>();
  private readonly retries = new Map<
    string,
    { delayMs: number; dueAtMs: number }
  >();
  private witnessSets: readonly (readonly string[])[] = [[]];
  private validUntilMs = Infinity;

  private constructor(private readonly timing: LeaseTiming) {}

  /** Creates a holder without promises. */
  static create(timing: LeaseTiming): LeaseHolder {
    return new LeaseHolder(timing);
  }

  /**
   * Sets the witnesses whose promises count, and drops the promises of all others.
   *
   * @param sets one set, or several while the store has not responded to a change of witnesses. The change may or
   *   may not have taken effect, and a takeover asks only the set in the record, so a quorum of each set is needed
   *   until it is known which one that is.
   */
  setWitnesses(...sets: readonly (readonly string[])[]): void {
    this.witnessSets = sets;
    const named = new Set(sets.flat());
    [...this.expiresAtMs.keys()]
      .filter((witness) => !named.has(witness))
      .forEach((witness) => this.expiresAtMs.delete(witness));
    [...this.retries.keys()]
      .filter((witness) => !named.has(witness))
      .forEach((witness) => this.retries.delete(witness));
    this.validUntilMs = this.computeValidUntil();
  }

  /** All witnesses to which renewals are sent. */
  get witnesses(): string[] {
    return [...new Set(this.witnessSets.flat())];
  }

  /** Records that a renewal is being sent. */
  markSent(witness: string, sentAtMs: number): void {
    this.lastSentAtMs.set(witness, sentAtMs);
    const retry = this.retries.get(witness);
    if (retry !== undefined) {
      this.retries.set(witness, { ...retry, dueAtMs: Infinity });
    }
  }

  /** Records that a witness may not promise at present, and schedules a retry with exponential backoff. */
  recordNotPermitted(witness: string, nowMs: number): void {
    const delayMs = (this.retries.get(witness)?.delayMs ??
      INITIAL_RETRY_DELAY_MS / 2) * 2;
    this.retries.set(witness, { delayMs, dueAtMs: nowMs + delayMs });
  }

  /** Returns the witnesses whose renewal or retry is due. */
  dueRenewals(nowMs: number): string[] {
    const dueBeforeMs = nowMs - this.timing.renewIntervalMs;
    return this.witnesses.filter((witness) =>
      (this.lastSentAtMs.get(witness) ?? -Infinity) <= dueBeforeMs ||
      (this.retries.get(witness)?.dueAtMs ?? Infinity) <= nowMs
    );
  }

  /**
   * Records a promise.
   *
   * @param sentAtMs the holder's clock *before* the renewal was sent. The witness counts from the arrival of the
   *   renewal, so the promise ends first for the holder, however long the messages took.
   */
  recordPromise(witness: string, sentAtMs: number): void {
    this.retries.delete(witness);
    const promiseEndsAtMs = sentAtMs + holderDurationMs(this.timing);
    this.expiresAtMs.set(
      witness,
      Math.max(promiseEndsAtMs, this.expiresAtMs.get(witness) ?? -Infinity),
    );
    this.validUntilMs = this.computeValidUntil();
  }

  /** Drops the promise of a witness that has refused a renewal. */
  dropPromise(witness: string): void {
    this.expiresAtMs.delete(witness);
    this.validUntilMs = this.computeValidUntil();
  }

  /**
   * The time until which the session may serve. Callers compare it with the clock at every dispatch, because a
   * paused process can resume after this time and before any of its timers fires.
   */
  get validUntil(): number {
    return this.validUntilMs;
  }

  /** When the promise of a witness ends, `undefined` without a promise; for status pages. */
  expiryOf(witness: string): number | undefined {
    return this.expiresAtMs.get(witness);
  }

  private computeValidUntil(): number {
    return Math.min(...this.witnessSets.map((set) => this.quorumExpiry(set)));
  }

  /** The time from which fewer than a quorum of the set's promises are valid. */
  private quorumExpiry(set: readonly string[]): number {
    const quorum = quorumOf(set.length);
    if (quorum === 0) {
      return Infinity;
    }
    const latestFirst = set
      .map((witness) => this.expiresAtMs.get(witness) ?? -Infinity)
      .sort((left, right) => right - left);
    return latestFirst[quorum - 1] ?? -Infinity;
  }
}
