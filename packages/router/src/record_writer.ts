/**
 * Changes the records of ownership in the store.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { BamboolinkError } from "@bamboolink/errors";
import { OwnershipRecord, WriteBackoff } from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import { type Store, writeSettled } from "@bamboolink/store";
import { err, ok } from "neverthrow";
import { steadyMs } from "./clock.ts";
import {
  OWNERSHIP_PREFIX,
  type OwnershipDirectory,
} from "./ownership_directory.ts";
import type { FormerRecord, RecordInspector } from "./record_inspector.ts";

/**
 * Pause after a write that failed for another reason than another writer, in milliseconds: while the store
 * is down, each tick of every daemon would ask all others to write for it.
 */
const WRITE_PAUSE_MS = 250;
/** Tries of one change of a record, against other writers. */
const WRITE_ATTEMPTS = 4;

/** What the writer needs. */
export interface RecordWriterContext {
  readonly store: Store;
  readonly logger: Logger;
  readonly directory: OwnershipDirectory;
  readonly random: () => number;
  readonly inspector: RecordInspector;
  /** Tells all daemons of a newer record. */
  readonly onWritten: (service: string, record: OwnershipRecord) => void;
}

/** Changes a record; `undefined` if there is nothing to change any more. */
export type RecordChange = (
  record: OwnershipRecord,
) => OwnershipRecord | undefined;

/** Writes the changes of one daemon, one at a time for each service. */
export class RecordWriter {
  private readonly busy = new Set<string>();
  private readonly pausedUntilMs = new Map<string, number>();
  private readonly turns: WriteBackoff;

  private constructor(private readonly context: RecordWriterContext) {
    this.turns = WriteBackoff.create(context.random);
  }

  /** Creates a writer. */
  static create(context: RecordWriterContext): RecordWriter {
    return new RecordWriter(context);
  }

  /**
   * Changes a record by compare-and-swap. A change that comes while another is under way is left out: it is
   * planned anew at the next tick.
   *
   * Where the outcome stays unknown nothing is assumed: the ranges concerned stay given up here, and
   * the next tick reads the record and decides anew.
   */
  async write(
    service: string,
    purpose: string,
    change: RecordChange,
  ): Promise<void> {
    await this.alone(service, () => this.tryWrite(service, purpose, change));
  }

  /**
   * Replaces a record that can't be read, or was taken away, by the last one that is known; by one without owners
   * where none is. Nobody else may have changed it since it may be replaced, so the write expects its revision.
   */
  async repair(service: string, spoiledRevision: number): Promise<void> {
    const known = this.context.directory.record(service) ??
      OwnershipRecord.create();
    await this.alone(service, async () => {
      const error = await this.put(service, {
        purpose: "repair",
        record: known,
        expectedRevision: spoiledRevision,
      });
      if (error === undefined) {
        this.context.logger.log("ownership_repaired", {
          service,
          spoiled_revision: spoiledRevision,
          known_revision: known.revision,
        });
        return;
      }
      this.pause(service);
      await this.reread(service);
    });
  }

  /**
   * Puts a record back in the place of one of a former era, after the store has gone back: the newest that is known, or
   * what the store has where none is.
   */
  async restore(service: string, former: FormerRecord): Promise<void> {
    const known = this.context.directory.record(service) ?? former.record ??
      OwnershipRecord.create();
    await this.alone(service, async () => {
      const error = await this.put(service, {
        purpose: "restore",
        record: known.restoredIn(this.context.store.era),
        expectedRevision: former.revision,
      });
      if (error === undefined) {
        this.context.logger.log("ownership_restored", {
          service,
          era: this.context.store.era,
          known_revision: known.revision,
          former_revision: former.revision,
        });
        return;
      }
      this.pause(service);
      await this.reread(service);
    });
  }

  /** Does something with a record unless something else is under way, or has just failed. */
  private async alone(
    service: string,
    act: () => Promise<void>,
  ): Promise<void> {
    const isPaused = steadyMs() < (this.pausedUntilMs.get(service) ?? 0);
    if (this.busy.has(service) || isPaused) {
      return;
    }
    this.busy.add(service);
    try {
      await act();
    } finally {
      this.busy.delete(service);
    }
  }

  private pause(service: string): void {
    this.pausedUntilMs.set(service, steadyMs() + WRITE_PAUSE_MS);
  }

  private async tryWrite(
    service: string,
    purpose: string,
    change: RecordChange,
  ): Promise<void> {
    const { directory } = this.context;
    for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt += 1) {
      const known = directory.record(service) ?? OwnershipRecord.create();
      const record = change(known);
      if (record === undefined) {
        return;
      }
      const error = await this.put(service, {
        purpose,
        record,
        expectedRevision: known.revision,
      });
      if (error === undefined) {
        this.turns.recordSuccess();
        return;
      }
      if (error.code !== "conflict") {
        this.pause(service);
        return;
      }
      await this.learnOther(service, known.revision);
      if (this.context.inspector.lacksRecordInForce(service)) {
        // No write succeeds until the record is replaced.
        this.pause(service);
        return;
      }
    }
  }

  /** Writes a record; returns why that failed, if it did. */
  private async put(
    service: string,
    write: {
      purpose: string;
      record: OwnershipRecord;
      expectedRevision: number;
    },
  ): Promise<BamboolinkError | undefined> {
    const { store, directory, inspector, logger, onWritten } = this.context;
    const { purpose, expectedRevision } = write;
    const record = write.record.withEra(store.era);
    const told = { service, purpose, from_revision: expectedRevision };
    const written = await writeSettled(store, {
      key: OWNERSHIP_PREFIX + service,
      value: record.encode(),
      expectedRevision,
    });
    // What was written while the store went back counts for a record of before.
    const settled = written.andThen((revision) =>
      record.era === store.era ? ok(revision) : err(wentBack())
    );
    if (settled.isErr()) {
      logger.log("ownership_write_failed", { ...told, cause: settled.error });
      return settled.error;
    }
    const { value: revision } = settled;
    logger.log("ownership_written", { ...told, revision });
    const inForce = record.withRevision(revision);
    inspector.onRecordInForce(service, inForce);
    directory.updateRecord(service, inForce);
    onWritten(service, inForce);
    return undefined;
  }

  /** Waits for the news of the write that came before the own one, and reads the store if none comes. */
  private async learnOther(service: string, before: number): Promise<void> {
    await sleep(this.turns.recordConflict(), undefined, { ref: false });
    if ((this.context.directory.record(service)?.revision ?? 0) <= before) {
      await this.reread(service);
    }
  }

  private async reread(service: string): Promise<void> {
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

function wentBack(): BamboolinkError {
  return BamboolinkError.create("conflict", "the store went back", {
    step: "record_writer.put",
  });
}
