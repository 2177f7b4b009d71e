/**
 * The ownership table: which session owns which partition, under which fencing token.
 *
 * @module
 */
import { z } from "zod";

/** Partitions in one shard of the table, so that a shard stays far below the store's megabyte. */
export const PARTITIONS_PER_SHARD = 4_096;
/** Marks a partition without an owner in `owners`. */
export const NO_OWNER = -1;
/** The most key overrides in one shard. */
export const MAXIMUM_OVERRIDES = 256;

/** A single key that is owned apart from its partition. */
export const KeyOverride = z.strictObject({
  key: z.string(),
  owner: z.string(),
  token: z.int().min(1),
});
/** A single key that is owned apart from its partition. */
export type KeyOverride = z.infer<typeof KeyOverride>;

/** Why and when one version of a shard was written. */
export const ShardChange = z.strictObject({
  version: z.int().min(1),
  /** Wall-clock time in milliseconds since 1970, for people only. */
  at_ms: z.int(),
  reason: z.string(),
});
/** Why and when one version of a shard was written. */
export type ShardChange = z.infer<typeof ShardChange>;

/** The most changes that a shard explains. */
export const MAXIMUM_CHANGES = 64;

/**
 * One shard. Partition `first + i` is owned by `sessions[owners[i]]` under fencing token `tokens[i]`.
 * A token only grows: it is the shard's version at the change of owner.
 */
export const TableShard = z.strictObject({
  service: z.string(),
  first: z.int().min(0),
  /** Grows by one with each change of the shard. */
  version: z.int().min(1),
  /** The changes that still decide somebody's ownership and the latest ones, newest first. */
  changes: z.array(ShardChange).max(MAXIMUM_CHANGES),
  sessions: z.array(z.string()),
  owners: z.array(z.int().min(NO_OWNER)),
  tokens: z.array(z.int().min(0)),
  overrides: z.array(KeyOverride).max(MAXIMUM_OVERRIDES),
});
/** One shard of the ownership table. */
export type TableShard = z.infer<typeof TableShard>;
