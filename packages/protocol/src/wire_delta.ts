/**
 * Deltas between copies of the records, on the wire and in memory.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import { type Delta, DeltaSchema, RecordSchema } from "./gen/peer_pb.ts";

/** A delta as the `view` package holds it. */
export interface WireDelta {
  readonly from: number;
  readonly to: number;
  readonly records: readonly {
    readonly key: string;
    readonly value: string | undefined;
    readonly revision: number;
  }[];
}

/** Makes the message of a delta. */
export function toWireDelta(delta: WireDelta): Delta {
  return create(DeltaSchema, {
    from: BigInt(delta.from),
    to: BigInt(delta.to),
    records: delta.records.map((record) =>
      create(RecordSchema, {
        key: record.key,
        revision: BigInt(record.revision),
        ...(record.value === undefined ? {} : { value: record.value }),
      })
    ),
  });
}

/** Reads a delta from its message. */
export function fromWireDelta(delta: Delta): WireDelta {
  return {
    from: Number(delta.from),
    to: Number(delta.to),
    records: delta.records.map((record) => ({
      key: record.key,
      value: record.value,
      revision: Number(record.revision),
    })),
  };
}
