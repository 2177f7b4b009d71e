/**
 * The witness's side of leases: what it promised and whom it refuses.
 *
 * @module
 */
import { type LeaseTiming, waiterDurationMs } from "./timing.ts";

/** A witness's answer to a renewal. */
export type PromiseResponse = "promised" | "refused" | "not_permitted";

/** What one session promised to others. It lives and dies with the session: a restart forgets it. */
export class WitnessLedger {
  private readonly promisedUntil = new Map<string, number>();
  private readonly refused = new Set<string>();
  private confirmedUntil = -Infinity;
  private lastStepMs = -Infinity;
  private listeningSinceMs = -Infinity;

  private constructor(private readonly timing: LeaseTiming) {}

  /** Creates a ledger without promises. */
  static create(timing: LeaseTiming): WitnessLedger {
    return new WitnessLedger(timing);
  }

  /**
   * Notes that the store showed this session's record as open.
   *
   * Without this, a cut that lasts longer than a promise would leave every session suspended, none
   * permitted to promise and so none able to recover. A reading of the open record permits promises
   * for one promise's length; a takeover waits as long after sealing the record.
   *
   * @param sentAtMs this session's clock from before the reading was sent.
   */
  confirmOpen(sentAtMs: number): void {
    this.confirmedUntil = Math.max(
      this.confirmedUntil,
      sentAtMs + this.timing.promiseMs * (1 - this.timing.drift),
    );
  }

  /**
   * Notes a step of the witness's control loop.
   *
   * After a pause of its own a witness knows of nobody's silence: it has not read what arrived, and whoever
   * it witnesses for may have been paused with it. It listens for a whole promise before it calls anybody
   * silent. What goes wrong otherwise: a machine that stands still for 1.2 s has all its daemons taken over.
   */
  recordStep(nowMs: number): void {
    if (nowMs - this.lastStepMs > this.timing.renewIntervalMs) {
      this.listeningSinceMs = nowMs;
    }
    this.lastStepMs = nowMs;
  }

  /**
   * Answers a renewal.
   *
   * A session promises only while it is valid itself. What goes wrong otherwise: a witness and the
   * session it promises for are cut off together, both are taken over, and the witness, which nobody
   * can reach, keeps the old owner serving beside the new one.
   */
  renew(
    holder: string,
    at: { nowMs: number; validUntilMs: number },
  ): PromiseResponse {
    if (this.refused.has(holder)) {
      return "refused";
    }
    if (at.nowMs >= Math.max(at.validUntilMs, this.confirmedUntil)) {
      return "not_permitted";
    }
    this.promisedUntil.set(holder, at.nowMs + waiterDurationMs(this.timing));
    return "promised";
  }

  /**
   * Refuses a session from now on.
   *
   * @returns how long the last promise to it still lasts, in milliseconds.
   */
  refuse(holder: string, nowMs: number): number {
    this.refused.add(holder);
    return Math.max(0, (this.promisedUntil.get(holder) ?? -Infinity) - nowMs);
  }

  /** Whether this witness refuses a session. */
  isRefused(holder: string): boolean {
    return this.refused.has(holder);
  }

  /** Sessions whose promises have run out for at least `silentMs`, with how long ago; none soon after a pause. */
  findUnresponsive(
    nowMs: number,
    silentMs: number,
  ): { session: string; silentMs: number }[] {
    if (nowMs - this.listeningSinceMs < waiterDurationMs(this.timing)) {
      return [];
    }
    return [...this.promisedUntil.entries()]
      .map(([session, until]) => ({ session, silentMs: nowMs - until }))
      .filter((entry) =>
        entry.silentMs >= silentMs && !this.refused.has(entry.session)
      );
  }

  /** Forgets sessions that no longer count. Refusals are kept only for sessions in `known`. */
  retain(known: ReadonlySet<string>): void {
    [...this.promisedUntil.keys()].filter((id) => !known.has(id)).forEach((
      id,
    ) => this.promisedUntil.delete(id));
    [...this.refused].filter((id) => !known.has(id)).forEach((id) =>
      this.refused.delete(id)
    );
  }
}
