/**
 * Assigns keys without an owner, takes over the keys of lost owners, and appoints arbiters. Each daemon runs this code;
 * it acts only where the daemon leads the fleet or is an arbiter.
 *
 * @module
 */
import {
  ArbiterState,
  assignUnowned,
  type Candidate,
  chooseArbiters,
  isFirstAssignmentDue,
  KEY_COUNT,
  type OwnershipRecord,
  type PromiseRequest,
  TakeoverTimers,
} from "@bamboolink/keyspace";
import type { MemberView } from "@bamboolink/membership";
import type { BackendManager } from "../backend/backend_manager.ts";
import { bootMs, monotonicMs } from "../clock.ts";
import type { LocalBackend } from "../backend/local_backend.ts";
import type { OwnershipDirectory } from "./ownership_directory.ts";
import type { RecordInspector } from "./record_inspector.ts";
import type { RecordWriter } from "./record_writer.ts";

/**
 * An owner is sealed when it has been unresponsive for this much longer than the timeout of the member view, in ms.
 */
const SEAL_DELAY_MS = 500;
/** A daemon leads only after it has received the reports of the others for this long, in milliseconds. */
const MIN_OBSERVATION_MS = 1_500;

/** Dependencies of the assignment manager. */
export interface AssignmentManagerContext {
  readonly view: MemberView;
  readonly directory: OwnershipDirectory;
  readonly inspector: RecordInspector;
  readonly writer: Pick<RecordWriter, "write" | "repair" | "restore">;
  readonly backend: LocalBackend;
  readonly backendManager: () => BackendManager;
}

/** Assigns keys, as the leading daemon or as an arbiter. */
export class AssignmentManager {
  private readonly takeoverTimers = new Map<string, TakeoverTimers>();
  private readonly arbiterStates = new Map<string, ArbiterState>();
  private readonly startedAtMs = monotonicMs();
  private readonly bootedAtMs = bootMs();
  private registrationRevision = Infinity;

  private constructor(private readonly context: AssignmentManagerContext) {}

  /** Creates a manager that knows no record yet. */
  static create(context: AssignmentManagerContext): AssignmentManager {
    return new AssignmentManager(context);
  }

  /** Sets a revision of the store that was written by this process. */
  onRegistered(revision: number): void {
    this.registrationRevision = revision;
    this.arbiterStates.forEach((state) => state.recordStartRevision(revision));
  }

  /** Records the seals and appointments of a record; the waits before a takeover count from now for new ones. */
  observeRecord(service: string, record: OwnershipRecord): void {
    this.context.inspector.observeRecord(service, record);
    const timers = this.takeoverTimers.get(service) ?? TakeoverTimers.create();
    this.takeoverTimers.set(service, timers);
    timers.observe(record, bootMs());
    const arbiterState = this.arbiterStates.get(service) ??
      ArbiterState.create(this.bootedAtMs);
    this.arbiterStates.set(service, arbiterState);
    arbiterState.recordStartRevision(this.registrationRevision);
    arbiterState.observe(record);
  }

  /** Whether this daemon may promise an owner not to take over its keys. */
  mayPromise(service: string, request: PromiseRequest): boolean {
    return this.arbiterStates.get(service)?.mayPromise(request, bootMs()) ===
      true;
  }

  /**
   * Runs the due steps; called by the control loop. The leading daemon assigns keys without an owner and takes over
   * those of lost owners; an arbiter does so, too, as soon as it may.
   */
  tick(): void {
    const { directory } = this.context;
    const isLeading = this.isLeading();
    directory.keyedServices.forEach((service) => {
      const known = directory.record(service);
      if (isLeading) {
        this.leadService(service);
      } else if (
        known !== undefined && this.findExpiredSeals(service, known).length
      ) {
        this.assignAvailable(service);
      }
    });
  }

  /** Any daemon may write, since writes are conditional; only one of them does, to save store calls. */
  private isLeading(): boolean {
    const { view } = this.context;
    const hasObserved = monotonicMs() - this.startedAtMs >= MIN_OBSERVATION_MS;
    return hasObserved && view.ownReport.reachesStore &&
      this.findOtherLeader() === undefined;
  }

  /** The leading daemon, if it is another one: the first in the order of addresses that can reach the store. */
  findOtherLeader(): string | undefined {
    const firstAddress = this.context.view.alive(monotonicMs())
      .filter(({ reachesStore, phase }) => reachesStore && phase !== "stopping")
      .map(({ address }) => address)
      .reduce(
        (lowest, address) => address < lowest ? address : lowest,
        this.ownAddress,
      );
    return firstAddress === this.ownAddress ? undefined : firstAddress;
  }

  /** The shared reader, if any daemon can reach the store: the leading daemon, which then reads for itself, too. */
  findReader(): string | undefined {
    return this.findOtherLeader() ??
      (this.context.view.ownReport.reachesStore ? this.ownAddress : undefined);
  }

  private leadService(service: string): void {
    const { inspector, writer } = this.context;
    if (inspector.lacksRecordInForce(service)) {
      this.replaceRecord(service);
      return;
    }
    const known = this.context.directory.record(service);
    if (known?.isRestored === true && inspector.canSettle(service)) {
      void writer.write(
        service,
        "settle",
        (record) =>
          record.isRestored && inspector.canSettle(service)
            ? record.settle()
            : undefined,
      );
      return;
    }
    if (known === undefined || known.revision === 0) {
      this.assignFirst(service);
      return;
    }
    if (!this.assignAvailable(service) && !this.sealLost(service, known)) {
      this.appointArbiters(service, known);
    }
  }

  /** Replaces a record that can't be read, or that belongs to an earlier era of the store. */
  private replaceRecord(service: string): void {
    const { inspector, writer } = this.context;
    const earlierEraRecord = inspector.findRestorableRecord(service);
    if (earlierEraRecord !== undefined) {
      void writer.restore(service, earlierEraRecord);
      return;
    }
    const corruptRevision = inspector.findRepairableRevision(service);
    if (corruptRevision !== undefined) {
      void writer.repair(service, corruptRevision);
    }
  }

  /** Assigns keys without an owner and those of owners whose lease has expired; returns whether there are any. */
  private assignAvailable(service: string): boolean {
    const known = this.context.directory.record(service);
    const candidates = this.allCandidates(service);
    if (known === undefined || candidates.length === 0) {
      return false;
    }
    const available = [
      ...known.findUnowned(),
      ...this.findExpiredSeals(service, known).flatMap((seal) =>
        known.rangesWithSeal(seal)
      ),
    ];
    if (available.length === 0) {
      return false;
    }
    void this.context.writer.write(service, "assign", (record) => {
      if (record.revision !== known.revision) {
        return undefined;
      }
      const withoutOwners = record.release(available);
      return withoutOwners.assign(
        assignUnowned(withoutOwners, available, candidates),
      );
    });
    return true;
  }

  /**
   * The seals under which the owner's lease has certainly expired, as far as this daemon may decide it: as an arbiter
   * or as the leader.
   */
  private findExpiredSeals(service: string, known: OwnershipRecord): number[] {
    const nowMs = bootMs();
    const timers = this.takeoverTimers.get(service);
    const appointment = known.findArbiter(this.ownAddress);
    if (appointment === undefined && !this.isLeading()) {
      return [];
    }
    return known.sealedOwners
      .map(({ seal }) => seal)
      .filter((seal) =>
        timers?.hasLeaseEnded(seal, nowMs, appointment) === true
      );
  }

  /** Appoints alive daemons as arbiters, so that the keys of a lost host can be reassigned soon. */
  private appointArbiters(service: string, known: OwnershipRecord): void {
    const currentArbiters = known.arbiters.map(({ daemon }) => daemon);
    const chosen = this.chooseArbiters(service, known);
    if (currentArbiters.toSorted().join() === chosen.toSorted().join()) {
      return;
    }
    void this.context.writer.write(
      service,
      "appoint",
      (record) =>
        record.revision === known.revision ? record.appoint(chosen) : undefined,
    );
  }

  private chooseArbiters(
    service: string,
    record: OwnershipRecord,
  ): string[] {
    const { view } = this.context;
    const candidates = [...view.alive(monotonicMs()), view.ownReport].map(
      (report) => ({
        daemon: report.address,
        availabilityZone: report.availabilityZone,
        isOfService: report.service === service,
        reachesStore: report.reachesStore,
      }),
    );
    const currentArbiters = record.arbiters.map(({ daemon }) => daemon);
    return chooseArbiters(currentArbiters, candidates);
  }

  private assignFirst(service: string): void {
    const { view } = this.context;
    const nowMs = monotonicMs();
    const alive = view.alive(nowMs);
    const members = [...alive, view.ownReport]
      .filter((report) => report.service === service);
    const candidates = this.allCandidates(service);
    const isDue = isFirstAssignmentDue({
      absentDaemons: view.knownAddresses.length - alive.length,
      unannouncedBackends: members.filter(({ phase }) =>
        phase === "absent"
      ).length,
      candidates: candidates.length,
      uptimeMs: nowMs - this.startedAtMs,
    });
    if (!isDue) {
      return;
    }
    void this.context.writer.write(
      service,
      "first",
      (record) =>
        record.revision > 0 ? undefined : record.assign(
          assignUnowned(record, [{ from: 0, to: KEY_COUNT - 1 }], candidates),
        ).appoint(this.chooseArbiters(service, record)),
    );
  }

  /** Seals unresponsive owners; returns whether there are any. */
  private sealLost(service: string, known: OwnershipRecord): boolean {
    const { view } = this.context;
    const nowMs = monotonicMs();
    const observedMs = nowMs - this.startedAtMs;
    const lost = known.daemons.filter((daemon) =>
      !known.isSealed(daemon) &&
      Math.min(view.heartbeatAgeMs(daemon, nowMs), observedMs) >
        view.unresponsiveTimeoutMs + SEAL_DELAY_MS
    );
    if (lost.length === 0) {
      return false;
    }
    void this.context.writer.write(
      service,
      "seal",
      (record) =>
        record.revision === known.revision ? record.seal(lost) : undefined,
    );
    return true;
  }

  private allCandidates(service: string): Candidate[] {
    const { view, backend, backendManager } = this.context;
    const ownBackend = backendManager();
    const isCandidate = ownBackend.service === service &&
      ownBackend.phase === "ready";
    return [
      ...this.candidatesFor(service),
      ...(isCandidate
        ? [{ daemon: view.ownReport.address, weight: backend.capacity }]
        : []),
    ];
  }

  /** The other backend servers of a service that may own keys. */
  private candidatesFor(service: string): Candidate[] {
    return findCandidates(this.context.view, service);
  }

  private get ownAddress(): string {
    return this.context.view.ownReport.address;
  }
}

/** The backend servers of a service, on the hosts of other alive daemons, that may own keys. */
export function findCandidates(view: MemberView, service: string): Candidate[] {
  return view.alive(monotonicMs())
    .filter((report) => report.service === service && report.phase === "ready")
    .map(({ address, capacity }) => ({ daemon: address, weight: capacity }));
}
