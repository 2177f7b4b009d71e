/**
 * A copy of all records below one prefix of the store, versioned by the store's revision.
 *
 * The store assigns the next revision to each write. A copy that is complete up to revision R equals the content of the
 * store at R. One number therefore identifies the version of a copy, two copies differ only in records with later
 * revisions, and a merge never moves a copy to an older revision.
 *
 * @module
 */

/** One record, or the tombstone of a deleted record. */
export interface ViewRecord {
  readonly key: string;
  /** JSON text; `undefined` if the record was deleted. */
  readonly value: string | undefined;
  /** The store's revision of the last write or the deletion of this record. */
  readonly revision: number;
}

/** The changes that bring one copy to the revision of another. */
export interface Delta {
  /** Revision up to which the receiving copy must be complete; 0 if the delta contains all records. */
  readonly from: number;
  /** Revision up to which the receiving copy is complete after the merge. */
  readonly to: number;
  readonly records: readonly ViewRecord[];
}

/** Number of tombstones kept for deltas; a copy that lacks older deletions gets all records instead. */
const MAX_TOMBSTONES = 2_048;

/** A copy of the records below one prefix of the store. */
export class View {
  private readonly records = new Map<string, ViewRecord>();
  private readonly tombstones = new Map<string, ViewRecord>();
  /** Deltas from revisions before this one could omit a deletion. */
  private oldestDeltaRevision = 0;
  private completeRevision = 0;

  private constructor() {}

  /** Creates an empty copy, complete up to revision 0. */
  static create(): View {
    return new View();
  }

  /** The revision up to which the copy is complete. */
  get revision(): number {
    return this.completeRevision;
  }

  /** Number of records, without tombstones. */
  get size(): number {
    return this.records.size;
  }

  /** Returns the record with a key; `undefined` if there is none. */
  get(key: string): ViewRecord | undefined {
    return this.records.get(key);
  }

  /** Returns the records whose keys start with a prefix, ordered by key. */
  list(prefix: string): ViewRecord[] {
    return [...this.records.values()]
      .filter((record) => record.key.startsWith(prefix))
      .sort((left, right) => left.key < right.key ? -1 : 1);
  }

  /** Returns the delta for a copy that is complete up to revision `since`; `undefined` if it lacks nothing. */
  deltaSince(since: number): Delta | undefined {
    if (since >= this.completeRevision) {
      return undefined;
    }
    if (since < this.oldestDeltaRevision || since === 0) {
      return {
        from: 0,
        to: this.completeRevision,
        records: [...this.records.values()],
      };
    }
    const records = [...this.records.values(), ...this.tombstones.values()]
      .filter((record) => record.revision > since);
    return { from: since, to: this.completeRevision, records };
  }

  /**
   * Merges a delta.
   *
   * @returns `merged`; `old` if the delta contains nothing new; `gap` if it starts after the revision of this copy,
   *   which then stays unchanged.
   */
  merge(delta: Delta): "merged" | "old" | "gap" {
    if (delta.to <= this.completeRevision) {
      return "old";
    }
    if (delta.from > this.completeRevision) {
      return "gap";
    }
    if (delta.from === 0 && this.completeRevision > 0) {
      this.deleteMissing(delta);
    }
    delta.records.forEach((record) => this.put(record));
    this.completeRevision = delta.to;
    return "merged";
  }

  /**
   * Deletes the records that a delta with all records lacks. Such a delta has no tombstones, and its revision is
   * later than that of this copy, so these records were deleted.
   */
  private deleteMissing(fullDelta: Delta): void {
    const present = new Set(fullDelta.records.map((record) => record.key));
    [...this.records.values()]
      .filter((record) => !present.has(record.key))
      .forEach((record) => this.records.delete(record.key));
    this.tombstones.clear();
    this.oldestDeltaRevision = fullDelta.to;
  }

  private put(record: ViewRecord): void {
    const existing = this.records.get(record.key) ??
      this.tombstones.get(record.key);
    if (existing !== undefined && existing.revision >= record.revision) {
      return;
    }
    this.records.delete(record.key);
    this.tombstones.delete(record.key);
    (record.value === undefined ? this.tombstones : this.records).set(
      record.key,
      record,
    );
    this.pruneTombstones();
  }

  private pruneTombstones(): void {
    if (this.tombstones.size <= MAX_TOMBSTONES) {
      return;
    }
    const oldest = this.tombstones.values().next().value as ViewRecord;
    this.tombstones.delete(oldest.key);
    this.oldestDeltaRevision = Math.max(
      this.oldestDeltaRevision,
      oldest.revision,
    );
  }
}
