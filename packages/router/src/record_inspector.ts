/**
 * Looks at what reads of the store have found in place of the records of ownership.
 *
 * @module
 */
import { OwnershipRecord, RepairWait } from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import { bootMs } from "./clock.ts";
import type { OwnershipDirectory } from "./ownership_directory.ts";

/** What the inspector needs. */
export interface RecordInspectorContext {
  readonly logger: Logger;
  readonly directory: OwnershipDirectory;
}

/**
 * Tells records from what another writer has left in their place, and for how long that has been there.
 *
 * What goes wrong without it: nobody confirms a tenure by a record that can't be read, and nobody can write one, since
 * writes expect the last one that was read. No key of the service would be served again until somebody deletes it.
 */
export class RecordInspector {
  private readonly waits = new Map<string, RepairWait>();

  private constructor(private readonly context: RecordInspectorContext) {}

  /** Creates one that has looked at nothing. */
  static create(context: RecordInspectorContext): RecordInspector {
    return new RecordInspector(context);
  }

  /**
   * Looks at what a read has found.
   *
   * @returns the record; `undefined` where there is none that can be read, although there was one.
   */
  inspect(
    service: string,
    stored: { value: string; revision: number } | undefined,
  ): OwnershipRecord | undefined {
    const wait = this.waits.get(service) ?? RepairWait.create();
    this.waits.set(service, wait);
    const known = this.context.directory.record(service);
    const record = readRecord(stored, known);
    if (record !== undefined) {
      wait.noteReadable();
      return record;
    }
    // Told once for each revision: owners look at it every second or two.
    if (wait.noteSpoiled(stored?.revision ?? 0, bootMs())) {
      this.context.logger.log("ownership_unreadable", {
        service,
        known_revision: known?.revision,
        revision: stored?.revision,
      });
    }
    return undefined;
  }

  /** Notes that a record was written. */
  noteWritten(service: string): void {
    this.waits.get(service)?.noteReadable();
  }

  /** Whether the record was spoiled when it was last looked at. */
  isSpoiled(service: string): boolean {
    return this.waits.get(service)?.isSpoiled === true;
  }

  /** The revision of a spoiled record that may be replaced now, if there is one. */
  findDue(service: string): number | undefined {
    return this.waits.get(service)?.findDue(bootMs());
  }
}

function readRecord(
  stored: { value: string; revision: number } | undefined,
  known: OwnershipRecord | undefined,
): OwnershipRecord | undefined {
  if (stored === undefined) {
    const hasVanished = (known?.revision ?? 0) > 0;
    return hasVanished ? undefined : OwnershipRecord.create();
  }
  return known?.revision === stored.revision
    ? known
    : OwnershipRecord.decode(stored.value, stored.revision).unwrapOr(undefined);
}
