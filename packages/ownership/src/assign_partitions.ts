/**
 * Gives partitions without a living owner to the candidates that hold the least, and rewrites the
 * shards of the table.
 *
 * @module
 */
import {
  MAXIMUM_CHANGES,
  NO_OWNER,
  PARTITIONS_PER_SHARD,
  type ShardChange,
  type TableShard,
} from "@bamboolink/types";
import TinyQueue from "tinyqueue";

/** A session that may be given partitions. */
export interface Candidate {
  readonly session: string;
  /** Its share of the load in relation to others, usually its slots. */
  readonly capacity: number;
}

/** A new owner for one partition. */
export interface PartitionChange {
  readonly partition: number;
  readonly owner: string;
}

/** Creates the empty shards of a service; version 0 marks them as not written yet. */
export function createShards(
  service: string,
  partitions: number,
): TableShard[] {
  return Array.from(
    { length: Math.ceil(partitions / PARTITIONS_PER_SHARD) },
    (_, index) => {
      const first = index * PARTITIONS_PER_SHARD;
      const length = Math.min(PARTITIONS_PER_SHARD, partitions - first);
      return {
        service,
        first,
        version: 0,
        changes: [],
        sessions: [],
        owners: Array.from({ length }, () => NO_OWNER),
        tokens: Array.from({ length }, () => 0),
        overrides: [],
      };
    },
  );
}

/** The owner of each partition of a shard, `undefined` where there is none. */
export function ownersOf(shard: TableShard): (string | undefined)[] {
  return shard.owners.map((owner) => shard.sessions[owner]);
}

/**
 * Assigns the partitions that need an owner.
 *
 * @param shards all shards of one service.
 * @param mayReplace whether the named session's partitions may be given to others; it has ended.
 */
export function assignPartitions(
  shards: readonly TableShard[],
  context: {
    candidates: readonly Candidate[];
    mayReplace: (session: string) => boolean;
  },
): PartitionChange[] {
  if (context.candidates.length === 0) {
    return [];
  }
  const owned = shards.flatMap((shard) =>
    ownersOf(shard).map((owner, index) => ({
      owner,
      partition: shard.first + index,
    }))
  );
  const orphans = owned.filter(({ owner }) =>
    owner === undefined || context.mayReplace(owner)
  );
  const held = new Map(
    context.candidates.map((candidate) => [candidate.session, 0]),
  );
  owned.forEach(({ owner }) => {
    if (owner !== undefined && held.has(owner)) {
      held.set(owner, (held.get(owner) as number) + 1);
    }
  });
  const queue = new TinyQueue(
    context.candidates.map(({ session, capacity }) => ({
      session,
      capacity,
      held: held.get(session) as number,
    })),
    (left, right) =>
      (left.held + 1) / left.capacity - (right.held + 1) / right.capacity,
  );
  return orphans.map(({ partition }) => {
    const taker = queue.pop() as HeldCandidate;
    queue.push({ ...taker, held: taker.held + 1 });
    return { partition, owner: taker.session };
  });
}

interface HeldCandidate extends Candidate {
  readonly held: number;
}

/**
 * Rewrites one shard with new owners. The shard's version grows by one and becomes the fencing token
 * of what changed, so a token of a partition only ever grows.
 *
 * @returns the shard to write, or `undefined` where nothing in it changes.
 */
export function rewriteShard(
  shard: TableShard,
  change: {
    changes: readonly PartitionChange[];
    reason: string;
    nowMs: number;
  },
): TableShard | undefined {
  const end = shard.first + shard.owners.length;
  const own = new Map(
    change.changes
      .filter(({ partition }) => partition >= shard.first && partition < end)
      .map(({ partition, owner }) => [partition - shard.first, owner]),
  );
  if (own.size === 0) {
    return undefined;
  }
  const version = shard.version + 1;
  const names = ownersOf(shard).map((owner, index) => own.get(index) ?? owner);
  const sessions = [...new Set(names.filter((name) => name !== undefined))];
  const positions = new Map(sessions.map((session, index) => [session, index]));
  const tokens = shard.tokens.map((token, index) =>
    own.has(index) ? version : token
  );
  const entry: ShardChange = {
    version,
    at_ms: change.nowMs,
    reason: change.reason,
  };
  return {
    ...shard,
    version,
    changes: boundChanges([entry, ...shard.changes], tokens),
    sessions,
    owners: names.map((name) =>
      name === undefined ? NO_OWNER : positions.get(name) as number
    ),
    tokens,
  };
}

/** Keeps what still explains an assignment before what does not, and the newest before the older. */
function boundChanges(
  changes: readonly ShardChange[],
  tokens: readonly number[],
): ShardChange[] {
  const deciding = new Set(tokens);
  return changes
    .filter((change, index) => index === 0 || deciding.has(change.version))
    .slice(0, MAXIMUM_CHANGES);
}
