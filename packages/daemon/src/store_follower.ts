/**
 * Watches the store, if this daemon is one of those that do, and merges the changes into its copy of the fleet's
 * records.
 *
 * @module
 */
import { backoffMs } from "@bamboolink/admission";
import type { Logger } from "@bamboolink/logger";
import type { Store, Watch } from "@bamboolink/store";
import { KEY_PREFIX } from "@bamboolink/types";
import { BackgroundTask } from "./background_task.ts";
import { monotonicMs } from "./clock.ts";
import type { Fleet } from "./fleet.ts";
import type { Randomness } from "./randomness.ts";

/** Base of the exponential backoff after a failure, in milliseconds. */
const BASE_BACKOFF_MS = 100;

/** Lists the records of the store once and then watches it. */
export class StoreFollower {
  private readonly listTask: BackgroundTask;
  private watch: Watch | undefined;
  /** The revision up to which changes were received; 0 if a new listing is necessary. */
  private watchedRevision = 0;
  private failures = 0;
  private resumeAtMs = 0;

  private constructor(
    private readonly context: {
      store: Store;
      fleet: Fleet;
      logger: Logger;
      randomness: Randomness;
    },
  ) {
    this.listTask = BackgroundTask.create(
      context.logger,
      "store_follower.list",
    );
  }

  /** Creates a follower that is not watching yet. */
  static create(
    context: {
      store: Store;
      fleet: Fleet;
      logger: Logger;
      randomness: Randomness;
    },
  ): StoreFollower {
    return new StoreFollower(context);
  }

  /** Whether the last request to the store succeeded. */
  get isStoreReachable(): boolean {
    return this.failures === 0;
  }

  /**
   * Runs one step of the control loop.
   *
   * @param nowMs current time on the monotonic clock, in milliseconds.
   * @param shouldFollow whether this daemon should watch the store.
   */
  tick(nowMs: number, shouldFollow: boolean): void {
    if (!shouldFollow) {
      this.stop();
      return;
    }
    if (this.watch === undefined && nowMs >= this.resumeAtMs) {
      this.listTask.start(() => this.startWatch());
    }
  }

  /** Stops the watch. */
  stop(): void {
    this.watch?.stop();
    this.watch = undefined;
  }

  private async startWatch(): Promise<void> {
    if (this.watchedRevision === 0 && !await this.list()) {
      return;
    }
    this.watch = this.context.store.watch(KEY_PREFIX, {
      fromRevision: this.watchedRevision + 1,
      handler: {
        onChanges: (changes) => this.applyChanges(changes),
        onEnd: (error) => this.handleWatchEnd(error),
      },
    });
  }

  private async list(): Promise<boolean> {
    const listing = await this.context.store.list(KEY_PREFIX);
    if (listing.isErr()) {
      this.recordFailure(listing.error);
      return false;
    }
    const { records, revision } = listing.value;
    if (revision < this.context.fleet.revision) {
      const seen = this.context.fleet.revision;
      this.context.logger.log("store_went_back", { revision, seen });
      this.recordFailure(
        new Error("the store was restored from an older snapshot"),
      );
      return false;
    }
    this.context.fleet.merge({ from: 0, to: revision, records });
    this.watchedRevision = revision;
    this.recordSuccess();
    return true;
  }

  private applyChanges(
    changes: readonly {
      key: string;
      value: string | undefined;
      revision: number;
    }[],
  ): void {
    this.recordSuccess();
    const to = changes.at(-1)?.revision;
    if (to === undefined) {
      return;
    }
    // The copy may already be at a later revision, received from another daemon, but never at an earlier one.
    this.context.fleet.merge({
      from: this.watchedRevision,
      to,
      records: changes,
    });
    this.watchedRevision = to;
  }

  private handleWatchEnd(error: { code: string }): void {
    this.watch = undefined;
    if (error.code === "not_found") {
      this.watchedRevision = 0;
      this.context.logger.log("view_reset", { cause: error });
    }
    this.recordFailure(error);
  }

  private recordFailure(cause: unknown): void {
    if (this.failures === 0) {
      this.context.logger.log("store_unreachable", { cause });
    }
    this.failures = Math.min(this.failures + 1, 6);
    const pauseMs = backoffMs(this.failures, {
      baseMs: BASE_BACKOFF_MS,
      random: this.context.randomness.next(),
    });
    this.resumeAtMs = monotonicMs() + pauseMs;
  }

  private recordSuccess(): void {
    if (this.failures > 0) {
      this.context.logger.log("store_reachable");
    }
    this.failures = 0;
  }
}
