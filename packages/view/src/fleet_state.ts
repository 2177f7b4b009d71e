/**
 * Parses the records of a view. A record that does not match its schema is omitted and reported; the others stay
 * readable.
 *
 * @module
 */
import {
  CONFIGURATION_KEY,
  ConfigurationRecord,
  DRAIN_PREFIX,
  DrainRecord,
  PLANNER_KEY,
  PlannerRecord,
  SESSION_PREFIX,
  SessionRecord,
  TABLE_PREFIX,
  TableShard,
} from "@bamboolink/types";
import type { z } from "zod";
import type { View, ViewRecord } from "./view.ts";

/** A record that does not match its schema. */
export interface RecordProblem {
  readonly key: string;
  readonly message: string;
}

/** A parsed record with its key and the revision that a compare-and-swap on it expects. */
export interface Versioned<T> {
  readonly key: string;
  readonly revision: number;
  readonly record: T;
}

/** All parsed records of the fleet. */
export interface FleetState {
  readonly revision: number;
  readonly configuration: Versioned<ConfigurationRecord> | undefined;
  readonly planner: Versioned<PlannerRecord> | undefined;
  /** Sessions by id. */
  readonly sessions: ReadonlyMap<string, Versioned<SessionRecord>>;
  readonly shards: readonly Versioned<TableShard>[];
  /** Drain records by host. */
  readonly drains: ReadonlyMap<string, Versioned<DrainRecord>>;
  readonly problems: readonly RecordProblem[];
}

/** Parses all records of a view; records that do not match their schema are listed in `problems`. */
export function readFleetState(view: View): FleetState {
  const problems: RecordProblem[] = [];
  const readAll = <T>(
    schema: z.ZodType<T>,
    records: readonly ViewRecord[],
  ): Versioned<T>[] =>
    records.flatMap((record) => parseRecord(schema, { record, problems }));
  const readOne = <T>(
    schema: z.ZodType<T>,
    key: string,
  ): Versioned<T> | undefined => {
    const record = view.get(key);
    return record === undefined ? undefined : readAll(schema, [record])[0];
  };
  return {
    revision: view.revision,
    configuration: readOne(ConfigurationRecord, CONFIGURATION_KEY),
    planner: readOne(PlannerRecord, PLANNER_KEY),
    sessions: new Map(
      readAll(SessionRecord, view.list(SESSION_PREFIX)).map((
        session,
      ) => [session.record.id, session]),
    ),
    shards: readAll(TableShard, view.list(TABLE_PREFIX)),
    drains: new Map(
      readAll(DrainRecord, view.list(DRAIN_PREFIX)).map((
        drain,
      ) => [drain.record.host, drain]),
    ),
    problems,
  };
}

/** Parsed values by source record, so that a change of one record causes only that one to be parsed again. */
const parsedRecords = new WeakMap<ViewRecord, unknown>();

function parseRecord<T>(
  schema: z.ZodType<T>,
  context: { record: ViewRecord; problems: RecordProblem[] },
): Versioned<T>[] {
  const { record, problems } = context;
  const versioned = (
    value: T,
  ) => [{ key: record.key, revision: record.revision, record: value }];
  const cached = parsedRecords.get(record);
  if (cached !== undefined) {
    return versioned(cached as T);
  }
  const json = parseJson(record.value ?? "");
  const parsed = schema.safeParse(json);
  if (parsed.success) {
    parsedRecords.set(record, parsed.data);
    return versioned(parsed.data);
  }
  const firstIssue = parsed.error.issues[0];
  problems.push({
    key: record.key,
    message: `${firstIssue?.path.join(".") ?? ""}: ${
      firstIssue?.message ?? ""
    }`,
  });
  return [];
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
