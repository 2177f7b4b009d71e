/**
 * Manages the keys of the backend server on this host: updates its grants from the ownership records, and reassigns the
 * keys that it has released.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
  assignUnowned,
  type Candidate,
  type GrantTracker,
  intersect,
  type KeyRange,
  type OwnershipLease,
  type OwnershipRecord,
  type PlannedMove,
  type PromiseRequest,
  type ReleasedRange,
} from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import type { MemberView } from "@bamboolink/membership";
import type { Store, StoredRecord } from "@bamboolink/store";
import type { BackendManager } from "../backend/backend_manager.ts";
import { bootMs, monotonicMs } from "../clock.ts";
import type { Registration } from "../members/registration.ts";
import type { HandoverCoordinator } from "./handover_coordinator.ts";
import { KeyRebalancer, type MoveTotals } from "./key_rebalancer.ts";
import { ForeignKeyReleaser } from "./foreign_key_releaser.ts";
import type { LocalBackend } from "../backend/local_backend.ts";
import {
  OWNERSHIP_PREFIX,
  type OwnershipDirectory,
} from "./ownership_directory.ts";
import { AssignmentManager, findCandidates } from "./assignment_manager.ts";
import type { RecordInspector } from "./record_inspector.ts";
import { RecordWriter } from "./record_writer.ts";
import type { SharedReadRequest, SharedReadResponse } from "./shared_reader.ts";
import {
  type LeasePromiseRequest,
  OwnershipLeaseManager,
} from "./ownership_lease_manager.ts";

/** After this time without a heartbeat, in milliseconds, keys whose grants have expired are released. */
const HEARTBEAT_TIMEOUT_MS = 3_000;

/**
 * Maximum delay of a heartbeat response for the first grant, in milliseconds; a backend server considers it lost after
 * a second.
 */
const MAX_FIRST_GRANT_DELAY_MS = 700;
/** Time after the start of the process in which responses are delayed for the first grant, in milliseconds. */
const FIRST_GRANT_PERIOD_MS = 4_000;
/** Interval of the checks whether keys may be granted, in milliseconds. */
const GRANT_CHECK_INTERVAL_MS = 20;

/** Ranges of this daemon in a record beyond which it is rewritten, if that makes them at most half as many. */
const MAX_RECORDED_RANGES = 32;

/** Dependencies of the ownership manager. */
export interface OwnershipManagerContext {
  readonly store: Store;
  readonly logger: Logger;
  readonly view: MemberView;
  readonly directory: OwnershipDirectory;
  readonly inspector: RecordInspector;
  readonly registration: Registration;
  readonly grants: GrantTracker;
  readonly lease: OwnershipLease;
  readonly backend: LocalBackend;
  readonly backendManager: () => BackendManager;
  readonly handoverCoordinator: HandoverCoordinator;
  readonly random: () => number;
  /** Announces a newer record to all daemons. */
  readonly onWritten: (service: string, record: OwnershipRecord) => void;
  /** Announces to a daemon the keys that are about to be moved to it. */
  readonly onMovesPlanned: (
    daemon: string,
    moves: readonly PlannedMove[],
  ) => void;
  /** Requests a read of the record from the shared reader, the one daemon that reads the store for all owners. */
  readonly onSharedReadNeeded: (
    reader: string,
    request: SharedReadRequest,
  ) => void;
  /** Requests a promise from an arbiter, which returns the timestamp of the request with it. */
  readonly onPromiseNeeded: (
    arbiter: string,
    request: LeasePromiseRequest,
  ) => void;
}

/** Keeps the grants, the ownership lease and the ownership records of one daemon up to date. */
export class OwnershipManager {
  private readonly writer: RecordWriter;
  private readonly leaseManager: OwnershipLeaseManager;
  private readonly rebalancer: KeyRebalancer;
  private readonly assignmentManager: AssignmentManager;
  private readonly foreignKeyReleaser: ForeignKeyReleaser;
  private readonly releasedRanges: ReleasedRange[] = [];
  private registrationRevision = 0;
  private hasStartListing = false;
  /** Number of times that the backend server's service has changed. */
  private serviceChanges = 0;

  private constructor(private readonly context: OwnershipManagerContext) {
    const ownService = () => this.ownService;
    this.writer = RecordWriter.create(context);
    this.leaseManager = OwnershipLeaseManager.create({
      ...context,
      ownService,
      ownAddress: () => this.ownAddress,
      findReader: () => this.assignmentManager.findReader(),
      mustReleaseKeys: () => this.mustReleaseKeys,
      onRecordRead: (service) => this.reapplyRecord(service),
      onSealed: (service) => this.handleSeal(service),
    });
    this.rebalancer = KeyRebalancer.create({
      ...context,
      leaseManager: this.leaseManager,
      ownService,
    });
    this.assignmentManager = AssignmentManager.create({
      ...context,
      writer: this.writer,
    });
    this.foreignKeyReleaser = ForeignKeyReleaser.create({
      directory: context.directory,
      writer: this.writer,
      ownAddress: () => this.ownAddress,
      runningService: () => this.provenService,
      findCandidates: (service) => this.candidatesFor(service),
    });
  }

  static create(context: OwnershipManagerContext): OwnershipManager {
    const manager = new OwnershipManager(context);
    context.directory.onRecord((service, record) =>
      manager.applyRecord(service, record)
    );
    return manager;
  }

  /**
   * Sets a revision of the store that was written by this process. It is the lower bound of the fencing tokens: no
   * earlier process of this daemon can have used a higher one.
   */
  onRegistered(revision: number): void {
    this.registrationRevision = revision;
    this.context.lease.recordFence(bootMs());
    this.assignmentManager.onRegistered(revision);
    this.context.directory.keyedServices.forEach((service) => {
      const record = this.context.directory.record(service);
      if (record !== undefined) {
        this.applyRecord(service, record);
      }
    });
  }

  /**
   * Handles a backend server of another service at the address. Writes in flight may release keys of that service: the
   * daemon sent them while a backend server of a third service was here, or has forgotten what it had released.
   * Registering again invalidates them; until then the lease is not confirmed.
   */
  onServiceChanged(): void {
    const { registration, lease } = this.context;
    this.serviceChanges += 1;
    const change = this.serviceChanges;
    void registration.renew("service_changed").then((isRenewed) => {
      if (isRenewed && change === this.serviceChanges) {
        lease.recordFence(bootMs());
      }
    });
  }

  /** Whether the daemon may grant keys of a service: it is registered and knows the service's record. */
  mayGrant(service: string): boolean {
    return this.registrationRevision > 0 &&
      this.context.directory.record(service) !== undefined;
  }

  /** Handles the listing that this daemon makes when it starts; `sentAtMs` is the boot clock before it was sent. */
  onStartListing(
    { sentAtMs, records }: {
      sentAtMs: number;
      records: readonly StoredRecord[];
    },
  ): void {
    this.hasStartListing = true;
    const owned = records.filter(({ key }) => key.startsWith(OWNERSHIP_PREFIX));
    this.leaseManager.recordStartRead({
      sentAtMs,
      revisions: new Map(owned.map(({ key, revision }) => [
        key.slice(OWNERSHIP_PREFIX.length),
        revision,
      ])),
    });
  }

  /**
   * Waits until the daemon may grant its keys of a service, if that is expected to be soon. The response to the next
   * heartbeat would grant them only a second later.
   *
   * @param delayedMs how long the response to the heartbeat has been delayed already, in milliseconds.
   */
  async awaitGrantable(service: string, delayedMs: number): Promise<void> {
    const untilMs = Math.min(
      FIRST_GRANT_PERIOD_MS,
      monotonicMs() + MAX_FIRST_GRANT_DELAY_MS - delayedMs,
    );
    while (monotonicMs() < untilMs && this.isGrantPending(service)) {
      await sleep(GRANT_CHECK_INTERVAL_MS);
    }
  }

  /** Whether this daemon owns keys of a service that it can't grant yet, or does not know yet whether it does. */
  private isGrantPending(service: string): boolean {
    const { directory, lease } = this.context;
    if (!directory.isConfigured) {
      return true;
    }
    if (!directory.isKeyed(service)) {
      return false;
    }
    this.leaseManager.applyStartRead(service);
    const record = directory.record(service);
    if (this.registrationRevision === 0 || record === undefined) {
      return !this.hasStartListing;
    }
    return record.rangesOf(this.ownAddress).length > 0 &&
      lease.remainingMs(bootMs()) === 0;
  }

  /**
   * Begins the release of all keys of a draining backend server, if the store is reachable, so that the response that
   * acknowledges the drain releases them.
   *
   * @returns false if the keys can't be released now; true also if no other backend server could own them.
   */
  async releaseAll(): Promise<boolean> {
    const service = this.ownService;
    if (service === undefined || this.candidatesFor(service).length === 0) {
      return true;
    }
    if (!await this.leaseManager.confirmKeysMovable(service)) {
      return false;
    }
    const { grants } = this.context;
    grants.beginRelease(grants.ownRanges);
    return true;
  }

  /** Whether the record still names this daemon as the owner of keys that others should own. */
  get mustReleaseKeys(): boolean {
    const { grants, backendManager } = this.context;
    const service = this.ownService;
    const isUnreadyOwner = backendManager().phase !== "ready" &&
      grants.ownKeyCount > 0;
    return service !== undefined && this.candidatesFor(service).length > 0 &&
      (grants.isReleasing || isUnreadyOwner);
  }

  /** Handles ranges that the backend server has released, with the proofs of their handover. */
  handleReleased(released: readonly ReleasedRange[]): void {
    this.releasedRanges.push(...released);
    this.writeReleases();
  }

  /** Runs the due steps; called by the control loop. */
  tick(): void {
    this.leaseManager.tick();
    this.beginDueReleases();
    this.writeReleases();
    if (this.registrationRevision > 0) {
      this.foreignKeyReleaser.tick();
    }
    this.rebalancer.tick();
    this.joinRecordedRanges();
    this.assignmentManager.tick();
  }

  /** Handles a response of the shared reader. */
  onSharedRead(response: SharedReadResponse): void {
    this.leaseManager.onSharedRead(response);
  }

  /** Whether this daemon may promise an owner not to take over its keys for a while. */
  mayPromise(service: string, request: PromiseRequest): boolean {
    return this.assignmentManager.mayPromise(service, request);
  }

  /** Address of the daemon that reads the store for all; `undefined` if there is none. */
  findReader(): string | undefined {
    return this.assignmentManager.findReader();
  }

  /** Whether this daemon reads the store for all owners. */
  get isSharedReader(): boolean {
    return this.findReader() === this.ownAddress;
  }

  /** Load of this daemon's keys relative to the capacity of its backend server. */
  get utilization(): number {
    return this.rebalancer.utilization;
  }

  /** What has become of the moves since the start of this process. */
  get moveTotals(): MoveTotals {
    return this.rebalancer.totals;
  }

  /** Whether planned moves of keys await the next response to a heartbeat. */
  get hasPlannedMoves(): boolean {
    return this.rebalancer.hasPlannedMoves;
  }

  /** Whether moves from or to this daemon are likely to be planned soon. */
  get areMovesLikely(): boolean {
    return this.rebalancer.areMovesLikely;
  }

  /** Begins the planned moves; called before a heartbeat is responded to, which must be done by `latestMs`. */
  beginMoves(latestMs: number): Promise<void> {
    return this.rebalancer.beginMoves(latestMs);
  }

  private get ownAddress(): string {
    return this.context.view.ownReport.address;
  }

  private get ownService(): string | undefined {
    const service = this.context.backendManager().service;
    return service !== undefined && this.context.directory.isKeyed(service)
      ? service
      : undefined;
  }

  /**
   * The service of the backend server on this host; `undefined` while none is known to run, or a server of another
   * service may still hold keys.
   */
  private get provenService(): string | undefined {
    const { provenService, phase } = this.context.backendManager();
    return phase === "absent" ? undefined : provenService;
  }

  private applyRecord(service: string, record: OwnershipRecord): void {
    this.assignmentManager.observeRecord(service, record);
    if (service === this.ownService && this.registrationRevision > 0) {
      const { grants, handoverCoordinator, backend } = this.context;
      const previousKeyCount = grants.ownKeyCount;
      grants.applyRecord(record, {
        daemon: this.ownAddress,
        revision: Math.max(record.revision, this.registrationRevision),
      });
      if (grants.ownKeyCount > previousKeyCount) {
        handoverCoordinator.takeArrived((key) => grants.owns(key)).forEach((
          range,
        ) => backend.profile.seed(range, range.load));
      }
    }
  }

  /** Applies the known record again, since this daemon's service may have become known only after its record. */
  private reapplyRecord(service: string): void {
    const record = this.context.directory.record(service);
    if (record !== undefined) {
      this.applyRecord(service, record);
    }
  }

  /**
   * Handles a seal: others consider this daemon lost. It removes the seal, unless it considers fewer than half of the
   * known daemons alive and so is probably unreachable itself; then it releases its keys.
   */
  private handleSeal(service: string): void {
    const { view, grants } = this.context;
    const known = view.knownAddresses.length;
    const alive = view.alive(monotonicMs()).length;
    if (known > 0 && alive * 2 < known) {
      grants.beginRelease(grants.ownRanges);
      return;
    }
    void this.writer.write(
      service,
      "unseal",
      (record) =>
        record.isSealed(this.ownAddress)
          ? record.unseal(this.ownAddress)
          : undefined,
    );
  }

  /** Begins the release of keys of a backend server that is draining, has ended or can't be granted keys any more. */
  private beginDueReleases(): void {
    const { grants, backendManager } = this.context;
    const service = this.ownService;
    if (service === undefined || grants.ownKeyCount === 0) {
      return;
    }
    const { phase, forwardUntilMs } = backendManager();
    if (
      this.candidatesFor(service).length === 0 ||
      !this.leaseManager.canMoveKeys()
    ) {
      return;
    }
    // A backend server that announced its departure without a heartbeat holds its keys until its grant expires, and
    // serves them while requests may still be forwarded to it.
    const hasDrained = (phase === "draining" || phase === "evacuated") &&
      (monotonicMs() > forwardUntilMs || grants.certainHoldMs(bootMs()) === 0);
    if (hasDrained || phase === "absent") {
      grants.beginRelease(grants.ownRanges);
      return;
    }
    if (backendManager().sinceLastHeartbeatMs() > HEARTBEAT_TIMEOUT_MS) {
      // No heartbeats arrive: once its grants have expired, the backend server can't serve their keys any more.
      grants.beginRelease(grants.findExpired(bootMs()));
    }
  }

  /** Writes to the store the ranges that the backend server has certainly released. */
  private writeReleases(): void {
    const { grants } = this.context;
    const service = this.ownService;
    if (service === undefined || !grants.isReleasing) {
      return;
    }
    if (grants.findReleased(bootMs()).length === 0) {
      return;
    }
    void this.writer.write(service, "release", (record) => {
      const released = this.findReleasedIn(record);
      return released.length === 0
        ? undefined
        : this.reassign(service, record, released);
    });
  }

  /** Removes handovers from the record if there are many ranges of this daemon, most of which only they separate. */
  private joinRecordedRanges(): void {
    const service = this.ownService;
    const record = service === undefined
      ? undefined
      : this.context.directory.record(service);
    if (service === undefined || record === undefined) {
      return;
    }
    const change = (known: OwnershipRecord) => {
      const count = known.rangesOf(this.ownAddress).length;
      if (count <= MAX_RECORDED_RANGES || known.isRestored) {
        return undefined;
      }
      const joined = this.withoutUnneededHandovers(known);
      const joinedCount = joined.rangesOf(this.ownAddress).length;
      return joinedCount <= count / 2 ? joined : undefined;
    };
    if (change(record) !== undefined) {
      void this.writer.write(service, "join", change);
    }
  }

  private withoutUnneededHandovers(record: OwnershipRecord): OwnershipRecord {
    const { rangesWithoutHandover } = this.context.grants;
    return record.withoutHandovers(this.ownAddress, rangesWithoutHandover);
  }

  /** Ranges that this daemon owns by the record and that its backend server has released. */
  private findReleasedIn(record: OwnershipRecord): KeyRange[] {
    const ownRanges = record.rangesOf(this.ownAddress);
    return this.context.grants.findReleased(bootMs()).flatMap((range) =>
      ownRanges.flatMap((segment) => intersect(segment, range) ?? [])
    );
  }

  private reassign(
    service: string,
    record: OwnershipRecord,
    released: readonly KeyRange[],
  ): OwnershipRecord {
    const candidates = this.candidatesFor(service);
    const planned = released.flatMap((range) =>
      this.rebalancer.begunMoves.flatMap((move) => {
        const shared = intersect(move, range);
        const isAvailable = candidates.some(({ daemon }) =>
          daemon === move.daemon
        );
        return shared === undefined || !isAvailable
          ? []
          : [{ ...shared, daemon: move.daemon, handover: "" }];
      })
    );
    const withoutOwners = this.withoutUnneededHandovers(record)
      .release(released);
    const withPlanned = withoutOwners.assign(planned);
    const unassigned = released.flatMap((range) =>
      withPlanned.findUnowned().flatMap((gap) => intersect(gap, range) ?? [])
    );
    const rest = assignUnowned(withPlanned, unassigned, candidates);
    const assignments = [...planned, ...rest].flatMap((assignment) =>
      this.withHandoverProofs(assignment)
    );
    return withoutOwners.assign(assignments);
  }

  /** Adds to an assignment its parts that were handed over, each with the proof of its handover. */
  private withHandoverProofs<A extends KeyRange & { handover: string }>(
    assignment: A,
  ): A[] {
    const proofs = this.releasedRanges.flatMap((released) => {
      const shared = intersect(released, assignment);
      return shared === undefined
        ? []
        : [{ ...assignment, ...shared, handover: released.handover }];
    });
    return [assignment, ...proofs];
  }

  /** The other backend servers of a service that may own keys. */
  private candidatesFor(service: string): Candidate[] {
    return findCandidates(this.context.view, service);
  }
}
