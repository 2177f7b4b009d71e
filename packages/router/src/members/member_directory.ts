/**
 * Discovers other daemons through the store, in which each daemon registers its address when it starts.
 *
 * @module
 */
import type { BamboolinkError } from "@bamboolink/errors";
import type { Logger } from "@bamboolink/logger";
import type { MemberReport, MemberView } from "@bamboolink/membership";
import type { Listing, Store, StoredRecord } from "@bamboolink/store";
import type { ResultAsync } from "neverthrow";
import { bootMs } from "../clock.ts";
import { isAddress } from "./gossip_node.ts";
import { Registration } from "./registration.ts";

/** Prefix of all records of bamboolink. */
const ROOT_PREFIX = "bamboolink/";
/** Prefix of the records that hold the daemons' addresses. */
const MEMBER_PREFIX = "bamboolink/members/";
const RETRY_DELAY_MS = 500;
/**
 * Time from the start after which the operators' records are listed separately, in milliseconds: a listing together
 * with those of bamboolink follows the registration, which may be slow or fail.
 */
const SHARED_LISTING_TIMEOUT_MS = 400;

/** Dependencies of the directory. */
export interface MemberDirectoryContext {
  readonly store: Store;
  readonly view: MemberView;
  readonly logger: Logger;
  /** Prefix of the operators' records, which are listed together with those of bamboolink at the start. */
  readonly operatorPrefix: string;
  /** Called with the store revision of the registration. */
  readonly onRegistered: (revision: number) => void;
  /** Called with each record of bamboolink that is not a daemon's address. */
  readonly onRecord: (record: StoredRecord) => void;
  /** Called with the records of the listing at the start, and the time before it was sent, on the boot clock. */
  readonly onListed: (
    listing: { sentAtMs: number; records: readonly StoredRecord[] },
  ) => void;
}

/** Registers this daemon and reads the addresses of the others. */
export class MemberDirectory {
  /** The operators' records as of the start; `undefined` if they have to be listed separately. */
  readonly operatorListing: Promise<Listing | undefined>;
  /** The registration of this process. */
  readonly registration: Registration;
  private resolveOperatorListing: (listing: Listing | undefined) => void = () =>
    undefined;
  private timer: NodeJS.Timeout | undefined;
  private sharedListingTimer: NodeJS.Timeout | undefined;
  private isStopped = false;

  private constructor(private readonly context: MemberDirectoryContext) {
    this.operatorListing = new Promise((resolve) => {
      this.resolveOperatorListing = resolve;
    });
    const { store, logger, view } = context;
    this.registration = Registration.create({
      store,
      logger,
      address: view.ownReport.address,
      record: this.toRecord(view.ownReport),
    });
  }

  /** Creates a directory that has not registered yet. */
  static create(context: MemberDirectoryContext): MemberDirectory {
    return new MemberDirectory(context);
  }

  /** Starts to register this daemon, with retries until it succeeds. */
  start(): void {
    this.sharedListingTimer = setTimeout(
      () => this.resolveOperatorListing(undefined),
      SHARED_LISTING_TIMEOUT_MS,
    );
    void this.register();
  }

  /** Cancels retries. */
  stop(): void {
    this.isStopped = true;
    this.registration.stop();
    clearTimeout(this.timer);
    clearTimeout(this.sharedListingTimer);
    this.resolveOperatorListing(undefined);
  }

  /**
   * Rewrites the addresses of alive daemons that are missing after the store was restored from an older snapshot.
   * Without them, a starting daemon would not find those daemons, and if all daemons restarted, those would not find
   * each other.
   */
  async restoreMissing(nowMs: number): Promise<void> {
    const { store, view } = this.context;
    const listing = await store.list(MEMBER_PREFIX);
    if (listing.isErr()) {
      this.logFailure("members.restore", listing.error);
      this.retryLater(() => this.restoreMissing(nowMs));
      return;
    }
    const present = new Set(listing.value.records.map(({ key }) => key));
    const missing = [view.ownReport, ...view.alive(nowMs)]
      .filter(({ address }) => !present.has(MEMBER_PREFIX + address));
    const written = await Promise.all(
      missing.map((report) =>
        this.writeAddress(report).mapErr((cause) =>
          this.logFailure("members.restore", cause)
        )
      ),
    );
    if (written.some((result) => result.isErr())) {
      this.retryLater(() => this.restoreMissing(nowMs));
    }
  }

  /**
   * Lists all records of bamboolink, and those of the operators with them. Daemons register before they list, so of two
   * that start together at least one finds the other. Later they learn of each other by gossip, so the store is not
   * watched.
   */
  private async listRecords(): Promise<void> {
    const { store, operatorPrefix, onListed } = this.context;
    const sentAtMs = bootMs();
    const listings = await store.listAll([ROOT_PREFIX, operatorPrefix]);
    listings.match(
      ([own, operators]) => {
        const records = own?.records ?? [];
        this.resolveOperatorListing(operators);
        this.handleRecords(records);
        onListed({ sentAtMs, records });
      },
      (cause) => {
        this.logFailure("members.list", cause);
        this.resolveOperatorListing(undefined);
        this.retryLater(() => this.listRecords());
      },
    );
  }

  private handleRecords(records: readonly StoredRecord[]): void {
    const { onRecord } = this.context;
    records.forEach((record) =>
      record.key.startsWith(MEMBER_PREFIX)
        ? this.addMember(record.key.slice(MEMBER_PREFIX.length))
        : onRecord(record)
    );
  }

  private addMember(address: string): void {
    const { view, logger } = this.context;
    if (isAddress(address)) {
      view.addAddress(address);
    } else {
      logger.log("member_unreadable", { address });
    }
  }

  private retryLater(task: () => Promise<void>): void {
    if (!this.isStopped) {
      this.timer = setTimeout(() => void task(), RETRY_DELAY_MS);
    }
  }

  private async register(): Promise<void> {
    const written = await this.registration.register("start");
    if (written.isErr()) {
      this.resolveOperatorListing(undefined);
      this.retryLater(() => this.register());
      return;
    }
    this.context.onRegistered(written.value);
    await this.listRecords();
  }

  private writeAddress(
    report: MemberReport,
  ): ResultAsync<number, BamboolinkError> {
    const expectedRevision = 0;
    return this.context.store.compareAndSwap({
      ...this.toRecord(report),
      expectedRevision,
    });
  }

  private toRecord(
    { address, availabilityZone }: MemberReport,
  ): { key: string; value: string } {
    return {
      key: MEMBER_PREFIX + address,
      value: JSON.stringify({ availability_zone: availabilityZone }),
    };
  }

  private logFailure(step: string, cause: BamboolinkError): void {
    this.context.logger.log("store_call_failed", { step, cause });
  }
}
