/**
 * A store client that relays reads and writes of single records through another daemon while the store is unreachable
 * from this one.
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
import { bootMs } from "../clock.ts";
import type { PeerClient } from "./peer_client.ts";

/** After a failure, the store is considered unreachable until a call succeeds, for at most this long, in ms. */
const UNREACHABLE_TTL_MS = 3_000;

/** Dependencies of the relayed store. */
export interface RelayedStoreContext {
  readonly direct: Store;
  readonly peerClient: PeerClient;
  readonly logger: Logger;
  /** Address of a daemon from which the store is reachable, if one is known. */
  readonly findRelay: () => string | undefined;
  /** Called when the store was restored from an older snapshot. */
  readonly onRolledBack: () => void;
}

/**
 * Reads and writes single records through another daemon while the store is unreachable from this one; all other calls
 * are direct. A direct write that has failed is relayed only if it certainly had no effect.
 *
 * Without it, if the store serves the rest of the fleet but refuses this daemon, the ownership lease of its backend
 * server expires, and the keys have no owner although the server has not failed.
 */
export class RelayedStore extends Store {
  private failedAtMs = -Infinity;
  private hasSucceeded = false;
  /** The newest era that relayed responses have contained. */
  private relayedEra = 0;
  private lastDirectEra: number | undefined;

  private constructor(private readonly context: RelayedStoreContext) {
    super();
  }

  /** Creates a relayed store that has made no call yet. */
  static create(context: RelayedStoreContext): RelayedStore {
    return new RelayedStore(context);
  }

  /** Whether the store is reachable from this daemon. */
  get isReachable(): boolean {
    return this.hasSucceeded && !this.hasRecentlyFailed;
  }

  override get(
    key: string,
  ): ResultAsync<StoredRecord | undefined, BamboolinkError> {
    const readDirectly = () =>
      this.trackReachability(this.context.direct.get(key));
    const relay = this.findPreferredRelay();
    if (relay !== undefined) {
      return this.readViaRelay(relay, key).orElse(readDirectly);
    }
    return readDirectly().orElse((error) => {
      const fallbackRelay = this.context.findRelay();
      return fallbackRelay === undefined
        ? errAsync(error)
        : this.readViaRelay(fallbackRelay, key);
    });
  }

  override compareAndSwap(
    request: CasRequest,
  ): ResultAsync<number, BamboolinkError> {
    const relay = this.findPreferredRelay();
    if (relay !== undefined) {
      return this.writeViaRelay(relay, request);
    }
    const { direct } = this.context;
    return this.trackReachability(direct.compareAndSwap(request)).orElse(
      (error) => {
        const fallbackRelay = this.context.findRelay();
        return fallbackRelay === undefined || !hasCertainlyNoEffect(error)
          ? errAsync(error)
          : this.writeViaRelay(fallbackRelay, request);
      },
    );
  }

  override overwrite(
    request: { key: string; value: string },
  ): ResultAsync<number, BamboolinkError> {
    const writeViaRelay = () => super.overwrite(request);
    if (this.findPreferredRelay() !== undefined) {
      return writeViaRelay();
    }
    const { direct, findRelay } = this.context;
    return this.trackReachability(direct.overwrite(request)).orElse((error) =>
      findRelay() === undefined || !hasCertainlyNoEffect(error)
        ? errAsync(error)
        : writeViaRelay()
    );
  }

  override get era(): number {
    return Math.max(this.context.direct.era, this.relayedEra);
  }

  private readViaRelay(
    relay: string,
    key: string,
  ): ResultAsync<StoredRecord | undefined, BamboolinkError> {
    return this.context.peerClient.readRecord(relay, key)
      .map(({ record, era }) => {
        this.relayedEra = Math.max(this.relayedEra, era);
        return record;
      });
  }

  private writeViaRelay(
    relay: string,
    request: CasRequest,
  ): ResultAsync<number, BamboolinkError> {
    return this.context.peerClient.writeRecord(relay, request)
      .map(({ revision, era }) => {
        this.relayedEra = Math.max(this.relayedEra, era);
        return revision;
      });
  }

  override list(prefix: string): ResultAsync<Listing, BamboolinkError> {
    return this.trackReachability(this.context.direct.list(prefix));
  }

  override listAll(
    prefixes: readonly string[],
  ): ResultAsync<Listing[], BamboolinkError> {
    return this.trackReachability(this.context.direct.listAll(prefixes));
  }

  override grantLease(
    ttlSeconds: number,
  ): ResultAsync<string, BamboolinkError> {
    return this.trackReachability(this.context.direct.grantLease(ttlSeconds));
  }

  override renewLease(lease: string): ResultAsync<void, BamboolinkError> {
    return this.trackReachability(this.context.direct.renewLease(lease));
  }

  override revokeLease(lease: string): ResultAsync<void, BamboolinkError> {
    return this.trackReachability(this.context.direct.revokeLease(lease));
  }

  override watch(prefix: string, options: WatchOptions): Watch {
    return this.context.direct.watch(prefix, options);
  }

  override close(): Promise<void> {
    return this.context.direct.close();
  }

  /**
   * After a recent failure, the daemon to which calls are relayed without a direct attempt. Without it, each call would
   * wait for its own timeout before it is relayed, and a move of keys, which takes two calls, would take seconds.
   */
  private findPreferredRelay(): string | undefined {
    return this.hasRecentlyFailed ? this.context.findRelay() : undefined;
  }

  private get hasRecentlyFailed(): boolean {
    return bootMs() - this.failedAtMs <= UNREACHABLE_TTL_MS;
  }

  /** Tracks by the result of a direct call whether the store is reachable. */
  private trackReachability<T>(
    call: ResultAsync<T, BamboolinkError>,
  ): ResultAsync<T, BamboolinkError> {
    return call
      .map((value) => {
        this.recordReachability(true);
        return value;
      })
      .mapErr((error) => {
        const hasResponded = [
          "conflict",
          "superseded",
          "not_found",
          "invalid",
        ].includes(error.code);
        this.recordReachability(hasResponded);
        return error;
      });
  }

  /** Detects a rollback by an increase of the era; the first observed era is not an increase. */
  private detectRollback(): void {
    const { era } = this.context.direct;
    const { lastDirectEra } = this;
    this.lastDirectEra = era;
    if (lastDirectEra !== undefined && era > lastDirectEra) {
      this.context.logger.log("store_era_changed", {
        from: lastDirectEra,
        to: era,
      });
      this.context.onRolledBack();
    }
  }

  private recordReachability(isNowReachable: boolean): void {
    if (isNowReachable) {
      this.detectRollback();
    }
    const wasReachable = this.isReachable;
    this.hasSucceeded ||= isNowReachable;
    this.failedAtMs = isNowReachable ? -Infinity : bootMs();
    if (wasReachable !== this.isReachable) {
      this.context.logger.log(
        this.isReachable ? "store_reached" : "store_out_of_reach",
      );
    }
  }
}

/** Whether an error proves that a write has had no effect and will have none. */
function hasCertainlyNoEffect({ code }: BamboolinkError): boolean {
  return code === "refused" || code === "unreachable";
}
