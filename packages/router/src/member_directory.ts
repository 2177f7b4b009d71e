/**
 * Finds the other daemons through the store: each leaves its address there when it starts.
 *
 * @module
 */
import type { Logger } from "@bamboolink/logger";
import type { MemberView } from "@bamboolink/membership";
import type { Store, StoredRecord } from "@bamboolink/store";
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
   * Reads what others have left. Daemons register before they read, so of two that start together one
   * finds the other; from then on they hear of each other by gossip, and the store is not watched.
   */
  private async read(): Promise<void> {
    const { store, logger, onRecord } = this.context;
    const listing = await store.list(PRODUCT_PREFIX);
    listing.match(
      ({ records }) =>
        records.forEach((record) =>
          record.key.startsWith(MEMBER_PREFIX)
            ? this.name(record.key.slice(MEMBER_PREFIX.length))
            : onRecord(record)
        ),
      (cause) => {
        logger.log("store_call_failed", { step: "members.list", cause });
        this.later(() => this.read());
      },
    );
  }

  private name(address: string): void {
    const { view, logger } = this.context;
    if (isAddress(address)) {
      view.name(address);
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
   */
  private async register(): Promise<void> {
    const { store, view, logger, onRegistered } = this.context;
    const { address, availabilityZone } = view.ownReport;
    const key = MEMBER_PREFIX + address;
    const written = await store.get(key).andThen((found) =>
      store.compareAndSwap({
        key,
        value: JSON.stringify({ availability_zone: availabilityZone }),
        expectedRevision: found?.revision ?? 0,
      })
    );
    written.match(
      (revision) => {
        logger.log("member_registered", { address, revision });
        onRegistered(revision);
        void this.read();
      },
      (cause) => {
        logger.log("store_call_failed", { step: "register", cause });
        this.later(() => this.register());
      },
    );
  }
}
