/**
 * A service of many owners on virtual time, whose keys get requests at random moments, to count what shedding costs:
 * calls to the store, keys that change hands, and how long keys are without an owner.
 *
 * Planning and writing turns are the real decisions; requests, heartbeats, news and the store are played.
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

/** Time between two looks for keys to shed, in milliseconds. */
const SHED_MS = 250;
/** Time between two looks at what has been given back, in milliseconds. */
const TICK_MS = 50;
/** Time between two heartbeats of a backend server, in milliseconds. */
const HEARTBEAT_MS = 1_000;
/** How long a backend server takes to give keys back, in milliseconds. */
const GIVE_BACK_MS = 100;
/** Half of the time that a call to the store takes, in milliseconds. */
const HALF_CALL_MS = 3;
/** How long the news of a record travels to all, in milliseconds. */
const NEWS_MS = 8;
/** How long a request may wait for a slot, in milliseconds. */
const LONGEST_WAIT_MS = 400;
/** Age of the reports of other owners' loads, in milliseconds. */
const REPORT_MS = 500;

/** What is played. */
export interface SheddingScene {
  readonly owners: number;
  readonly slots: number;
  /** Requests a second for all keys together, and the usual time of one, in milliseconds. */
  readonly requestsPerSecond: number;
  readonly requestMs: number;
  /** Share of the requests that each key gets from a moment on. */
  readonly popularity: (nowMs: number) => readonly number[];
  readonly random: () => number;
}

/** What the shedding has cost. */
export interface SheddingCost {
  reads: number;
  writes: number;
  lostWrites: number;
  moves: number;
  movedKeys: number;
  /** Time for which keys had no owner, times the share of the requests that they get, in milliseconds. */
  unownedMs: number;
  /** The longest time from giving keys up to their new owner, in milliseconds. */
  longestUnownedMs: number;
  /** Requests, and those that would have waited too long for a slot. */
  requests: number;
  refused: number;
}

interface Player {
  readonly name: string;
  readonly profile: LoadProfile;
  planned: readonly PlannedMove[];
  released: { moves: readonly PlannedMove[]; sinceMs: number } | undefined;
  knownRevision: number;
  isWriting: boolean;
  readonly turns: WriteBackoff;
  /** When each slot of the backend server is free. */
  readonly freeAtMs: number[];
}

/** The service. */
export class SheddingWorld {
  readonly cost: SheddingCost = {
    reads: 0,
    writes: 0,
    lostWrites: 0,
    moves: 0,
    movedKeys: 0,
    unownedMs: 0,
    longestUnownedMs: 0,
    requests: 0,
    refused: 0,
  };
  private nowMs = 0;
  private readonly queue: { atMs: number; order: number; run: () => void }[] =
    [];
  private order = 0;
  private revision = 1;
  private readonly owners: RangeMap<number>;
  private readonly players: Player[];
  private reports: OwnerLoad[] = [];
  private popularity: readonly number[] = [];
  private cumulative = new Float64Array(KEY_COUNT);

  private constructor(private readonly scene: SheddingScene) {
    const size = Math.ceil(KEY_COUNT / scene.owners);
    this.owners = RangeMap.createFrom(
      Array.from({ length: scene.owners }, (_, value) => ({
        from: value * size,
        to: Math.min(KEY_COUNT, (value + 1) * size) - 1,
        value,
      })),
    );
    this.players = Array.from({ length: scene.owners }, (_, index) => ({
      name: `host-${String(index).padStart(3, "0")}`,
      profile: LoadProfile.create(),
      planned: [],
      released: undefined,
      knownRevision: 1,
      isWriting: false,
      turns: WriteBackoff.create(scene.random),
      freeAtMs: Array.from({ length: scene.slots }, () => 0),
    }));
    this.begin();
  }

  /** Creates a service whose keys are divided evenly, before its first request. */
  static create(scene: SheddingScene): SheddingWorld {
    return new SheddingWorld(scene);
  }

  /** Plays until a moment. */
  playUntil(untilMs: number): void {
    while (this.queue.length > 0 && this.queue[0]!.atMs <= untilMs) {
      const event = this.takeFirst();
      this.nowMs = event.atMs;
      event.run();
    }
    this.nowMs = untilMs;
  }

  /** Work that falls to each owner by the popularity of its keys and not by chance, for each slot. */
  get utilizations(): number[] {
    const { slots, requestsPerSecond, requestMs, owners } = this.scene;
    const shares = new Float64Array(owners);
    this.owners.segments.forEach(({ from, to, value }) => {
      shares[value]! += this.shareOf({ from, to });
    });
    return [...shares].map((share) =>
      share * requestsPerSecond * requestMs / 1_000 / slots
    );
  }

  /** How many ranges the record holds. */
  get rangeCount(): number {
    return this.owners.segments.length;
  }

  private begin(): void {
    const { random } = this.scene;
    this.refreshPopularity();
    this.sampleReports();
    this.players.forEach((player, index) => {
      this.every(TICK_MS, random() * TICK_MS, () => {
        player.profile.decay(this.nowMs);
        this.publish(player, index);
      });
      this.every(
        SHED_MS,
        random() * SHED_MS,
        () => this.plan(player, index),
      );
      this.every(
        HEARTBEAT_MS,
        random() * HEARTBEAT_MS,
        () => this.answerHeartbeat(player),
      );
    });
    this.every(REPORT_MS, REPORT_MS, () => this.sampleReports());
    this.every(REPORT_MS, REPORT_MS, () => this.refreshPopularity());
    this.arrive();
  }

  /** The next request. */
  private arrive(): void {
    const { random, requestsPerSecond, requestMs } = this.scene;
    const pauseMs = -Math.log(1 - random()) / requestsPerSecond * 1_000;
    this.after(pauseMs, () => {
      const key = this.pickKey(random() * this.cumulative[KEY_COUNT - 1]!);
      const owner = this.players[this.owners.get(key)!]!;
      const workMs = requestMs * (0.5 + random());
      owner.profile.record(key, workMs);
      this.run(owner, workMs);
      this.arrive();
    });
  }

  /** Runs a request on the slot that is free first, if that is soon enough. */
  private run({ freeAtMs }: Player, workMs: number): void {
    const first = freeAtMs.indexOf(Math.min(...freeAtMs));
    const startMs = Math.max(this.nowMs, freeAtMs[first]!);
    const isRefused = startMs - this.nowMs > LONGEST_WAIT_MS;
    this.cost.requests += 1;
    this.cost.refused += isRefused ? 1 : 0;
    if (!isRefused) {
      freeAtMs[first] = startMs + workMs;
    }
  }

  private plan(player: Player, index: number): void {
    if (player.planned.length > 0 || player.released !== undefined) {
      return;
    }
    const { slots, requestMs } = this.scene;
    const ranges = this.rangesOf(index);
    const load = player.profile.loadOf(ranges) / 1_000;
    const own = {
      daemon: player.name,
      utilization: load / slots,
      deviation: player.profile.standardDeviationOf(load) / slots,
      slots,
      serviceMs: requestMs,
    };
    const others = this.reports.filter(({ daemon }) => daemon !== player.name);
    player.planned = planRebalance(own, others, {
      ranges,
      profile: player.profile,
      keyless: new Set(),
    });
  }

  /** The keys are asked for in the answer, after a read that shows that the store is there. */
  private answerHeartbeat(player: Player): void {
    const { planned } = player;
    if (planned.length === 0) {
      return;
    }
    player.planned = [];
    this.cost.reads += 1;
    player.knownRevision = this.revision;
    this.after(2 * HALF_CALL_MS, () => {
      const sinceMs = this.nowMs;
      this.after(GIVE_BACK_MS, () => {
        player.released = { moves: planned, sinceMs };
      });
    });
  }

  /** Writes what was given back; a lost race is tried anew when the turn comes. */
  private publish(player: Player, index: number): void {
    const { released } = player;
    if (released === undefined || player.isWriting) {
      return;
    }
    player.isWriting = true;
    this.write(player, { index, ...released });
  }

  private write(
    player: Player,
    change: { index: number; moves: readonly PlannedMove[]; sinceMs: number },
  ): void {
    const expected = player.knownRevision;
    this.cost.writes += 1;
    this.after(HALF_CALL_MS, () => {
      const isWon = this.revision === expected;
      if (isWon) {
        this.revision += 1;
        this.apply(change);
      }
      const written = this.revision;
      this.after(HALF_CALL_MS, () => {
        if (isWon) {
          player.turns.recordSuccess();
          player.released = undefined;
          player.isWriting = false;
          player.knownRevision = Math.max(player.knownRevision, written);
          this.after(NEWS_MS, () => this.spread(written));
          return;
        }
        this.cost.lostWrites += 1;
        this.loseRace(player, { ...change, expected });
      });
    });
  }

  private loseRace(
    player: Player,
    change: {
      index: number;
      moves: readonly PlannedMove[];
      sinceMs: number;
      expected: number;
    },
  ): void {
    this.after(player.turns.recordConflict(), () => {
      if (player.knownRevision > change.expected) {
        this.write(player, change);
        return;
      }
      this.cost.reads += 1;
      this.after(HALF_CALL_MS, () => {
        player.knownRevision = this.revision;
        this.after(HALF_CALL_MS, () => this.write(player, change));
      });
    });
  }

  private spread(revision: number): void {
    this.players.forEach((player) => {
      player.knownRevision = Math.max(player.knownRevision, revision);
    });
  }

  private apply(
    change: { index: number; moves: readonly PlannedMove[]; sinceMs: number },
  ): void {
    const unownedMs = this.nowMs - change.sinceMs;
    this.cost.longestUnownedMs = Math.max(
      this.cost.longestUnownedMs,
      unownedMs,
    );
    change.moves.forEach((move) => {
      const taker = this.players.findIndex(({ name }) => name === move.daemon);
      const parts = this.rangesOf(change.index)
        .flatMap((range) => intersect(range, move) ?? []);
      parts.forEach((part) => {
        this.owners.set(part, taker);
        this.players[taker]!.profile.seed(
          part,
          move.load * sizeOf(part) / sizeOf(move),
        );
        this.cost.movedKeys += sizeOf(part);
        this.cost.unownedMs += unownedMs * this.shareOf(part);
      });
      this.cost.moves += 1;
    });
  }

  private rangesOf(owner: number): KeyRange[] {
    return this.owners.segments
      .filter(({ value }) => value === owner)
      .map(({ from, to }) => ({ from, to }));
  }

  private sampleReports(): void {
    const { slots, requestMs } = this.scene;
    const ranges = this.players.map((): KeyRange[] => []);
    this.owners.segments.forEach((segment) =>
      ranges[segment.value]!.push(segment)
    );
    this.reports = this.players.map(({ name, profile }, index) => ({
      daemon: name,
      utilization: profile.loadOf(ranges[index]!) / 1_000 / slots,
      slots,
      serviceMs: requestMs,
    }));
  }

  private refreshPopularity(): void {
    const popularity = this.scene.popularity(this.nowMs);
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

  private shareOf({ from, to }: KeyRange): number {
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
    this.order += 1;
    const event = { atMs: this.nowMs + ms, order: this.order, run };
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

  private takeFirst() {
    const { queue } = this;
    const first = queue[0]!;
    const last = queue.pop()!;
    if (queue.length > 0) {
      let index = 0;
      for (;;) {
        const left = 2 * index + 1;
        const right = left + 1;
        const least = right < queue.length &&
            isBefore(queue[right]!, queue[left]!)
          ? right
          : left;
        if (least >= queue.length || !isBefore(queue[least]!, last)) {
          break;
        }
        queue[index] = queue[least]!;
        index = least;
      }
      queue[index] = last;
    }
    return first;
  }
}

function isBefore(
  left: { atMs: number; order: number },
  right: { atMs: number; order: number },
): boolean {
  return left.atMs < right.atMs ||
    left.atMs === right.atMs && left.order < right.order;
}
