/**
 * When what the store has lost by going back may be put back, and when that is in force.
 *
 * @module
 */
import type { OwnershipRecord } from "./ownership_record.ts";
import { TAKEOVER_WAIT_MS } from "./ownership_lease.ts";

/**
 * How long the daemon that puts a record back waits from when it has seen that the store went back, in milliseconds:
 * others tell it within a round of gossip of a later record than its own.
 */
const GATHER_MS = 700;

/**
 * Counts the two waits after a store has gone back: until the newest record that anybody knows is put back, and until
 * nobody holds keys by one that was lost and that nobody who was asked knew.
 *
 * What it prevents: a record that was put back names an owner that has been replaced, and both hold the keys. Nobody
 * confirms a tenure by a record of a former era, so after the longest tenure no owner goes on by one.
 */
export class RestoreTimer {
  private former: { revision: number; sinceMs: number } | undefined;
  private restored: { era: number; sinceMs: number } | undefined;

  private constructor() {}

  /** Creates one that has seen nothing of the kind. */
  static create(): RestoreTimer {
    return new RestoreTimer();
  }

  /**
   * Notes that the store holds a record of a former era, or none since it went back.
   *
   * @param revision the store's revision of what is there; 0 where there is none.
   * @returns whether that is news.
   */
  recordEarlierEra(revision: number, nowMs: number): boolean {
    if (this.former?.revision === revision) {
      return false;
    }
    this.former = { revision, sinceMs: this.former?.sinceMs ?? nowMs };
    return true;
  }

  /** Notes a record of the store's present era. */
  recordCurrentEra(
    record: Pick<OwnershipRecord, "era" | "isRestored">,
    nowMs: number,
  ): void {
    this.former = undefined;
    if (!record.isRestored) {
      this.restored = undefined;
    } else if (this.restored?.era !== record.era) {
      this.restored = { era: record.era, sinceMs: nowMs };
    }
  }

  /** Whether the store held a record of a former era when it was last looked at. */
  get isOfEarlierEra(): boolean {
    return this.former !== undefined;
  }

  /** The revision of a record of a former era that is to be replaced now, if there is one. */
  findReplaceableRevision(nowMs: number): number | undefined {
    const { revision, sinceMs } = this.former ??
      { revision: undefined, sinceMs: Infinity };
    return nowMs - sinceMs >= GATHER_MS ? revision : undefined;
  }

  /** Whether a record that was put back is in force like any other now. */
  isSettled(nowMs: number): boolean {
    return nowMs - (this.restored?.sinceMs ?? Infinity) > TAKEOVER_WAIT_MS;
  }
}
