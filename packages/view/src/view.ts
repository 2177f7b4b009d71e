/**
 * A copy of all records below one prefix of the store, ordered by the store's revision.
 *
 * The store numbers every write with one growing revision. A copy that is complete up to revision R
 * is exactly what the store held at R, so one number says how new a copy is, two copies differ by the
 * records with later revisions, and merging can only go forward.
 *
 * @module
 */

/** One record, or the trace of a deleted one. */
export interface ViewRecord {
  readonly key: string;
  /** JSON text; `undefined` where the record was deleted. */
  readonly value: string | undefined;
  /** The store's revision of the last write of this record. */
  readonly revision: number;
}

/** What one copy needs to become as new as another. */
export interface Delta {
  /** The copy that takes it must be complete up to here; 0 marks a whole copy. */
  readonly from: number;
  /** The copy is then complete up to here. */
  readonly to: number;
  readonly records: readonly ViewRecord[];
}

/** Traces of deleted records kept for deltas; a copy that is further behind is replaced whole. */
const DELETED_LIMIT = 2_048;

/** A copy of the records. */
export class View {
  private readonly records = new Map<string, ViewRecord>();
  private readonly deleted = new Map<string, ViewRecord>();
  /** Deltas that start before this revision could miss a deletion. */
  private oldestDelta = 0;
  private upTo = 0;

  private constructor() {}

  /** Creates an empty copy, complete up to revision 0. */
  static create(): View {
    return new View();
  }

  /** The revision up to which the copy is complete. */
  get revision(): number {
    return this.upTo;
  }

  /** How many records there are. */
  get size(): number {
    return this.records.size;
  }

  /** Finds one record. */
  get(key: string): ViewRecord | undefined {
    return this.records.get(key);
  }

  /** Lists the records below a prefix, ordered by key. */
  list(prefix: string): ViewRecord[] {
    return [...this.records.values()]
      .filter((record) => record.key.startsWith(prefix))
      .sort((left, right) => left.key < right.key ? -1 : 1);
  }

  /** What a copy that is complete up to `since` needs; `undefined` where it needs nothing. */
  deltaSince(since: number): Delta | undefined {
    if (since >= this.upTo) {
      return undefined;
    }
    if (since < this.oldestDelta || since === 0) {
      return { from: 0, to: this.upTo, records: [...this.records.values()] };
    }
    const records = [...this.records.values(), ...this.deleted.values()]
      .filter((record) => record.revision > since);
    return { from: since, to: this.upTo, records };
  }

  /**
   * Merges a delta.
   *
   * @returns `merged`, `old` where it holds nothing new, or `gap` where this copy is too old for it.
   */
  merge(delta: Delta): "merged" | "old" | "gap" {
    if (delta.to <= this.upTo) {
      return "old";
    }
    if (delta.from > this.upTo) {
      return "gap";
    }
    if (delta.from === 0 && this.upTo > 0) {
      this.dropMissing(delta);
    }
    delta.records.forEach((record) => this.put(record));
    this.upTo = delta.to;
    return "merged";
  }

  /** A whole copy has no traces of deletions, so what it lacks and is not newer was deleted. */
  private dropMissing(whole: Delta): void {
    const present = new Set(whole.records.map((record) => record.key));
    [...this.records.values()]
      .filter((record) => !present.has(record.key))
      .forEach((record) => this.records.delete(record.key));
    this.deleted.clear();
    this.oldestDelta = whole.to;
  }

  private put(record: ViewRecord): void {
    const known = this.records.get(record.key) ?? this.deleted.get(record.key);
    if (known !== undefined && known.revision >= record.revision) {
      return;
    }
    this.records.delete(record.key);
    this.deleted.delete(record.key);
    (record.value === undefined ? this.deleted : this.records).set(
      record.key,
      record,
    );
    this.forgetOldDeletions();
  }

  private forgetOldDeletions(): void {
    if (this.deleted.size <= DELETED_LIMIT) {
      return;
    }
    const oldest = this.deleted.values().next().value as ViewRecord;
    this.deleted.delete(oldest.key);
    this.oldestDelta = Math.max(this.oldestDelta, oldest.revision);
  }
}
