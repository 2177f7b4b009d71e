/**
 * Applies a new document to the configuration record as its next version.
 *
 * @module
 */
import { BamboolinkError } from "@bamboolink/errors";
import {
  type ConfigurationDocument,
  type ConfigurationRecord,
  type ConfigurationVersion,
} from "@bamboolink/types";
import { err, ok, type Result } from "neverthrow";
import { compareDocuments } from "./compare.ts";

/** Maximum number of earlier versions that the record keeps. */
export const HISTORY_LIMIT = 20;
/** Maximum size of the earlier versions, in characters of JSON; it keeps the record below the store's size limit. */
const MAX_HISTORY_CHARACTERS = 500_000;

/**
 * Applies a document to the record that is in the store.
 *
 * @param record the record in the store, `undefined` if there is none yet.
 * @returns the record to write; `conflict` with the changes since `expectedVersion` if another version is in force;
 *   `invalid` if the document changes the number of partitions of a service.
 */
export function applyDocument(
  record: ConfigurationRecord | undefined,
  change: {
    document: ConfigurationDocument;
    /** The version that the operator's change is based on; 0 for none. */
    expectedVersion: number;
    author: string;
    note: string;
    attempt: string;
    nowMs: number;
  },
): Result<ConfigurationRecord, BamboolinkError> {
  const version = record?.current.version ?? 0;
  if (version !== change.expectedVersion) {
    return err(createConflict(record, change.expectedVersion));
  }
  const problem = findPartitionChange(
    record?.current.document,
    change.document,
  );
  if (problem !== undefined) {
    return err(
      BamboolinkError.create("invalid", problem, {
        step: "configuration.apply",
      }),
    );
  }
  const current: ConfigurationVersion = {
    version: version + 1,
    author: change.author,
    note: change.note,
    applied_at_ms: change.nowMs,
    attempt: change.attempt,
    document: change.document,
  };
  const history = record === undefined
    ? []
    : [record.current, ...record.history];
  return ok({ current, history: truncateHistory(history) });
}

function truncateHistory(
  history: readonly ConfigurationVersion[],
): ConfigurationVersion[] {
  const sizes = history.map((version) => JSON.stringify(version).length);
  return history
    .slice(0, HISTORY_LIMIT)
    .filter((_, index) =>
      sizes.slice(0, index + 1).reduce((sum, size) => sum + size, 0) <=
        MAX_HISTORY_CHARACTERS
    );
}

function findPartitionChange(
  before: ConfigurationDocument | undefined,
  after: ConfigurationDocument,
): string | undefined {
  const changed = before?.services.find((service) => {
    const next = after.services.find((candidate) =>
      candidate.name === service.name
    );
    return next !== undefined && next.partitions !== service.partitions;
  });
  return changed === undefined
    ? undefined
    : `services.${changed.name}.partitions: expected ${changed.partitions}; the number of partitions can't change while the service exists`;
}

function createConflict(
  record: ConfigurationRecord | undefined,
  expected: number,
): BamboolinkError {
  const current = record?.current;
  const base = [
    ...(record?.history ?? []),
    ...(current === undefined ? [] : [current]),
  ]
    .find((version) => version.version === expected);
  const changes = base === undefined || current === undefined
    ? []
    : compareDocuments(base.document, current.document).map((change) =>
      change.path
    );
  const authorText = current === undefined ? "" : ` by ${current.author}`;
  const changesText = changes.length === 0
    ? ""
    : `; changed since version ${expected}: ${changes.join(", ")}`;
  const message = `version ${
    current?.version ?? 0
  } is in force${authorText}, not version ${expected}${changesText}`;
  return BamboolinkError.create("conflict", message, {
    step: "configuration.apply",
  });
}
