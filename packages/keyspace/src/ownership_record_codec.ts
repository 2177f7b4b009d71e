/**
 * The form in which an ownership record is stored, and its validation.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Arbiter, Owner } from "./ownership_record.ts";
import { KEY_COUNT, type Segment } from "./range_map.ts";

/** First key, last key, index of the daemon, proof of the handover, id of the seal. */
export type StoredRange = readonly [number, number, number, string, number];

/**
 * An ownership record as it is stored. Every change of a record is sent to all daemons, so the encoding is compact:
 * tuples rather than named fields, and each daemon's address only once.
 */
export interface StoredRecord {
  readonly daemons: readonly string[];
  readonly ranges: readonly StoredRange[];
  /** Daemon and id of the appointment; absent in records of early versions. */
  readonly arbiters?: readonly (readonly [string, number])[];
  /**
   * Number of rollbacks of the store before this was written; a record whose era differs from the store's is old.
   * Absent: 0.
   */
  readonly era?: number;
  /**
   * Whether this was restored after the store had lost it, and others may still hold keys by a later record. Absent:
   * false.
   */
  readonly restored?: boolean;
}

/** The validated content of a stored record. */
export interface DecodedRecord {
  readonly segments: Segment<Owner>[];
  readonly arbiters: Arbiter[];
  readonly era: number;
  readonly isRestored: boolean;
}

const RANGE_LENGTH = 5;
const ARBITER_LENGTH = 2;

/**
 * Validates a stored record and converts it.
 *
 * It does not use a schema: every change of a record reaches all daemons, and validating 150 ranges with an interpreted
 * schema takes 7 ms the first time and 2 ms the next few times. A test compares this function with a schema.
 *
 * @returns an error that describes the first invalid part.
 */
export function decodeStoredRecord(
  value: unknown,
): Result<DecodedRecord, string> {
  if (!isObject(value)) {
    return err("expected an object");
  }
  const { daemons, ranges, arbiters = [], era = 0, restored = false } = value;
  if (!Array.isArray(daemons) || !daemons.every(isString)) {
    return err("daemons: expected an array of addresses");
  }
  if (!Array.isArray(ranges)) {
    return err("ranges: expected an array");
  }
  if (!Array.isArray(arbiters) || !arbiters.every(isArbiter)) {
    return err("arbiters: expected an array of daemons and appointments");
  }
  if (!isNonNegativeInteger(era)) {
    return err("era: expected a non-negative integer");
  }
  if (typeof restored !== "boolean") {
    return err("restored: expected a boolean");
  }
  return decodeRanges(ranges, daemons).map((segments) => ({
    segments,
    arbiters: arbiters.map(([daemon, appointmentId]) => ({
      daemon,
      appointmentId,
    })),
    era,
    isRestored: restored,
  }));
}

function decodeRanges(
  ranges: readonly unknown[],
  daemons: readonly string[],
): Result<Segment<Owner>[], string> {
  const segments: Segment<Owner>[] = [];
  let previousTo = -1;
  for (const range of ranges) {
    if (!isRange(range)) {
      return err(
        `ranges.${segments.length}: expected two keys, the index of a daemon, a proof and the id of a seal`,
      );
    }
    const [from, to, index, handover, seal] = range;
    const daemon = daemons[index];
    if (from > to || from <= previousTo || daemon === undefined) {
      return err(
        `ranges.${segments.length}: expected a listed daemon and keys above those of the previous range`,
      );
    }
    segments.push({ from, to, value: { daemon, handover, seal } });
    previousTo = to;
  }
  return ok(segments);
}

function isRange(value: unknown): value is StoredRange {
  if (!Array.isArray(value) || value.length !== RANGE_LENGTH) {
    return false;
  }
  const [from, to, index, handover, seal] = value as unknown[];
  return isKey(from) && isKey(to) && isNonNegativeInteger(index) &&
    isString(handover) && isNonNegativeInteger(seal);
}

function isArbiter(value: unknown): value is readonly [string, number] {
  return Array.isArray(value) && value.length === ARBITER_LENGTH &&
    isString(value[0]) && isNonNegativeInteger(value[1]);
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function isString(value: unknown): value is string {
  return typeof value === "string";
}

function isKey(value: unknown): value is number {
  return isNonNegativeInteger(value) && value < KEY_COUNT;
}

function isNonNegativeInteger(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
