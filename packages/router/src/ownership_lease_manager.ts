/**
 * Extends the right of this daemon to grant its keys: by reads of the record, and by the promises of the arbiters
 * while it can't be read.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
  CONFIRM_INTERVAL_MS,
  ConfirmationSchedule,
  type GrantTracker,
  type OwnershipLease,
  type OwnershipRecord,
} from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import type { Store } from "@bamboolink/store";
import { bootMs } from "./clock.ts";
import type { RecordInspector } from "./record_inspector.ts";
import type { SharedReadRequest, SharedReadResponse } from "./shared_reader.ts";
import {
  OWNERSHIP_PREFIX,
  type OwnershipDirectory,
} from "./ownership_directory.ts";

/** The same while keys wait to be given to others until the store is back, in milliseconds. */
const CONFIRM_LEAVING_MS = 400;
/**
 * Keys are moved only while the record was read within this time, in milliseconds. What is given up while
 * the store can't be written has no owner until it can.
 */
const MOVABLE_MS = 2 * CONFIRM_INTERVAL_MS;
/**
 * A tenure that was not confirmed for so long depends on the promises of the arbiters soon, in milliseconds: a
 * read that is due every 1.5 s, and may be gathered for 0.6 s, has failed.
 */
const ASK_AFTER_MS = 2_400;
/** Time between two questions for a promise, in milliseconds; one holds for 2.5 s. */
const ASK_MS = 500;
/** How long the store may take to answer before keys are given up, in milliseconds; usually it takes 4. */
const PROBE_MS = 400;

/**
 * An owner reads for itself if the daemon that reads for all has not answered for so long, in milliseconds: it
 * gathers questions for 600, and the store takes a few.
 */
const SHARED_READ_MS = 800;

/** What an arbiter is asked. */
export interface LeasePromiseRequest {
  readonly service: string;
  /** The own clock, in milliseconds; comes back with the promise. */
  readonly askedAtMs: number;
  /** Revision of the record by which the tenure was last confirmed. */
  readonly confirmedRevision: number;
}

/** What the keeper needs. */
export interface OwnershipLeaseManagerContext {
  readonly store: Store;
  readonly logger: Logger;
  readonly directory: OwnershipDirectory;
  readonly inspector: RecordInspector;
  readonly lease: OwnershipLease;
  readonly grants: GrantTracker;
  readonly random: () => number;
  /** The own daemon's address. */
  readonly ownAddress: () => string;
  /** The service of which the backend server here owns keys, if it is of such a service. */
  readonly ownService: () => string | undefined;
  /** The daemon that reads for all owners, if there is one. */
  readonly findReader: () => string | undefined;
  /** Asks the daemon that reads for all what the store holds. */
  readonly onSharedReadNeeded: (
    reader: string,
    question: SharedReadRequest,
  ) => void;
  /** Whether keys wait to be given to others. */
  readonly isReleasingKeys: () => boolean;
  /** Called with each read of the own service's record. */
  readonly onRead: (service: string) => void;
  /** Called when the own daemon is found to be sealed. */
  readonly onSealed: (service: string) => void;
  /** Asks an arbiter for its promise; the daemon's clock comes back with it. */
  readonly onPromiseNeeded: (
    arbiter: string,
    question: LeasePromiseRequest,
  ) => void;
}

/** Keeps the tenure of the backend server on this host. */
export class OwnershipLeaseManager {
  private readonly turns: ConfirmationSchedule;
  /** When the daemon that reads for all was asked, if its answer is still awaited. */
  private sharedAskedMs: number | undefined;
  private askedAtMs = -Infinity;
  private isConfirming = false;
  private isOnPromises = false;

  private constructor(private readonly context: OwnershipLeaseManagerContext) {
    this.turns = ConfirmationSchedule.create(context.random);
  }

  /** Creates a keeper. */
  static create(context: OwnershipLeaseManagerContext): OwnershipLeaseManager {
    return new OwnershipLeaseManager(context);
  }

  /** Does what is due. */
  tick(): void {
    const service = this.context.ownService();
    if (service === undefined) {
      this.isOnPromises = false;
      return;
    }
    this.confirm(service);
    this.missSharedRead(service);
    this.askPromises(service);
  }

  /**
   * Takes what the daemon that reads for all has found after it was asked. An answer with the revision of the known
   * record, or of an earlier one, says that the known record was in force after the question; one with a later
   * revision says that there is news.
   */
  onSharedRead({ service, askedAtMs, revision }: SharedReadResponse): void {
    const record = this.context.directory.record(service);
    if (service !== this.context.ownService() || record === undefined) {
      return;
    }
    this.sharedAskedMs = undefined;
    this.turns.recordSharedRead(bootMs());
    if (record.revision < revision) {
      void this.read(service, bootMs());
      return;
    }
    this.context.onRead(service);
    this.confirmBy(service, record, askedAtMs);
  }

  /** Whether a move that begins now can be written, as far as that is known. */
  isMovable(): boolean {
    return this.context.lease.confirmationAgeMs(bootMs()) < MOVABLE_MS &&
      !this.isRestored;
  }

  /** Whether nobody is given keys for now, since the store has lost who else may hold them. */
  private get isRestored(): boolean {
    const service = this.context.ownService();
    return service !== undefined &&
      this.context.directory.record(service)?.isRestored === true;
  }

  /**
   * Asks the store just before keys are given up. Keys that were given up in the seconds before an outage was
   * noticed had no owner until its end.
   */
  async reachesStore(service: string): Promise<boolean> {
    const sentAtMs = bootMs();
    if (this.context.findReader() === undefined) {
      // It confirms the tenure, too, so the next read for that need not come sooner than after this one.
      this.turns.recordSent(sentAtMs);
    }
    const read = this.read(service, sentAtMs);
    await Promise.race([read, sleep(PROBE_MS, undefined, { ref: false })]);
    return this.context.lease.confirmationAgeMs(sentAtMs) <= 0 &&
      !this.isRestored;
  }

  /** Reads the record to prove that no takeover of this daemon can have finished. */
  private confirm(service: string): void {
    const nowMs = bootMs();
    const hasToGiveUp = this.context.isReleasingKeys() && !this.isMovable();
    const pauseMs = hasToGiveUp ? CONFIRM_LEAVING_MS : undefined;
    if (!this.turns.isDue(nowMs, pauseMs) || this.isConfirming) {
      return;
    }
    this.turns.recordSent(nowMs);
    const reader = hasToGiveUp ? undefined : this.context.findReader();
    if (reader === undefined) {
      this.readAlone(service, nowMs);
      return;
    }
    this.sharedAskedMs = nowMs;
    this.context.onSharedReadNeeded(reader, { service, askedAtMs: nowMs });
  }

  private missSharedRead(service: string): void {
    const nowMs = bootMs();
    if (nowMs - (this.sharedAskedMs ?? Infinity) > SHARED_READ_MS) {
      this.sharedAskedMs = undefined;
      this.readAlone(service, nowMs);
    }
  }

  private readAlone(service: string, nowMs: number): void {
    this.isConfirming = true;
    void this.read(service, nowMs).finally(() => {
      this.isConfirming = false;
    });
  }

  private async read(service: string, sentAtMs: number): Promise<void> {
    const { store, directory, inspector, logger, onRead } = this.context;
    const found = await store.get(OWNERSHIP_PREFIX + service);
    if (found.isErr()) {
      logger.log("store_call_failed", { step: "tenure", cause: found.error });
      return;
    }
    const record = inspector.inspect(service, found.value);
    if (record === undefined) {
      // Nothing is confirmed: the next record may name other owners at any moment.
      return;
    }
    directory.updateRecord(service, record);
    onRead(service);
    this.confirmBy(service, record, sentAtMs);
  }

  /** The record was in force at a time after `sinceMs`. */
  private confirmBy(
    service: string,
    record: OwnershipRecord,
    sinceMs: number,
  ): void {
    const { logger, lease, grants, ownAddress, onSealed } = this.context;
    if (this.context.ownService() !== service) {
      // The backend server was replaced by one of another service while the read was under way.
      return;
    }
    if (!record.isSealed(ownAddress())) {
      if (!lease.mayConfirm(record, bootMs())) {
        return;
      }
      grants.recordConfirmation({
        revision: record.revision,
        hasExpired: lease.hasExpired(bootMs()),
      });
      lease.confirm(sinceMs, record);
      return;
    }
    logger.log("ownership_sealed_here", {
      service,
      revision: record.revision,
      tenure_left_ms: Math.round(lease.expiresAtMs - bootMs()),
    });
    onSealed(service);
  }

  /** While the store can't be read, the tenure goes on as long as all arbiters promise. */
  private askPromises(service: string): void {
    const { lease, logger, onPromiseNeeded } = this.context;
    const nowMs = bootMs();
    const confirmedForMs = lease.confirmationAgeMs(nowMs);
    if (confirmedForMs <= ASK_AFTER_MS) {
      this.isOnPromises = false;
      return;
    }
    if (nowMs - this.askedAtMs < ASK_MS) {
      return;
    }
    this.askedAtMs = nowMs;
    if (!this.isOnPromises) {
      this.isOnPromises = true;
      logger.log("tenure_on_promises", {
        service,
        confirmed_for_ms: Math.round(confirmedForMs),
        arbiters: lease.arbiters.map(({ daemon }) => daemon),
      });
    }
    const question = {
      service,
      askedAtMs: nowMs,
      confirmedRevision: lease.confirmedRevision,
    };
    lease.arbiters.forEach(({ daemon }) => onPromiseNeeded(daemon, question));
  }
}
