/**
 * The newest ownership records of all services that this daemon knows.
 *
 * @module
 */
import { OwnershipRecord } from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import type { TrafficConfiguration } from "@bamboolink/types";

/** Prefix of the keys under which the store holds the ownership records. */
export const OWNERSHIP_PREFIX = "bamboolink/ownership/";

/** Called with each record that is newer than the known one. */
export type RecordListener = (service: string, record: OwnershipRecord) => void;

/** The newest known ownership record of each service. */
export class OwnershipDirectory {
  private readonly records = new Map<string, OwnershipRecord>();
  private listener: RecordListener = () => undefined;
  private keyedServiceNames: ReadonlySet<string> = new Set();
  private hasConfiguration = false;

  private constructor(private readonly logger: Logger) {}

  /** Creates an empty directory. */
  static create(logger: Logger): OwnershipDirectory {
    return new OwnershipDirectory(logger);
  }

  /** Sets the listener for newer records, in place of an earlier one. */
  onRecord(listener: RecordListener): void {
    this.listener = listener;
  }

  /** Applies the configuration, which states the services whose keys have owners. */
  configure(configuration: TrafficConfiguration): void {
    const services = configuration.services.filter(({ keyed }) => keyed);
    this.hasConfiguration = true;
    this.keyedServiceNames = new Set(services.map(({ name }) => name));
  }

  /** Whether a configuration was applied, so that it is known which services have keys with owners. */
  get isConfigured(): boolean {
    return this.hasConfiguration;
  }

  /** Whether the keys of a service have owners. */
  isKeyed(service: string): boolean {
    return this.keyedServiceNames.has(service);
  }

  /** The services whose keys have owners. */
  get keyedServices(): readonly string[] {
    return [...this.keyedServiceNames];
  }

  /** Address of the daemon that owns a key; `undefined` if no owner is known. */
  ownerOf(service: string, key: number): string | undefined {
    return this.records.get(service)?.ownerOf(key)?.daemon;
  }

  /** The newest known record of a service. */
  record(service: string): OwnershipRecord | undefined {
    return this.records.get(service);
  }

  /** The highest known revision of all services; 0 without a record. */
  get revision(): number {
    return Math.max(
      0,
      ...[...this.records.values()].map(({ revision }) => revision),
    );
  }

  /** All records in encoded form, for a daemon that has missed some. */
  get encodedRecords(): { service: string; revision: number; text: string }[] {
    return [...this.records].map(([service, record]) => ({
      service,
      revision: record.revision,
      text: record.encode(),
    }));
  }

  /** Applies a record that another daemon has sent, if it is newer than the known one. */
  updateFromPeer(
    update: { service: string; revision: number; text: string },
  ): void {
    const { service, revision, text } = update;
    this.updateFromStore(OWNERSHIP_PREFIX + service, { value: text, revision });
  }

  /** Applies a record, if it is newer than the known one, and notifies the listener. */
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
   * Decodes and applies a record as stored; logs an error if it can't be decoded.
   *
   * @param stored `era`: the era of the store when the record was read; a record of another era is not in force and is
   *   ignored.
   */
  updateFromStore(
    key: string,
    stored: { value: string; revision: number; era?: number },
  ): void {
    const service = key.slice(OWNERSHIP_PREFIX.length);
    const known = this.records.get(service);
    if (known !== undefined && stored.revision <= known.revision) {
      // Most records arrive several times, and decoding one takes longer than all else that is done with it.
      return;
    }
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
