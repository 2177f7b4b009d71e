/**
 * When a corrupt ownership record may be replaced.
 *
 * @module
 */
import { TAKEOVER_WAIT_MS } from "./ownership_lease.ts";

/**
 * Measures for how long the store has held a corrupt record, or none where there was one.
 *
 * The last record that the repairing daemon has read need not be the last one that was written. Written back at once,
 * it would return keys to a previous owner while a later owner still holds them. No daemon confirms its lease by a
 * corrupt record, so after the maximum lease no owner holds keys, and any record may be written.
 */
export class RepairTimer {
  private corrupt: { revision: number; detectedAtMs: number } | undefined;

  private constructor() {}

  /** Creates a timer that has observed no corrupt record. */
  static create(): RepairTimer {
    return new RepairTimer();
  }

  /**
   * Records that the store's record was found corrupt.
   *
   * @param revision the store's revision of the corrupt record; 0 where the record was deleted.
   * @returns whether this revision was not known as corrupt before.
   */
  markCorrupt(revision: number, nowMs: number): boolean {
    if (this.corrupt?.revision === revision) {
      return false;
    }
    this.corrupt = { revision, detectedAtMs: nowMs };
    return true;
  }

  /** Records that the store's record was found readable. */
  markReadable(): void {
    this.corrupt = undefined;
  }

  /** Whether the record was corrupt when it was last read. */
  get isCorrupt(): boolean {
    return this.corrupt !== undefined;
  }

  /**
   * The revision that may be replaced now, if there is one. The write must be conditional on it, which ensures that the
   * record was corrupt for the whole time.
   */
  findReplaceableRevision(nowMs: number): number | undefined {
    const { revision, detectedAtMs } = this.corrupt ??
      { revision: undefined, detectedAtMs: Infinity };
    return nowMs - detectedAtMs > TAKEOVER_WAIT_MS ? revision : undefined;
  }
}
