/**
 * Who owns which key, for all services, as far as this daemon has read the store.
 *
 * @module
 */
import { OwnershipRecord } from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import type { TrafficConfiguration } from "@bamboolink/types";

/** Records of all services lie below this. */
export const OWNERSHIP_PREFIX = "bamboolink/ownership/";

/** Called with each newer record. */
export type RecordListener = (service: string, record: OwnershipRecord) => void;

/** The records by service. */
export class OwnershipDirectory {
  private readonly records = new Map<string, OwnershipRecord>();
  private listener: RecordListener = () => undefined;
  private keyed: ReadonlySet<string> = new Set();

  private constructor(private readonly logger: Logger) {}

  /** Creates an empty directory. */
  static create(logger: Logger): OwnershipDirectory {
    return new OwnershipDirectory(logger);
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

  /** The newest revision over all services. */
  get revision(): number {
    return Math.max(
      0,
      ...[...this.records.values()].map(({ revision }) => revision),
    );
  }

  /** All records, for a daemon that has missed some. */
  get encodedRecords(): { service: string; revision: number; text: string }[] {
    return [...this.records].map(([service, record]) => ({
      service,
      revision: record.revision,
      text: record.encode(),
    }));
  }

  /** Takes over a record that another daemon knows. */
  updateFromPeer(
    news: { service: string; revision: number; text: string },
  ): void {
    const { service, revision, text } = news;
    this.updateFromStore(OWNERSHIP_PREFIX + service, { value: text, revision });
  }

  /** Takes over a record, if it is newer than what is known. */
  updateRecord(service: string, record: OwnershipRecord): void {
    const known = this.records.get(service);
    if (known !== undefined && record.revision <= known.revision) {
      return;
    }
    this.records.set(service, record);
    this.logger.log("ownership_seen", {
      service,
      revision: record.revision,
      ranges: record.segments.length,
    });
    this.listener(service, record);
  }

  /**
   * Takes over a record as the store holds it.
   *
   * @param stored `era`: the era of the store in which it was read; one that was written in another is not in force.
   */
  updateFromStore(
    key: string,
    stored: { value: string; revision: number; era?: number },
  ): void {
    const service = key.slice(OWNERSHIP_PREFIX.length);
    OwnershipRecord.decode(stored.value, stored.revision).match(
      (record) => {
        if (stored.era === undefined || stored.era === record.era) {
          this.updateRecord(service, record);
        }
      },
      (cause) => this.logger.log("ownership_unreadable", { service, cause }),
    );
  }
}
