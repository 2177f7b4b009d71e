/**
 * Follows the store, if this daemon is one of those that do, and feeds what it sees into the fleet's
 * copy of the records.
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

/** The first pause after a failure, in milliseconds; later ones grow. */
const FIRST_PAUSE_MS = 100;

/** Lists the store once and then watches it. */
export class StoreFollower {
  private readonly listing: BackgroundTask;
  private watch: Watch | undefined;
  /** The revision up to which the watch has been heard; 0 asks for a new listing. */
  private heardUpTo = 0;
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
    this.listing = BackgroundTask.create(context.logger, "store_follower.list");
  }

  /** Creates a follower that does not follow yet. */
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

  /** Whether the store answered last time. */
  get isStoreReachable(): boolean {
    return this.failures === 0;
  }

  /** One step of the control loop. */
  tick(nowMs: number, shouldFollow: boolean): void {
    if (!shouldFollow) {
      this.stop();
      return;
    }
    if (this.watch === undefined && nowMs >= this.resumeAtMs) {
      this.listing.start(() => this.begin());
    }
  }

  /** Stops following. */
  stop(): void {
    this.watch?.stop();
    this.watch = undefined;
  }

  private async begin(): Promise<void> {
    if (this.heardUpTo === 0 && !await this.list()) {
      return;
    }
    this.watch = this.context.store.watch(KEY_PREFIX, {
      fromRevision: this.heardUpTo + 1,
      handler: {
        onChanges: (changes) => this.takeChanges(changes),
        onEnd: (error) => this.endWatch(error),
      },
    });
  }

  private async list(): Promise<boolean> {
    const listing = await this.context.store.list(KEY_PREFIX);
    if (listing.isErr()) {
      this.noteFailure(listing.error);
      return false;
    }
    const { records, revision } = listing.value;
    if (revision < this.context.fleet.revision) {
      const seen = this.context.fleet.revision;
      this.context.logger.log("store_went_back", { revision, seen });
      this.noteFailure(new Error("the store went back"));
      return false;
    }
    this.context.fleet.merge({ from: 0, to: revision, records });
    this.heardUpTo = revision;
    this.noteSuccess();
    return true;
  }

  private takeChanges(
    changes: readonly {
      key: string;
      value: string | undefined;
      revision: number;
    }[],
  ): void {
    this.noteSuccess();
    const to = changes.at(-1)?.revision;
    if (to === undefined) {
      return;
    }
    // The copy may be further on already, from another daemon; it is never less far than the watch.
    this.context.fleet.merge({ from: this.heardUpTo, to, records: changes });
    this.heardUpTo = to;
  }

  private endWatch(error: { code: string }): void {
    this.watch = undefined;
    if (error.code === "not_found") {
      this.heardUpTo = 0;
      this.context.logger.log("view_reset", { cause: error });
    }
    this.noteFailure(error);
  }

  private noteFailure(cause: unknown): void {
    if (this.failures === 0) {
      this.context.logger.log("store_unreachable", { cause });
    }
    this.failures = Math.min(this.failures + 1, 6);
    const pauseMs = backoffMs(this.failures, {
      baseMs: FIRST_PAUSE_MS,
      random: this.context.randomness.next(),
    });
    this.resumeAtMs = monotonicMs() + pauseMs;
  }

  private noteSuccess(): void {
    if (this.failures > 0) {
      this.context.logger.log("store_reachable");
    }
    this.failures = 0;
  }
}
