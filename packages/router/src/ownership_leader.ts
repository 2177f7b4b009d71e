/**
 * Assigns keys without an owner, takes them from lost owners, and names arbiters: what one daemon does for all
 * owners of a service.
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
import type { BackendManager } from "./backend_manager.ts";
import { bootMs, steadyMs } from "./clock.ts";
import type { OwnershipDirectory } from "./ownership_directory.ts";
import type { RecordInspector } from "./record_inspector.ts";
import type { RecordWriter } from "./record_writer.ts";

/** An owner that has been silent for so much longer than it takes to be silent is sealed, in ms. */
const SEAL_AFTER_SILENCE_MS = 500;
/** A leading daemon acts only once it has heard the others for so long, in milliseconds. */
const SETTLE_MS = 1_500;

/** What the leader needs. */
export interface OwnershipLeaderContext {
  readonly view: MemberView;
  readonly directory: OwnershipDirectory;
  readonly inspector: RecordInspector;
  readonly writer: RecordWriter;
  readonly backendManager: () => BackendManager;
}

/** The part of one daemon in deciding who owns what. */
export class OwnershipLeader {
  private readonly waits = new Map<string, TakeoverTimers>();
  private readonly promises = new Map<string, ArbiterState>();
  private readonly startedAtMs = steadyMs();
  private readonly bootedAtMs = bootMs();
  private registration = Infinity;

  private constructor(private readonly context: OwnershipLeaderContext) {}

  /** Creates a leader that has seen no record. */
  static create(context: OwnershipLeaderContext): OwnershipLeader {
    return new OwnershipLeader(context);
  }

  /** Notes a revision of the store that was written by this process. */
  onRegistered(revision: number): void {
    this.registration = revision;
    this.promises.forEach((book) => book.recordStartRevision(revision));
  }

  /** Notes seals and appointments, from which waits are counted. */
  onRecord(service: string, record: OwnershipRecord): void {
    const waits = this.waits.get(service) ?? TakeoverTimers.create();
    this.waits.set(service, waits);
    waits.observe(record, bootMs());
    const promises = this.promises.get(service) ??
      ArbiterState.create(this.bootedAtMs);
    this.promises.set(service, promises);
    promises.recordStartRevision(this.registration);
    promises.observe(record);
  }

  /** Whether an owner is promised not to be taken over. */
  mayPromise(service: string, question: PromiseRequest): boolean {
    return this.promises.get(service)?.mayPromise(question, bootMs()) === true;
  }

  /**
   * The leading daemon gives keys without an owner to one, and takes them from lost ones; so does an arbiter as
   * soon as it may.
   */
  tick(): void {
    const { directory } = this.context;
    const isLeading = this.isLeading();
    directory.keyedServices.forEach((service) => {
      const known = directory.record(service);
      if (isLeading) {
        this.leadService(service);
      } else if (known !== undefined && this.findEnded(service, known).length) {
        this.assignNeedy(service);
      }
    });
  }

  /** Any daemon may write, since writes are conditional; one of them does, to save calls. */
  private isLeading(): boolean {
    const { view } = this.context;
    const hasSettled = steadyMs() - this.startedAtMs >= SETTLE_MS;
    return hasSettled && view.ownReport.reachesStore &&
      this.findLeader() === undefined;
  }

  /** The daemon that leads, if it is another one: the first that reaches the store, in the order of addresses. */
  findLeader(): string | undefined {
    const first = this.context.view.alive(steadyMs())
      .filter(({ reachesStore, phase }) => reachesStore && phase !== "stopping")
      .map(({ address }) => address)
      .reduce(
        (least, address) => address < least ? address : least,
        this.own,
      );
    return first === this.own ? undefined : first;
  }

  /** The daemon that reads for all owners, if one reaches the store: the leading one, for itself, too. */
  findReader(): string | undefined {
    return this.findLeader() ??
      (this.context.view.ownReport.reachesStore ? this.own : undefined);
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
        (record) => record.isRestored ? record.settle() : undefined,
      );
      return;
    }
    if (known === undefined || known.revision === 0) {
      this.assignFirst(service);
      return;
    }
    if (!this.assignNeedy(service) && !this.sealLost(service, known)) {
      this.appointArbiters(service, known);
    }
  }

  /** Puts a record in the place of one that can't be read, or is of a former era of the store. */
  private replaceRecord(service: string): void {
    const { inspector, writer } = this.context;
    const former = inspector.findRestorableRecord(service);
    if (former !== undefined) {
      void writer.restore(service, former);
      return;
    }
    const spoiled = inspector.findRepairableRevision(service);
    if (spoiled !== undefined) {
      void writer.repair(service, spoiled);
    }
  }

  /** Assigns keys without an owner, and those of owners whose tenure has ended; returns whether there are any. */
  private assignNeedy(service: string): boolean {
    const known = this.context.directory.record(service);
    const takers = this.allTakers(service);
    if (known === undefined || takers.length === 0) {
      return false;
    }
    const needy = [
      ...known.findUnowned(),
      ...this.findEnded(service, known).flatMap((seal) =>
        known.rangesWithSeal(seal)
      ),
    ];
    if (needy.length === 0) {
      return false;
    }
    void this.context.writer.write(service, "assign", (record) => {
      if (record.revision !== known.revision) {
        return undefined;
      }
      const free = record.release(needy);
      return free.assign(assignUnowned(free, needy, takers));
    });
    return true;
  }

  /** The seals under which the owner's tenure has certainly ended, as far as the own daemon may say so. */
  private findEnded(service: string, known: OwnershipRecord): number[] {
    const nowMs = bootMs();
    const waits = this.waits.get(service);
    const office = known.findArbiter(this.own);
    if (office === undefined && !this.isLeading()) {
      return [];
    }
    return known.sealedOwners
      .map(({ seal }) => seal)
      .filter((seal) => waits?.hasLeaseEnded(seal, nowMs, office) === true);
  }

  /** Names living daemons as arbiters, so that the keys of a lost host are free soon. */
  private appointArbiters(service: string, known: OwnershipRecord): void {
    const present = known.arbiters.map(({ daemon }) => daemon);
    const chosen = this.chooseArbiters(service, known);
    if (present.toSorted().join() === chosen.toSorted().join()) {
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
    const candidates = [...view.alive(steadyMs()), view.ownReport].map(
      (report) => ({
        daemon: report.address,
        availabilityZone: report.availabilityZone,
        isOwner: report.service === service,
        reachesStore: report.reachesStore,
      }),
    );
    const present = record.arbiters.map(({ daemon }) => daemon);
    return chooseArbiters(present, candidates);
  }

  private assignFirst(service: string): void {
    const { view } = this.context;
    const nowMs = steadyMs();
    const alive = view.alive(nowMs);
    const members = [...alive, view.ownReport]
      .filter((report) => report.service === service);
    const takers = this.allTakers(service);
    const isDue = isFirstAssignmentDue({
      unseenDaemons: view.known.length - alive.length,
      unannouncedBackends: members.filter(({ phase }) =>
        phase === "absent"
      ).length,
      candidates: takers.length,
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
          assignUnowned(record, [{ from: 0, to: KEY_COUNT - 1 }], takers),
        ).appoint(this.chooseArbiters(service, record)),
    );
  }

  /** Seals owners that are silent; returns whether there are any. */
  private sealLost(service: string, known: OwnershipRecord): boolean {
    const { view } = this.context;
    const nowMs = steadyMs();
    const heardForMs = nowMs - this.startedAtMs;
    const lost = known.daemons.filter((daemon) =>
      !known.isSealed(daemon) &&
      Math.min(view.silentMs(daemon, nowMs), heardForMs) >
        view.silentAfterMs + SEAL_AFTER_SILENCE_MS
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

  private allTakers(service: string): Candidate[] {
    const { view, backendManager } = this.context;
    const own = backendManager();
    const isTaker = own.service === service && own.phase === "ready";
    return [
      ...this.takers(service),
      ...(isTaker
        ? [{ daemon: view.ownReport.address, weight: own.slots }]
        : []),
    ];
  }

  /** Other backend servers of a service that take keys. */
  private takers(service: string): Candidate[] {
    return findCandidates(this.context.view, service);
  }

  private get own(): string {
    return this.context.view.ownReport.address;
  }
}

/** The backend servers of a service that take keys, without the own one. */
export function findCandidates(view: MemberView, service: string): Candidate[] {
  return view.alive(steadyMs())
    .filter((report) => report.service === service && report.phase === "ready")
    .map(({ address, slots }) => ({ daemon: address, weight: slots }));
}
