/**
 * Schedules the repeats of news that must reach all daemons, although the datagrams of a broadcast may all be lost.
 *
 * Each daemon that receives news repeats it to a few others, so the number of daemons that know it grows exponentially,
 * however few the broadcast reached. The repeats end after a few seconds, so no datagrams are sent without news.
 *
 * @module
 */

/** Time from the news to its first repeat, in milliseconds. */
const FIRST_INTERVAL_MS = 100;
/** Each interval between repeats is longer than the previous one by this factor. */
const INTERVAL_GROWTH = 1.2;
/** Number of repeats, over 3.2 s: the fleet must know of a crash within 3 s, also if a link loses most datagrams. */
const REPEAT_COUNT = 11;
/** Upper bound on scheduled items. */
const MAX_ITEMS = 1_024;

interface ScheduledRepeat {
  /** Number of repeats so far. */
  readonly repeats: number;
  readonly dueAtMs: number;
}

/** The items of news that one daemon repeats, each identified by a key. */
export class RepeatSchedule {
  private readonly scheduled = new Map<string, ScheduledRepeat>();

  private constructor() {}

  /** Creates an empty schedule. */
  static create(): RepeatSchedule {
    return new RepeatSchedule();
  }

  /** Whether an item is still to be repeated. */
  has(key: string): boolean {
    return this.scheduled.has(key);
  }

  /** Schedules the repeats of an item that is new or has changed. */
  add(key: string, nowMs: number): void {
    this.scheduled.delete(key);
    this.scheduled.set(key, {
      repeats: 0,
      dueAtMs: nowMs + FIRST_INTERVAL_MS,
    });
    if (this.scheduled.size > MAX_ITEMS) {
      const [oldest] = this.scheduled.keys();
      this.scheduled.delete(oldest!);
    }
  }

  /**
   * Returns the items that are to be repeated now, and schedules their next repeats.
   *
   * @param maxCount upper bound on returned items; the others stay due.
   */
  takeDue(nowMs: number, maxCount: number): string[] {
    const due = [...this.scheduled]
      .filter(([, { dueAtMs }]) => dueAtMs <= nowMs)
      .slice(0, maxCount);
    due.forEach(([key, entry]) => {
      const repeats = entry.repeats + 1;
      const intervalMs = FIRST_INTERVAL_MS * INTERVAL_GROWTH ** repeats;
      this.scheduled.delete(key);
      if (repeats < REPEAT_COUNT) {
        this.scheduled.set(key, { repeats, dueAtMs: nowMs + intervalMs });
      }
    });
    return due.map(([key]) => key);
  }
}
