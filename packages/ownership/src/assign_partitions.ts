/**
 * Assigns partitions without an alive owner to the candidates with the fewest partitions for their capacity, and
 * rewrites the shards of the ownership table.
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

/** A session to which partitions may be assigned. */
export interface Candidate {
  readonly session: string;
  /** Capacity relative to that of other candidates, typically the number of slots. */
  readonly capacity: number;
}

/** A new owner for one partition. */
export interface PartitionChange {
  readonly partition: number;
  readonly owner: string;
}

/** Creates the empty shards of a service with `partitions` partitions; version 0 means not written yet. */
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

/** Returns the owning session of each partition of a shard, `undefined` for partitions without one. */
export function ownersOf(shard: TableShard): (string | undefined)[] {
  return shard.owners.map((owner) => shard.sessions[owner]);
}

/**
 * Assigns the partitions that need an owner.
 *
 * @param shards all shards of one service.
 * @param context.mayReplace whether a session has ended, so that its partitions may be assigned to others.
 * @returns the changes; none if there are no candidates.
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
  const unowned = owned.filter(({ owner }) =>
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
  return unowned.map(({ partition }) => {
    const recipient = queue.pop() as LoadedCandidate;
    queue.push({ ...recipient, held: recipient.held + 1 });
    return { partition, owner: recipient.session };
  });
}

interface LoadedCandidate extends Candidate {
  readonly held: number;
}

/**
 * Rewrites one shard with new owners. The version of the shard increases by one and becomes the fencing token of
 * each partition that changed, so the tokens of a partition are monotonic.
 *
 * @param change.changes changes of the service; those in other shards are ignored.
 * @param change.nowMs time recorded with the change, in milliseconds.
 * @returns the shard to write, or `undefined` if none of its partitions changes.
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
  const newOwners = new Map(
    change.changes
      .filter(({ partition }) => partition >= shard.first && partition < end)
      .map(({ partition, owner }) => [partition - shard.first, owner]),
  );
  if (newOwners.size === 0) {
    return undefined;
  }
  const version = shard.version + 1;
  const names = ownersOf(shard).map((owner, index) =>
    newOwners.get(index) ?? owner
  );
  const sessions = [...new Set(names.filter((name) => name !== undefined))];
  const positions = new Map(sessions.map((session, index) => [session, index]));
  const tokens = shard.tokens.map((token, index) =>
    newOwners.has(index) ? version : token
  );
  const entry: ShardChange = {
    version,
    at_ms: change.nowMs,
    reason: change.reason,
  };
  return {
    ...shard,
    version,
    changes: pruneChanges([entry, ...shard.changes], tokens),
    sessions,
    owners: names.map((name) =>
      name === undefined ? NO_OWNER : positions.get(name) as number
    ),
    tokens,
  };
}

/** Keeps the newest change and, newest first, those that are the cause of a current assignment, up to the limit. */
function pruneChanges(
  changes: readonly ShardChange[],
  tokens: readonly number[],
): ShardChange[] {
  const currentTokens = new Set(tokens);
  return changes
    .filter((change, index) => index === 0 || currentTokens.has(change.version))
    .slice(0, MAXIMUM_CHANGES);
}
