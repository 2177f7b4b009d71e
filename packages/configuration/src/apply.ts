/**
 * Puts a new document on top of a configuration record.
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

/** How many earlier versions the record keeps. */
export const HISTORY_LIMIT = 20;
/** Earlier versions are dropped beyond this size, so that the record stays below the store's limit. */
const HISTORY_BYTES = 500_000;

/**
 * Applies a document to the record that is in the store.
 *
 * @param record what is in the store, `undefined` where there is nothing yet.
 * @returns the record to write, or `conflict` with what changed since `expectedVersion`.
 */
export function applyDocument(
  record: ConfigurationRecord | undefined,
  change: {
    document: ConfigurationDocument;
    /** The version that the operator started from; 0 for none. */
    expectedVersion: number;
    author: string;
    note: string;
    attempt: string;
    nowMs: number;
  },
): Result<ConfigurationRecord, BamboolinkError> {
  const version = record?.current.version ?? 0;
  if (version !== change.expectedVersion) {
    return err(describeRace(record, change.expectedVersion));
  }
  const fixed = findFixedChange(record?.current.document, change.document);
  if (fixed !== undefined) {
    return err(
      BamboolinkError.create("invalid", fixed, { step: "configuration.apply" }),
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
  return ok({ current, history: boundHistory(history) });
}

function boundHistory(
  history: readonly ConfigurationVersion[],
): ConfigurationVersion[] {
  const sizes = history.map((version) => JSON.stringify(version).length);
  return history
    .slice(0, HISTORY_LIMIT)
    .filter((_, index) =>
      sizes.slice(0, index + 1).reduce((sum, size) => sum + size, 0) <=
        HISTORY_BYTES
    );
}

function findFixedChange(
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
    : `services.${changed.name}.partitions: expected ${changed.partitions}; it can't change while the service exists`;
}

function describeRace(
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
  const by = current === undefined ? "" : ` by ${current.author}`;
  const what = changes.length === 0
    ? ""
    : `; changed since version ${expected}: ${changes.join(", ")}`;
  const message = `version ${
    current?.version ?? 0
  } is in force${by}, not version ${expected}${what}`;
  return BamboolinkError.create("conflict", message, {
    step: "configuration.apply",
  });
}
