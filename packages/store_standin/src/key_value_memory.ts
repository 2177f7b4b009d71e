/**
 * Records, revisions and leases in memory.
 *
 * @module
 */

/** One record. Keys and values stay base64, as they arrive. */
export interface MemoryRecord {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly lease: string | undefined;
}

/** One change, for watches. */
export interface MemoryChange {
  readonly type: "PUT" | "DELETE";
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

/** The largest value in bytes, as the platform has it. */
export const MAXIMUM_VALUE_BYTES = 1_048_576;
/** How many changes watches can be given after the fact. */
const CHANGES_KEPT = 20_000;

/** The state of the stand-in. */
export class KeyValueMemory {
  private readonly records = new Map<string, MemoryRecord>();
  private readonly leases = new Map<
    string,
    { ttlMs: number; expiresMs: number }
  >();
  private readonly listeners = new Set<(change: MemoryChange) => void>();
  private changes: MemoryChange[] = [];
  private nextLease = 1;
  /** The revision of the last write. */
  revision = 1;

  private constructor() {}

  /** Creates an empty memory. */
  static create(): KeyValueMemory {
    return new KeyValueMemory();
  }

  /** Records whose decoded key is in a range; without `end` the one record. */
  range(key: string, end: string | undefined): MemoryRecord[] {
    if (end === undefined) {
      const record = this.records.get(key);
      return record === undefined ? [] : [record];
    }
    return [...this.records.values()].filter((record) =>
      isInRange(record.key, { key, end })
    );
  }

  /** Writes or deletes (`value` undefined) if the record's revision is as expected. */
  compareAndSwap(
    write: {
      key: string;
      value: string | undefined;
      lease: string | undefined;
    },
    expectedRevision: number,
  ): boolean {
    if ((this.records.get(write.key)?.revision ?? 0) !== expectedRevision) {
      return false;
    }
    if (write.value === undefined) {
      this.remove(write.key);
      return true;
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
    return true;
  }

  /** Grants a lease. */
  grantLease(ttlMs: number, nowMs: number): string {
    const id = String(this.nextLease);
    this.nextLease += 1;
    this.leases.set(id, { ttlMs, expiresMs: nowMs + ttlMs });
    return id;
  }

  /** Renews a lease and returns its length in milliseconds, 0 where it has lapsed. */
  renewLease(id: string, nowMs: number): number {
    this.expireLeases(nowMs);
    const lease = this.leases.get(id);
    if (lease === undefined) {
      return 0;
    }
    lease.expiresMs = nowMs + lease.ttlMs;
    return lease.ttlMs;
  }

  /** Whether a lease is alive. */
  hasLease(id: string): boolean {
    return this.leases.has(id);
  }

  /** Ends a lease and deletes the records that hang on it. */
  revokeLease(id: string): void {
    this.leases.delete(id);
    [...this.records.values()].filter((record) => record.lease === id).forEach((
      record,
    ) => this.remove(record.key));
  }

  /** Ends the leases whose time is up. */
  expireLeases(nowMs: number): void {
    [...this.leases]
      .filter(([, lease]) => lease.expiresMs <= nowMs)
      .forEach(([id]) => this.revokeLease(id));
  }

  /** Ends all leases at once, as a platform might after a failure of its own. */
  lapseAllLeases(): void {
    [...this.leases.keys()].forEach((id) => this.revokeLease(id));
  }

  /** The kept changes of a range from a revision on; `undefined` where older ones are gone. */
  changesSince(
    revision: number,
    range: { key: string; end: string },
  ): MemoryChange[] | undefined {
    const oldest = this.changes[0]?.revision ?? this.revision + 1;
    const complete = this.changes.length < CHANGES_KEPT || revision >= oldest;
    return complete
      ? this.changes.filter((change) =>
        change.revision >= revision && isInRange(change.key, range)
      )
      : undefined;
  }

  /** Calls back for each change of a range, until the returned function is called. */
  listen(
    range: { key: string; end: string },
    onChange: (change: MemoryChange) => void,
  ): () => void {
    const listener = (change: MemoryChange) => {
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

  private publish(change: MemoryChange): void {
    this.changes.push(change);
    this.changes = this.changes.length > CHANGES_KEPT * 1.5
      ? this.changes.slice(-CHANGES_KEPT)
      : this.changes;
    this.listeners.forEach((listener) => listener(change));
  }
}

function isInRange(key: string, range: { key: string; end: string }): boolean {
  const name = decode(key);
  return name >= decode(range.key) && name < decode(range.end);
}

function decode(text: string): string {
  return Buffer.from(text, "base64").toString("utf8");
}
