/**
 * Ownership as one daemon takes part in it: grants follow the records, and what the backend server here gives up
 * goes to others.
 *
 * @module
 */
import {
  assignUnowned,
  type Candidate,
  type FreedRange,
  type GrantTracker,
  intersect,
  type KeyRange,
  type OwnershipLease,
  type OwnershipRecord,
  type PlannedMove,
  type PromiseRequest,
} from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import type { MemberView } from "@bamboolink/membership";
import type { Store } from "@bamboolink/store";
import type { BackendManager } from "./backend_manager.ts";
import { bootMs, steadyMs } from "./clock.ts";
import type { HandoverCoordinator } from "./handover_coordinator.ts";
import { KeyRebalancer } from "./key_rebalancer.ts";
import type { LocalBackend } from "./local_backend.ts";
import type { OwnershipDirectory } from "./ownership_directory.ts";
import { findCandidates, OwnershipLeader } from "./ownership_leader.ts";
import type { RecordInspector } from "./record_inspector.ts";
import { RecordWriter } from "./record_writer.ts";
import type { SharedReadRequest, SharedReadResponse } from "./shared_reader.ts";
import {
  type LeasePromiseRequest,
  OwnershipLeaseManager,
} from "./ownership_lease_manager.ts";

/** Heartbeats of the own backend server that stay away for so long won't come soon, in milliseconds. */
const HEARTBEATS_MISSED_MS = 3_000;

/** What the keeper needs. */
export interface OwnershipManagerContext {
  readonly store: Store;
  readonly logger: Logger;
  readonly view: MemberView;
  readonly directory: OwnershipDirectory;
  readonly inspector: RecordInspector;
  readonly grants: GrantTracker;
  readonly lease: OwnershipLease;
  readonly backend: LocalBackend;
  readonly backendManager: () => BackendManager;
  readonly handoverCoordinator: HandoverCoordinator;
  readonly random: () => number;
  /** Tells all daemons of a newer record. */
  readonly onWritten: (service: string, record: OwnershipRecord) => void;
  /** Tells a daemon that keys are about to come to it. */
  readonly onMovesPlanned: (
    daemon: string,
    moves: readonly PlannedMove[],
  ) => void;
  /** Asks the daemon that reads for all owners what the store holds. */
  readonly onSharedReadNeeded: (
    reader: string,
    question: SharedReadRequest,
  ) => void;
  /** Asks an arbiter for its promise; the daemon's clock comes back with it. */
  readonly onPromiseNeeded: (
    arbiter: string,
    question: LeasePromiseRequest,
  ) => void;
}

/** Ownership as one daemon takes part in it. */
export class OwnershipManager {
  private readonly writer: RecordWriter;
  private readonly leaseManager: OwnershipLeaseManager;
  private readonly rebalancer: KeyRebalancer;
  private readonly leader: OwnershipLeader;
  private readonly handovers: FreedRange[] = [];
  private registration = 0;

  private constructor(private readonly context: OwnershipManagerContext) {
    const ownService = () => this.ownService;
    this.writer = RecordWriter.create(context);
    this.leaseManager = OwnershipLeaseManager.create({
      ...context,
      ownService,
      ownAddress: () => this.own,
      findReader: () => this.leader.findReader(),
      isReleasingKeys: () => this.isReleasingKeys,
      onRead: (service) => this.ensureTokens(service),
      onSealed: (service) => this.answerSeal(service),
    });
    this.rebalancer = KeyRebalancer.create({
      ...context,
      leaseManager: this.leaseManager,
      ownService,
    });
    this.leader = OwnershipLeader.create({ ...context, writer: this.writer });
  }

  /** Creates a keeper. */
  static create(context: OwnershipManagerContext): OwnershipManager {
    const keeper = new OwnershipManager(context);
    context.directory.onRecord((service, record) =>
      keeper.noteRecord(service, record)
    );
    return keeper;
  }

  /**
   * Notes a revision of the store that was written by this process. Tokens come from then on: an
   * earlier process of this daemon can't have used a higher one.
   */
  onRegistered(revision: number): void {
    this.registration = revision;
    this.leader.onRegistered(revision);
    this.context.directory.keyedServices.forEach((service) => {
      const record = this.context.directory.record(service);
      if (record !== undefined) {
        this.noteRecord(service, record);
      }
    });
  }

  /** Whether the daemon knows who owns what, so that it may grant. */
  mayGrant(service: string): boolean {
    return this.registration > 0 &&
      this.context.directory.record(service) !== undefined;
  }

  /**
   * The backend server leaves: its keys are given up in the answer that acknowledges it, if the store can be
   * written; returns whether they are, or nobody is there to take them.
   */
  async releaseAll(): Promise<boolean> {
    const service = this.ownService;
    if (service === undefined || this.takers(service).length === 0) {
      return true;
    }
    if (!await this.leaseManager.reachesStore(service)) {
      return false;
    }
    const { grants } = this.context;
    grants.beginRelease(grants.ownRanges);
    return true;
  }

  /** Whether keys are still the own daemon's by the record that others should have. */
  get isReleasingKeys(): boolean {
    const { grants, backendManager } = this.context;
    const service = this.ownService;
    const hasLeft = backendManager().phase !== "ready" &&
      grants.ownKeyCount > 0;
    return service !== undefined && this.takers(service).length > 0 &&
      (grants.isReleasing || hasLeft);
  }

  /** Takes ranges that the backend server has given back, with their proofs. */
  handleFreed(freed: readonly FreedRange[]): void {
    this.handovers.push(...freed);
    this.publishReleases();
  }

  /** Does what is due. */
  tick(): void {
    this.leaseManager.tick();
    this.planReleases();
    this.publishReleases();
    this.releaseForeign();
    this.rebalancer.tick();
    this.leader.tick();
  }

  /** Takes what the daemon that reads for all owners has found. */
  onSharedRead(answer: SharedReadResponse): void {
    this.leaseManager.onSharedRead(answer);
  }

  /** Whether an owner is promised not to be taken over by this daemon for a while. */
  mayPromise(service: string, question: PromiseRequest): boolean {
    return this.leader.mayPromise(service, question);
  }

  /** Whether this daemon reads the store for all owners. */
  get isSharedReader(): boolean {
    return this.leader.findReader() === this.own;
  }

  /** Work that the own keys bring for each slot. */
  get utilization(): number {
    return this.rebalancer.utilization;
  }

  /** Whether keys wait to be moved away with the next answer to a heartbeat. */
  get hasPlannedMoves(): boolean {
    return this.rebalancer.hasPlannedMoves;
  }

  /** Begins the planned moves, in the answer to a heartbeat. */
  beginMoves(): Promise<void> {
    return this.rebalancer.beginMoves();
  }

  private get own(): string {
    return this.context.view.ownReport.address;
  }

  private get ownService(): string | undefined {
    const service = this.context.backendManager().service;
    return service !== undefined && this.context.directory.isKeyed(service)
      ? service
      : undefined;
  }

  private noteRecord(service: string, record: OwnershipRecord): void {
    this.leader.onRecord(service, record);
    if (service === this.ownService && this.registration > 0) {
      const { grants, handoverCoordinator, backend } = this.context;
      const before = grants.ownKeyCount;
      grants.applyRecord(record, {
        daemon: this.own,
        revision: Math.max(record.revision, this.registration),
      });
      if (grants.ownKeyCount > before) {
        handoverCoordinator.takeArrived((key) => grants.owns(key)).forEach((
          range,
        ) => backend.profile.seed(range, range.load));
      }
    }
  }

  /** The own service may have become known after its record was. */
  private ensureTokens(service: string): void {
    const record = this.context.directory.record(service);
    if (record !== undefined) {
      this.noteRecord(service, record);
    }
  }

  /** Others took this daemon for lost. It keeps its keys only if others can reach it. */
  private answerSeal(service: string): void {
    const { view, grants } = this.context;
    const known = view.known.length;
    const alive = view.alive(steadyMs()).length;
    if (known > 0 && alive * 2 < known) {
      grants.beginRelease(grants.ownRanges);
      return;
    }
    void this.writer.write(
      service,
      "unseal",
      (record) =>
        record.isSealed(this.own) ? record.unseal(this.own) : undefined,
    );
  }

  /** A backend server that leaves, is gone or can't be granted any more gives up its keys. */
  private planReleases(): void {
    const { grants, backendManager } = this.context;
    const service = this.ownService;
    if (service === undefined || grants.ownKeyCount === 0) {
      return;
    }
    const { phase, handOverUntilMs } = backendManager();
    if (this.takers(service).length === 0 || !this.leaseManager.isMovable()) {
      return;
    }
    // One that has left without a heartbeat holds its keys until its grant runs out, and serves them while
    // it may be handed requests.
    const hasLeft = (phase === "draining" || phase === "evacuated") &&
      (steadyMs() > handOverUntilMs || grants.remainingHoldMs(bootMs()) === 0);
    if (hasLeft || phase === "absent") {
      grants.beginRelease(grants.ownRanges);
      return;
    }
    if (backendManager().sinceLastHeartbeatMs() > HEARTBEATS_MISSED_MS) {
      // Its heartbeats don't arrive; once what it holds has run out, it can't serve its keys any more.
      grants.beginRelease(grants.findExpired(bootMs()));
    }
  }

  /** Writes into the store what the backend server has certainly given up. */
  private publishReleases(): void {
    const { grants } = this.context;
    const service = this.ownService;
    if (service === undefined || !grants.isReleasing) {
      return;
    }
    if (grants.findReleased(bootMs()).length === 0) {
      return;
    }
    void this.writer.write(service, "release", (record) => {
      const released = this.releasedIn(record);
      return released.length === 0
        ? undefined
        : this.reassign(service, record, released);
    });
  }

  /**
   * Gives up keys of a service to which the backend server at this address no longer belongs. The server
   * that held them has ended, or another could not be at its address.
   */
  private releaseForeign(): void {
    const { directory, backendManager } = this.context;
    const { service, phase } = backendManager();
    if (
      service === undefined || phase === "absent" || this.registration === 0
    ) {
      return;
    }
    directory.keyedServices
      .filter((other) => other !== service)
      .filter((other) =>
        (directory.record(other)?.rangesOf(this.own).length ?? 0) > 0
      )
      .forEach((other) =>
        void this.writer.write(other, "release_foreign", (record) => {
          const mine = record.rangesOf(this.own);
          const free = record.release(mine);
          return mine.length === 0
            ? undefined
            : free.assign(assignUnowned(free, mine, this.takers(other)));
        })
      );
  }

  /** Ranges that the record gives this daemon and that its backend server has given up. */
  private releasedIn(record: OwnershipRecord): KeyRange[] {
    const mine = record.rangesOf(this.own);
    return this.context.grants.findReleased(bootMs()).flatMap((range) =>
      mine.flatMap((segment) => intersect(segment, range) ?? [])
    );
  }

  private reassign(
    service: string,
    record: OwnershipRecord,
    released: readonly KeyRange[],
  ): OwnershipRecord {
    const takers = this.takers(service);
    const planned = released.flatMap((range) =>
      this.rebalancer.destinations.flatMap((destination) => {
        const shared = intersect(destination, range);
        const isThere = takers.some(({ daemon }) =>
          daemon === destination.daemon
        );
        return shared === undefined || !isThere
          ? []
          : [{ ...shared, daemon: destination.daemon, handover: "" }];
      })
    );
    const freed = record.release(released);
    const withPlanned = freed.assign(planned);
    const left = released.flatMap((range) =>
      withPlanned.findUnowned().flatMap((gap) => intersect(gap, range) ?? [])
    );
    const rest = assignUnowned(withPlanned, left, takers);
    const proven = [...planned, ...rest].flatMap((assignment) =>
      this.withProofs(assignment)
    );
    return freed.assign(proven);
  }

  /** Splits an assignment so that each part carries the proof of its handover, if there is one. */
  private withProofs<A extends KeyRange & { handover: string }>(
    assignment: A,
  ): A[] {
    const proofs = this.handovers.flatMap((freed) => {
      const shared = intersect(freed, assignment);
      return shared === undefined
        ? []
        : [{ ...assignment, ...shared, handover: freed.handover }];
    });
    return [assignment, ...proofs];
  }

  /** Other backend servers of a service that take keys. */
  private takers(service: string): Candidate[] {
    return findCandidates(this.context.view, service);
  }
}
