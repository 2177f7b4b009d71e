/**
 * Keeps the ownership records in the store in step with what happens: the tenure of the own backend
 * server, releases of its ranges, and, on the leading daemon, keys without an owner and lost owners.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
  assignUnowned,
  type Candidate,
  chooseArbiters,
  type FreedRange,
  type GrantBook,
  intersect,
  isFirstAssignmentDue,
  KEY_COUNT,
  type KeyRange,
  OwnershipRecord,
  type PlannedMove,
  planShedding,
  TakeoverWaits,
  type Tenure,
} from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import { type MemberReport, type MemberView } from "@bamboolink/membership";
import { type Store, writeSettled } from "@bamboolink/store";
import type { BackendKeeper } from "./backend_keeper.ts";
import type { HandoverDesk } from "./handover_desk.ts";
import { bootMs, steadyMs } from "./clock.ts";
import type { LocalBackend } from "./local_backend.ts";
import {
  OWNERSHIP_PREFIX,
  type OwnershipDirectory,
} from "./ownership_directory.ts";

/** Time between two reads that extend the tenure, in milliseconds. Each is a paid call to the store. */
const CONFIRM_MS = 1_500;
/** The same while keys wait to be given to others until the store is back, in milliseconds. */
const CONFIRM_LEAVING_MS = 400;
/** An owner that has been silent for so much longer than it takes to be silent is sealed, in ms. */
const SEAL_AFTER_SILENCE_MS = 500;
/** Heartbeats of the own backend server that stay away for so long won't come soon, in milliseconds. */
const HEARTBEATS_MISSED_MS = 3_000;
/** A leading daemon acts only once it has heard the others for so long, in milliseconds. */
const SETTLE_MS = 1_500;
/**
 * Keys are moved only while the record was read within this time, in milliseconds. What is given up while
 * the store can't be written has no owner until it can.
 */
const MOVABLE_MS = 2 * CONFIRM_MS;
/**
 * A tenure that was not confirmed for so long depends on the promises of the arbiters soon, in milliseconds: a
 * read that is due every 1.5 s has failed.
 */
const ASK_AFTER_MS = 2_000;
/** Time between two questions for a promise, in milliseconds; one holds for 2.5 s. */
const ASK_MS = 500;
/** How long the store may take to answer before keys are given up, in milliseconds; usually it takes 4. */
const PROBE_MS = 400;
/** Time between two looks for keys to shed, in milliseconds. */
const SHED_MS = 250;
/**
 * Pause after a write that failed for another reason than another writer, in milliseconds: while the store
 * is down, each tick of every daemon would ask all others to write for it.
 */
const WRITE_PAUSE_MS = 250;
/** Tries of one change of a record, against other writers. */
const WRITE_ATTEMPTS = 4;

/** What the keeper needs. */
export interface OwnershipKeeperContext {
  readonly store: Store;
  readonly logger: Logger;
  readonly view: MemberView;
  readonly directory: OwnershipDirectory;
  readonly grants: GrantBook;
  readonly tenure: Tenure;
  readonly backend: LocalBackend;
  readonly keeper: () => BackendKeeper;
  readonly desk: HandoverDesk;
  /** Tells all daemons of a newer record. */
  readonly onWritten: (service: string, record: OwnershipRecord) => void;
  /** Tells a daemon that keys are about to come to it. */
  readonly onPlanned: (daemon: string, moves: readonly PlannedMove[]) => void;
  /** Asks an arbiter for its promise; the daemon's clock comes back with it. */
  readonly onPromiseNeeded: (
    arbiter: string,
    question: { service: string; askedAtMs: number },
  ) => void;
}

/** Changes a record; `undefined` if there is nothing to change any more. */
type Change = (record: OwnershipRecord) => OwnershipRecord | undefined;

/** Ownership as one daemon takes part in it. */
export class OwnershipKeeper {
  private readonly waits = new Map<string, TakeoverWaits>();
  private readonly busy = new Set<string>();
  private readonly pausedUntilMs = new Map<string, number>();
  private readonly handovers: FreedRange[] = [];
  private planned: readonly PlannedMove[] = [];
  private destinations: PlannedMove[] = [];
  private registration = 0;
  private confirmSentMs = -Infinity;
  private isConfirming = false;
  private shedAtMs = -Infinity;
  private askedAtMs = -Infinity;
  private isOnPromises = false;
  private readonly startedAtMs = steadyMs();

  private constructor(private readonly context: OwnershipKeeperContext) {}

  /** Creates a keeper. */
  static create(context: OwnershipKeeperContext): OwnershipKeeper {
    const keeper = new OwnershipKeeper(context);
    context.directory.onRecord((service, record) =>
      keeper.noteRecord(service, record)
    );
    return keeper;
  }

  /**
   * Notes a revision of the store that was written by this process. Tokens come from then on: an
   * earlier process of this daemon can't have used a higher one.
   */
  noteRegistration(revision: number): void {
    this.registration = revision;
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
  async giveUpAll(): Promise<boolean> {
    const service = this.ownService;
    if (service === undefined || this.takers(service).length === 0) {
      return true;
    }
    if (!await this.reachesStore(service)) {
      return false;
    }
    const { grants } = this.context;
    grants.beginRelease(grants.ownRanges);
    return true;
  }

  /** Whether keys are still the own daemon's by the record that others should have. */
  get isGivingUp(): boolean {
    const { grants, keeper } = this.context;
    const service = this.ownService;
    const hasLeft = keeper().phase !== "ready" && grants.ownCount > 0;
    return service !== undefined && this.takers(service).length > 0 &&
      (grants.isReleasing || hasLeft);
  }

  /** Takes ranges that the backend server has given back, with their proofs. */
  noteFreed(freed: readonly FreedRange[]): void {
    this.handovers.push(...freed);
    this.publishReleases();
  }

  /** Does what is due. */
  tick(): void {
    this.confirmTenure();
    this.askPromises();
    this.planReleases();
    this.publishReleases();
    this.releaseForeign();
    this.shed();
    this.lead();
  }

  private get own(): string {
    return this.context.view.ownReport.address;
  }

  private get ownService(): string | undefined {
    const service = this.context.keeper().service;
    return service !== undefined && this.context.directory.isKeyed(service)
      ? service
      : undefined;
  }

  private noteRecord(service: string, record: OwnershipRecord): void {
    const waits = this.waits.get(service) ?? TakeoverWaits.create();
    this.waits.set(service, waits);
    waits.note(record, bootMs());
    if (service === this.ownService && this.registration > 0) {
      const { grants, desk, backend } = this.context;
      const before = grants.ownCount;
      grants.noteOwnership(record, {
        daemon: this.own,
        revision: Math.max(record.revision, this.registration),
      });
      if (grants.ownCount > before) {
        desk.noteArrived((key) => grants.isOwn(key)).forEach((range) =>
          backend.profile.seed(range, range.load)
        );
      }
    }
  }

  /** Reads the record to prove that no takeover of this daemon can have finished. */
  private confirmTenure(): void {
    const service = this.ownService;
    const nowMs = bootMs();
    const hasToGiveUp = this.isGivingUp && !this.isMovable();
    const pauseMs = hasToGiveUp ? CONFIRM_LEAVING_MS : CONFIRM_MS;
    const isDue = nowMs - this.confirmSentMs >= pauseMs;
    if (service === undefined || !isDue || this.isConfirming) {
      return;
    }
    this.confirmSentMs = nowMs;
    this.isConfirming = true;
    void this.readTenure(service, nowMs).finally(() => {
      this.isConfirming = false;
    });
  }

  private async readTenure(service: string, sentAtMs: number): Promise<void> {
    const { store, directory, logger } = this.context;
    const found = await store.get(OWNERSHIP_PREFIX + service);
    if (found.isErr()) {
      logger.log("store_call_failed", { step: "tenure", cause: found.error });
      return;
    }
    const stored = found.value;
    const known = directory.record(service);
    const record = stored === undefined
      ? OwnershipRecord.create()
      : known?.revision === stored.revision
      ? known
      : OwnershipRecord.decode(stored.value, stored.revision).unwrapOr(
        undefined,
      );
    if (record === undefined) {
      logger.log("ownership_unreadable", { service });
      return;
    }
    directory.note(service, record);
    this.ensureTokens(service);
    if (!record.isSealed(this.own)) {
      this.context.tenure.confirm(sentAtMs, record.arbiters);
      return;
    }
    logger.log("ownership_sealed_here", {
      service,
      revision: record.revision,
      tenure_left_ms: Math.round(this.context.tenure.untilMs - bootMs()),
    });
    this.answerSeal(service);
  }

  /** While the store can't be read, the tenure goes on as long as all arbiters promise. */
  private askPromises(): void {
    const { tenure, logger, onPromiseNeeded } = this.context;
    const service = this.ownService;
    const nowMs = bootMs();
    const confirmedForMs = tenure.confirmedForMs(nowMs);
    if (service === undefined || confirmedForMs <= ASK_AFTER_MS) {
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
        arbiters: tenure.arbiters.map(({ daemon }) => daemon),
      });
    }
    tenure.arbiters.forEach(({ daemon }) =>
      onPromiseNeeded(daemon, { service, askedAtMs: nowMs })
    );
  }

  /** Whether an owner is promised not to be taken over: not one that is known to be sealed. */
  mayPromise(service: string, owner: string): boolean {
    const record = this.context.directory.record(service);
    return record !== undefined && record.revision > 0 &&
      !record.isSealed(owner);
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
    void this.write(
      service,
      "unseal",
      (record) =>
        record.isSealed(this.own) ? record.unseal(this.own) : undefined,
    );
  }

  /** A backend server that leaves, is gone or can't be granted any more gives up its keys. */
  private planReleases(): void {
    const { grants, keeper } = this.context;
    const service = this.ownService;
    if (service === undefined || grants.ownCount === 0) {
      return;
    }
    const { phase, handOverUntilMs } = keeper();
    if (this.takers(service).length === 0 || !this.isMovable()) {
      return;
    }
    // One that has left without a heartbeat holds its keys until its grant runs out, and serves them while
    // it may be handed requests.
    const hasLeft = phase === "draining" &&
      (steadyMs() > handOverUntilMs || grants.heldForMs(bootMs()) === 0);
    if (hasLeft || phase === "absent") {
      grants.beginRelease(grants.ownRanges);
      return;
    }
    if (keeper().silentMs() > HEARTBEATS_MISSED_MS) {
      // Its heartbeats don't arrive; once what it holds has run out, it can't serve its keys any more.
      grants.beginRelease(grants.findLapsed(bootMs()));
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
    void this.write(service, "release", (record) => {
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
    const { directory, keeper } = this.context;
    const { service, phase } = keeper();
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
        void this.write(other, "release_foreign", (record) => {
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
      this.destinations.flatMap((destination) => {
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
    return this.context.view.alive(steadyMs())
      .filter((report) =>
        report.service === service && report.phase === "ready"
      )
      .map(({ address, slots }) => ({ daemon: address, weight: slots }));
  }

  /** Moves the keys with the most work away while the own backend server is hotter than others. */
  private shed(): void {
    const { grants, backend, view, keeper, logger } = this.context;
    const service = this.ownService;
    const nowMs = steadyMs();
    if (service === undefined || nowMs - this.shedAtMs < SHED_MS) {
      return;
    }
    this.shedAtMs = nowMs;
    const isMoving = grants.isReleasing || this.planned.length > 0;
    if (keeper().phase !== "ready" || isMoving || !this.isMovable()) {
      return;
    }
    const others = view.alive(nowMs)
      .filter((report) =>
        report.service === service && report.phase === "ready"
      )
      .map(toLoad);
    const own = {
      daemon: this.own,
      utilization: this.utilization,
      slots: keeper().slots,
      serviceMs: backend.serviceMs,
    };
    const record = this.context.directory.record(service);
    const owners = new Set(record?.daemons ?? []);
    this.planned = planShedding(own, others, {
      ranges: grants.ownRanges,
      profile: backend.profile,
      keyless: new Set(
        others
          .map(({ daemon }) => daemon)
          .filter((daemon) => !owners.has(daemon)),
      ),
    });
    this.planned.forEach((move) => {
      logger.log("ownership_shed", {
        service,
        ...move,
        utilization: own.utilization,
      });
    });
    const takers = new Set(this.planned.map(({ daemon }) => daemon));
    takers.forEach((taker) =>
      this.context.onPlanned(
        taker,
        this.planned.filter(({ daemon }) => daemon === taker),
      )
    );
  }

  /**
   * Work that the own keys bring for each slot. Keys that have just gone don't count any more, so that an owner
   * does not shed once more for them.
   */
  get utilization(): number {
    const { grants, backend, keeper } = this.context;
    if (this.ownService === undefined || keeper().slots === 0) {
      return backend.utilization;
    }
    const load = backend.profile.loadOf(grants.ownRanges);
    return load / 1_000 / keeper().slots;
  }

  /** Whether keys wait to be moved away with the next answer to a heartbeat. */
  get hasPlannedMoves(): boolean {
    return this.planned.length > 0;
  }

  /**
   * Asks the store just before keys are given up. Keys that were given up in the seconds before an outage was
   * noticed had no owner until its end.
   */
  private async reachesStore(service: string): Promise<boolean> {
    const sentAtMs = bootMs();
    // It confirms the tenure, too, so the next read for that need not come sooner than after this one.
    this.confirmSentMs = sentAtMs;
    const read = this.readTenure(service, sentAtMs);
    await Promise.race([read, sleep(PROBE_MS, undefined, { ref: false })]);
    return this.context.tenure.confirmedForMs(sentAtMs) <= 0;
  }

  /** Whether a move that begins now can be written, as far as that is known. */
  private isMovable(): boolean {
    return this.context.tenure.confirmedForMs(bootMs()) < MOVABLE_MS;
  }

  /**
   * Begins the planned moves, in the answer to a heartbeat: until then the backend server goes on
   * serving the keys, and the new owners are ready to take them.
   */
  async beginMoves(): Promise<void> {
    const { planned } = this;
    const takers = [...new Set(planned.map(({ daemon }) => daemon))];
    await this.context.desk.awaitTakers(takers);
    this.planned = [];
    const service = this.ownService;
    if (service !== undefined && await this.reachesStore(service)) {
      this.destinations = [...planned];
      this.context.grants.beginRelease(planned);
    }
  }

  /**
   * The leading daemon gives keys without an owner to one, and takes them from lost ones; so does an arbiter as
   * soon as it may.
   */
  private lead(): void {
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
    const nowMs = steadyMs();
    if (nowMs - this.startedAtMs < SETTLE_MS || !view.ownReport.reachesStore) {
      return false;
    }
    return view.alive(nowMs)
      .filter(({ reachesStore, phase }) => reachesStore && phase !== "stopping")
      .every(({ address }) => address > this.own);
  }

  private leadService(service: string): void {
    const known = this.context.directory.record(service);
    if (known === undefined || known.revision === 0) {
      this.assignFirst(service);
      return;
    }
    if (!this.assignNeedy(service) && !this.sealLost(service, known)) {
      this.appointArbiters(service, known);
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
        known.rangesUnder(seal)
      ),
    ];
    if (needy.length === 0) {
      return false;
    }
    void this.write(service, "assign", (record) => {
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
    const office = known.officeOf(this.own);
    if (office === undefined && !this.isLeading()) {
      return [];
    }
    return known.sealedOwners
      .map(({ seal }) => seal)
      .filter((seal) => waits?.isOver(seal, nowMs, office) === true);
  }

  /** Names living daemons as arbiters, so that the keys of a lost host are free soon. */
  private appointArbiters(service: string, known: OwnershipRecord): void {
    const present = known.arbiters.map(({ daemon }) => daemon);
    const chosen = this.chooseArbiters(service, known);
    if (present.toSorted().join() === chosen.toSorted().join()) {
      return;
    }
    void this.write(
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
      unheard: view.known.length - alive.length,
      unannounced: members.filter(({ phase }) => phase === "absent").length,
      takers: takers.length,
      waitedMs: nowMs - this.startedAtMs,
    });
    if (!isDue) {
      return;
    }
    void this.write(
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
    void this.write(
      service,
      "seal",
      (record) =>
        record.revision === known.revision ? record.seal(lost) : undefined,
    );
    return true;
  }

  private allTakers(service: string): Candidate[] {
    const { view, keeper } = this.context;
    const own = keeper();
    const isTaker = own.service === service && own.phase === "ready";
    return [
      ...this.takers(service),
      ...(isTaker
        ? [{ daemon: view.ownReport.address, weight: own.slots }]
        : []),
    ];
  }

  /**
   * Changes a record by compare-and-swap, one change of a service at a time.
   *
   * Where the outcome stays unknown nothing is assumed: the ranges concerned stay given up here, and
   * the next tick reads the record and decides anew.
   */
  private async write(
    service: string,
    purpose: string,
    change: Change,
  ): Promise<void> {
    const isPaused = steadyMs() < (this.pausedUntilMs.get(service) ?? 0);
    if (this.busy.has(service) || isPaused) {
      return;
    }
    this.busy.add(service);
    try {
      await this.tryWrite(service, purpose, change);
    } finally {
      this.busy.delete(service);
    }
  }

  private async tryWrite(
    service: string,
    purpose: string,
    change: Change,
  ): Promise<void> {
    const { store, directory, logger } = this.context;
    const key = OWNERSHIP_PREFIX + service;
    for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt += 1) {
      const known = directory.record(service) ?? OwnershipRecord.create();
      const changed = change(known);
      if (changed === undefined) {
        return;
      }
      const value = changed.encode();
      const written = await writeSettled(store, {
        key,
        value,
        expectedRevision: known.revision,
      });
      if (written.isOk()) {
        logger.log("ownership_written", {
          service,
          purpose,
          from_revision: known.revision,
          revision: written.value,
        });
        const record = changed.withRevision(written.value);
        directory.note(service, record);
        this.context.onWritten(service, record);
        return;
      }
      logger.log("ownership_write_failed", {
        service,
        purpose,
        from_revision: known.revision,
        cause: written.error,
      });
      if (written.error.code !== "conflict") {
        this.pausedUntilMs.set(service, steadyMs() + WRITE_PAUSE_MS);
        return;
      }
      await this.reread(service);
    }
  }

  private async reread(service: string): Promise<void> {
    const { store, directory } = this.context;
    const key = OWNERSHIP_PREFIX + service;
    const found = await store.get(key);
    if (found.isOk() && found.value !== undefined) {
      directory.noteStored(key, found.value);
    }
  }
}

function toLoad({ address, utilization, slots, serviceMs }: MemberReport) {
  return { daemon: address, utilization, slots, serviceMs };
}
