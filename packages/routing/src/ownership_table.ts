/**
 * Finds the owners of keys and partitions in the shards of the ownership table.
 *
 * @module
 */
import {
  NO_OWNER,
  PARTITIONS_PER_SHARD,
  type TableShard,
} from "@bamboolink/types";
import { partitionOf } from "./partition.ts";

/** The assignment of a key to its owner. */
export interface Assignment {
  readonly service: string;
  readonly partition: number;
  /** Id of the owning session. */
  readonly session: string;
  /** Fencing token of the assignment. */
  readonly token: number;
  /** Whether the key is assigned separately from its partition. */
  readonly override: boolean;
}

/** One version of the ownership table, indexed for fast lookup. */
export class OwnershipTable {
  private constructor(
    private readonly shards: ReadonlyMap<
      string,
      readonly (TableShard | undefined)[]
    >,
    private readonly overrides: ReadonlyMap<string, Assignment>,
  ) {}

  /** Creates a table from its shards. */
  static create(shards: readonly TableShard[]): OwnershipTable {
    const services = [...new Set(shards.map((shard) => shard.service))];
    const byService = new Map(
      services.map((service) => [service, indexShards(service, shards)]),
    );
    const overrides = shards.flatMap((shard) =>
      shard.overrides.map((override) =>
        [overrideKey(shard.service, override.key), {
          service: shard.service,
          partition: NO_OWNER,
          session: override.owner,
          token: override.token,
          override: true,
        }] as const
      )
    );
    return new OwnershipTable(byService, new Map(overrides));
  }

  /** Finds the owner of a key; `undefined` if it has none yet. */
  find(
    key: string,
    service: { name: string; partitions: number },
  ): Assignment | undefined {
    const partition = partitionOf(key, service.partitions);
    const override = this.overrides.get(overrideKey(service.name, key));
    return override === undefined
      ? this.findPartition(partition, service.name)
      : { ...override, partition };
  }

  /** Finds the owner of a partition, ignoring overrides of keys; `undefined` if it has none yet. */
  findPartition(partition: number, service: string): Assignment | undefined {
    const shard = this.shards.get(service)
      ?.[Math.floor(partition / PARTITIONS_PER_SHARD)];
    const index = partition - (shard?.first ?? 0);
    const session = shard?.sessions[shard.owners[index] ?? NO_OWNER];
    return session === undefined ? undefined : {
      service,
      partition,
      session,
      token: shard?.tokens[index] ?? 0,
      override: false,
    };
  }
}

function indexShards(
  service: string,
  shards: readonly TableShard[],
): (TableShard | undefined)[] {
  const serviceShards = shards.filter((shard) => shard.service === service);
  const lastIndex = Math.max(...serviceShards.map((shard) => shard.first)) /
    PARTITIONS_PER_SHARD;
  return Array.from(
    { length: lastIndex + 1 },
    (_, index) =>
      serviceShards.find((shard) =>
        shard.first === index * PARTITIONS_PER_SHARD
      ),
  );
}

function overrideKey(service: string, key: string): string {
  return `${service}\n${key}`;
}
