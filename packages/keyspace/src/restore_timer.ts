/**
 * When a record that the store lost by a rollback may be restored, and when the restored record takes full effect.
 *
 * @module
 */
import type { OwnershipRecord } from "./ownership_record.ts";
import { TAKEOVER_WAIT_MS } from "./ownership_lease.ts";

/**
 * How long a daemon waits between detecting a rollback of the store and restoring the record, in milliseconds: within a
 * gossip round, it receives a later record than its own if another daemon has one.
 */
const GATHER_WINDOW_MS = 700;

/**
 * Measures the two waits after a rollback of the store: until the newest record that any daemon has is restored, and
 * until no backend server holds keys by a record that was lost and that no reachable daemon had.
 *
 * Without the second wait, a restored record could name an owner that has been replaced, and both would hold the keys.
 * No daemon confirms its lease by a record of an earlier era, so after the maximum lease no owner holds keys by one.
 */
export class RestoreTimer {
  private earlier: { revision: number; detectedAtMs: number } | undefined;
  private restored: { era: number; observedAtMs: number } | undefined;

  private constructor() {}

  /** Creates a timer that has observed no rollback. */
  static create(): RestoreTimer {
    return new RestoreTimer();
  }

  /**
   * Records that the store holds a record of an earlier era, or none since its rollback.
   *
   * @param revision the store's revision of that record; 0 where there is none.
   * @returns whether this revision was not known as one of an earlier era before.
   */
  recordEarlierEra(revision: number, nowMs: number): boolean {
    if (this.earlier?.revision === revision) {
      return false;
    }
    this.earlier = {
      revision,
      detectedAtMs: this.earlier?.detectedAtMs ?? nowMs,
    };
    return true;
  }

  /** Records that the store holds a record of its current era. */
  recordCurrentEra(
    record: Pick<OwnershipRecord, "era" | "isRestored">,
    nowMs: number,
  ): void {
    this.earlier = undefined;
    this.observe(record, nowMs);
  }

  /**
   * Records the newest known record, whether it was read or another daemon has sent it. Without the latter, a daemon that
   * has read a restored record once would count the wait for a record of a later era from that time.
   */
  observe(
    record: Pick<OwnershipRecord, "era" | "isRestored">,
    nowMs: number,
  ): void {
    if (!record.isRestored) {
      this.restored = undefined;
    } else if (this.restored?.era !== record.era) {
      this.restored = { era: record.era, observedAtMs: nowMs };
    }
  }

  /** Whether the store held a record of an earlier era when it was last read. */
  get isOfEarlierEra(): boolean {
    return this.earlier !== undefined;
  }

  /** The revision of a record of an earlier era that is to be replaced now, if there is one. */
  findReplaceableRevision(nowMs: number): number | undefined {
    const { revision, detectedAtMs } = this.earlier ??
      { revision: undefined, detectedAtMs: Infinity };
    return nowMs - detectedAtMs >= GATHER_WINDOW_MS ? revision : undefined;
  }

  /** Whether the newest known record is a restored one that may take full effect now, like any other. */
  isSettled(nowMs: number): boolean {
    return nowMs - (this.restored?.observedAtMs ?? Infinity) > TAKEOVER_WAIT_MS;
  }
}
