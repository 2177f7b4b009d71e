/**
 * Looks owners up in the shards of the ownership table.
 *
 * @module
 */
import {
  NO_OWNER,
  PARTITIONS_PER_SHARD,
  type TableShard,
} from "@bamboolink/types";
import { partitionOf } from "./partition.ts";

/** Who owns a key. */
export interface Assignment {
  readonly service: string;
  readonly partition: number;
  /** Identity of the owning session. */
  readonly session: string;
  /** Fencing token of the assignment. */
  readonly token: number;
  /** Whether the key is owned apart from its partition. */
  readonly override: boolean;
}

/** One version of the ownership table, made for fast look-ups. */
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
      services.map((service) => [service, orderShards(service, shards)]),
    );
    const overrides = shards.flatMap((shard) =>
      shard.overrides.map((override) =>
        [overrideName(shard.service, override.key), {
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

  /** Finds the owner of a key; `undefined` where it has none yet. */
  find(
    key: string,
    service: { name: string; partitions: number },
  ): Assignment | undefined {
    const partition = partitionOf(key, service.partitions);
    const override = this.overrides.get(overrideName(service.name, key));
    return override === undefined
      ? this.findPartition(partition, service.name)
      : { ...override, partition };
  }

  /** Finds the owner of a partition; `undefined` where it has none yet. */
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

function orderShards(
  service: string,
  shards: readonly TableShard[],
): (TableShard | undefined)[] {
  const own = shards.filter((shard) => shard.service === service);
  const last = Math.max(...own.map((shard) => shard.first)) /
    PARTITIONS_PER_SHARD;
  return Array.from(
    { length: last + 1 },
    (_, index) =>
      own.find((shard) => shard.first === index * PARTITIONS_PER_SHARD),
  );
}

function overrideName(service: string, key: string): string {
  return `${service}\n${key}`;
}
