/**
 * Interface to the platform's key-value service, independent of its protocol.
 *
 * @module
 */
import type { BamboolinkError } from "@bamboolink/errors";
import { ResultAsync } from "neverthrow";

/** A record as read from the store. */
export interface StoredRecord {
  readonly key: string;
  readonly value: string;
  /** Revision of the record's last write, ordered across all eras of the store. */
  readonly revision: number;
  /** The era of the store in which the record was read. */
  readonly era: number;
}

/** All records below a prefix at one revision of the store. */
export interface Listing {
  readonly records: readonly StoredRecord[];
  readonly revision: number;
}

/** A record that a write depends on without changing it. */
export interface WriteGuard {
  readonly key: string;
  /** The revision at which the record must be for the write to take effect. */
  readonly revision: number;
}

/** A write that takes effect only if the record is at the expected revision. */
export interface CasRequest {
  readonly key: string;
  /** The new value, or `undefined` to delete. */
  readonly value: string | undefined;
  /** Revision of the record that is replaced; 0 if the record must not exist. */
  readonly expectedRevision: number;
  /** Id of the store lease to which the record is attached: it is deleted when that lease ends. */
  readonly lease?: string;
  /**
   * A second condition, checked together with the expected revision. A write without a response may take effect seconds
   * later; once its guard has changed, it can't any more.
   */
  readonly guard?: WriteGuard;
}

/** Callbacks of a watch. */
export interface WatchHandler {
  /** Called with changes in the order of their revisions; `value` is `undefined` for deletions. */
  readonly onChanges: (
    changes: readonly {
      key: string;
      value: string | undefined;
      revision: number;
    }[],
  ) => void;
  /**
   * Called when the watch has ended; `not_found` means that changes were missed and the records must be listed
   * again.
   */
  readonly onEnd: (error: BamboolinkError) => void;
}

/** Options of a watch. */
export interface WatchOptions {
  /** The first revision whose changes are reported. */
  readonly fromRevision: number;
  readonly handler: WatchHandler;
  /**
   * Chooses the timeout of the next long poll, in milliseconds; `endedUnchanged` is whether the last one reached its
   * timeout without a change. Ignored by stores that send keep-alives.
   */
  readonly choosePollTimeoutMs?: (endedUnchanged: boolean) => number;
  /**
   * Called after each response, before the next poll; the poll is sent once the promise resolves. Ignored by stores that
   * send keep-alives.
   */
  readonly awaitPoll?: () => Promise<void>;
}

/** A running watch. */
export interface Watch {
  /** Ends the watch without calling `onEnd`. */
  stop(): void;
}

/**
 * The platform's key-value service. Its revisions keep increasing when it is restored from an older snapshot,
 * because they are numbered within eras (`toMonotonicRevision`).
 *
 * Error codes distinguish four cases: `refused` and `conflict` (this attempt certainly has no effect), `superseded` (no
 * attempt with the same guard has any effect from now on), `unreachable` (no byte can have reached the store) and
 * `unknown_effect` (a write may have taken effect, or may still do so).
 */
export abstract class Store {
  /**
   * How often the store was restored from an older snapshot, according to its responses so far; 0 for one that
   * never is.
   */
  abstract get era(): number;

  /** Lists the records below a prefix. */
  abstract list(prefix: string): ResultAsync<Listing, BamboolinkError>;

  /** Lists the records below each of several prefixes, in one call where the store allows it. */
  listAll(
    prefixes: readonly string[],
  ): ResultAsync<Listing[], BamboolinkError> {
    return ResultAsync.combine(prefixes.map((prefix) => this.list(prefix)));
  }

  /** Reads one record. */
  abstract get(
    key: string,
  ): ResultAsync<StoredRecord | undefined, BamboolinkError>;

  /**
   * Writes a record if it is at the expected revision, and returns the revision of the write; else `conflict`, or
   * `superseded` if the guard doesn't hold either.
   */
  abstract compareAndSwap(
    request: CasRequest,
  ): ResultAsync<number, BamboolinkError>;

  /**
   * Writes a record at whatever revision it is, and returns the revision of the write; in one call where the store
   * allows it. Only for records that a single process writes, since it replaces what others have written.
   */
  overwrite(
    request: { key: string; value: string },
  ): ResultAsync<number, BamboolinkError> {
    return this.get(request.key).andThen((found) =>
      this.compareAndSwap({
        ...request,
        expectedRevision: found?.revision ?? 0,
      })
    );
  }

  /** Grants a store lease and returns its id. */
  abstract grantLease(ttlSeconds: number): ResultAsync<string, BamboolinkError>;

  /** Renews a store lease; `not_found` once it has expired. */
  abstract renewLease(lease: string): ResultAsync<void, BamboolinkError>;

  /** Ends a store lease and deletes the records attached to it. */
  abstract revokeLease(lease: string): ResultAsync<void, BamboolinkError>;

  /** Watches all records below a prefix, starting with the changes of `options.fromRevision`. */
  abstract watch(prefix: string, options: WatchOptions): Watch;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
