/**
 * A store that is reached through another daemon while it turns this one away.
 *
 * @module
 */
import type { BamboolinkError } from "@bamboolink/errors";
import type { Logger } from "@bamboolink/logger";
import {
  type CasRequest,
  type Listing,
  Store,
  type StoredRecord,
  type Watch,
  type WatchHandler,
} from "@bamboolink/store";
import { errAsync, type ResultAsync } from "neverthrow";
import { bootMs } from "./clock.ts";
import type { PeerQuestions } from "./peer_questions.ts";

/** After a failure the store counts as out of reach until a call succeeds, at most so long, in ms. */
const OUT_OF_REACH_MS = 3_000;

/** What the relayed store needs. */
export interface RelayedStoreContext {
  readonly direct: Store;
  readonly questions: PeerQuestions;
  readonly logger: Logger;
  /** Address of a daemon that reaches the store, if one is known. */
  readonly findHelper: () => string | undefined;
}

/**
 * Calls the store itself and, where that fails, through another daemon.
 *
 * What goes wrong without it: the store serves the rest of the fleet and turns this daemon away; the
 * tenure of its backend server runs out, and its keys have no owner although nothing has failed.
 */
export class RelayedStore extends Store {
  private failedAtMs = -Infinity;
  private hasSucceeded = false;

  private constructor(private readonly context: RelayedStoreContext) {
    super();
  }

  /** Creates one that has not called yet. */
  static create(context: RelayedStoreContext): RelayedStore {
    return new RelayedStore(context);
  }

  /** Whether the daemon itself reaches the store. */
  get isReached(): boolean {
    return this.hasSucceeded && bootMs() - this.failedAtMs > OUT_OF_REACH_MS;
  }

  override get(
    key: string,
  ): ResultAsync<StoredRecord | undefined, BamboolinkError> {
    return this.direct(this.context.direct.get(key)).orElse((error) => {
      const helper = this.context.findHelper();
      return helper === undefined
        ? errAsync(error)
        : this.context.questions.askRecord(helper, key);
    });
  }

  override compareAndSwap(
    request: CasRequest,
  ): ResultAsync<number, BamboolinkError> {
    return this.direct(this.context.direct.compareAndSwap(request))
      .orElse((error) => {
        const helper = this.context.findHelper();
        const isSurelyUndone = error.code === "refused" ||
          error.code === "unreachable";
        return helper === undefined || !isSurelyUndone
          ? errAsync(error)
          : this.context.questions.askWrite(helper, request);
      });
  }

  override list(prefix: string): ResultAsync<Listing, BamboolinkError> {
    return this.direct(this.context.direct.list(prefix));
  }

  override grantLease(
    ttlSeconds: number,
  ): ResultAsync<string, BamboolinkError> {
    return this.direct(this.context.direct.grantLease(ttlSeconds));
  }

  override renewLease(lease: string): ResultAsync<void, BamboolinkError> {
    return this.direct(this.context.direct.renewLease(lease));
  }

  override revokeLease(lease: string): ResultAsync<void, BamboolinkError> {
    return this.direct(this.context.direct.revokeLease(lease));
  }

  override watch(
    prefix: string,
    options: { fromRevision: number; handler: WatchHandler },
  ): Watch {
    return this.context.direct.watch(prefix, options);
  }

  override close(): Promise<void> {
    return this.context.direct.close();
  }

  /** Notes whether the store was reached. */
  private direct<T>(
    call: ResultAsync<T, BamboolinkError>,
  ): ResultAsync<T, BamboolinkError> {
    return call
      .map((value) => {
        this.noteReached(true);
        return value;
      })
      .mapErr((error) => {
        const isAnswer = ["conflict", "not_found", "invalid"].includes(
          error.code,
        );
        this.noteReached(isAnswer);
        return error;
      });
  }

  private noteReached(isReached: boolean): void {
    const was = this.isReached;
    this.hasSucceeded ||= isReached;
    this.failedAtMs = isReached ? -Infinity : bootMs();
    if (was !== this.isReached) {
      this.context.logger.log(
        this.isReached ? "store_reached" : "store_out_of_reach",
      );
    }
  }
}
