/**
 * A discrete-event simulation of a service with many owners, whose keys get requests at random times. It measures the
 * cost of rebalancing: calls to the store, moved keys, and how long keys are without an owner.
 *
 * Planning and write backoff are the real decision code; requests, heartbeats, updates and the store are simulated.
 *
 * @module
 */
import {
  intersect,
  KEY_COUNT,
  type KeyRange,
  LoadProfile,
  type OwnerLoad,
  type PlannedMove,
  planRebalance,
  RangeMap,
  sizeOf,
  WriteBackoff,
} from "../mod.ts";

/** Interval at which an owner plans moves, in milliseconds. */
const PLAN_INTERVAL_MS = 250;
/** Interval at which an owner checks for released keys, in milliseconds. */
const PUBLISH_INTERVAL_MS = 50;
/** Interval of a backend server's heartbeats, in milliseconds. */
const HEARTBEAT_INTERVAL_MS = 1_000;
/** Time that a backend server needs to release keys, in milliseconds. */
const RELEASE_DELAY_MS = 100;
/** Half the duration of a call to the store, in milliseconds. */
const HALF_CALL_MS = 3;
/** Delay of an update of the record to all owners, in milliseconds. */
const UPDATE_DELAY_MS = 8;
/** Maximum time for which a request waits for a slot, in milliseconds. */
const MAX_WAIT_MS = 400;
/** Interval of the owners' load reports and of changes of the popularity, in milliseconds. */
const REPORT_INTERVAL_MS = 500;

/** Parameters of a simulation. */
export interface RebalanceScenario {
  readonly owners: number;
  readonly slots: number;
  /** Requests per second for all keys together, and the mean service time of one, in milliseconds. */
  readonly requestsPerSecond: number;
  readonly meanServiceMs: number;
  /** Share of the requests that each key gets from the given time on. */
  readonly popularity: (nowMs: number) => readonly number[];
  readonly random: () => number;
}

/** The cost of rebalancing. */
export interface RebalanceCost {
  reads: number;
  writes: number;
  conflicts: number;
  moves: number;
  movedKeys: number;
  /** Time for which keys had no owner, weighted by their share of the requests, in milliseconds. */
  unownedMs: number;
  /** Maximum time from the release of keys to the assignment of their new owner, in milliseconds. */
  maxUnownedMs: number;
  /** Requests, and those that were refused since they would have waited too long for a slot. */
  requests: number;
  refused: number;
}

interface SimulatedOwner {
  readonly name: string;
  readonly profile: LoadProfile;
  planned: readonly PlannedMove[];
  released: { moves: readonly PlannedMove[]; releasedAtMs: number } | undefined;
  knownRevision: number;
  isWriting: boolean;
  readonly backoff: WriteBackoff;
  /** When each slot of the backend server becomes free. */
  readonly freeAtMs: number[];
}

/** The simulated service. */
export class RebalanceSimulation {
  readonly cost: RebalanceCost = {
    reads: 0,
    writes: 0,
    conflicts: 0,
    moves: 0,
    movedKeys: 0,
    unownedMs: 0,
    maxUnownedMs: 0,
    requests: 0,
    refused: 0,
  };
  private nowMs = 0;
  private readonly queue: {
    dueAtMs: number;
    sequence: number;
    run: () => void;
  }[] = [];
  private sequence = 0;
  private revision = 1;
  private readonly owners: RangeMap<number>;
  private readonly simulatedOwners: SimulatedOwner[];
  private reports: OwnerLoad[] = [];
  private popularity: readonly number[] = [];
  private cumulative = new Float64Array(KEY_COUNT);

  private constructor(private readonly scenario: RebalanceScenario) {
    const size = Math.ceil(KEY_COUNT / scenario.owners);
    this.owners = RangeMap.createFrom(
      Array.from({ length: scenario.owners }, (_, value) => ({
        from: value * size,
        to: Math.min(KEY_COUNT, (value + 1) * size) - 1,
        value,
      })),
    );
    this.simulatedOwners = Array.from(
      { length: scenario.owners },
      (_, index) => ({
        name: `host-${String(index).padStart(3, "0")}`,
        profile: LoadProfile.create(),
        planned: [],
        released: undefined,
        knownRevision: 1,
        isWriting: false,
        backoff: WriteBackoff.create(scenario.random),
        freeAtMs: Array.from({ length: scenario.slots }, () => 0),
      }),
    );
    this.start();
  }

  /** Creates a service whose keys are evenly distributed, before its first request. */
  static create(scenario: RebalanceScenario): RebalanceSimulation {
    return new RebalanceSimulation(scenario);
  }

  /** Runs until the given time. */
  runUntil(untilMs: number): void {
    while (this.queue.length > 0 && this.queue[0]!.dueAtMs <= untilMs) {
      const event = this.removeFirstEvent();
      this.nowMs = event.dueAtMs;
      event.run();
    }
    this.nowMs = untilMs;
  }

  /** Expected work per slot of each owner, from the popularity of its keys. */
  get utilizations(): number[] {
    const { slots, requestsPerSecond, meanServiceMs, owners } = this.scenario;
    const shares = new Float64Array(owners);
    this.owners.segments.forEach(({ from, to, value }) => {
      shares[value]! += this.popularityOf({ from, to });
    });
    return [...shares].map((share) =>
      share * requestsPerSecond * meanServiceMs / 1_000 / slots
    );
  }

  /** Number of ranges in the record. */
  get rangeCount(): number {
    return this.owners.segments.length;
  }

  private start(): void {
    const { random } = this.scenario;
    this.updatePopularity();
    this.updateReports();
    this.simulatedOwners.forEach((owner, index) => {
      this.every(PUBLISH_INTERVAL_MS, random() * PUBLISH_INTERVAL_MS, () => {
        owner.profile.decay(this.nowMs);
        this.publish(owner, index);
      });
      this.every(
        PLAN_INTERVAL_MS,
        random() * PLAN_INTERVAL_MS,
        () => this.plan(owner, index),
      );
      this.every(
        HEARTBEAT_INTERVAL_MS,
        random() * HEARTBEAT_INTERVAL_MS,
        () => this.handleHeartbeat(owner),
      );
    });
    this.every(
      REPORT_INTERVAL_MS,
      REPORT_INTERVAL_MS,
      () => this.updateReports(),
    );
    this.every(
      REPORT_INTERVAL_MS,
      REPORT_INTERVAL_MS,
      () => this.updatePopularity(),
    );
    this.scheduleNextRequest();
  }

  private scheduleNextRequest(): void {
    const { random, requestsPerSecond, meanServiceMs } = this.scenario;
    const intervalMs = -Math.log(1 - random()) / requestsPerSecond * 1_000;
    this.after(intervalMs, () => {
      const key = this.pickKey(random() * this.cumulative[KEY_COUNT - 1]!);
      const owner = this.simulatedOwners[this.owners.get(key)!]!;
      const workMs = meanServiceMs * (0.5 + random());
      owner.profile.record(key, workMs);
      this.run(owner, workMs);
      this.scheduleNextRequest();
    });
  }

  /** Runs a request on the slot that becomes free first, or refuses it if it would wait longer than `MAX_WAIT_MS`. */
  private run({ freeAtMs }: SimulatedOwner, workMs: number): void {
    const first = freeAtMs.indexOf(Math.min(...freeAtMs));
    const startMs = Math.max(this.nowMs, freeAtMs[first]!);
    const isRefused = startMs - this.nowMs > MAX_WAIT_MS;
    this.cost.requests += 1;
    this.cost.refused += isRefused ? 1 : 0;
    if (!isRefused) {
      freeAtMs[first] = startMs + workMs;
    }
  }

  private plan(owner: SimulatedOwner, index: number): void {
    if (owner.planned.length > 0 || owner.released !== undefined) {
      return;
    }
    const { slots, meanServiceMs } = this.scenario;
    const ranges = this.rangesOf(index);
    const load = owner.profile.loadOf(ranges) / 1_000;
    const own = {
      daemon: owner.name,
      utilization: load / slots,
      deviation: owner.profile.standardDeviationOf(load) / slots,
      slots,
      serviceMs: meanServiceMs,
    };
    const others = this.reports.filter(({ daemon }) => daemon !== owner.name);
    owner.planned = planRebalance(own, others, {
      ranges,
      profile: owner.profile,
      keyless: new Set(),
    });
  }

  /** Releases planned keys in the response to a heartbeat, after a read that shows that the store is reachable. */
  private handleHeartbeat(owner: SimulatedOwner): void {
    const { planned } = owner;
    if (planned.length === 0) {
      return;
    }
    owner.planned = [];
    this.cost.reads += 1;
    owner.knownRevision = this.revision;
    this.after(2 * HALF_CALL_MS, () => {
      const releasedAtMs = this.nowMs;
      this.after(RELEASE_DELAY_MS, () => {
        owner.released = { moves: planned, releasedAtMs };
      });
    });
  }

  /** Writes the new owners of released keys; a write that conflicts is retried after a backoff. */
  private publish(owner: SimulatedOwner, index: number): void {
    const { released } = owner;
    if (released === undefined || owner.isWriting) {
      return;
    }
    owner.isWriting = true;
    this.write(owner, { index, ...released });
  }

  private write(
    owner: SimulatedOwner,
    change: {
      index: number;
      moves: readonly PlannedMove[];
      releasedAtMs: number;
    },
  ): void {
    const expected = owner.knownRevision;
    this.cost.writes += 1;
    this.after(HALF_CALL_MS, () => {
      const hasSucceeded = this.revision === expected;
      if (hasSucceeded) {
        this.revision += 1;
        this.apply(change);
      }
      const written = this.revision;
      this.after(HALF_CALL_MS, () => {
        if (hasSucceeded) {
          owner.backoff.recordSuccess();
          owner.released = undefined;
          owner.isWriting = false;
          owner.knownRevision = Math.max(owner.knownRevision, written);
          this.after(UPDATE_DELAY_MS, () => this.broadcast(written));
          return;
        }
        this.cost.conflicts += 1;
        this.retryAfterConflict(owner, { ...change, expected });
      });
    });
  }

  private retryAfterConflict(
    owner: SimulatedOwner,
    change: {
      index: number;
      moves: readonly PlannedMove[];
      releasedAtMs: number;
      expected: number;
    },
  ): void {
    this.after(owner.backoff.recordConflict(), () => {
      if (owner.knownRevision > change.expected) {
        this.write(owner, change);
        return;
      }
      this.cost.reads += 1;
      this.after(HALF_CALL_MS, () => {
        owner.knownRevision = this.revision;
        this.after(HALF_CALL_MS, () => this.write(owner, change));
      });
    });
  }

  private broadcast(revision: number): void {
    this.simulatedOwners.forEach((owner) => {
      owner.knownRevision = Math.max(owner.knownRevision, revision);
    });
  }

  private apply(
    change: {
      index: number;
      moves: readonly PlannedMove[];
      releasedAtMs: number;
    },
  ): void {
    const unownedMs = this.nowMs - change.releasedAtMs;
    this.cost.maxUnownedMs = Math.max(
      this.cost.maxUnownedMs,
      unownedMs,
    );
    change.moves.forEach((move) => {
      const recipient = this.simulatedOwners.findIndex(({ name }) =>
        name === move.daemon
      );
      const parts = this.rangesOf(change.index)
        .flatMap((range) => intersect(range, move) ?? []);
      parts.forEach((part) => {
        this.owners.set(part, recipient);
        this.simulatedOwners[recipient]!.profile.seed(
          part,
          move.load * sizeOf(part) / sizeOf(move),
        );
        this.cost.movedKeys += sizeOf(part);
        this.cost.unownedMs += unownedMs * this.popularityOf(part);
      });
      this.cost.moves += 1;
    });
  }

  private rangesOf(owner: number): KeyRange[] {
    return this.owners.segments
      .filter(({ value }) => value === owner)
      .map(({ from, to }) => ({ from, to }));
  }

  private updateReports(): void {
    const { slots, meanServiceMs } = this.scenario;
    const ranges = this.simulatedOwners.map((): KeyRange[] => []);
    this.owners.segments.forEach((segment) =>
      ranges[segment.value]!.push(segment)
    );
    this.reports = this.simulatedOwners.map(({ name, profile }, index) => ({
      daemon: name,
      utilization: profile.loadOf(ranges[index]!) / 1_000 / slots,
      slots,
      serviceMs: meanServiceMs,
    }));
  }

  private updatePopularity(): void {
    const popularity = this.scenario.popularity(this.nowMs);
    if (popularity === this.popularity) {
      return;
    }
    this.popularity = popularity;
    let sum = 0;
    popularity.forEach((share, key) => {
      sum += share;
      this.cumulative[key] = sum;
    });
  }

  private popularityOf({ from, to }: KeyRange): number {
    const before = from === 0 ? 0 : this.cumulative[from - 1]!;
    return (this.cumulative[to]! - before) / this.cumulative[KEY_COUNT - 1]!;
  }

  private pickKey(at: number): number {
    let low = 0;
    let high = KEY_COUNT - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.cumulative[middle]! > at) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return low;
  }

  private every(periodMs: number, firstMs: number, run: () => void): void {
    this.after(firstMs, () => {
      run();
      this.every(periodMs, periodMs, run);
    });
  }

  private after(ms: number, run: () => void): void {
    this.sequence += 1;
    const event = { dueAtMs: this.nowMs + ms, sequence: this.sequence, run };
    let index = this.queue.length;
    this.queue.push(event);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(event, this.queue[parent]!)) {
        break;
      }
      this.queue[index] = this.queue[parent]!;
      index = parent;
    }
    this.queue[index] = event;
  }

  private removeFirstEvent() {
    const { queue } = this;
    const first = queue[0]!;
    const last = queue.pop()!;
    if (queue.length > 0) {
      let index = 0;
      for (;;) {
        const left = 2 * index + 1;
        const right = left + 1;
        const smaller = right < queue.length &&
            isBefore(queue[right]!, queue[left]!)
          ? right
          : left;
        if (smaller >= queue.length || !isBefore(queue[smaller]!, last)) {
          break;
        }
        queue[index] = queue[smaller]!;
        index = smaller;
      }
      queue[index] = last;
    }
    return first;
  }
}

function isBefore(
  left: { dueAtMs: number; sequence: number },
  right: { dueAtMs: number; sequence: number },
): boolean {
  return left.dueAtMs < right.dueAtMs ||
    left.dueAtMs === right.dueAtMs && left.sequence < right.sequence;
}
