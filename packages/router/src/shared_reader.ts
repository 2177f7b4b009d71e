/**
 * Reads the record of ownership once for many owners.
 *
 * Each owner needs to know every second or two what the store holds. Asked by each on its own, the store's calls grow
 * with the owners: 98 of them would read 65 times a second. So owners ask one daemon, which gathers their questions,
 * reads, and answers all: some 0.7 reads a second, however many they are.
 *
 * @module
 */
import { batchDelayMs } from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import type { Store } from "@bamboolink/store";
import { steadyMs } from "./clock.ts";
import { OWNERSHIP_PREFIX } from "./ownership_directory.ts";
import type { RecordInspector } from "./record_inspector.ts";

/** What an owner asks, and is answered with. */
export interface SharedReadRequest {
  readonly service: string;
  /** The owner's clock, in milliseconds; comes back with the answer. */
  readonly askedAtMs: number;
}

/** What the store held after the question had arrived. */
export interface SharedReadResponse extends SharedReadRequest {
  readonly revision: number;
}

/** What the reader needs. */
export interface SharedReaderContext {
  readonly store: Store;
  readonly logger: Logger;
  /** Looks at what was found, which is not told to owners where it is no record. */
  readonly inspector: RecordInspector;
  readonly onResponse: (owner: string, answer: SharedReadResponse) => void;
}

/** Gathers the questions of owners. */
export class SharedReader {
  /** When each owner asked, by service. */
  private readonly waiting = new Map<string, Map<string, number>>();

  private constructor(private readonly context: SharedReaderContext) {}

  /** Creates a reader without questions. */
  static create(context: SharedReaderContext): SharedReader {
    return new SharedReader(context);
  }

  /** Takes a question; it is answered if the store can be read. */
  enqueue(owner: string, { service, askedAtMs }: SharedReadRequest): void {
    const known = this.waiting.get(service);
    if (known !== undefined) {
      known.set(owner, askedAtMs);
      return;
    }
    this.waiting.set(service, new Map([[owner, askedAtMs]]));
    setTimeout(() => void this.answer(service), batchDelayMs(steadyMs()))
      .unref();
  }

  /** Questions that arrive while the store is read belong to the next read: this one may be older than they are. */
  private async answer(service: string): Promise<void> {
    const owners = this.waiting.get(service) ?? new Map<string, number>();
    this.waiting.delete(service);
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
