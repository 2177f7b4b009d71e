/**
 * Schemas of the ownership table, which records the owning session and the fencing token of each partition.
 *
 * @module
 */
import { z } from "zod";

/** Partitions in one shard of the table; keeps a shard far below the store's limit of a megabyte per value. */
export const PARTITIONS_PER_SHARD = 4_096;
/** Value in `owners` of a partition without an owner. */
export const NO_OWNER = -1;
/** Maximum number of key overrides in one shard. */
export const MAXIMUM_OVERRIDES = 256;

/** A single key that is owned separately from its partition. */
export const KeyOverride = z.strictObject({
  key: z.string(),
  owner: z.string(),
  token: z.int().min(1),
});
/** A single key that is owned separately from its partition. */
export type KeyOverride = z.infer<typeof KeyOverride>;

/** Why and when one version of a shard was written. */
export const ShardChange = z.strictObject({
  version: z.int().min(1),
  /** Wall-clock time in milliseconds since 1970; for display only. */
  at_ms: z.int(),
  reason: z.string(),
});
/** Why and when one version of a shard was written. */
export type ShardChange = z.infer<typeof ShardChange>;

/** Maximum number of changes that a shard lists. */
export const MAXIMUM_CHANGES = 64;

/**
 * One shard. Partition `first + i` is owned by `sessions[owners[i]]` under fencing token `tokens[i]`.
 * Fencing tokens only increase: each is the shard's version at the last change of owner.
 */
export const TableShard = z.strictObject({
  service: z.string(),
  first: z.int().min(0),
  /** Incremented by each change of the shard. */
  version: z.int().min(1),
  /** The latest changes and all earlier ones that set a current assignment, newest first. */
  changes: z.array(ShardChange).max(MAXIMUM_CHANGES),
  sessions: z.array(z.string()),
  owners: z.array(z.int().min(NO_OWNER)),
  tokens: z.array(z.int().min(0)),
  overrides: z.array(KeyOverride).max(MAXIMUM_OVERRIDES),
});
/** One shard of the ownership table. */
export type TableShard = z.infer<typeof TableShard>;
