/**
 * Plans moves of partitions between alive owners: away from draining ones, and from more to less loaded ones where
 * the imbalance justifies it.
 *
 * @module
 */
import type { Candidate } from "./assign_partitions.ts";

/** One planned move of a partition; `token` is the fencing token of the current assignment. */
export interface Move {
  readonly partition: number;
  readonly token: number;
  readonly from: string;
  readonly to: string;
}

/** One partition with its owner, its fencing token and its load. */
export interface OwnedPartition {
  readonly partition: number;
  readonly token: number;
  readonly owner: string;
  /** Load in any unit, for example requests per second; the same unit for all partitions. */
  readonly load: number;
}

/** Share by which an owner's load per capacity may exceed the mean before partitions are moved. */
const IMBALANCE_TOLERANCE = 0.05;

/**
 * Plans moves; returns none if there are no candidates.
 *
 * @param context.draining owners that must release all their partitions.
 * @param context.maximumMoves maximum number of moves in addition to those from draining owners.
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
  const balance = LoadBalance.create(partitions, context.candidates);
  const forced = partitions
    .filter((partition) => context.draining.has(partition.owner))
    .sort((left, right) => right.load - left.load)
    .map((partition) => balance.move(partition, balance.leastLoaded()));
  return [...forced, ...planRebalancing(balance, context.maximumMoves)];
}

function planRebalancing(balance: LoadBalance, maximumMoves: number): Move[] {
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

/** Load of the candidates, including the effect of the moves planned so far. */
class LoadBalance {
  private constructor(
    private readonly candidates: readonly Candidate[],
    private readonly loads: Map<string, number>,
    private readonly held: Map<string, OwnedPartition[]>,
  ) {}

  static create(
    partitions: readonly OwnedPartition[],
    candidates: readonly Candidate[],
  ): LoadBalance {
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
    return new LoadBalance(candidates, loads, held);
  }

  leastLoaded(): Candidate {
    return this.candidates.reduce((least, next) =>
      this.relativeLoad(next) < this.relativeLoad(least) ? next : least
    );
  }

  move(partition: OwnedPartition, recipient: Candidate): Move {
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
      recipient.session,
      (this.loads.get(recipient.session) as number) + load,
    );
    return {
      partition: partition.partition,
      token,
      from: owner,
      to: recipient.session,
    };
  }

  /**
   * Plans a move of the largest partition of the most loaded owner that does not make the least loaded owner the more
   * loaded of the two; returns `undefined` if the imbalance is tolerable or no partition is small enough.
   */
  nextMove(): Move | undefined {
    const source = this.candidates.reduce((most, next) =>
      this.relativeLoad(next) > this.relativeLoad(most) ? next : most
    );
    const recipient = this.leastLoaded();
    if (
      this.relativeLoad(source) <=
        this.meanRelativeLoad() * (1 + IMBALANCE_TOLERANCE)
    ) {
      return undefined;
    }
    const difference = this.relativeLoad(source) - this.relativeLoad(recipient);
    // Only moves that reduce the difference are made, so the plan can't oscillate.
    const movable = (this.held.get(source.session) as OwnedPartition[])
      .find(({ load }) =>
        load > 0 &&
        load / recipient.capacity + load / source.capacity <= difference
      );
    return movable === undefined ? undefined : this.move(movable, recipient);
  }

  private relativeLoad(candidate: Candidate): number {
    return (this.loads.get(candidate.session) as number) / candidate.capacity;
  }

  private meanRelativeLoad(): number {
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
