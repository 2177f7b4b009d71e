/**
 * Writes changes of the ownership records to the store.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { BamboolinkError } from "@bamboolink/errors";
import { OwnershipRecord, WriteBackoff } from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import { type Store, writeAndVerify } from "@bamboolink/store";
import { err, ok } from "neverthrow";
import { monotonicMs } from "../clock.ts";
import type { Registration } from "../members/registration.ts";
import {
  OWNERSHIP_PREFIX,
  type OwnershipDirectory,
} from "./ownership_directory.ts";
import type { EarlierEraRecord, RecordInspector } from "./record_inspector.ts";

/**
 * Pause after a write that failed for another reason than a conflict, in milliseconds. Without it, every
 * daemon would request a relayed write from the others in each tick while the store is down.
 */
const WRITE_PAUSE_MS = 250;
/** Maximum number of attempts to write one change of a record against conflicting writes. */
const MAX_WRITE_ATTEMPTS = 4;

/** Dependencies of the record writer. */
export interface RecordWriterContext {
  readonly store: Store;
  readonly logger: Logger;
  readonly directory: OwnershipDirectory;
  readonly random: () => number;
  readonly inspector: RecordInspector;
  /** Its guard makes writes of earlier processes of this daemon ineffective. */
  readonly registration: Pick<Registration, "guard" | "replaceGuard">;
  /** Announces a newer record to all daemons. */
  readonly onWritten: (service: string, record: OwnershipRecord) => void;
}

/**
 * Plans a change: returns the changed record, or `undefined` if there is nothing left to change. It is called again after
 * each failed attempt, and must then check its reasons anew, as they may have ceased since the attempt before.
 */
export type RecordChange = (
  record: OwnershipRecord,
) => OwnershipRecord | undefined;

/** Writes the changes of one daemon, one at a time per service. */
export class RecordWriter {
  private readonly servicesInFlight = new Set<string>();
  private readonly pauseEndsAtMs = new Map<string, number>();
  private readonly conflictBackoff: WriteBackoff;

  private constructor(private readonly context: RecordWriterContext) {
    this.conflictBackoff = WriteBackoff.create(context.random);
  }

  static create(context: RecordWriterContext): RecordWriter {
    return new RecordWriter(context);
  }

  /**
   * Changes a record by compare-and-swap. A change requested while another write is in flight is dropped; the next tick
   * plans it again.
   *
   * If the outcome is unknown, nothing is assumed: the affected ranges stay released here, and later ticks decide again
   * from the newest known record.
   */
  async write(
    service: string,
    purpose: string,
    change: RecordChange,
  ): Promise<void> {
    await this.runExclusively(
      service,
      () => this.tryWrite(service, purpose, change),
    );
  }

  /**
   * Replaces a record that can't be read, or that was deleted, with the last known one, or with one without owners if
   * none is known. The write expects the revision of the corrupt record, so it fails if somebody has changed it since.
   */
  async repair(service: string, corruptRevision: number): Promise<void> {
    const known = this.context.directory.record(service) ??
      OwnershipRecord.create();
    await this.runExclusively(service, async () => {
      const error = await this.writeRecord(service, {
        purpose: "repair",
        record: known,
        expectedRevision: corruptRevision,
      });
      if (error === undefined) {
        this.context.logger.log("ownership_repaired", {
          service,
          spoiled_revision: corruptRevision,
          known_revision: known.revision,
        });
        return;
      }
      this.pause(service);
      await this.readAgain(service);
    });
  }

  /**
   * Replaces a record of an earlier era, after the store was rolled back, with the newest known record, or with the
   * stored one if none is known.
   */
  async restore(
    service: string,
    earlierEraRecord: EarlierEraRecord,
  ): Promise<void> {
    const known = this.context.directory.record(service) ??
      earlierEraRecord.record ??
      OwnershipRecord.create();
    await this.runExclusively(service, async () => {
      const error = await this.writeRecord(service, {
        purpose: "restore",
        record: known.restoredIn(this.context.store.era),
        expectedRevision: earlierEraRecord.revision,
      });
      if (error === undefined) {
        this.context.logger.log("ownership_restored", {
          service,
          era: this.context.store.era,
          known_revision: known.revision,
          former_revision: earlierEraRecord.revision,
        });
        return;
      }
      this.pause(service);
      await this.readAgain(service);
    });
  }

  /** Runs an operation on a record, unless another one is in flight or has just failed, or no write can be guarded. */
  private async runExclusively(
    service: string,
    operation: () => Promise<void>,
  ): Promise<void> {
    const isPaused = monotonicMs() < (this.pauseEndsAtMs.get(service) ?? 0);
    const mayWrite = this.context.registration.guard !== undefined;
    if (this.servicesInFlight.has(service) || isPaused || !mayWrite) {
      return;
    }
    this.servicesInFlight.add(service);
    try {
      await operation();
    } finally {
      this.servicesInFlight.delete(service);
    }
  }

  private pause(service: string): void {
    this.pauseEndsAtMs.set(service, monotonicMs() + WRITE_PAUSE_MS);
  }

  private async tryWrite(
    service: string,
    purpose: string,
    change: RecordChange,
  ): Promise<void> {
    const { directory } = this.context;
    for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt += 1) {
      const known = directory.record(service) ?? OwnershipRecord.create();
      const record = change(known);
      if (record === undefined) {
        return;
      }
      const error = await this.writeRecord(service, {
        purpose,
        record,
        expectedRevision: known.revision,
      });
      if (error === undefined) {
        this.conflictBackoff.recordSuccess();
        return;
      }
      if (error.code === "superseded") {
        continue;
      }
      if (error.code !== "conflict") {
        this.pause(service);
        return;
      }
      await this.awaitConflictingWrite(service, known.revision);
      if (this.context.inspector.lacksRecordInForce(service)) {
        // No write can succeed until the record is replaced.
        this.pause(service);
        return;
      }
    }
  }

  /** Writes a record; returns the error if that failed. If the guard has changed, there is a new one by then. */
  private async writeRecord(
    service: string,
    write: {
      purpose: string;
      record: OwnershipRecord;
      expectedRevision: number;
    },
  ): Promise<BamboolinkError | undefined> {
    const { store, directory, inspector, logger, registration, onWritten } =
      this.context;
    const { purpose, expectedRevision } = write;
    const { guard } = registration;
    const record = write.record.withEra(store.era);
    const logFields = { service, purpose, from_revision: expectedRevision };
    const written = await writeAndVerify(store, {
      key: OWNERSHIP_PREFIX + service,
      value: record.encode(),
      expectedRevision,
      ...(guard === undefined ? {} : { guard }),
    });
    // A record that was written while the store was rolled back belongs to the earlier era.
    const outcome = written.andThen((revision) =>
      record.era === store.era ? ok(revision) : err(rollbackError())
    );
    if (outcome.isErr()) {
      logger.log("ownership_write_failed", {
        ...logFields,
        cause: outcome.error,
      });
      if (outcome.error.code === "superseded" && guard !== undefined) {
        await registration.replaceGuard(guard);
      }
      return outcome.error;
    }
    const { value: revision } = outcome;
    logger.log("ownership_written", { ...logFields, revision });
    const currentRecord = record.withRevision(revision);
    inspector.onRecordInForce(service, currentRecord);
    directory.updateRecord(service, currentRecord);
    onWritten(service, currentRecord);
    return undefined;
  }

  /** Waits for the announcement of the conflicting write, and reads the store if none arrives. */
  private async awaitConflictingWrite(
    service: string,
    staleRevision: number,
  ): Promise<void> {
    await sleep(this.conflictBackoff.recordConflict(), undefined, {
      ref: false,
    });
    if (
      (this.context.directory.record(service)?.revision ?? 0) <= staleRevision
    ) {
      await this.readAgain(service);
    }
  }

  private async readAgain(service: string): Promise<void> {
    const { store, directory, inspector } = this.context;
    const found = await store.get(OWNERSHIP_PREFIX + service);
    if (found.isErr()) {
      return;
    }
    const record = inspector.inspect(service, found.value);
    if (record !== undefined && record.revision > 0) {
      directory.updateRecord(service, record);
    }
  }
}

function rollbackError(): BamboolinkError {
  return BamboolinkError.create(
    "conflict",
    "the store was rolled back during the write",
    {
      step: "record_writer.put",
    },
  );
}
