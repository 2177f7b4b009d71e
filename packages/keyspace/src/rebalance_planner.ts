/**
 * Plans moves from one owner over time: as long as planned moves can't begin, they are planned anew from the newest
 * loads, and dropped once they are no longer needed.
 *
 * It is designed for adjacent keys that get a third to a half of all requests for 4 to 5 s, one key that needs a whole
 * server, and owners whose speeds differ by a factor of two to three. A move begins with a response to a heartbeat,
 * some 0.6 s after it was planned. By then the averages show twice the load of keys that have just become hot, or that
 * they are hot no longer. In the replay (`compare_planners.ts`) this halves the store writes.
 *
 * @module
 */
import type { OwnerLoad } from "./balance_loads.ts";
import type { LoadProfile } from "./load_profile.ts";
import { type PlannedMove, planRebalance } from "./plan_rebalance.ts";
import type { KeyRange } from "./range_map.ts";

/**
 * Interval between two plans, in milliseconds, so that a change that the averages show is acted on at once. With 250 ms,
 * 0.6 to 0.7 % more requests of the replay are refused.
 */
const PLAN_INTERVAL_MS = 100;
/**
 * No moves are planned if the newest report of any other daemon is older than this, in milliseconds: daemons hear of
 * each other several times a second, so this one is probably cut off, and knows only what the loads were.
 */
const MAX_REPORT_AGE_MS = 1_000;

/** What an owner knows when it plans. */
export interface RebalanceInput {
  readonly own: OwnerLoad;
  /** The other owners whose backend servers accept requests. */
  readonly others: readonly OwnerLoad[];
  readonly ranges: readonly KeyRange[];
  readonly profile: LoadProfile;
  /** Owners without keys. */
  readonly keyless: ReadonlySet<string>;
  /** Time since another daemon was last heard of, in milliseconds. */
  readonly reportAgeMs: number;
  /** Remaining time for which the own backend server is slow after its start, in milliseconds. */
  readonly coldMs: number;
}

/** The moves of each recipient whose moves have changed; none for one that gets no keys any more. */
export type MoveAnnouncements = ReadonlyMap<string, readonly PlannedMove[]>;

/** The planned moves of one owner. */
export class RebalancePlanner {
  private planned: readonly PlannedMove[] = [];
  private plannedSinceMs = 0;
  private lastPlannedAtMs = -Infinity;
  /** When each other owner was first known to accept requests. */
  private readonly readySince = new Map<string, number>();
  /** Longest cold time that the own backend server has stated, in milliseconds. */
  private longestColdMs = 0;

  private constructor() {}

  /** Creates a planner without planned moves. */
  static create(): RebalancePlanner {
    return new RebalancePlanner();
  }

  /** The moves that wait until they can begin. */
  get plannedMoves(): readonly PlannedMove[] {
    return this.planned;
  }

  /** Whether moves are to be planned again. */
  isDue(nowMs: number): boolean {
    return nowMs - this.lastPlannedAtMs >= PLAN_INTERVAL_MS;
  }

  /** Plans moves, instead of those that could not begin yet. */
  update(input: RebalanceInput, nowMs: number): MoveAnnouncements {
    const before = this.planned;
    this.lastPlannedAtMs = nowMs;
    this.trackReady(input.others, nowMs);
    this.planned = this.plan(input, nowMs);
    if (before.length === 0) {
      this.plannedSinceMs = nowMs;
    }
    const recipients = [...before, ...this.planned]
      .map(({ daemon }) => daemon);
    return new Map(
      [...new Set(recipients)]
        .map((daemon) => [daemon, movesTo(daemon, this.planned)] as const)
        .filter(([daemon, moves]) =>
          !areSameRanges(moves, movesTo(daemon, before))
        ),
    );
  }

  /** Returns the planned moves, which begin now, and for how long they have waited, in milliseconds. */
  take(nowMs: number): { moves: readonly PlannedMove[]; waitedMs: number } {
    const moves = this.planned;
    this.planned = [];
    return { moves, waitedMs: nowMs - this.plannedSinceMs };
  }

  private plan(input: RebalanceInput, nowMs: number): readonly PlannedMove[] {
    const { own, others, ranges, profile, keyless, reportAgeMs, coldMs } =
      input;
    if (reportAgeMs > MAX_REPORT_AGE_MS) {
      return [];
    }
    this.longestColdMs = coldMs === 0
      ? 0
      : Math.max(this.longestColdMs, coldMs);
    const recipients = others.filter(({ daemon }) =>
      !this.isColdToo(daemon, nowMs)
    );
    return planRebalance(own, recipients, { ranges, profile, keyless });
  }

  /**
   * Whether the own backend server is cold, and another one has started so recently that it is cold, too. A move between
   * them gains nothing: after a power loss all servers are slow, until all become fast at the same time.
   */
  private isColdToo(daemon: string, nowMs: number): boolean {
    return nowMs - (this.readySince.get(daemon) ?? nowMs) < this.longestColdMs;
  }

  private trackReady(others: readonly OwnerLoad[], nowMs: number): void {
    const ready = new Set(others.map(({ daemon }) => daemon));
    [...this.readySince.keys()].filter((daemon) => !ready.has(daemon))
      .forEach((daemon) => this.readySince.delete(daemon));
    ready.forEach((daemon) => {
      if (!this.readySince.has(daemon)) {
        this.readySince.set(daemon, nowMs);
      }
    });
  }
}

function movesTo(
  daemon: string,
  moves: readonly PlannedMove[],
): readonly PlannedMove[] {
  return moves.filter((move) => move.daemon === daemon);
}

function areSameRanges(
  left: readonly KeyRange[],
  right: readonly KeyRange[],
): boolean {
  return left.length === right.length &&
    left.every(({ from, to }, index) =>
      right[index]!.from === from && right[index]!.to === to
    );
}
