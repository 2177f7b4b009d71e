/**
 * Reads the ownership record once for many owners.
 *
 * Each owner needs the current record every second or two. If each read it on its own, the number of store calls would
 * grow with the number of owners: 98 owners would read 65 times per second. So owners send their requests to one
 * daemon, the shared reader, which batches them, reads once, and responds to all: about 0.7 reads per second for any
 * number of owners.
 *
 * @module
 */
import { batchDelayMs } from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import type { Store } from "@bamboolink/store";
import { monotonicMs } from "../clock.ts";
import { OWNERSHIP_PREFIX } from "./ownership_directory.ts";
import type { RecordInspector } from "./record_inspector.ts";

/** A request of an owner for a read of the record. */
export interface SharedReadRequest {
  readonly service: string;
  /** The owner's clock in milliseconds; returned with the response. */
  readonly askedAtMs: number;
}

/** The revision of the record that the store held after the request had arrived. */
export interface SharedReadResponse extends SharedReadRequest {
  readonly revision: number;
}

/** Dependencies of the shared reader. */
export interface SharedReaderContext {
  readonly store: Store;
  readonly logger: Logger;
  /** Checks the result of each read; owners receive only the revision, not the outcome of this check. */
  readonly inspector: RecordInspector;
  readonly onResponse: (owner: string, response: SharedReadResponse) => void;
}

/** Batches the read requests of owners. */
export class SharedReader {
  /** The timestamp of each owner's pending request, by service. */
  private readonly pending = new Map<string, Map<string, number>>();

  private constructor(private readonly context: SharedReaderContext) {}

  /** Creates a reader without pending requests. */
  static create(context: SharedReaderContext): SharedReader {
    return new SharedReader(context);
  }

  /** Adds a request to the batch of the service's next read; there is no response if that read fails. */
  enqueue(owner: string, { service, askedAtMs }: SharedReadRequest): void {
    const batch = this.pending.get(service);
    if (batch !== undefined) {
      batch.set(owner, askedAtMs);
      return;
    }
    this.pending.set(service, new Map([[owner, askedAtMs]]));
    setTimeout(
      () => void this.readAndRespond(service),
      batchDelayMs(monotonicMs()),
    )
      .unref();
  }

  /** Reads once for a batch. Requests that arrive meanwhile wait for the next read, as this one may predate them. */
  private async readAndRespond(service: string): Promise<void> {
    const owners = this.pending.get(service) ?? new Map<string, number>();
    this.pending.delete(service);
    const found = await this.context.store.get(OWNERSHIP_PREFIX + service);
    if (found.isErr()) {
      this.context.logger.log("store_call_failed", {
        step: "shared_read",
        owners: owners.size,
        cause: found.error,
      });
      return;
    }
    this.context.inspector.inspect(service, found.value);
    const revision = found.value?.revision;
    if (revision !== undefined) {
      owners.forEach((askedAtMs, owner) =>
        this.context.onResponse(owner, { service, askedAtMs, revision })
      );
    }
  }
}
