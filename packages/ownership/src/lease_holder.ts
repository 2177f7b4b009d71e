/**
 * The holder's side of a lease: which promises it has and until when it may serve.
 *
 * @module
 */
import { holderDurationMs, type LeaseTiming, quorumOf } from "./timing.ts";

/**
 * First pause before a witness that could not promise is asked again, in milliseconds. It doubles up to the
 * regular renewal: after a stall of many daemons the witnesses can promise within tens of milliseconds, and
 * a witness that is cut off costs three renewals more.
 */
const FIRST_REPEAT_MS = 50;

/** Promises that one session holds from its witnesses. */
export class LeaseHolder {
  private readonly expiries = new Map<string, number>();
  private readonly lastSent = new Map<string, number>();
  private readonly repeats = new Map<
    string,
    { pauseMs: number; dueAtMs: number }
  >();
  private sets: readonly (readonly string[])[] = [[]];
  private until = Infinity;

  private constructor(private readonly timing: LeaseTiming) {}

  /** Creates a holder without promises. */
  static create(timing: LeaseTiming): LeaseHolder {
    return new LeaseHolder(timing);
  }

  /**
   * Names the witnesses that count.
   *
   * @param sets one set; or two while the store has not yet answered a change of witnesses. The change
   *   may or may not have taken effect, and a takeover asks only the set in the record, so a quorum of
   *   each is needed until it is known which set that is.
   */
  setWitnesses(...sets: readonly (readonly string[])[]): void {
    this.sets = sets;
    const named = new Set(sets.flat());
    [...this.expiries.keys()]
      .filter((witness) => !named.has(witness))
      .forEach((witness) => this.expiries.delete(witness));
    [...this.repeats.keys()]
      .filter((witness) => !named.has(witness))
      .forEach((witness) => this.repeats.delete(witness));
    this.until = this.computeValidUntil();
  }

  /** All witnesses that are asked for promises. */
  get witnesses(): string[] {
    return [...new Set(this.sets.flat())];
  }

  /** Notes that a renewal is being sent. */
  markSent(witness: string, sentAtMs: number): void {
    this.lastSent.set(witness, sentAtMs);
    const repeat = this.repeats.get(witness);
    if (repeat !== undefined) {
      this.repeats.set(witness, { ...repeat, dueAtMs: Infinity });
    }
  }

  /** Notes that a witness answered that it may not promise at the moment. */
  recordNotPermitted(witness: string, nowMs: number): void {
    const pauseMs = (this.repeats.get(witness)?.pauseMs ??
      FIRST_REPEAT_MS / 2) * 2;
    this.repeats.set(witness, { pauseMs, dueAtMs: nowMs + pauseMs });
  }

  /** Witnesses that are to be asked again. */
  dueRenewals(nowMs: number): string[] {
    const due = nowMs - this.timing.renewIntervalMs;
    return this.witnesses.filter((witness) =>
      (this.lastSent.get(witness) ?? -Infinity) <= due ||
      (this.repeats.get(witness)?.dueAtMs ?? Infinity) <= nowMs
    );
  }

  /**
   * Notes a promise.
   *
   * @param sentAtMs the holder's clock from *before* the renewal was sent. The witness counts from
   *   after its arrival, so however long the messages took, the holder stops first.
   */
  recordPromise(witness: string, sentAtMs: number): void {
    this.repeats.delete(witness);
    const expiry = sentAtMs + holderDurationMs(this.timing);
    this.expiries.set(
      witness,
      Math.max(expiry, this.expiries.get(witness) ?? -Infinity),
    );
    this.until = this.computeValidUntil();
  }

  /** Forgets a witness's promise, because the witness said that it refuses. */
  dropPromise(witness: string): void {
    this.expiries.delete(witness);
    this.until = this.computeValidUntil();
  }

  /**
   * Until when the session may serve, on the holder's clock. It is compared with the clock at every
   * dispatch: a process that was paused wakes up expired, before any timer could tell it.
   */
  get validUntil(): number {
    return this.until;
  }

  /** When each witness's promise ends, for status pages. */
  expiryOf(witness: string): number | undefined {
    return this.expiries.get(witness);
  }

  private computeValidUntil(): number {
    return Math.min(...this.sets.map((set) => this.quorumExpiry(set)));
  }

  /** The time at which fewer than a quorum of promises are left. */
  private quorumExpiry(set: readonly string[]): number {
    const quorum = quorumOf(set.length);
    if (quorum === 0) {
      return Infinity;
    }
    const latestFirst = set
      .map((witness) => this.expiries.get(witness) ?? -Infinity)
      .sort((left, right) => right - left);
    return latestFirst[quorum - 1] ?? -Infinity;
  }
}
