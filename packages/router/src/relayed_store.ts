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
  type WatchOptions,
} from "@bamboolink/store";
import { errAsync, type ResultAsync } from "neverthrow";
import { bootMs } from "./clock.ts";
import type { PeerQuestions } from "./peer_questions.ts";

/** After a failure the store counts as out of reach until a call succeeds, at most so long, in ms. */
const OUT_OF_REACH_MS = 3_000;

/** What the relayed store needs. */
export interface RelayedStoreContext {
  readonly direct: Store;
  readonly peerClient: PeerQuestions;
  readonly logger: Logger;
  /** Address of a daemon that reaches the store, if one is known. */
  readonly findRelay: () => string | undefined;
  /** Called when the store has come back from an older copy. */
  readonly onRolledBack: () => void;
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
  /** The newest era that other daemons have told of. */
  private toldEra = 0;
  private seenEra: number | undefined;

  private constructor(private readonly context: RelayedStoreContext) {
    super();
  }

  /** Creates one that has not called yet. */
  static create(context: RelayedStoreContext): RelayedStore {
    return new RelayedStore(context);
  }

  /** Whether the daemon itself reaches the store. */
  get isReachable(): boolean {
    return this.hasSucceeded && !this.hasJustFailed;
  }

  override get(
    key: string,
  ): ResultAsync<StoredRecord | undefined, BamboolinkError> {
    const ask = () => this.direct(this.context.direct.get(key));
    const helper = this.helperFirst();
    if (helper !== undefined) {
      return this.askRecord(helper, key).orElse(ask);
    }
    return ask().orElse((error) => {
      const other = this.context.findRelay();
      return other === undefined ? errAsync(error) : this.askRecord(other, key);
    });
  }

  override compareAndSwap(
    request: CasRequest,
  ): ResultAsync<number, BamboolinkError> {
    const helper = this.helperFirst();
    if (helper !== undefined) {
      return this.askWrite(helper, request);
    }
    const { direct } = this.context;
    return this.direct(direct.compareAndSwap(request)).orElse((error) => {
      const other = this.context.findRelay();
      return other === undefined || !isSurelyUndone(error)
        ? errAsync(error)
        : this.askWrite(other, request);
    });
  }

  override get era(): number {
    return Math.max(this.context.direct.era, this.toldEra);
  }

  private askRecord(
    helper: string,
    key: string,
  ): ResultAsync<StoredRecord | undefined, BamboolinkError> {
    return this.context.peerClient.askRecord(helper, key)
      .map(({ record, era }) => {
        this.toldEra = Math.max(this.toldEra, era);
        return record;
      });
  }

  private askWrite(
    helper: string,
    request: CasRequest,
  ): ResultAsync<number, BamboolinkError> {
    return this.context.peerClient.askWrite(helper, request)
      .map(({ revision, era }) => {
        this.toldEra = Math.max(this.toldEra, era);
        return revision;
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

  override watch(prefix: string, options: WatchOptions): Watch {
    return this.context.direct.watch(prefix, options);
  }

  override close(): Promise<void> {
    return this.context.direct.close();
  }

  /**
   * The daemon to ask without a try of one's own, after a recent failure. Without it each call waits for its
   * own timeout before it is asked for elsewhere: a move of keys, which takes two of them, takes seconds.
   */
  private helperFirst(): string | undefined {
    return this.hasJustFailed ? this.context.findRelay() : undefined;
  }

  private get hasJustFailed(): boolean {
    return bootMs() - this.failedAtMs <= OUT_OF_REACH_MS;
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

  /** An answer of a first start tells an era, too, and nothing of a going back. */
  private noteEra(): void {
    const { era } = this.context.direct;
    const { seenEra } = this;
    this.seenEra = era;
    if (seenEra !== undefined && era > seenEra) {
      this.context.logger.log("store_era_changed", { from: seenEra, to: era });
      this.context.onRolledBack();
    }
  }

  private noteReached(isReached: boolean): void {
    if (isReached) {
      this.noteEra();
    }
    const was = this.isReachable;
    this.hasSucceeded ||= isReached;
    this.failedAtMs = isReached ? -Infinity : bootMs();
    if (was !== this.isReachable) {
      this.context.logger.log(
        this.isReachable ? "store_reached" : "store_out_of_reach",
      );
    }
  }
}

/** Whether an error says that a write has had no effect and will have none. */
function isSurelyUndone({ code }: BamboolinkError): boolean {
  return code === "refused" || code === "unreachable";
}
