/**
 * The registration of this process in the store, which also guards its writes.
 *
 * A write without a response may take effect seconds later. Before it sends a write that gives keys away, a daemon makes
 * sure that its backend server no longer holds them, but only the process that sent the write remembers this: the next
 * process of the daemon would read a record in which the keys are still its own, and grant them again, until the write
 * takes effect and another backend server holds them, too. So all changes of ownership depend on the revision of the
 * registration, and a new registration invalidates those of earlier processes.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { BamboolinkError } from "@bamboolink/errors";
import type { Logger } from "@bamboolink/logger";
import type { Store, WriteGuard } from "@bamboolink/store";
import type { Result } from "neverthrow";

/** Pause between two attempts to renew the registration, in milliseconds. */
const RETRY_DELAY_MS = 500;

/** Why a daemon registers: it has started, its backend server belongs to another service, or its record has changed. */
export type RegistrationCause = "start" | "service_changed" | "superseded";

/** Dependencies of the registration. */
export interface RegistrationContext {
  readonly store: Store;
  readonly logger: Logger;
  /** The address of this daemon. */
  readonly address: string;
  /** The record that registers this daemon. */
  readonly record: { readonly key: string; readonly value: string };
}

/** Registers this process, and again when its earlier writes must not take effect any more. */
export class Registration {
  private registeredRevision: number | undefined;
  private lastRenewal: Promise<unknown> = Promise.resolve();
  private queuedRenewal: Promise<boolean> | undefined;
  private isStopped = false;

  private constructor(private readonly context: RegistrationContext) {}

  /** Creates the registration of a process that has not registered yet. */
  static create(context: RegistrationContext): Registration {
    return new Registration(context);
  }

  /** The condition under which writes of this process take effect; `undefined` before it has registered. */
  get guard(): WriteGuard | undefined {
    return this.registeredRevision === undefined ? undefined : {
      key: this.context.record.key,
      revision: this.registeredRevision,
    };
  }

  /**
   * Registers by one write, which is made even if the record exists: the revision of the write is higher than any that an
   * earlier process of this daemon has read.
   */
  async register(
    cause: RegistrationCause,
  ): Promise<Result<number, BamboolinkError>> {
    const { store, logger, address, record } = this.context;
    const written = await store.overwrite(record);
    written.match(
      (revision) => {
        this.registeredRevision = Math.max(
          this.registeredRevision ?? 0,
          revision,
        );
        logger.log("member_registered", { address, revision, cause });
      },
      (error) =>
        logger.log("store_call_failed", { step: "register", cause: error }),
    );
    return written;
  }

  /**
   * Registers again, with retries, by a write that is sent after this call.
   *
   * @returns whether that has succeeded; false if the registration was stopped before.
   */
  renew(cause: RegistrationCause): Promise<boolean> {
    this.queuedRenewal ??= this.lastRenewal.then(() => {
      this.queuedRenewal = undefined;
      return this.registerWithRetries(cause);
    });
    this.lastRenewal = this.queuedRenewal;
    return this.queuedRenewal;
  }

  /** Registers again, unless that has been done since a write with this guard was sent. */
  async replaceGuard(superseded: WriteGuard): Promise<void> {
    if (this.guard?.revision === superseded.revision) {
      await this.renew("superseded");
    }
  }

  /** Ends all retries. */
  stop(): void {
    this.isStopped = true;
  }

  private async registerWithRetries(
    cause: RegistrationCause,
  ): Promise<boolean> {
    while (!this.isStopped) {
      const written = await this.register(cause);
      if (written.isOk()) {
        return true;
      }
      await sleep(RETRY_DELAY_MS, undefined, { ref: false });
    }
    return false;
  }
}
