/**
 * In-memory key-value store with revisions, leases and a change history for watches.
 *
 * @module
 */

/** One record. Keys and values are kept in base64, as received. */
export interface StoredRecord {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly lease: string | undefined;
}

/** One change of a record, as reported to watches. */
export interface RecordChange {
  readonly type: "PUT" | "DELETE";
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

/** Maximum size of a value in bytes, equal to the platform's limit. */
export const MAX_VALUE_BYTES = 1_048_576;
/** Number of latest changes retained for watches that start at an earlier revision. */
const RETAINED_CHANGES = 20_000;

/** The records, leases and change history of a stand-in. */
export class MemoryKeyValueStore {
  private readonly records = new Map<string, StoredRecord>();
  private readonly leases = new Map<
    string,
    { ttlMs: number; expiresAtMs: number }
  >();
  private readonly listeners = new Set<(change: RecordChange) => void>();
  private changes: RecordChange[] = [];
  private nextLeaseId = 1;
  /** Revision of the last write. */
  revision = 1;

  private constructor() {}

  /** Creates an empty store. */
  static create(): MemoryKeyValueStore {
    return new MemoryKeyValueStore();
  }

  /**
   * Returns the records whose decoded key is in the range from `key` up to `end` (exclusive), or the record of `key`
   * if `end` is undefined.
   */
  range(key: string, end: string | undefined): StoredRecord[] {
    if (end === undefined) {
      const record = this.records.get(key);
      return record === undefined ? [] : [record];
    }
    return [...this.records.values()].filter((record) =>
      isInRange(record.key, { key, end })
    );
  }

  /** The revision of a record; 0 if it does not exist. */
  revisionOf(key: string): number {
    return this.records.get(key)?.revision ?? 0;
  }

  /** Writes a record, or deletes it if `value` is undefined. */
  write(
    write: {
      key: string;
      value: string | undefined;
      lease: string | undefined;
    },
  ): void {
    if (write.value === undefined) {
      this.remove(write.key);
      return;
    }
    this.revision += 1;
    const record = {
      key: write.key,
      value: write.value,
      revision: this.revision,
      lease: write.lease,
    };
    this.records.set(write.key, record);
    this.publish({
      type: "PUT",
      key: write.key,
      value: write.value,
      revision: this.revision,
    });
  }

  /** Grants a lease and returns its id. */
  grantLease(ttlMs: number, nowMs: number): string {
    const id = String(this.nextLeaseId);
    this.nextLeaseId += 1;
    this.leases.set(id, { ttlMs, expiresAtMs: nowMs + ttlMs });
    return id;
  }

  /** Renews a lease and returns its time to live in milliseconds, or 0 if it has expired. */
  renewLease(id: string, nowMs: number): number {
    this.expireLeases(nowMs);
    const lease = this.leases.get(id);
    if (lease === undefined) {
      return 0;
    }
    lease.expiresAtMs = nowMs + lease.ttlMs;
    return lease.ttlMs;
  }

  /** Whether a lease exists. */
  hasLease(id: string): boolean {
    return this.leases.has(id);
  }

  /** Ends a lease and deletes the records attached to it. */
  revokeLease(id: string): void {
    this.leases.delete(id);
    [...this.records.values()].filter((record) => record.lease === id).forEach((
      record,
    ) => this.remove(record.key));
  }

  /** Revokes the leases that have expired. */
  expireLeases(nowMs: number): void {
    [...this.leases]
      .filter(([, lease]) => lease.expiresAtMs <= nowMs)
      .forEach(([id]) => this.revokeLease(id));
  }

  /** Revokes all leases at once, as the platform may do after a failure of its own. */
  revokeAllLeases(): void {
    [...this.leases.keys()].forEach((id) => this.revokeLease(id));
  }

  /** Returns the retained changes of a range from `revision` on, or `undefined` if some are no longer retained. */
  changesSince(
    revision: number,
    range: { key: string; end: string },
  ): RecordChange[] | undefined {
    const oldestRevision = this.changes[0]?.revision ?? this.revision + 1;
    const isComplete = this.changes.length < RETAINED_CHANGES ||
      revision >= oldestRevision;
    return isComplete
      ? this.changes.filter((change) =>
        change.revision >= revision && isInRange(change.key, range)
      )
      : undefined;
  }

  /** Calls `onChange` for each change of a range until the returned function is called. */
  subscribe(
    range: { key: string; end: string },
    onChange: (change: RecordChange) => void,
  ): () => void {
    const listener = (change: RecordChange) => {
      if (isInRange(change.key, range)) {
        onChange(change);
      }
    };
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private remove(key: string): void {
    if (this.records.delete(key)) {
      this.revision += 1;
      this.publish({ type: "DELETE", key, value: "", revision: this.revision });
    }
  }

  private publish(change: RecordChange): void {
    this.changes.push(change);
    this.changes = this.changes.length > RETAINED_CHANGES * 1.5
      ? this.changes.slice(-RETAINED_CHANGES)
      : this.changes;
    this.listeners.forEach((listener) => listener(change));
  }
}

function isInRange(key: string, range: { key: string; end: string }): boolean {
  const decodedKey = decode(key);
  return decodedKey >= decode(range.key) && decodedKey < decode(range.end);
}

function decode(text: string): string {
  return Buffer.from(text, "base64").toString("utf8");
}
