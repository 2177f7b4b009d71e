/**
 * The witness's side of leases: the promises it has given and the sessions it refuses.
 *
 * @module
 */
import { type LeaseTiming, waiterDurationMs } from "./timing.ts";

/** A witness's response to a renewal. */
export type PromiseResponse = "promised" | "refused" | "not_permitted";

/**
 * Promises and refusals of one session as a witness. They are not persisted: a restarted daemon has a new session,
 * which starts without them. All times are in milliseconds of the witness's clock.
 */
export class WitnessLedger {
  private readonly promisedUntilMs = new Map<string, number>();
  private readonly refused = new Set<string>();
  private confirmedUntilMs = -Infinity;
  private lastStepAtMs = -Infinity;
  private receivingSinceMs = -Infinity;

  private constructor(private readonly timing: LeaseTiming) {}

  /** Creates a ledger without promises. */
  static create(timing: LeaseTiming): WitnessLedger {
    return new WitnessLedger(timing);
  }

  /**
   * Records that this session's record was read from the store and is open.
   *
   * Otherwise a network partition that lasts longer than a promise would leave every session suspended, none of
   * them permitted to promise, and so none able to recover. A read of the open record permits promises for one
   * promise duration; a takeover waits that long after sealing the record.
   *
   * @param sentAtMs this session's clock before the read was sent.
   */
  confirmOpen(sentAtMs: number): void {
    this.confirmedUntilMs = Math.max(
      this.confirmedUntilMs,
      sentAtMs + this.timing.promiseMs * (1 - this.timing.drift),
    );
  }

  /**
   * Records an iteration of the witness's control loop.
   *
   * After a pause of its own, a witness can't tell which sessions are unresponsive: it has not read the renewals
   * that arrived meanwhile, and the sessions may have been paused with it. It therefore reports none until it has
   * received messages for a whole promise duration. Otherwise all daemons of a machine that stalls for 1.2 s are
   * taken over.
   */
  recordStep(nowMs: number): void {
    if (nowMs - this.lastStepAtMs > this.timing.renewIntervalMs) {
      this.receivingSinceMs = nowMs;
    }
    this.lastStepAtMs = nowMs;
  }

  /**
   * Handles a renewal.
   *
   * A session promises only while its own lease is valid or `confirmOpen` permits it. Otherwise, if a witness and
   * the session it promises to are partitioned from the network together and both are taken over, the witness,
   * which can't be asked to refuse, keeps the old owner serving at the same time as the new one.
   *
   * @param at.validUntilMs end of this session's own lease, on its own clock like `nowMs`.
   */
  renew(
    holder: string,
    at: { nowMs: number; validUntilMs: number },
  ): PromiseResponse {
    if (this.refused.has(holder)) {
      return "refused";
    }
    if (at.nowMs >= Math.max(at.validUntilMs, this.confirmedUntilMs)) {
      return "not_permitted";
    }
    this.promisedUntilMs.set(holder, at.nowMs + waiterDurationMs(this.timing));
    return "promised";
  }

  /**
   * Refuses all further renewals of a session.
   *
   * @returns the remaining duration of the last promise to it, in milliseconds; 0 if there is none.
   */
  refuse(holder: string, nowMs: number): number {
    this.refused.add(holder);
    return Math.max(0, (this.promisedUntilMs.get(holder) ?? -Infinity) - nowMs);
  }

  /** Whether this witness refuses a session. */
  isRefused(holder: string): boolean {
    return this.refused.has(holder);
  }

  /**
   * Returns the sessions whose promises expired at least `minExpiredMs` ago and that are not refused, with the time
   * since then; none for one promise duration after a pause of this witness.
   */
  findUnresponsive(
    nowMs: number,
    minExpiredMs: number,
  ): { session: string; expiredForMs: number }[] {
    if (nowMs - this.receivingSinceMs < waiterDurationMs(this.timing)) {
      return [];
    }
    return [...this.promisedUntilMs.entries()]
      .map(([session, untilMs]) => ({ session, expiredForMs: nowMs - untilMs }))
      .filter((entry) =>
        entry.expiredForMs >= minExpiredMs && !this.refused.has(entry.session)
      );
  }

  /** Deletes the promises to, and refusals of, sessions that are not in `known`. */
  retain(known: ReadonlySet<string>): void {
    [...this.promisedUntilMs.keys()].filter((id) => !known.has(id)).forEach((
      id,
    ) => this.promisedUntilMs.delete(id));
    [...this.refused].filter((id) => !known.has(id)).forEach((id) =>
      this.refused.delete(id)
    );
  }
}
