/**
 * Follows all records below a prefix of the store: lists them, then watches, and lists anew whenever
 * changes may have been missed.
 *
 * @module
 */
import type { Logger } from "@bamboolink/logger";
import type { Listing, Store, Watch } from "@bamboolink/store";

/** Pause after a failure, in milliseconds, growing to the longest. */
const FIRST_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 1_000;

/** A record was written or deleted. */
export interface RecordChange {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
}

/** What the watcher needs. */
export interface StoreWatcherContext {
  readonly store: Store;
  readonly logger: Logger;
  readonly prefix: string;
  readonly random: () => number;
  /** How long to wait for changes, in milliseconds; `hasTimedOut` where the last wait ran to its end without one. */
  readonly choosePollTimeoutMs: (hasTimedOut: boolean) => number;
  /** Called with all records whenever they are listed. */
  readonly onListing: (listing: Listing) => void;
  /** Called with each change after a listing; `value` is `undefined` for deletions. */
  readonly onChange: (change: RecordChange) => void;
}

/** Follows one prefix. */
export class StoreWatcher {
  private watch: Watch | undefined;
  private timer: NodeJS.Timeout | undefined;
  private failures = 0;
  private isStopped = false;

  private constructor(private readonly context: StoreWatcherContext) {}

  /** Creates a watcher that does not follow yet. */
  static create(context: StoreWatcherContext): StoreWatcher {
    return new StoreWatcher(context);
  }

  /** Begins to follow. */
  start(): void {
    void this.follow();
  }

  /** Stops following. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.watch?.stop();
  }

  private async follow(): Promise<void> {
    const { store, logger, prefix, onListing, onChange, choosePollTimeoutMs } =
      this.context;
    const listing = await store.list(prefix);
    if (this.isStopped) {
      return;
    }
    if (listing.isErr()) {
      logger.log("store_call_failed", {
        step: "watch.list",
        prefix,
        cause: listing.error,
      });
      this.followLater();
      return;
    }
    this.failures = 0;
    onListing(listing.value);
    this.watch = store.watch(prefix, {
      fromRevision: listing.value.revision + 1,
      choosePollTimeoutMs,
      handler: {
        onChanges: (changes) => changes.forEach(onChange),
        onEnd: (cause) => {
          logger.log("store_watch_ended", { prefix, cause });
          this.followLater();
        },
      },
    });
  }

  private followLater(): void {
    if (this.isStopped) {
      return;
    }
    const pauseMs = Math.min(
      LONGEST_PAUSE_MS,
      FIRST_PAUSE_MS * 2 ** this.failures,
    );
    this.failures += 1;
    this.timer = setTimeout(
      () => void this.follow(),
      pauseMs * (0.5 + this.context.random()),
    );
  }
}
