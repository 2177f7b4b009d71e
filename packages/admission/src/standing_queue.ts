/**
 * Bounds the wait in a queue by how long the queue has been standing.
 *
 * A queue that becomes empty again has served a burst, whose requests would otherwise have been refused. A queue that
 * stands, because more requests arrive than can be served, makes each of them wait and serves none in addition (Nichols
 * and Jacobson, "Controlling Queue Delay"): then only what keeps the slots busy is of use to callers.
 *
 * @module
 */

/** Ranks beyond this number share their state. */
const MAX_RANKS = 8;
/**
 * A queue stands if it has not been empty for this number of starts: in fewer, chance varies the number of arrivals by
 * more than a seventh (one standard deviation of a Poisson process). With 100, requests at a load of 1.5 wait for up to 1.7 s
 * (99th percentile, replay of servers with 4 slots and 100 ms of work) instead of 1 s, and none more are served.
 */
const FLUCTUATION_STARTS = 50;
/**
 * By how much the bound falls for each millisecond for which a queue stands. Half of the slot time then goes to requests
 * that arrive while the queue becomes shorter; at 1, all of them would be refused meanwhile.
 */
const DRAIN_RATE = 0.5;

/** The pace of a server. */
export interface ServerPace {
  /** Mean time for which a request holds a slot, in milliseconds. */
  readonly meanMs: number;
  /** Slots that requests can keep busy. */
  readonly capacity: number;
}

interface QueueState {
  readonly notEmptySinceMs: number;
  /** The queue when it had been standing for long enough; `undefined` before. */
  readonly drained?: { readonly fromMs: number; readonly backlogMs: number };
}

/** The state of the queue as requests of each rank find it: behind the requests of their rank and more urgent ones. */
export class StandingQueue {
  private readonly states: (QueueState | undefined)[] = [];

  private constructor() {}

  /** Creates the state of an empty queue. */
  static create(): StandingQueue {
    return new StandingQueue();
  }

  /** Ranks behind whose requests the queue was not empty when it was last recorded. */
  get ranks(): number[] {
    return [...this.states.keys()].filter((rank) =>
      this.states[rank] !== undefined
    );
  }

  /**
   * Records the queue of a rank.
   *
   * @param backlogMs time that the slots need for the waiting work of the rank and of more urgent ones, in milliseconds.
   */
  record(
    rank: number,
    backlogMs: number,
    { pace, nowMs }: { pace: ServerPace; nowMs: number },
  ): void {
    const index = toIndex(rank);
    if (backlogMs === 0) {
      this.states[index] = undefined;
      return;
    }
    const known = this.states[index] ?? { notEmptySinceMs: nowMs };
    const isStanding = nowMs - known.notEmptySinceMs >= fluctuationMs(pace);
    this.states[index] = isStanding
      ? { drained: { fromMs: nowMs, backlogMs }, ...known }
      : known;
  }

  /** For how long the queue of a rank has not been empty, in milliseconds. */
  standingMs(rank: number, nowMs: number): number {
    return nowMs - (this.states[toIndex(rank)]?.notEmptySinceMs ?? nowMs);
  }

  /**
   * The waiting work behind which a request may still be queued, in milliseconds: without bound until the queue stands,
   * and then less and less, down to what keeps the slots busy.
   */
  limitMs(
    rank: number,
    { pace, nowMs }: { pace: ServerPace; nowMs: number },
  ): number {
    const drained = this.states[toIndex(rank)]?.drained;
    return drained === undefined ? Infinity : Math.max(
      usefulBacklogMs(pace.meanMs),
      drained.backlogMs - (nowMs - drained.fromMs) * DRAIN_RATE,
    );
  }
}

/** The time in which chance evens out, in milliseconds; at least that of one request. */
function fluctuationMs({ meanMs, capacity }: ServerPace): number {
  return meanMs * Math.max(1, FLUCTUATION_STARTS / capacity);
}

/**
 * The waiting work that keeps the slots busy, in milliseconds: as much as runs. Slots become free at different times,
 * so with one waiting request for each, none is idle until more requests arrive.
 *
 * @param meanMs mean time for which requests hold a slot.
 */
export function usefulBacklogMs(meanMs: number): number {
  return meanMs;
}

function toIndex(rank: number): number {
  return Math.min(rank, MAX_RANKS - 1);
}
