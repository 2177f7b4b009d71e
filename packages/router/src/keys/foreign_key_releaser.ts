/**
 * Releases the keys of services to which the backend server on this host no longer belongs.
 *
 * @module
 */
import {
  assignUnowned,
  type Candidate,
  type KeyRange,
  type OwnershipRecord,
} from "@bamboolink/keyspace";
import type { OwnershipDirectory } from "./ownership_directory.ts";
import type { RecordWriter } from "./record_writer.ts";

/** Dependencies of the releaser. */
export interface ForeignKeyReleaserContext {
  readonly directory: Pick<OwnershipDirectory, "keyedServices" | "record">;
  readonly writer: Pick<RecordWriter, "write">;
  /** Address of this daemon. */
  readonly ownAddress: () => string;
  /**
   * The service of the backend server on this host; `undefined` while none is known to run, or a server of another
   * service may still hold keys: the first heartbeat after a start of this process may be one of a server that has ended.
   */
  readonly runningService: () => string | undefined;
  /** The other backend servers of a service that may own keys. */
  readonly findCandidates: (service: string) => Candidate[];
}

/**
 * Assigns keys that this host owns by the records of other services than that of its backend server.
 */
export class ForeignKeyReleaser {
  private constructor(private readonly context: ForeignKeyReleaserContext) {}

  static create(context: ForeignKeyReleaserContext): ForeignKeyReleaser {
    return new ForeignKeyReleaser(context);
  }

  /** Releases the foreign keys of all services; called by the control loop. */
  tick(): void {
    const { directory, writer } = this.context;
    directory.keyedServices
      .filter((service) => {
        const record = directory.record(service);
        return record !== undefined &&
          this.findForeignRanges(service, record).length > 0;
      })
      .forEach((service) =>
        void writer.write(
          service,
          "release_foreign",
          (record) => this.release(service, record),
        )
      );
  }

  /**
   * The ranges of this host in the record of a service, if its backend server belongs to another one now. Each attempt to
   * write checks this: a backend server of the service may have returned since the attempt before, and hold the keys.
   */
  private findForeignRanges(
    service: string,
    record: OwnershipRecord,
  ): KeyRange[] {
    const running = this.context.runningService();
    return running === undefined || running === service
      ? []
      : record.rangesOf(this.context.ownAddress());
  }

  private release(
    service: string,
    record: OwnershipRecord,
  ): OwnershipRecord | undefined {
    const ranges = this.findForeignRanges(service, record);
    const released = record.release(ranges);
    return ranges.length === 0 ? undefined : released.assign(
      assignUnowned(released, ranges, this.context.findCandidates(service)),
    );
  }
}
