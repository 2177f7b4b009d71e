/**
 * Learns how long requests hold a slot of one backend server.
 *
 * @module
 */

/** Weight of the latest request in the average of its kind. */
const LEARNING_RATE = 0.1;
/**
 * What a kind of request that was never seen is taken for, as a share of the time to its objective: operators set
 * objectives at about three times the usual time. Taken for less, a server that has just started is given many
 * more than it can do in time before the first of them ends.
 */
const UNSEEN_OBJECTIVE_SHARE = 0.35;
/** The same as a share of the time to its deadline, where the objective has passed. */
const UNSEEN_DEADLINE_SHARE = 0.1;

/**
 * Requests after which an average is compared with those of other servers. After the first few, a slow server
 * was taken for ten times as fast as the others, and given the hottest keys.
 */
const SETTLED_COUNT = 20;

/** Moving averages by kind of request. */
export class ServiceTimes {
  private readonly averages = new Map<string, number>();
  private all = 0;
  private count = 0;

  private constructor() {}

  /** Creates one that has seen nothing. */
  static create(): ServiceTimes {
    return new ServiceTimes();
  }

  /** Notes how long a request held its slot, in milliseconds. */
  record(kind: string, tookMs: number): void {
    const known = this.averages.get(kind);
    this.averages.set(kind, blend(known, tookMs));
    this.all = blend(this.all === 0 ? undefined : this.all, tookMs);
    this.count += 1;
  }

  /** How long a request of a kind is expected to hold a slot, in milliseconds. */
  estimate(
    kind: string,
    left: { objectiveMs: number; deadlineMs: number },
  ): number {
    return this.averages.get(kind) ??
      Math.max(
        0,
        left.objectiveMs * UNSEEN_OBJECTIVE_SHARE,
        left.deadlineMs * UNSEEN_DEADLINE_SHARE,
      );
  }

  /** The average of a kind of request, in milliseconds; 0 before the first. */
  averageOf(kind: string): number {
    return this.averages.get(kind) ?? 0;
  }

  /** The average over all requests, in milliseconds; 0 before the first. */
  get averageMs(): number {
    return this.all;
  }

  /** The same, but 0 until it is the average of enough requests to compare servers by. */
  get stableAverageMs(): number {
    return this.count < SETTLED_COUNT ? 0 : this.all;
  }

  /** Forgets everything: another incarnation may be slower or faster. */
  clear(): void {
    this.averages.clear();
    this.all = 0;
    this.count = 0;
  }
}

function blend(known: number | undefined, tookMs: number): number {
  return known === undefined
    ? tookMs
    : known + LEARNING_RATE * (tookMs - known);
}
