/**
 * A discrete-event simulation of a service with many owners, whose keys get requests at random times. It measures the
 * cost of rebalancing: calls to the store, moved keys, how long keys are without an owner, and requests that are late
 * or refused.
 *
 * Planning and write backoff are the real decision code; requests, heartbeats, updates and the store are simulated.
 * Two heartbeats of a handover are synchronized as by the router's `HandoverCoordinator`, if the scenario says so.
 *
 * @module
 */
import { EventQueue } from "@bamboolink/simulation";
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
import {
  type SimulatedOutcome,
  type SimulatedRequest,
  SimulatedServer,
} from "./simulated_server.ts";

/** Interval at which an owner plans moves, in milliseconds. */
const PLAN_INTERVAL_MS = 250;
/** Interval at which an owner checks for released keys, in milliseconds. */
const PUBLISH_INTERVAL_MS = 50;
/** Default interval of a backend server's heartbeats, in milliseconds. */
const HEARTBEAT_INTERVAL_MS = 1_000;
/** Maximum delay of a heartbeat response for a handover, in milliseconds, as in the router. */
const MAX_RESPONSE_DELAY_MS = 750;
/** A response is not held back for keys if less than this time is left, in milliseconds: they take as long to come. */
const MIN_HANDOVER_MS = 250;
/** Responses are held back while the utilization of an owner exceeds this. */
const HOLDING_UTILIZATION = 0.9;
/** Maximum wait of a request for a key without an owner, in milliseconds, as in the router. */
const MAX_GRANT_WAIT_MS = 1_200;
/** A caller waits for the time it was given if that is at most this share of its remaining time. */
const MAX_RETRY_WAIT_SHARE = 1 / 3;
/** Time that a backend server needs to release keys, in milliseconds. */
const RELEASE_DELAY_MS = 100;
/** Half the duration of a call to the store, in milliseconds. */
const HALF_CALL_MS = 3;
/** Delay of an update of the record to all owners, in milliseconds. */
const UPDATE_DELAY_MS = 8;
/** Maximum time for which a request waits for a slot where a scenario has no deadlines, in milliseconds. */
const MAX_WAIT_MS = 400;
/** Interval of the owners' load reports and of changes of the popularity, in milliseconds. */
const REPORT_INTERVAL_MS = 500;

/** Plans the moves of one owner. */
export interface SimulatedPlanner {
  readonly plan: (
    own: OwnerLoad,
    others: readonly OwnerLoad[],
    keys: {
      readonly ranges: readonly KeyRange[];
      readonly profile: LoadProfile;
      readonly keyless: ReadonlySet<string>;
    },
    nowMs: number,
  ) => readonly PlannedMove[];
  /** Returns the planned moves that are still worthwhile when they can begin. */
  readonly confirm?: (
    planned: readonly PlannedMove[],
    profile: LoadProfile,
  ) => readonly PlannedMove[];
}

/** An assignment that is made with full knowledge of the load. */
export interface IdealPlan {
  readonly owner: number;
  readonly range: KeyRange;
}

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
  /** Interval at which the popularity is looked up, in milliseconds. */
  readonly popularityIntervalMs?: number;
  /** Speed of each owner's server; 1 by default. */
  readonly speeds?: readonly number[];
  /** Factor by which work takes longer on an owner's server in a phase; 1 by default. */
  readonly slownessOf?: (owner: number, phase: number) => number;
  /** Latency objective and deadline, in milliseconds; with them a caller retries a refused request once. */
  readonly limits?: {
    readonly objectiveMs: number;
    readonly deadlineMs: number;
  };
  /** Interval at which owners plan, in milliseconds; that of the product by default. */
  readonly planIntervalMs?: number;
  /**
   * Time from the response to a heartbeat until the next one in milliseconds, if the two of a handover are
   * synchronized.
   */
  readonly synchronizedHeartbeatMs?: number;
  /** Whether moves that could not begin yet are planned anew, from the newest loads. */
  readonly replans?: boolean;
  /** Whether moves begin as soon as one recipient holds back a response, with those recipients that do. */
  readonly beginsPartially?: boolean;
  /** How long responses are held back while an owner is hot, for moves that may be planned; 0 by default. */
  readonly holdMs?: number;
  /** Creates the planner of an owner; that of the product by default. */
  readonly createPlanner?: () => SimulatedPlanner;
  /** Assigns keys without delay whenever the popularity changes, instead of planning. */
  readonly assignIdeally?: (nowMs: number) => readonly IdealPlan[];
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
  /** Served after their objective. */
  late: number;
}

interface SimulatedOwner {
  readonly name: string;
  readonly profile: LoadProfile;
  readonly planner: SimulatedPlanner;
  readonly server: SimulatedServer;
  /** When each slot of the backend server becomes free, in a scenario without deadlines. */
  readonly freeAtMs: number[];
  planned: readonly PlannedMove[];
  released: { moves: readonly PlannedMove[]; releasedAtMs: number } | undefined;
  /** Whether moves were begun and the record does not show them yet. */
  isReleasing: boolean;
  knownRevision: number;
  isWriting: boolean;
  readonly backoff: WriteBackoff;
  /** Owners that have announced to move keys to this one. */
  readonly expectedFrom: Set<SimulatedOwner>;
  /** Responds to the heartbeat that is held back for a handover; `undefined` if none is. */
  respond: (() => void) | undefined;
  /** Called when moves from or to this owner are planned while a heartbeat response is held back. */
  onPlanned: (() => void) | undefined;
  /** Called when this owner's moves can begin, because all recipients hold back a response. */
  onRecipientsReady: (() => void) | undefined;
}

/** Keys that were released and are not yet granted to their new owner, and the requests that wait for them. */
interface Transit {
  readonly ranges: readonly KeyRange[];
  readonly waiting: SimulatedRequest[];
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
    late: 0,
  };
  private readonly events = EventQueue.create();
  private transits: readonly Transit[] = [];
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
        planner: scenario.createPlanner?.() ?? { plan: planRebalance },
        server: this.createServer(index),
        freeAtMs: Array.from({ length: scenario.slots }, () => 0),
        planned: [],
        released: undefined,
        isReleasing: false,
        knownRevision: 1,
        isWriting: false,
        backoff: WriteBackoff.create(scenario.random),
        expectedFrom: new Set(),
        respond: undefined,
        onPlanned: undefined,
        onRecipientsReady: undefined,
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
    this.events.runUntil(untilMs);
  }

  private get nowMs(): number {
    return this.events.nowMs;
  }

  private after(ms: number, run: () => void): void {
    this.events.after(ms, run);
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
    const { random, synchronizedHeartbeatMs, popularityIntervalMs } =
      this.scenario;
    const planIntervalMs = this.scenario.planIntervalMs ?? PLAN_INTERVAL_MS;
    this.updatePopularity();
    this.updateReports();
    this.simulatedOwners.forEach((owner, index) => {
      this.events.every(
        PUBLISH_INTERVAL_MS,
        random() * PUBLISH_INTERVAL_MS,
        () => {
          owner.profile.decay(this.nowMs);
          this.publish(owner, index);
        },
      );
      this.events.every(
        planIntervalMs,
        random() * planIntervalMs,
        () => this.plan(owner, index),
      );
      this.scheduleHeartbeat(
        owner,
        random() * (synchronizedHeartbeatMs ?? HEARTBEAT_INTERVAL_MS),
      );
    });
    this.events.every(
      REPORT_INTERVAL_MS,
      REPORT_INTERVAL_MS,
      () => this.updateReports(),
    );
    const intervalMs = popularityIntervalMs ?? REPORT_INTERVAL_MS;
    this.events.every(intervalMs, intervalMs, () => this.updatePopularity());
    this.scheduleNextRequest();
  }

  private scheduleNextRequest(): void {
    const { random, requestsPerSecond, meanServiceMs } = this.scenario;
    const intervalMs = -Math.log(1 - random()) / requestsPerSecond * 1_000;
    this.after(intervalMs, () => {
      const key = this.pickKey(random() * this.cumulative[KEY_COUNT - 1]!);
      const workMs = meanServiceMs * (0.5 + random());
      const { limits } = this.scenario;
      this.cost.requests += 1;
      this.offer({
        key,
        workMs,
        objectiveAtMs: this.nowMs + (limits?.objectiveMs ?? Infinity),
        deadlineAtMs: this.nowMs + (limits?.deadlineMs ?? Infinity),
        isRetry: false,
      });
      this.scheduleNextRequest();
    });
  }

  /** Sends a request to the owner of its key, or holds it while the key is without an owner. */
  private offer(request: SimulatedRequest): void {
    const { key, deadlineAtMs } = request;
    const transit = this.transits.find(({ ranges }) =>
      ranges.some(({ from, to }) => from <= key && key <= to)
    );
    if (transit !== undefined) {
      transit.waiting.push(request);
      const waitMs = Math.min(
        MAX_GRANT_WAIT_MS,
        (deadlineAtMs - this.nowMs) / 2,
      );
      this.after(waitMs, () => {
        const index = transit.waiting.indexOf(request);
        if (index >= 0) {
          transit.waiting.splice(index, 1);
          this.handleEnd(request, { kind: "refused", waitMs: 0 });
        }
      });
      return;
    }
    const owner = this.simulatedOwners[this.owners.get(key)!]!;
    const { server, profile } = owner;
    if (this.scenario.limits === undefined) {
      profile.record(key, request.workMs);
      this.runBounded(owner, request.workMs);
      return;
    }
    profile.record(key, server.serviceMs);
    server.offer(request);
  }

  /** Runs a request on the slot that becomes free first, or refuses it if it would wait longer than `MAX_WAIT_MS`. */
  private runBounded({ freeAtMs }: SimulatedOwner, workMs: number): void {
    const first = freeAtMs.indexOf(Math.min(...freeAtMs));
    const startMs = Math.max(this.nowMs, freeAtMs[first]!);
    const isRefused = startMs - this.nowMs > MAX_WAIT_MS;
    this.cost.refused += isRefused ? 1 : 0;
    if (!isRefused) {
      freeAtMs[first] = startMs + workMs;
    }
  }

  private createServer(index: number): SimulatedServer {
    const { slots, speeds, slownessOf, meanServiceMs } = this.scenario;
    return SimulatedServer.create({
      events: this.events,
      slots,
      speed: speeds?.[index] ?? 1,
      typicalMs: meanServiceMs,
      slownessOf: (phase) => slownessOf?.(index, phase) ?? 1,
      onEnd: (request, outcome) => this.handleEnd(request, outcome),
    });
  }

  /** Counts a request that has ended; a refused one is sent once more if the time that its caller was given allows. */
  private handleEnd(
    request: SimulatedRequest,
    outcome: SimulatedOutcome,
  ): void {
    if (outcome.kind === "served") {
      this.cost.late += outcome.isLate ? 1 : 0;
      return;
    }
    const remainingMs = request.deadlineAtMs - this.nowMs;
    if (request.isRetry || remainingMs <= 0) {
      this.cost.refused += 1;
      return;
    }
    const delayMs = Math.min(
      outcome.waitMs,
      remainingMs * MAX_RETRY_WAIT_SHARE,
    );
    this.after(delayMs, () => this.offer({ ...request, isRetry: true }));
  }

  private plan(owner: SimulatedOwner, index: number): void {
    const isPending = owner.planned.length > 0 &&
      this.scenario.replans !== true;
    if (
      isPending || owner.isReleasing ||
      this.scenario.assignIdeally !== undefined
    ) {
      return;
    }
    const before = this.recipientsOf(owner);
    const others = this.reports.filter(({ daemon }) => daemon !== owner.name);
    owner.planned = owner.planner.plan(
      this.loadOf(owner, index),
      others,
      {
        ranges: this.rangesOf(index),
        profile: owner.profile,
        keyless: new Set(),
      },
      this.nowMs,
    );
    if (this.scenario.synchronizedHeartbeatMs !== undefined) {
      const recipients = this.recipientsOf(owner);
      before.filter((recipient) => !recipients.includes(recipient))
        .forEach(({ expectedFrom }) => expectedFrom.delete(owner));
      recipients.forEach(({ expectedFrom }) => expectedFrom.add(owner));
      if (recipients.length > 0) {
        [...recipients, owner].forEach(({ onPlanned }) => onPlanned?.());
      }
    }
  }

  private loadOf(owner: SimulatedOwner, index: number): OwnerLoad {
    const { slots, meanServiceMs, limits } = this.scenario;
    const load = owner.profile.loadOf(this.rangesOf(index)) / 1_000;
    return {
      daemon: owner.name,
      utilization: load / slots,
      deviation: owner.profile.standardDeviationOf(load) / slots,
      slots,
      serviceMs: limits === undefined ? meanServiceMs : owner.server.serviceMs,
    };
  }

  private recipientsOf({ planned }: SimulatedOwner): SimulatedOwner[] {
    const names = new Set(planned.map(({ daemon }) => daemon));
    return this.simulatedOwners.filter(({ name }) => names.has(name));
  }

  private scheduleHeartbeat(owner: SimulatedOwner, delayMs: number): void {
    const { synchronizedHeartbeatMs } = this.scenario;
    const intervalMs = synchronizedHeartbeatMs ?? HEARTBEAT_INTERVAL_MS;
    this.after(delayMs, () => {
      const scheduleNext = () => this.scheduleHeartbeat(owner, intervalMs);
      if (synchronizedHeartbeatMs === undefined) {
        this.beginMoves(owner);
        scheduleNext();
      } else {
        this.handleSynchronizedHeartbeat(owner, scheduleNext);
      }
    });
  }

  /** Holds the response back until keys arrive, or until the recipients of this owner's keys hold theirs back. */
  private handleSynchronizedHeartbeat(
    owner: SimulatedOwner,
    onResponse: () => void,
    latestMs = this.nowMs + MAX_RESPONSE_DELAY_MS,
  ): void {
    let isDone = false;
    const finish = (run: () => void) => () => {
      if (!isDone) {
        isDone = true;
        owner.respond = undefined;
        owner.onRecipientsReady = undefined;
        owner.onPlanned = undefined;
        run();
      }
    };
    const leftMs = latestMs - this.nowMs;
    if (owner.planned.length > 0 && !owner.isReleasing) {
      owner.onRecipientsReady = finish(() => {
        this.beginMoves(owner);
        // A server that releases keys states it in another heartbeat.
        this.scheduleHeartbeat(owner, RELEASE_DELAY_MS + PUBLISH_INTERVAL_MS);
      });
      this.after(leftMs, owner.onRecipientsReady);
      this.checkRecipients(owner);
    } else if (owner.expectedFrom.size > 0 && leftMs >= MIN_HANDOVER_MS) {
      owner.respond = finish(onResponse);
      this.after(leftMs, owner.respond);
      owner.expectedFrom.forEach((source) => this.checkRecipients(source));
    } else if (
      owner.expectedFrom.size === 0 && this.isAnyHot &&
      leftMs === MAX_RESPONSE_DELAY_MS
    ) {
      owner.onPlanned = finish(() =>
        this.handleSynchronizedHeartbeat(owner, onResponse, latestMs)
      );
      this.after(this.scenario.holdMs ?? 0, finish(onResponse));
    } else {
      onResponse();
    }
  }

  private get isAnyHot(): boolean {
    return this.reports.some(({ utilization }) =>
      utilization > HOLDING_UTILIZATION
    );
  }

  private checkRecipients(source: SimulatedOwner): void {
    const recipients = this.recipientsOf(source);
    const isHolding = ({ respond }: SimulatedOwner) => respond !== undefined;
    const isReady = this.scenario.beginsPartially === true
      ? recipients.some(isHolding)
      : recipients.every(isHolding);
    if (isReady) {
      source.onRecipientsReady?.();
    }
  }

  /** Releases planned keys in the response to a heartbeat, after a read that shows that the store is reachable. */
  private beginMoves(owner: SimulatedOwner): void {
    const recipients = this.recipientsOf(owner);
    const holding = new Set(
      recipients.filter(({ respond }) => respond !== undefined)
        .map(({ name }) => name),
    );
    const confirmed = owner.planner.confirm?.(owner.planned, owner.profile) ??
      owner.planned;
    const isPartial = this.scenario.beginsPartially === true &&
      holding.size > 0;
    const planned = isPartial
      ? confirmed.filter(({ daemon }) => holding.has(daemon))
      : confirmed;
    owner.planned = isPartial
      ? confirmed.filter(({ daemon }) => !holding.has(daemon))
      : [];
    if (planned.length === 0) {
      recipients.forEach((recipient) => recipient.expectedFrom.delete(owner));
      return;
    }
    owner.isReleasing = true;
    this.cost.reads += 1;
    owner.knownRevision = this.revision;
    this.after(2 * HALF_CALL_MS, () => {
      const releasedAtMs = this.nowMs;
      if (this.scenario.limits !== undefined) {
        this.transits = [...this.transits, { ranges: planned, waiting: [] }];
      }
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
          owner.isReleasing = false;
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
    this.grantMoved(change);
  }

  /** Grants moved keys: at once if the recipient's heartbeat response is held back for them, else at its next one. */
  private grantMoved(
    { index, moves }: { index: number; moves: readonly PlannedMove[] },
  ): void {
    const { synchronizedHeartbeatMs } = this.scenario;
    const source = this.simulatedOwners[index]!;
    const names = new Set(moves.map(({ daemon }) => daemon));
    const recipients = this.simulatedOwners.filter(({ name }) =>
      names.has(name)
    );
    const isHeld = recipients.every(({ respond }) => respond !== undefined);
    const delayMs = synchronizedHeartbeatMs === undefined || isHeld
      ? UPDATE_DELAY_MS
      : synchronizedHeartbeatMs * this.scenario.random();
    recipients.forEach((recipient) => recipient.expectedFrom.delete(source));
    this.after(delayMs, () => {
      recipients.forEach(({ respond }) => respond?.());
      const transit = this.transits.find(({ ranges }) => ranges === moves);
      this.transits = this.transits.filter((other) => other !== transit);
      const waiting = transit?.waiting.splice(0) ?? [];
      // The old owner does not start requests that wait there for keys that it no longer holds.
      const stranded = source.server.takeWaiting((key) =>
        moves.some(({ from, to }) => from <= key && key <= to)
      );
      [...waiting, ...stranded].forEach((request) => this.offer(request));
    });
  }

  private rangesOf(owner: number): KeyRange[] {
    return this.owners.segments
      .filter(({ value }) => value === owner)
      .map(({ from, to }) => ({ from, to }));
  }

  private updateReports(): void {
    const { slots, meanServiceMs, limits } = this.scenario;
    const ranges = this.simulatedOwners.map((): KeyRange[] => []);
    this.owners.segments.forEach((segment) =>
      ranges[segment.value]!.push(segment)
    );
    this.reports = this.simulatedOwners.map((
      { name, profile, server },
      index,
    ) => ({
      daemon: name,
      utilization: profile.loadOf(ranges[index]!) / 1_000 / slots,
      slots,
      serviceMs: limits === undefined ? meanServiceMs : server.serviceMs,
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
    this.assignIdeally();
  }

  private assignIdeally(): void {
    const plans = this.scenario.assignIdeally?.(this.nowMs) ?? [];
    const movedKeys = plans.reduce((sum, { owner, range }) => {
      const moved = this.owners.segments
        .filter(({ value }) => value !== owner)
        .flatMap((segment) => intersect(segment, range) ?? [])
        .reduce((total, part) => total + sizeOf(part), 0);
      this.owners.set(range, owner);
      return sum + moved;
    }, 0);
    // Keys are assigned once before the first request; that costs the same with every planner.
    if (movedKeys > 0 && this.nowMs > 0) {
      this.cost.movedKeys += movedKeys;
      this.cost.writes += 1;
    }
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
}
