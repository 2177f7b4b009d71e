/**
 * When a record of ownership that nobody can read may be replaced.
 *
 * @module
 */
import { TAKEOVER_WAIT_MS } from "./ownership_lease.ts";

/**
 * Counts for how long the store has held what is no record, or nothing where there was one.
 *
 * What it prevents: the last record that the repairer has read need not be the last that there was. Written back at
 * once, it would give keys to their owner of before while the later one still holds them. Nobody confirms a tenure
 * by a record that can't be read, so after the longest one no owner goes on, and any record may follow.
 */
export class RepairTimer {
  private spoiled: { revision: number; sinceMs: number } | undefined;

  private constructor() {}

  /** Creates one that has seen nothing spoiled. */
  static create(): RepairTimer {
    return new RepairTimer();
  }

  /**
   * Notes that the store's record was found spoiled.
   *
   * @param revision the store's revision of what is there; 0 where the record was taken away.
   * @returns whether that is news.
   */
  markCorrupt(revision: number, nowMs: number): boolean {
    if (this.spoiled?.revision === revision) {
      return false;
    }
    this.spoiled = { revision, sinceMs: nowMs };
    return true;
  }

  /** Notes that the store's record was found readable. */
  markReadable(): void {
    this.spoiled = undefined;
  }

  /** Whether the record was spoiled when it was last looked at. */
  get isCorrupt(): boolean {
    return this.spoiled !== undefined;
  }

  /**
   * The revision that may be replaced now, if there is one. The write must be conditional on it: then the record was
   * spoiled all the time.
   */
  findReplaceableRevision(nowMs: number): number | undefined {
    const { revision, sinceMs } = this.spoiled ??
      { revision: undefined, sinceMs: Infinity };
    return nowMs - sinceMs > TAKEOVER_WAIT_MS ? revision : undefined;
  }
}
