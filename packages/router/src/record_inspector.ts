/**
 * Looks at what reads of the store have found in place of the records of ownership.
 *
 * @module
 */
import {
  OwnershipRecord,
  RepairTimer,
  RestoreTimer,
} from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import type { StoredRecord } from "@bamboolink/store";
import { bootMs } from "./clock.ts";
import type { OwnershipDirectory } from "./ownership_directory.ts";

/** What the inspector needs. */
export interface RecordInspectorContext {
  readonly logger: Logger;
  readonly directory: OwnershipDirectory;
  /** The era of the store as far as its answers have told. */
  readonly era: () => number;
}

/** What the store holds under a record's key. */
type Stored = Pick<StoredRecord, "value" | "revision"> | undefined;

/** A record of a former era that is to be replaced. */
export interface FormerRecord {
  /** The store's revision of what is there; 0 where there is none. */
  readonly revision: number;
  /** What is there; `undefined` where it can't be read. */
  readonly record: OwnershipRecord | undefined;
}

/** What is known of one service's record in the store. */
interface Watched {
  readonly repair: RepairTimer;
  readonly restore: RestoreTimer;
  former: OwnershipRecord | undefined;
}

/**
 * Tells records from what another writer has left in their place, or what a store that went back has, and for how long
 * that has been there.
 *
 * What goes wrong without it: nobody confirms a tenure by a record that can't be read, and nobody can write one, since
 * writes expect the last one that was read. No key of the service would be served again until somebody deletes it. A
 * record of a former era names owners that may have been replaced since: by it two servers would hold the same keys.
 */
export class RecordInspector {
  private readonly watched = new Map<string, Watched>();

  private constructor(private readonly context: RecordInspectorContext) {}

  /** Creates one that has looked at nothing. */
  static create(context: RecordInspectorContext): RecordInspector {
    return new RecordInspector(context);
  }

  /**
   * Looks at what a read has found.
   *
   * @returns the record; `undefined` where there is none in force, although there was one.
   */
  inspect(service: string, stored: Stored): OwnershipRecord | undefined {
    const { directory, era } = this.context;
    const known = directory.record(service);
    const watched = this.watch(service);
    const found = readRecord(stored, known);
    const isFormer = found === undefined
      ? known !== undefined && known.era < era()
      : found.revision > 0 && found.era !== era();
    if (isFormer) {
      this.noteFormer(service, { stored, found });
      return undefined;
    }
    if (found !== undefined) {
      watched.repair.markReadable();
      watched.restore.recordCurrentEra(found, bootMs());
      return found;
    }
    // Told once for each revision: owners look at it every second or two.
    if (watched.repair.markCorrupt(stored?.revision ?? 0, bootMs())) {
      this.context.logger.log("ownership_unreadable", {
        service,
        known_revision: known?.revision,
        revision: stored?.revision,
      });
    }
    return undefined;
  }

  /** Notes a record that is in force. */
  onRecordInForce(service: string, record: OwnershipRecord): void {
    if (record.era === this.context.era()) {
      const { repair, restore } = this.watch(service);
      repair.markReadable();
      restore.recordCurrentEra(record, bootMs());
    }
  }

  /** Whether no record was in force when the store was last looked at, although there was one. */
  lacksRecordInForce(service: string): boolean {
    const { repair, restore } = this.watch(service);
    return repair.isCorrupt || restore.isOfEarlierEra;
  }

  /** The revision of a spoiled record that may be replaced now, if there is one. */
  findRepairableRevision(service: string): number | undefined {
    return this.watch(service).repair.findReplaceableRevision(bootMs());
  }

  /** The record of a former era that may be replaced now, if there is one. */
  findRestorableRecord(service: string): FormerRecord | undefined {
    const { restore, former: record } = this.watch(service);
    const revision = restore.findReplaceableRevision(bootMs());
    return revision === undefined ? undefined : { revision, record };
  }

  /** Whether a record that was put back may be settled now. */
  canSettle(service: string): boolean {
    return this.watch(service).restore.isSettled(bootMs());
  }

  private noteFormer(
    service: string,
    read: { stored: Stored; found: OwnershipRecord | undefined },
  ): void {
    const { logger, directory, era } = this.context;
    const watched = this.watch(service);
    const revision = read.stored?.revision ?? 0;
    watched.repair.markReadable();
    watched.former = read.found;
    if (watched.restore.recordEarlierEra(revision, bootMs())) {
      logger.log("ownership_of_former_era", {
        service,
        revision,
        era: read.found?.era,
        store_era: era(),
        known_revision: directory.record(service)?.revision,
      });
    }
  }

  private watch(service: string): Watched {
    const known = this.watched.get(service);
    if (known !== undefined) {
      return known;
    }
    const watched = {
      repair: RepairTimer.create(),
      restore: RestoreTimer.create(),
      former: undefined,
    };
    this.watched.set(service, watched);
    return watched;
  }
}

function readRecord(
  stored: Stored,
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
