/**
 * Discovers other daemons through the store, in which each daemon registers its address when it starts.
 *
 * @module
 */
import type { BamboolinkError } from "@bamboolink/errors";
import type { Logger } from "@bamboolink/logger";
import type { MemberReport, MemberView } from "@bamboolink/membership";
import type { Store, StoredRecord } from "@bamboolink/store";
import type { Result, ResultAsync } from "neverthrow";
import { isAddress } from "./gossip_node.ts";

/** Prefix of all records of bamboolink. */
const ROOT_PREFIX = "bamboolink/";
/** Prefix of the records that hold the daemons' addresses. */
const MEMBER_PREFIX = "bamboolink/members/";
const RETRY_DELAY_MS = 500;

/** Dependencies of the directory. */
export interface MemberDirectoryContext {
  readonly store: Store;
  readonly view: MemberView;
  readonly logger: Logger;
  /** Called with the store revision of the registration. */
  readonly onRegistered: (revision: number) => void;
  /** Called with each record of bamboolink that is not a daemon's address. */
  readonly onRecord: (record: StoredRecord) => void;
}

/** Registers this daemon and reads the addresses of the others. */
export class MemberDirectory {
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;

  private constructor(private readonly context: MemberDirectoryContext) {}

  /** Creates a directory that has not registered yet. */
  static create(context: MemberDirectoryContext): MemberDirectory {
    return new MemberDirectory(context);
  }

  /** Starts to register this daemon, with retries until it succeeds. */
  start(): void {
    void this.register();
  }

  /** Cancels retries. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
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
        this.writeAddress(0, report).mapErr((cause) =>
          this.logFailure("members.restore", cause)
        )
      ),
    );
    if (written.some((result) => result.isErr())) {
      this.retryLater(() => this.restoreMissing(nowMs));
    }
  }

  /**
   * Lists all records of bamboolink. Daemons register before they list, so of two that start together at least one
   * finds the other. Later they learn of each other by gossip, so the store is not watched.
   */
  private async listRecords(): Promise<void> {
    const listing = await this.context.store.list(ROOT_PREFIX);
    listing.match(
      ({ records }) => this.handleRecords(records),
      (cause) => {
        this.logFailure("members.list", cause);
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

  /**
   * Writes this daemon's address. This is done at each start, even if the record exists, because the revision of the
   * write is higher than any that an earlier process of this daemon has read.
   *
   * Most starts in a fleet are first starts, so the record is assumed not to exist, which saves a read for each of
   * them.
   */
  private async register(): Promise<void> {
    const written = await this.writeAddress(0);
    if (written.isErr() && written.error.code === "conflict") {
      await this.reregister();
      return;
    }
    this.finishRegistration(written, { hasListed: false });
  }

  /**
   * Rewrites the address that an earlier process has registered. Others can find this daemon already, and the
   * listing that returns the current revision also returns their addresses. While this daemon can't
   * reach the store, it can't list, but another daemon can read a single record for it.
   */
  private async reregister(): Promise<void> {
    const { store } = this.context;
    const listing = await store.list(ROOT_PREFIX);
    if (listing.isErr()) {
      const written = await store.get(this.ownKey)
        .andThen((found) => this.writeAddress(found?.revision ?? 0));
      this.finishRegistration(written, { hasListed: false });
      return;
    }
    const { records } = listing.value;
    this.handleRecords(records);
    const ownRecord = records.find(({ key }) => key === this.ownKey);
    this.finishRegistration(await this.writeAddress(ownRecord?.revision ?? 0), {
      hasListed: true,
    });
  }

  private get ownKey(): string {
    return MEMBER_PREFIX + this.context.view.ownReport.address;
  }

  private writeAddress(
    expectedRevision: number,
    { address, availabilityZone }: MemberReport = this.context.view.ownReport,
  ): ResultAsync<number, BamboolinkError> {
    return this.context.store.compareAndSwap({
      key: MEMBER_PREFIX + address,
      value: JSON.stringify({ availability_zone: availabilityZone }),
      expectedRevision,
    });
  }

  private finishRegistration(
    written: Result<number, BamboolinkError>,
    { hasListed }: { hasListed: boolean },
  ): void {
    const { logger, view, onRegistered } = this.context;
    const { address } = view.ownReport;
    if (written.isErr()) {
      this.logFailure("register", written.error);
      this.retryLater(() => this.register());
      return;
    }
    logger.log("member_registered", { address, revision: written.value });
    onRegistered(written.value);
    if (!hasListed) {
      void this.listRecords();
    }
  }

  private logFailure(step: string, cause: BamboolinkError): void {
    this.context.logger.log("store_call_failed", { step, cause });
  }
}
