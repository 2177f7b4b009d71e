/**
 * Decides when owners ask what the store holds, to extend their tenures, and when the one daemon that reads for all of
 * them reads.
 *
 * The load it answers: 98 owners that each need to know it every 1.5 s. Asked for at any moment, a read in 0.4 s is due
 * all the time; brought together, one in 1.4 s is enough.
 *
 * @module
 */

/** Time between two questions of an owner that is not answered by another daemon, in milliseconds. */
export const CONFIRM_INTERVAL_MS = 1_500;
/**
 * An owner asks the daemon that reads for all again between these times after its answer, in milliseconds: the sooner,
 * the more reads; the later, the older its confirmation gets until the next one.
 */
const ASK_AGAIN_MS = { least: 900, most: 1_100 };
/** The daemon that reads for all does so at multiples of this time on its clock, in milliseconds. */
const READ_EACH_MS = 1_400;
/** Questions wait for that for so long at most, in milliseconds; an owner reads for itself after 800. */
const LONGEST_WAIT_MS = 600;
/**
 * Other questions are answered after so long, in milliseconds. Their owners ask again some 1.2 s after they asked, so
 * each time earlier against the common reads, until they are among those who wait for one.
 */
const APART_MS = 200;

/** For how long the daemon that reads gathers questions from now on, in milliseconds. */
export function batchDelayMs(nowMs: number): number {
  const untilReadMs = READ_EACH_MS - nowMs % READ_EACH_MS;
  return untilReadMs <= LONGEST_WAIT_MS ? untilReadMs : APART_MS;
}

/** The questions of one owner. */
export class ConfirmationSchedule {
  private sentMs = -Infinity;
  private dueMs = -Infinity;

  private constructor(private readonly random: () => number) {}

  /** Creates the turns of an owner that has not asked yet. */
  static create(random: () => number): ConfirmationSchedule {
    return new ConfirmationSchedule(random);
  }

  /** Whether it is time to ask; with `pauseMs`, whether the last question was sent so long ago. */
  isDue(nowMs: number, pauseMs?: number): boolean {
    return nowMs >=
      (pauseMs === undefined ? this.dueMs : this.sentMs + pauseMs);
  }

  /** A question was sent, or the store is being read. */
  recordSent(nowMs: number): void {
    this.sentMs = nowMs;
    this.dueMs = nowMs + CONFIRM_INTERVAL_MS;
  }

  /** The daemon that reads for all has answered. */
  recordSharedRead(nowMs: number): void {
    const { least, most } = ASK_AGAIN_MS;
    this.dueMs = nowMs + least + (most - least) * this.random();
  }
}
