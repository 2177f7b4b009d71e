/**
 * Who owns which key, for all services, as far as this daemon has read the store.
 *
 * @module
 */
import { OwnershipRecord } from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import type { Store } from "@bamboolink/store";
import type { TrafficConfiguration } from "@bamboolink/types";
import { steadyMs } from "./clock.ts";

/** Records of all services lie below this. */
export const OWNERSHIP_PREFIX = "bamboolink/ownership/";
/** The least time between two reads of a record on behalf of requests, in milliseconds. */
const REFRESH_MS = 250;

/** Called with each newer record. */
export type RecordListener = (service: string, record: OwnershipRecord) => void;

/** The records by service. */
export class OwnershipDirectory {
  private readonly records = new Map<string, OwnershipRecord>();
  private readonly refreshedAtMs = new Map<string, number>();
  private listener: RecordListener = () => undefined;
  private keyed: ReadonlySet<string> = new Set();

  private constructor(
    private readonly context: { store: Store; logger: Logger },
  ) {}

  /** Creates an empty directory. */
  static create(
    context: { store: Store; logger: Logger },
  ): OwnershipDirectory {
    return new OwnershipDirectory(context);
  }

  /** Sets who is told of newer records. */
  onRecord(listener: RecordListener): void {
    this.listener = listener;
  }

  /** Takes over which services have keys with owners. */
  configure(configuration: TrafficConfiguration): void {
    const services = configuration.services.filter(({ keyed }) => keyed);
    this.keyed = new Set(services.map(({ name }) => name));
  }

  /** Whether each key of a service has one owner. */
  isKeyed(service: string): boolean {
    return this.keyed.has(service);
  }

  /** The services whose keys have owners. */
  get keyedServices(): readonly string[] {
    return [...this.keyed];
  }

  /** The daemon that owns a key. */
  ownerOf(service: string, key: number): string | undefined {
    return this.records.get(service)?.ownerOf(key)?.daemon;
  }

  /** The newest record of a service that was seen. */
  record(service: string): OwnershipRecord | undefined {
    return this.records.get(service);
  }

  /** Takes over a record, if it is newer than what is known. */
  note(service: string, record: OwnershipRecord): void {
    const known = this.records.get(service);
    if (known !== undefined && record.revision <= known.revision) {
      return;
    }
    this.records.set(service, record);
    this.context.logger.log("ownership_seen", {
      service,
      revision: record.revision,
      ranges: record.segments.length,
    });
    this.listener(service, record);
  }

  /** Takes over a record as the store holds it. */
  noteStored(key: string, stored: { value: string; revision: number }): void {
    const service = key.slice(OWNERSHIP_PREFIX.length);
    OwnershipRecord.decode(stored.value, stored.revision).match(
      (record) => this.note(service, record),
      (cause) =>
        this.context.logger.log("ownership_unreadable", { service, cause }),
    );
  }

  /** Reads a record again, because a request found it wrong; at most a few times a second. */
  refresh(service: string): void {
    const nowMs = steadyMs();
    const last = this.refreshedAtMs.get(service) ?? -Infinity;
    if (nowMs - last < REFRESH_MS) {
      return;
    }
    this.refreshedAtMs.set(service, nowMs);
    const key = OWNERSHIP_PREFIX + service;
    void this.context.store.get(key).match(
      (found) => found === undefined ? undefined : this.noteStored(key, found),
      (cause) =>
        this.context.logger.log("store_call_failed", { step: "refresh", cause }),
    );
  }
}
