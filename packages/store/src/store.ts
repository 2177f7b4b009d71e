/**
 * What bamboolink needs of the platform's key-value service, whatever its protocol.
 *
 * @module
 */
import type { BamboolinkError } from "@bamboolink/errors";
import type { ResultAsync } from "neverthrow";

/** One record as the store holds it. */
export interface StoredRecord {
  readonly key: string;
  readonly value: string;
  /** The store's revision of the record's last write, in the order over all its eras. */
  readonly revision: number;
  /** The era of the store in which the record was read. */
  readonly era: number;
}

/** All records below a prefix at one revision of the store. */
export interface Listing {
  readonly records: readonly StoredRecord[];
  readonly revision: number;
}

/** A write that takes effect only on what was expected. */
export interface CasRequest {
  readonly key: string;
  /** The new value, or `undefined` to delete. */
  readonly value: string | undefined;
  /** Revision of the record that is replaced; 0 where there must be none. */
  readonly expectedRevision: number;
  /** The record goes away with this lease. */
  readonly lease?: string;
}

/** Receives what a watch sees. */
export interface WatchHandler {
  /** Changes in the order of their revisions; `value` is `undefined` for deletions. */
  readonly onChanges: (
    changes: readonly {
      key: string;
      value: string | undefined;
      revision: number;
    }[],
  ) => void;
  /** The watch ended; `not_found` means that changes were missed and a new listing is needed. */
  readonly onEnd: (error: BamboolinkError) => void;
}

/** How a watch runs. */
export interface WatchOptions {
  /** The first revision that is of interest. */
  readonly fromRevision: number;
  readonly handler: WatchHandler;
  /**
   * Chooses how long to wait for an answer until the store is asked anew, in milliseconds; `hasTimedOut` where the last wait
   * ran to its end without a change. Ignored by stores that send keep-alives.
   */
  readonly choosePollTimeoutMs?: (hasTimedOut: boolean) => number;
}

/** A running watch. */
export interface Watch {
  /** Ends the watch without a call of `onEnd`. */
  stop(): void;
}

/**
 * The platform's key-value service. Its revisions rise also when it comes back from an older copy, since they count
 * within eras (`orderRevision`).
 *
 * Errors tell three cases apart: `refused` and `conflict` (surely without effect), `unreachable`
 * (no byte can have arrived) and `unknown_effect` (a write may have taken effect or may still do so).
 */
export abstract class Store {
  /** How often the store has come back from an older copy, as far as its answers have told; 0 where it never does. */
  abstract get era(): number;

  /** Lists the records below a prefix. */
  abstract list(prefix: string): ResultAsync<Listing, BamboolinkError>;

  /** Reads one record. */
  abstract get(
    key: string,
  ): ResultAsync<StoredRecord | undefined, BamboolinkError>;

  /** Writes a record if it is as expected, and returns the revision of the write. */
  abstract compareAndSwap(
    request: CasRequest,
  ): ResultAsync<number, BamboolinkError>;

  /** Grants a lease and returns its identity. */
  abstract grantLease(ttlSeconds: number): ResultAsync<string, BamboolinkError>;

  /** Renews a lease; `not_found` once it has lapsed. */
  abstract renewLease(lease: string): ResultAsync<void, BamboolinkError>;

  /** Ends a lease and the records that hang on it. */
  abstract revokeLease(lease: string): ResultAsync<void, BamboolinkError>;

  /** Watches all records below a prefix from a revision on, that one included. */
  abstract watch(prefix: string, options: WatchOptions): Watch;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
