/**
 * Changes the records of ownership in the store.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { OwnershipRecord, WriteTurns } from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import { type Store, writeSettled } from "@bamboolink/store";
import { steadyMs } from "./clock.ts";
import {
  OWNERSHIP_PREFIX,
  type OwnershipDirectory,
} from "./ownership_directory.ts";

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
  private readonly turns: WriteTurns;

  private constructor(private readonly context: RecordWriterContext) {
    this.turns = WriteTurns.create(context.random);
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
    const isPaused = steadyMs() < (this.pausedUntilMs.get(service) ?? 0);
    if (this.busy.has(service) || isPaused) {
      return;
    }
    this.busy.add(service);
    try {
      await this.tryWrite(service, purpose, change);
    } finally {
      this.busy.delete(service);
    }
  }

  private async tryWrite(
    service: string,
    purpose: string,
    change: RecordChange,
  ): Promise<void> {
    const { store, directory, logger } = this.context;
    const key = OWNERSHIP_PREFIX + service;
    for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt += 1) {
      const known = directory.record(service) ?? OwnershipRecord.create();
      const changed = change(known);
      if (changed === undefined) {
        return;
      }
      const value = changed.encode();
      const written = await writeSettled(store, {
        key,
        value,
        expectedRevision: known.revision,
      });
      if (written.isOk()) {
        logger.log("ownership_written", {
          service,
          purpose,
          from_revision: known.revision,
          revision: written.value,
        });
        this.turns.noteWon();
        const record = changed.withRevision(written.value);
        directory.note(service, record);
        this.context.onWritten(service, record);
        return;
      }
      logger.log("ownership_write_failed", {
        service,
        purpose,
        from_revision: known.revision,
        cause: written.error,
      });
      if (written.error.code !== "conflict") {
        this.pausedUntilMs.set(service, steadyMs() + WRITE_PAUSE_MS);
        return;
      }
      await this.learnOther(service, known.revision);
    }
  }

  /** Waits for the news of the write that came before the own one, and reads the store if none comes. */
  private async learnOther(service: string, before: number): Promise<void> {
    const { store, directory } = this.context;
    await sleep(this.turns.noteLost(), undefined, { ref: false });
    if ((directory.record(service)?.revision ?? 0) > before) {
      return;
    }
    const key = OWNERSHIP_PREFIX + service;
    const found = await store.get(key);
    if (found.isOk() && found.value !== undefined) {
      directory.noteStored(key, found.value);
    }
  }
}
