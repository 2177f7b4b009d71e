/**
 * Checks what the store holds under the keys of the ownership records.
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
import { bootMs } from "../clock.ts";
import type { OwnershipDirectory } from "./ownership_directory.ts";

/** Dependencies of the record inspector. */
export interface RecordInspectorContext {
  readonly logger: Logger;
  readonly directory: OwnershipDirectory;
  /** The newest era of the store that its responses have shown. */
  readonly era: () => number;
  /** The clock, in milliseconds; the boot clock by default. */
  readonly nowMs?: () => number;
}

/** What the store holds under a record's key. */
type Stored = Pick<StoredRecord, "value" | "revision"> | undefined;

/** A record of an earlier era that is to be replaced. */
export interface EarlierEraRecord {
  /** The store's revision of the stored value; 0 if there is none. */
  readonly revision: number;
  /** The stored record; `undefined` if it is missing or can't be decoded. */
  readonly record: OwnershipRecord | undefined;
}

/** What is known about one service's record in the store. */
interface RecordState {
  readonly repair: RepairTimer;
  readonly restore: RestoreTimer;
  earlierEraRecord: OwnershipRecord | undefined;
}

/**
 * Distinguishes valid records from corrupt or missing ones and from those of an earlier era, which a store that was
 * rolled back holds, and tracks for how long these have been there.
 *
 * Without it, a record that can't be read would stop its service: it confirms no lease, and no write can replace it,
 * since writes expect the revision that was last read. No key of the service would be served again until somebody
 * deletes the record. A record of an earlier era names owners that may have been replaced since; if it were used, two
 * servers could hold the same keys.
 */
export class RecordInspector {
  private readonly states = new Map<string, RecordState>();
  private readonly nowMs: () => number;

  private constructor(private readonly context: RecordInspectorContext) {
    this.nowMs = context.nowMs ?? bootMs;
  }

  /** Creates an inspector that has checked nothing yet. */
  static create(context: RecordInspectorContext): RecordInspector {
    return new RecordInspector(context);
  }

  /**
   * Checks the result of a read.
   *
   * @returns the record; `undefined` if none is in force, although there was one.
   */
  inspect(service: string, stored: Stored): OwnershipRecord | undefined {
    const { directory, era } = this.context;
    const known = directory.record(service);
    const state = this.stateOf(service);
    const found = decodeStored(stored, known);
    const isOfEarlierEra = found === undefined
      ? known !== undefined && known.era < era()
      : found.revision > 0 && found.era !== era();
    if (isOfEarlierEra) {
      this.recordEarlierEra(service, { stored, found });
      return undefined;
    }
    if (found !== undefined) {
      state.repair.markReadable();
      state.restore.recordCurrentEra(found, this.nowMs());
      return found;
    }
    // Logged once per revision, since owners read the record every second or two.
    if (state.repair.markCorrupt(stored?.revision ?? 0, this.nowMs())) {
      this.context.logger.log("ownership_unreadable", {
        service,
        known_revision: known?.revision,
        revision: stored?.revision,
      });
    }
    return undefined;
  }

  /** Handles a newer record, whether it was read from the store or another daemon has sent it. */
  observeRecord(service: string, record: OwnershipRecord): void {
    this.stateOf(service).restore.observe(record, this.nowMs());
  }

  /** Marks the stored record as readable and current, after a record in force was written. */
  onRecordInForce(service: string, record: OwnershipRecord): void {
    if (record.era === this.context.era()) {
      const { repair, restore } = this.stateOf(service);
      repair.markReadable();
      restore.recordCurrentEra(record, this.nowMs());
    }
  }

  /** Whether the last read found no record in force, although there was one. */
  lacksRecordInForce(service: string): boolean {
    const { repair, restore } = this.stateOf(service);
    return repair.isCorrupt || restore.isOfEarlierEra;
  }

  /** The revision of a corrupt record that may be replaced now, if there is one. */
  findRepairableRevision(service: string): number | undefined {
    return this.stateOf(service).repair.findReplaceableRevision(this.nowMs());
  }

  /** The record of an earlier era that may be replaced now, if there is one. */
  findRestorableRecord(service: string): EarlierEraRecord | undefined {
    const { restore, earlierEraRecord: record } = this.stateOf(service);
    const revision = restore.findReplaceableRevision(this.nowMs());
    return revision === undefined ? undefined : { revision, record };
  }

  /**
   * Whether the newest known record is a restored one that may be settled now, that is, take full effect
   * (`OwnershipRecord.settle`).
   */
  canSettle(service: string): boolean {
    return this.stateOf(service).restore.isSettled(this.nowMs());
  }

  private recordEarlierEra(
    service: string,
    read: { stored: Stored; found: OwnershipRecord | undefined },
  ): void {
    const { logger, directory, era } = this.context;
    const state = this.stateOf(service);
    const revision = read.stored?.revision ?? 0;
    state.repair.markReadable();
    state.earlierEraRecord = read.found;
    if (state.restore.recordEarlierEra(revision, this.nowMs())) {
      logger.log("ownership_of_former_era", {
        service,
        revision,
        era: read.found?.era,
        store_era: era(),
        known_revision: directory.record(service)?.revision,
      });
    }
  }

  private stateOf(service: string): RecordState {
    const known = this.states.get(service);
    if (known !== undefined) {
      return known;
    }
    const state = {
      repair: RepairTimer.create(),
      restore: RestoreTimer.create(),
      earlierEraRecord: undefined,
    };
    this.states.set(service, state);
    return state;
  }
}

function decodeStored(
  stored: Stored,
  known: OwnershipRecord | undefined,
): OwnershipRecord | undefined {
  if (stored === undefined) {
    const wasDeleted = (known?.revision ?? 0) > 0;
    return wasDeleted ? undefined : OwnershipRecord.create();
  }
  return known?.revision === stored.revision
    ? known
    : OwnershipRecord.decode(stored.value, stored.revision).unwrapOr(undefined);
}
