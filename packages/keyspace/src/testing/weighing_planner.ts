/**
 * An alternative to the product's planner: it leaves out moves that are expected to cost more than they gain.
 *
 * It moves fewer keys, but also refuses more requests than the product's planner (`compare_planners.ts`): the gain of a
 * move is estimated from how long the owner has been busy, which is short when keys have just become hot.
 *
 * @module
 */
import { balanceLoads } from "../balance_loads.ts";
import {
  KEY_COUNT,
  type KeyRange,
  type LoadProfile,
  type OwnerLoad,
  type PlannedMove,
  planRebalance,
  sizeOf,
} from "../mod.ts";

/**
 * Cost of moving all keys, in seconds of all requests of the service: the users' measure charges 0.017 of a day's worth
 * for it, and requests that are not served lose between 0.4 and 1 of their share of the worth. A day has some 50 s.
 */
const ALL_KEYS_COST_SECONDS = 2;
/** Cost of one round of moves in requests: a store write, a read, and a datagram to every daemon. */
const ROUND_COST_REQUESTS = 3;
/**
 * Shortest and longest time for which an excess is expected to last, in milliseconds: as long again as it has lasted so
 * far. Hot keys stay hot for 4 to 5 s, so that half of that is left on average when they are found.
 */
const MIN_EXPECTED_MS = 2_000;
const MAX_EXPECTED_MS = 20_000;
/** Utilization from which on requests become late, and the share that is late or refused at a utilization of 1. */
const FREE_UTILIZATION = 0.7;
const LOST_SHARE_AT_CAPACITY = 0.15;
/** A planned move begins only while its keys cause this share of the load for which it was planned. */
const MIN_REMAINING_SHARE = 0.5;

/** The keys of the owner that plans. */
interface OwnKeys {
  readonly ranges: readonly KeyRange[];
  readonly profile: LoadProfile;
  /** Owners without keys. */
  readonly keyless: ReadonlySet<string>;
}

/** Moves of one owner. */
export class WeighingPlanner {
  /** Since when this owner has been above `FREE_UTILIZATION`; `undefined` while it is not. */
  private busySinceMs: number | undefined;
  /** The load of each planned move's keys when it was planned, in milliseconds of slot time per second. */
  private plannedLoads = new Map<PlannedMove, number>();

  private constructor() {}

  /** Creates a planner of an owner that is not busy. */
  static create(): WeighingPlanner {
    return new WeighingPlanner();
  }

  /** Plans moves; those that cost more than they gain are left out. */
  plan(
    own: OwnerLoad,
    others: readonly OwnerLoad[],
    keys: OwnKeys,
    nowMs: number,
  ): PlannedMove[] {
    if (own.utilization <= FREE_UTILIZATION) {
      this.busySinceMs = undefined;
    } else {
      this.busySinceMs ??= nowMs;
    }
    const planned = planRebalance(own, others, keys);
    // An owner without keys must get some, so that it can take load when it comes.
    const moves = keys.keyless.size > 0
      ? planned
      : this.selectWorthwhile(planned, { own, others, nowMs });
    this.plannedLoads = new Map(
      moves.map((move) => [move, keys.profile.loadOf([move])]),
    );
    return moves;
  }

  /** Returns the planned moves whose keys still cause most of the load for which they were planned. */
  confirm(
    planned: readonly PlannedMove[],
    profile: LoadProfile,
  ): PlannedMove[] {
    return planned.filter((move) =>
      profile.loadOf([move]) >=
        (this.plannedLoads.get(move) ?? 0) * MIN_REMAINING_SHARE
    );
  }

  /** Selects the moves that gain more than their keys cost, if together they gain more than a round of moves costs. */
  private selectWorthwhile(
    moves: readonly PlannedMove[],
    fleet: { own: OwnerLoad; others: readonly OwnerLoad[]; nowMs: number },
  ): PlannedMove[] {
    const { own, others, nowMs } = fleet;
    const owners = balanceLoads([own, ...others]);
    const times = [own, ...others].map(({ serviceMs }) => serviceMs)
      .filter((serviceMs) => serviceMs > 0);
    if (times.length === 0) {
      return [...moves];
    }
    // Requests per second that an owner of average speed does with one slot.
    const perSlot = 1_000 * times.length /
      times.reduce((sum, serviceMs) => sum + serviceMs, 0);
    const totalPerSecond = perSlot * owners.reduce(
      (sum, { utilization, capacity }) => sum + utilization * capacity,
      0,
    );
    const expectedSeconds = this.expectedMs(nowMs) / 1_000;
    const utilizations = new Map(
      owners.map(({ daemon, utilization }) => [daemon, utilization]),
    );
    const capacities = new Map(
      owners.map(({ daemon, capacity }) => [daemon, capacity]),
    );
    const lostAt = (daemon: string, work: number) => {
      const capacity = capacities.get(daemon)!;
      const utilization = utilizations.get(daemon)! + work / capacity;
      return capacity * perSlot * lostWork(utilization);
    };
    let gainedRequests = 0;
    const kept = moves.filter((move) => {
      const recipient = owners.find(({ daemon }) => daemon === move.daemon)!;
      const work = move.load / 1_000 / recipient.slowness;
      const gainPerSecond = lostAt(own.daemon, 0) - lostAt(own.daemon, -work) +
        lostAt(move.daemon, 0) - lostAt(move.daemon, work);
      const gained = gainPerSecond * expectedSeconds -
        sizeOf(move) / KEY_COUNT * ALL_KEYS_COST_SECONDS * totalPerSecond;
      if (gained <= 0) {
        return false;
      }
      gainedRequests += gained;
      [{ daemon: own.daemon, change: -work }, {
        daemon: move.daemon,
        change: work,
      }].forEach(({ daemon, change }) =>
        utilizations.set(
          daemon,
          utilizations.get(daemon)! + change / capacities.get(daemon)!,
        )
      );
      return true;
    });
    return gainedRequests > ROUND_COST_REQUESTS ? kept : [];
  }

  private expectedMs(nowMs: number): number {
    const lastedMs = nowMs - (this.busySinceMs ?? nowMs);
    return Math.min(MAX_EXPECTED_MS, Math.max(MIN_EXPECTED_MS, lastedMs));
  }
}

/** Work that is late or refused at a utilization, relative to the capacity. */
function lostWork(utilization: number): number {
  const excess = Math.max(0, utilization - FREE_UTILIZATION) /
    (1 - FREE_UTILIZATION);
  return utilization <= 1
    ? LOST_SHARE_AT_CAPACITY * excess ** 2
    : LOST_SHARE_AT_CAPACITY + utilization - 1;
}
