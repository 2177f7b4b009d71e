/**
 * Keeps track of all records below a prefix of the store: lists them, then watches for changes, and lists them again
 * whenever changes may have been missed.
 *
 * @module
 */
import type { Logger } from "@bamboolink/logger";
import type { Listing, Store, Watch } from "@bamboolink/store";
import { ok } from "neverthrow";

/** Delay after a first failure; it doubles with each further one. */
const INITIAL_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 1_000;

/** A write or deletion of a record. */
export interface RecordChange {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
}

/** Dependencies of the watcher. */
export interface StoreWatcherContext {
  readonly store: Store;
  readonly logger: Logger;
  readonly prefix: string;
  /** A listing of the prefix that is made for other purposes at the start; `undefined` if there is none. */
  readonly firstListing: Promise<Listing | undefined>;
  readonly random: () => number;
  /** Chooses the poll timeout, in milliseconds; `endedUnchanged` is whether the last poll ended without a change. */
  readonly choosePollTimeoutMs: (endedUnchanged: boolean) => number;
  /** Called after each response, before the next poll, which is sent once the promise resolves. */
  readonly awaitPoll: () => Promise<void>;
  /** Called with each listing of all records. */
  readonly onListing: (listing: Listing) => void;
  /** Called with each change after a listing; `value` is `undefined` for deletions. */
  readonly onChange: (change: RecordChange) => void;
}

/** Lists and watches the records below one prefix. */
export class StoreWatcher {
  private watch: Watch | undefined;
  private timer: NodeJS.Timeout | undefined;
  private failures = 0;
  private isStopped = false;
  private isStarting = true;

  private constructor(private readonly context: StoreWatcherContext) {}

  /** Creates a watcher that has not started. */
  static create(context: StoreWatcherContext): StoreWatcher {
    return new StoreWatcher(context);
  }

  /** Starts to list and watch, with retries after failures until it is stopped. */
  start(): void {
    void this.listAndWatch();
  }

  /** Stops the watch and cancels retries. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.watch?.stop();
  }

  private async listAndWatch(): Promise<void> {
    const { store, logger, prefix, onListing, onChange } = this.context;
    const { choosePollTimeoutMs, awaitPoll } = this.context;
    const firstListing = await this.takeFirstListing();
    if (this.isStopped) {
      return;
    }
    const listing = firstListing === undefined
      ? await store.list(prefix)
      : ok(firstListing);
    if (this.isStopped) {
      return;
    }
    if (listing.isErr()) {
      logger.log("store_call_failed", {
        step: "watch.list",
        prefix,
        cause: listing.error,
      });
      this.scheduleRetry();
      return;
    }
    this.failures = 0;
    onListing(listing.value);
    this.watch = store.watch(prefix, {
      fromRevision: listing.value.revision + 1,
      choosePollTimeoutMs,
      awaitPoll,
      handler: {
        onChanges: (changes) => changes.forEach(onChange),
        onEnd: (cause) => {
          logger.log("store_watch_ended", { prefix, cause });
          this.scheduleRetry();
        },
      },
    });
  }

  private takeFirstListing(): Promise<Listing | undefined> {
    const { isStarting } = this;
    this.isStarting = false;
    return isStarting ? this.context.firstListing : Promise.resolve(undefined);
  }

  private scheduleRetry(): void {
    if (this.isStopped) {
      return;
    }
    const delayMs = Math.min(
      MAX_RETRY_DELAY_MS,
      INITIAL_RETRY_DELAY_MS * 2 ** this.failures,
    );
    this.failures += 1;
    this.timer = setTimeout(
      () => void this.listAndWatch(),
      delayMs * (0.5 + this.context.random()),
    );
  }
}
