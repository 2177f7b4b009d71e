/**
 * Plans moves of partitions between living owners: away from draining ones, and from loaded to less
 * loaded ones where that is worth the churn.
 *
 * @module
 */
import type { Candidate } from "./assign_partitions.ts";

/** One planned move. */
export interface Move {
  readonly partition: number;
  readonly token: number;
  readonly from: string;
  readonly to: string;
}

/** One partition with its owner and its load. */
export interface OwnedPartition {
  readonly partition: number;
  readonly token: number;
  readonly owner: string;
  /** Load in any unit, for example requests a second. */
  readonly load: number;
}

/** Load per capacity may exceed the mean by this share before anything moves. */
const TOLERANCE = 0.05;

/**
 * Plans moves.
 *
 * @param leaving owners that must give up everything they hold.
 * @param maximumMoves the most moves beyond those that leaving owners force.
 */
export function planMoves(
  partitions: readonly OwnedPartition[],
  context: {
    candidates: readonly Candidate[];
    draining: ReadonlySet<string>;
    maximumMoves: number;
  },
): Move[] {
  if (context.candidates.length === 0) {
    return [];
  }
  const balance = Balance.create(partitions, context.candidates);
  const forced = partitions
    .filter((partition) => context.draining.has(partition.owner))
    .sort((left, right) => right.load - left.load)
    .map((partition) => balance.move(partition, balance.leastLoaded()));
  return [...forced, ...planRebalancing(balance, context.maximumMoves)];
}

function planRebalancing(balance: Balance, maximumMoves: number): Move[] {
  const moves: Move[] = [];
  while (moves.length < maximumMoves) {
    const move = balance.nextMove();
    if (move === undefined) {
      break;
    }
    moves.push(move);
  }
  return moves;
}

/** Load of the candidates while moves are planned. */
class Balance {
  private constructor(
    private readonly candidates: readonly Candidate[],
    private readonly loads: Map<string, number>,
    private readonly held: Map<string, OwnedPartition[]>,
  ) {}

  static create(
    partitions: readonly OwnedPartition[],
    candidates: readonly Candidate[],
  ): Balance {
    const held = new Map(
      candidates.map(({ session }) => [session, [] as OwnedPartition[]]),
    );
    partitions.forEach((partition) =>
      held.get(partition.owner)?.push(partition)
    );
    held.forEach((list) => list.sort((left, right) => right.load - left.load));
    const loads = new Map(
      [...held].map(([session, list]) => [session, sumLoads(list)]),
    );
    return new Balance(candidates, loads, held);
  }

  leastLoaded(): Candidate {
    return this.candidates.reduce((least, next) =>
      this.relative(next) < this.relative(least) ? next : least
    );
  }

  move(partition: OwnedPartition, taker: Candidate): Move {
    const { owner, load, token } = partition;
    if (this.loads.has(owner)) {
      this.loads.set(owner, (this.loads.get(owner) as number) - load);
      this.held.set(
        owner,
        (this.held.get(owner) as OwnedPartition[]).filter((other) =>
          other !== partition
        ),
      );
    }
    this.loads.set(
      taker.session,
      (this.loads.get(taker.session) as number) + load,
    );
    return {
      partition: partition.partition,
      token,
      from: owner,
      to: taker.session,
    };
  }

  /** The largest partition that the most loaded owner can give without the taker becoming the new peak. */
  nextMove(): Move | undefined {
    const giver = this.candidates.reduce((most, next) =>
      this.relative(next) > this.relative(most) ? next : most
    );
    const taker = this.leastLoaded();
    if (this.relative(giver) <= this.mean() * (1 + TOLERANCE)) {
      return undefined;
    }
    const gap = this.relative(giver) - this.relative(taker);
    // Only moves that shrink the gap are made, so the plan can't swing back and forth.
    const fitting = (this.held.get(giver.session) as OwnedPartition[])
      .find(({ load }) =>
        load > 0 && load / taker.capacity + load / giver.capacity <= gap
      );
    return fitting === undefined ? undefined : this.move(fitting, taker);
  }

  private relative(candidate: Candidate): number {
    return (this.loads.get(candidate.session) as number) / candidate.capacity;
  }

  private mean(): number {
    const load = [...this.loads.values()].reduce(
      (sum, value) => sum + value,
      0,
    );
    const capacity = this.candidates.reduce(
      (sum, candidate) => sum + candidate.capacity,
      0,
    );
    return load / capacity;
  }
}

function sumLoads(partitions: readonly OwnedPartition[]): number {
  return partitions.reduce((sum, partition) => sum + partition.load, 0);
}
