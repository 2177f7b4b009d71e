/**
 * Renews the ownership lease of this daemon, its right to grant its keys: by reads of the record, or by promises of the
 * arbiters while the record can't be read.
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
import { bootMs } from "../clock.ts";
import type { RecordInspector } from "./record_inspector.ts";
import type { SharedReadRequest, SharedReadResponse } from "./shared_reader.ts";
import {
  OWNERSHIP_PREFIX,
  type OwnershipDirectory,
} from "./ownership_directory.ts";

/**
 * Interval between reads of the record while keys are to be released to others as soon as the store is back, in
 * milliseconds; otherwise it is `CONFIRM_INTERVAL_MS`.
 */
const RELEASE_CONFIRM_INTERVAL_MS = 400;
/**
 * Keys are moved only if the record was read within this time, in milliseconds: keys that are released while the store
 * can't be written have no owner until it can.
 */
const MAX_MOVE_CONFIRMATION_AGE_MS = 2 * CONFIRM_INTERVAL_MS;
/**
 * Promises are requested from the arbiters once the lease has not been confirmed for this time, in milliseconds: by
 * then a read, which is due every 1.5 s and may be delayed by 0.6 s for batching, has failed.
 */
const PROMISE_REQUEST_DELAY_MS = 2_400;
/** Interval between requests for promises, in milliseconds; a promise is valid for 2.5 s. */
const PROMISE_REQUEST_INTERVAL_MS = 500;
/** Timeout of the read before keys are released, in milliseconds; a read typically takes 4 ms. */
const STORE_READ_TIMEOUT_MS = 400;

/**
 * An owner reads the store itself if the shared reader has not responded within this time, in milliseconds: the shared
 * reader collects requests for up to 600 ms, and a read takes a few milliseconds.
 */
const SHARED_READ_TIMEOUT_MS = 800;

/** An older listing of the start, in milliseconds, no longer confirms the lease: it would expire soon. */
const MAX_START_READ_AGE_MS = 2_500;

/** The listing of a daemon that starts. */
export interface StartRead {
  /** The daemon's clock before the listing was sent, in milliseconds. */
  readonly sentAtMs: number;
  /** Revisions of the ownership records, by service. */
  readonly revisions: ReadonlyMap<string, number>;
}

/** A request to an arbiter for its promise. */
export interface LeasePromiseRequest {
  readonly service: string;
  /** The requester's clock in milliseconds; returned with the promise. */
  readonly askedAtMs: number;
  /** Revision of the record by which the lease was last confirmed. */
  readonly confirmedRevision: number;
}

/** Dependencies of the ownership lease manager. */
export interface OwnershipLeaseManagerContext {
  readonly store: Store;
  readonly logger: Logger;
  readonly directory: OwnershipDirectory;
  readonly inspector: RecordInspector;
  readonly lease: OwnershipLease;
  readonly grants: GrantTracker;
  readonly random: () => number;
  /** Address of this daemon. */
  readonly ownAddress: () => string;
  /** The service of the backend server on this host, if its keys have owners. */
  readonly ownService: () => string | undefined;
  /** Address of the shared reader, the daemon that reads the store for all owners, if there is one. */
  readonly findReader: () => string | undefined;
  /** Requests a read of the record from the shared reader. */
  readonly onSharedReadNeeded: (
    reader: string,
    request: SharedReadRequest,
  ) => void;
  /** Whether keys of the backend server on this host are to be assigned to others. */
  readonly mustReleaseKeys: () => boolean;
  /** Called after each successful read of the record of this daemon's service. */
  readonly onRecordRead: (service: string) => void;
  /** Called when the record shows that this daemon is sealed. */
  readonly onSealed: (service: string) => void;
  /** Requests a promise from an arbiter, which returns the timestamp of the request with it. */
  readonly onPromiseNeeded: (
    arbiter: string,
    request: LeasePromiseRequest,
  ) => void;
}

/** Renews the ownership lease of the backend server on this host. */
export class OwnershipLeaseManager {
  private readonly confirmationSchedule: ConfirmationSchedule;
  /** When a read was requested from the shared reader, while its response is awaited. */
  private sharedReadRequestedAtMs: number | undefined;
  private promisesRequestedAtMs = -Infinity;
  private isReadingDirectly = false;
  private dependsOnPromises = false;
  private startRead: StartRead | undefined;

  private constructor(private readonly context: OwnershipLeaseManagerContext) {
    this.confirmationSchedule = ConfirmationSchedule.create(context.random);
  }

  static create(context: OwnershipLeaseManagerContext): OwnershipLeaseManager {
    return new OwnershipLeaseManager(context);
  }

  /** Runs the due steps; called by the control loop. */
  tick(): void {
    const service = this.context.ownService();
    if (service === undefined) {
      this.dependsOnPromises = false;
      return;
    }
    this.confirm(service);
    this.handleSharedReadTimeout(service);
    this.requestPromises(service);
  }

  /**
   * Handles a response of the shared reader, which read the store after the request had arrived. A revision that is not
   * higher than the known record's proves that the known record was in force after the request; a higher one means that
   * there is a newer record, which is then read.
   */
  onSharedRead({ service, askedAtMs, revision }: SharedReadResponse): void {
    const record = this.context.directory.record(service);
    if (service !== this.context.ownService() || record === undefined) {
      return;
    }
    this.sharedReadRequestedAtMs = undefined;
    this.confirmationSchedule.recordSharedRead(bootMs());
    if (record.revision < revision) {
      void this.read(service, bootMs());
      return;
    }
    this.context.onRecordRead(service);
    this.confirmByRecord(service, record, askedAtMs);
  }

  /**
   * Records the listing that a daemon makes when it starts. It is a read of all records, sent after the registration,
   * so it confirms the lease as any other read does.
   */
  recordStartRead(read: StartRead): void {
    this.startRead = read;
  }

  /**
   * Confirms the lease by the listing at the start, as soon as the service of the backend server is known. Without it,
   * the first heartbeat gets no grant, since the service is known only by then, and keys have no holder for another
   * heartbeat's interval.
   */
  applyStartRead(service: string): void {
    const { startRead } = this;
    const revision = startRead?.revisions.get(service);
    if (startRead === undefined || service !== this.context.ownService()) {
      return;
    }
    this.startRead = undefined;
    const isRecent = bootMs() - startRead.sentAtMs < MAX_START_READ_AGE_MS;
    if (isRecent && revision !== undefined) {
      this.onSharedRead({ service, askedAtMs: startRead.sentAtMs, revision });
    }
  }

  /** Whether a move of keys that begins now can probably be written to the store, and the record allows it. */
  canMoveKeys(): boolean {
    return this.context.lease.confirmationAgeMs(bootMs()) <
        MAX_MOVE_CONFIRMATION_AGE_MS &&
      !this.isRestored;
  }

  /** Whether the record was restored, so that no keys may be assigned yet: others may hold them by a lost record. */
  private get isRestored(): boolean {
    const service = this.context.ownService();
    return service !== undefined &&
      this.context.directory.record(service)?.isRestored === true;
  }

  /**
   * Checks by a read, just before keys are released, that the store is reachable and that the record allows keys to be
   * assigned. Without it, keys that are released in the seconds before an outage is detected would have no owner until
   * the outage has ended.
   */
  async confirmKeysMovable(service: string): Promise<boolean> {
    const sentAtMs = bootMs();
    if (this.context.findReader() === undefined) {
      // This read also confirms the lease, so the interval to the next one starts now.
      this.confirmationSchedule.recordSent(sentAtMs);
    }
    const read = this.read(service, sentAtMs);
    await Promise.race([
      read,
      sleep(STORE_READ_TIMEOUT_MS, undefined, { ref: false }),
    ]);
    return this.context.lease.confirmationAgeMs(sentAtMs) <= 0 &&
      !this.isRestored;
  }

  /**
   * Confirms the lease by a read of the record, which proves that no takeover of this daemon's keys can have finished.
   */
  private confirm(service: string): void {
    const nowMs = bootMs();
    const mustRelease = this.context.mustReleaseKeys() && !this.canMoveKeys();
    const intervalMs = mustRelease ? RELEASE_CONFIRM_INTERVAL_MS : undefined;
    if (
      !this.confirmationSchedule.isDue(nowMs, intervalMs) ||
      this.isReadingDirectly || !this.context.lease.isFenced
    ) {
      return;
    }
    this.confirmationSchedule.recordSent(nowMs);
    const reader = mustRelease ? undefined : this.context.findReader();
    if (reader === undefined) {
      this.readDirectly(service, nowMs);
      return;
    }
    this.sharedReadRequestedAtMs = nowMs;
    this.context.onSharedReadNeeded(reader, { service, askedAtMs: nowMs });
  }

  private handleSharedReadTimeout(service: string): void {
    const nowMs = bootMs();
    if (
      nowMs - (this.sharedReadRequestedAtMs ?? Infinity) >
        SHARED_READ_TIMEOUT_MS
    ) {
      this.sharedReadRequestedAtMs = undefined;
      this.readDirectly(service, nowMs);
    }
  }

  private readDirectly(service: string, nowMs: number): void {
    this.isReadingDirectly = true;
    void this.read(service, nowMs).finally(() => {
      this.isReadingDirectly = false;
    });
  }

  private async read(service: string, sentAtMs: number): Promise<void> {
    const { store, directory, inspector, logger, onRecordRead } = this.context;
    const found = await store.get(OWNERSHIP_PREFIX + service);
    if (found.isErr()) {
      logger.log("store_call_failed", { step: "tenure", cause: found.error });
      return;
    }
    const record = inspector.inspect(service, found.value);
    if (record === undefined) {
      // Confirms nothing, since a record with other owners may be written at any time.
      return;
    }
    directory.updateRecord(service, record);
    onRecordRead(service);
    this.confirmByRecord(service, record, sentAtMs);
  }

  /** Confirms the lease by a record that was in force at some time after `requestedAtMs`, or handles its seal. */
  private confirmByRecord(
    service: string,
    record: OwnershipRecord,
    requestedAtMs: number,
  ): void {
    const { logger, lease, grants, ownAddress, onSealed } = this.context;
    if (this.context.ownService() !== service) {
      // The backend server was replaced by one of another service while the read was in flight.
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
      lease.confirm(requestedAtMs, record);
      return;
    }
    logger.log("ownership_sealed_here", {
      service,
      revision: record.revision,
      tenure_left_ms: Math.round(lease.expiresAtMs - bootMs()),
    });
    onSealed(service);
  }

  /** While the store can't be read, the lease stays valid as long as all arbiters promise not to take over. */
  private requestPromises(service: string): void {
    const { lease, logger, onPromiseNeeded } = this.context;
    const nowMs = bootMs();
    const confirmationAgeMs = lease.confirmationAgeMs(nowMs);
    if (confirmationAgeMs <= PROMISE_REQUEST_DELAY_MS) {
      this.dependsOnPromises = false;
      return;
    }
    if (nowMs - this.promisesRequestedAtMs < PROMISE_REQUEST_INTERVAL_MS) {
      return;
    }
    this.promisesRequestedAtMs = nowMs;
    if (!this.dependsOnPromises) {
      this.dependsOnPromises = true;
      logger.log("tenure_on_promises", {
        service,
        confirmed_for_ms: Math.round(confirmationAgeMs),
        arbiters: lease.arbiters.map(({ daemon }) => daemon),
      });
    }
    const request = {
      service,
      askedAtMs: nowMs,
      confirmedRevision: lease.confirmedRevision,
    };
    lease.arbiters.forEach(({ daemon }) => onPromiseNeeded(daemon, request));
  }
}
