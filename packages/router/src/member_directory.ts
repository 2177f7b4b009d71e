/**
 * Finds the other daemons through the store: each leaves its address there when it starts.
 *
 * @module
 */
import type { BamboolinkError } from "@bamboolink/errors";
import type { Logger } from "@bamboolink/logger";
import type { MemberReport, MemberView } from "@bamboolink/membership";
import type { Store, StoredRecord } from "@bamboolink/store";
import type { Result, ResultAsync } from "neverthrow";
import { isAddress } from "./gossip_node.ts";

/** All records of the product lie below this. */
const PRODUCT_PREFIX = "bamboolink/";
/** Addresses of all daemons lie below this. */
const MEMBER_PREFIX = "bamboolink/members/";
/** Pause between two tries to register, in milliseconds. */
const RETRY_MS = 500;

/** What the directory needs. */
export interface MemberDirectoryContext {
  readonly store: Store;
  readonly view: MemberView;
  readonly logger: Logger;
  /** Called with the revision of the store at which the registration was written. */
  readonly onRegistered: (revision: number) => void;
  /** Called with each record of the product that is not an address. */
  readonly onRecord: (record: StoredRecord) => void;
}

/** The addresses of the daemons. */
export class MemberDirectory {
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;

  private constructor(private readonly context: MemberDirectoryContext) {}

  /** Creates a directory. */
  static create(context: MemberDirectoryContext): MemberDirectory {
    return new MemberDirectory(context);
  }

  /** Begins to register the own daemon. */
  start(): void {
    void this.register();
  }

  /** Stops trying. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  /**
   * Writes the addresses of living daemons again that a store has lost which came back from an older copy. Without them a
   * daemon that starts would not find those, and they would not find each other once all have started again.
   */
  async restoreMissing(nowMs: number): Promise<void> {
    const { store, view } = this.context;
    const listing = await store.list(MEMBER_PREFIX);
    if (listing.isErr()) {
      this.logFailure("members.restore", listing.error);
      this.later(() => this.restoreMissing(nowMs));
      return;
    }
    const present = new Set(listing.value.records.map(({ key }) => key));
    const lost = [view.ownReport, ...view.alive(nowMs)]
      .filter(({ address }) => !present.has(MEMBER_PREFIX + address));
    const written = await Promise.all(
      lost.map((report) =>
        this.write(0, report).mapErr((cause) =>
          this.logFailure("members.restore", cause)
        )
      ),
    );
    if (written.some((result) => result.isErr())) {
      this.later(() => this.restoreMissing(nowMs));
    }
  }

  /**
   * Reads what others have left. Daemons register before they read, so of two that start together one
   * finds the other; from then on they hear of each other by gossip, and the store is not watched.
   */
  private async read(): Promise<void> {
    const listing = await this.context.store.list(PRODUCT_PREFIX);
    listing.match(
      ({ records }) => this.take(records),
      (cause) => {
        this.logFailure("members.list", cause);
        this.later(() => this.read());
      },
    );
  }

  private take(records: readonly StoredRecord[]): void {
    const { onRecord } = this.context;
    records.forEach((record) =>
      record.key.startsWith(MEMBER_PREFIX)
        ? this.name(record.key.slice(MEMBER_PREFIX.length))
        : onRecord(record)
    );
  }

  private name(address: string): void {
    const { view, logger } = this.context;
    if (isAddress(address)) {
      view.addAddress(address);
    } else {
      logger.log("member_unreadable", { address });
    }
  }

  private later(step: () => Promise<void>): void {
    if (!this.isStopped) {
      this.timer = setTimeout(() => void step(), RETRY_MS);
    }
  }

  /**
   * Writes the own address. It is written at each start, also when it is there already: the revision
   * of the write is higher than any that an earlier process of this daemon has seen.
   *
   * Most starts of a fleet are first ones, so the address is taken for new, which saves a read for each of them.
   */
  private async register(): Promise<void> {
    const written = await this.write(0);
    if (written.isErr() && written.error.code === "conflict") {
      await this.registerAgain();
      return;
    }
    this.finish(written, { hasRead: false });
  }

  /**
   * The address is there from an earlier process, so others find this daemon already; what is read to write it again
   * tells of them, too. While the store turns this daemon away, it can't list, but others read a single record for it.
   */
  private async registerAgain(): Promise<void> {
    const { store } = this.context;
    const listing = await store.list(PRODUCT_PREFIX);
    if (listing.isErr()) {
      const written = await store.get(this.ownKey)
        .andThen((found) => this.write(found?.revision ?? 0));
      this.finish(written, { hasRead: false });
      return;
    }
    const { records } = listing.value;
    this.take(records);
    const own = records.find(({ key }) => key === this.ownKey);
    this.finish(await this.write(own?.revision ?? 0), { hasRead: true });
  }

  private get ownKey(): string {
    return MEMBER_PREFIX + this.context.view.ownReport.address;
  }

  private write(
    expectedRevision: number,
    { address, availabilityZone }: MemberReport = this.context.view.ownReport,
  ): ResultAsync<number, BamboolinkError> {
    return this.context.store.compareAndSwap({
      key: MEMBER_PREFIX + address,
      value: JSON.stringify({ availability_zone: availabilityZone }),
      expectedRevision,
    });
  }

  private finish(
    written: Result<number, BamboolinkError>,
    { hasRead }: { hasRead: boolean },
  ): void {
    const { logger, view, onRegistered } = this.context;
    const { address } = view.ownReport;
    if (written.isErr()) {
      this.logFailure("register", written.error);
      this.later(() => this.register());
      return;
    }
    logger.log("member_registered", { address, revision: written.value });
    onRegistered(written.value);
    if (!hasRead) {
      void this.read();
    }
  }

  private logFailure(step: string, cause: BamboolinkError): void {
    this.context.logger.log("store_call_failed", { step, cause });
  }
}
