/**
 * The planner: takes over from lost sessions, assigns partitions to owners and moves them between owners.
 *
 * Any daemon can be elected planner. It writes every decision by compare-and-swap, every step is idempotent,
 * and its state can be rebuilt, so the loss of the planner causes a delay but never an inconsistency.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import type { Logger } from "@bamboolink/logger";
import {
  assignPartitions,
  type Candidate,
  createShards,
  type LeaseTiming,
  type PartitionChange,
  rewriteShard,
  SuspicionLedger,
  TakeoverTracker,
} from "@bamboolink/ownership";
import {
  type FleetStatusResponse,
  FleetStatusResponseSchema,
  type ReportRequest,
} from "@bamboolink/protocol";
import { type Store, writeAndVerify } from "@bamboolink/store";
import {
  NO_OWNER,
  type Service,
  sessionKey,
  type SessionRecord,
  tableKey,
  type TableShard,
} from "@bamboolink/types";
import { BackgroundTask } from "./background_task.ts";
import { monotonicMs, wallClockMs } from "./clock.ts";
import type { Fleet } from "./fleet.ts";
import { HandoverRunner } from "./handover_runner.ts";
import type { PeerClients } from "./peer_clients.ts";
import { PlannerElection } from "./planner_election.ts";
import { ReportRegistry } from "./report_registry.ts";

/** Time without a report after which a session is sealed, in milliseconds. */
const REPORT_TIMEOUT_MS = 15_000;
/** Minimum and maximum wait of a new service for more sessions before its first assignment, in milliseconds. */
const MIN_STARTUP_DELAY_MS = 1_000;
const MAX_STARTUP_DELAY_MS = 5_000;
/** Time without the necessary evidence after which a takeover is reported to operators, in milliseconds. */
const STUCK_TAKEOVER_DELAY_MS = 3_000;
/** Time for which unreferenced records of ended sessions are retained, in milliseconds. */
const ENDED_RECORD_RETENTION_MS = 30_000;

/** Dependencies of the planner. */
export interface PlannerContext {
  readonly store: Store;
  readonly fleet: Fleet;
  readonly clients: PeerClients;
  readonly logger: Logger;
  readonly timing: LeaseTiming;
}

/** The planner's role in one daemon; idle unless elected. */
export class Planner {
  private readonly election: PlannerElection;
  private readonly suspicions = SuspicionLedger.create();
  private readonly reports = ReportRegistry.create();
  private readonly roundTask: BackgroundTask;
  private readonly firstSeenAtMs = new Map<string, number>();
  private readonly endedAtMs = new Map<string, number>();
  private readonly stuckAtMs = new Map<string, number>();
  private takeovers: TakeoverTracker;
  private handovers: HandoverRunner;
  private electedSession: string | undefined;

  private constructor(private readonly context: PlannerContext) {
    this.election = PlannerElection.create(context);
    this.roundTask = BackgroundTask.create(context.logger, "planner.round");
    this.takeovers = TakeoverTracker.create(context.timing);
    this.handovers = this.createHandovers();
  }

  /** Creates an idle planner. */
  static create(context: PlannerContext): Planner {
    return new Planner(context);
  }

  /** Whether this daemon is the planner. */
  get isPlanner(): boolean {
    return this.election.isPlanner(this.electedSession);
  }

  /**
   * Runs one step of the control loop.
   *
   * @param nowMs current time on the monotonic clock, in milliseconds.
   * @param session id of this daemon's session if it is serving.
   */
  tick(nowMs: number, session: string | undefined): void {
    const ranked = this.context.fleet.watchers;
    const candidate = ranked.some((record) => record.id === session)
      ? session
      : undefined;
    this.election.tick(nowMs, {
      candidate,
      isLost: (id) => this.isLost(id, nowMs),
    });
    if (!this.election.isPlanner(session)) {
      this.electedSession = undefined;
      return;
    }
    if (this.electedSession !== session) {
      this.startTerm(session as string);
    }
    this.roundTask.start(() => this.runRound());
  }

  /** Records that a witness received no renewal from some sessions within their time-out. */
  recordSuspicions(witness: string, sessions: readonly string[]): void {
    const nowMs = monotonicMs();
    sessions.forEach((session) =>
      this.suspicions.report(session, { witness, nowMs })
    );
  }

  /** Records a daemon's report; returns whether this daemon is the planner. */
  recordReport(report: ReportRequest): boolean {
    this.reports.record(report, monotonicMs());
    return this.isPlanner;
  }

  /** Describes the state of the fleet for operators. */
  describeFleet(): FleetStatusResponse {
    const nowMs = monotonicMs();
    return create(FleetStatusResponseSchema, {
      isPlanner: this.isPlanner,
      session: this.electedSession ?? "",
      configurationVersion: BigInt(
        this.context.fleet.configuration?.version.version ?? 0,
      ),
      revision: BigInt(this.context.fleet.revision),
      daemons: this.reports.all().map(({ report, receivedAtMs }) => ({
        report,
        ageMs: nowMs - receivedAtMs,
      })),
      stuck: this.takeovers.findStuck(),
    });
  }

  /** Resigns as planner. */
  async close(): Promise<void> {
    await this.election.close();
  }

  private startTerm(session: string): void {
    this.electedSession = session;
    this.takeovers = TakeoverTracker.create(this.context.timing);
    this.handovers = this.createHandovers();
    this.reports.clear();
    this.firstSeenAtMs.clear();
  }

  private createHandovers(): HandoverRunner {
    return HandoverRunner.create({ ...this.context, reports: this.reports });
  }

  private async runRound(): Promise<void> {
    const nowMs = monotonicMs();
    const { sessions } = this.context.fleet;
    this.observe(sessions, nowMs);
    await this.sealSuspects(sessions, nowMs);
    this.takeovers.observe(this.context.fleet.sessions, monotonicMs());
    await this.collectRefusals();
    this.takeovers.advance(monotonicMs());
    this.reportStuck(monotonicMs());
    await this.assignAll();
    await this.handovers.run(monotonicMs(), this.candidatesByService());
    await this.deleteObsoleteRecords();
  }

  private observe(sessions: readonly SessionRecord[], nowMs: number): void {
    const known = new Set(sessions.map((session) => session.id));
    this.suspicions.retain(known);
    this.reports.retain(
      new Set(
        sessions.filter(({ state }) => state === "open").map(({ id }) => id),
      ),
    );
    sessions
      .filter((session) => !this.firstSeenAtMs.has(session.id))
      .forEach((session) => this.firstSeenAtMs.set(session.id, nowMs));
    [...this.firstSeenAtMs.keys()].filter((id) => !known.has(id)).forEach((
      id,
    ) => this.firstSeenAtMs.delete(id));
  }

  private isLost(id: string, nowMs: number): boolean {
    const session = this.context.fleet.session(id);
    return session === undefined || session.state !== "open" ||
      this.isSuspected(session, nowMs);
  }

  private isSuspected(session: SessionRecord, nowMs: number): boolean {
    const isOpen = (witness: string) =>
      this.context.fleet.session(witness)?.state === "open";
    return this.suspicions.isSuspected(session, { nowMs, isOpen });
  }

  private async sealSuspects(
    sessions: readonly SessionRecord[],
    nowMs: number,
  ): Promise<void> {
    const replaced = new Set(sessions.flatMap((session) => session.replaces));
    const reasonFor = (session: SessionRecord): string | undefined => {
      if (session.state !== "open" || session.id === this.electedSession) {
        return undefined;
      }
      if (replaced.has(session.id)) {
        return "its daemon restarted";
      }
      const lastReportAtMs = this.reports.latestOf(session.id)?.receivedAtMs ??
        this.firstSeenAtMs.get(session.id) ?? nowMs;
      return this.isSuspected(session, nowMs)
        ? "its witnesses heard nothing from it"
        : nowMs - lastReportAtMs > REPORT_TIMEOUT_MS
        ? "it reported nothing to the planner"
        : undefined;
    };
    const suspects = sessions.flatMap((session) => {
      const reason = reasonFor(session);
      return reason === undefined ? [] : [{ session, reason }];
    });
    await Promise.all(
      suspects.map(({ session, reason }) => this.seal(session, reason)),
    );
  }

  private async seal(session: SessionRecord, reason: string): Promise<void> {
    const known = this.context.fleet.state.sessions.get(session.id);
    if (known === undefined) {
      return;
    }
    // The sealed record must be a copy of the record at the expected revision: with an older set of witnesses,
    // the takeover would query the wrong sessions.
    const sealed: SessionRecord = {
      ...known.record,
      state: "sealed",
      sealed_reason: reason,
    };
    if (await this.writeSession(sealed, known.revision)) {
      this.context.logger.log("takeover_started", {
        session: session.id,
        host: session.host,
        reason,
      });
    }
  }

  private async writeSession(
    record: SessionRecord,
    expectedRevision: number,
  ): Promise<boolean> {
    const key = sessionKey(record.id);
    const written = await writeAndVerify(this.context.store, {
      key,
      value: JSON.stringify(record),
      expectedRevision,
    });
    return written.isOk();
  }

  private async collectRefusals(): Promise<void> {
    const pending = [...this.takeovers.pendingRefusals()]
      .filter(([witness]) =>
        this.context.fleet.session(witness)?.state === "open"
      );
    await Promise.all(
      pending.map(([witness, sessions]) =>
        this.requestRefusals(witness, sessions)
      ),
    );
  }

  private async requestRefusals(
    witness: string,
    sessions: string[],
  ): Promise<void> {
    const address = this.context.fleet.session(witness)?.control_address;
    if (address === undefined) {
      return;
    }
    const response = await this.context.clients.call(address, {
      step: "planner.refuse",
      send: (client, options) => client.refuse({ witness, sessions }, options),
    });
    if (response.isOk() && response.value.isWitness) {
      const nowMs = monotonicMs();
      response.value.refusals.forEach(({ session, remainingMs }) =>
        this.takeovers.recordRefusal(session, { witness, remainingMs, nowMs })
      );
    }
  }

  /** Logs each takeover that has lacked evidence for `STUCK_TAKEOVER_DELAY_MS`, once. */
  private reportStuck(nowMs: number): void {
    const stuck = this.takeovers.findStuck();
    [...this.stuckAtMs.keys()].filter((id) => !stuck.includes(id)).forEach((
      id,
    ) => this.stuckAtMs.delete(id));
    stuck.forEach((id) => {
      const startedAtMs = this.stuckAtMs.get(id) ?? nowMs;
      const isDue = nowMs - startedAtMs >= STUCK_TAKEOVER_DELAY_MS;
      this.stuckAtMs.set(id, isDue ? Infinity : startedAtMs);
      if (isDue) {
        const host = this.context.fleet.session(id)?.host;
        this.context.logger.log("takeover_waiting", { session: id, host });
      }
    });
  }

  private candidatesByService(): Map<string, Candidate[]> {
    const services = [
      ...(this.context.fleet.configuration?.services.values() ?? []),
    ];
    return new Map(
      services.map((service) => [service.name, this.candidatesOf(service)]),
    );
  }

  /** Sessions to which partitions may be assigned: serving, in an allowed availability zone and not draining. */
  private candidatesOf(service: Service): Candidate[] {
    const { fleet } = this.context;
    return fleet.sessions
      .filter((session) =>
        session.service === service.name && session.state === "open" &&
        !session.draining
      )
      .filter((session) =>
        service.availability_zones.includes(session.availability_zone)
      )
      .filter((session) => !fleet.state.drains.has(session.host))
      .filter((session) =>
        this.reports.latestOf(session.id)?.report.serving === true
      )
      .map((session) => ({ session: session.id, capacity: session.slots }))
      .sort((left, right) => left.session < right.session ? -1 : 1);
  }

  private async assignAll(): Promise<void> {
    const services = [
      ...(this.context.fleet.configuration?.services.values() ?? []),
    ];
    await Promise.all(services.map((service) => this.assignService(service)));
    await Promise.all(
      this.takeovers.replaceable()
        .filter((session) => !this.ownsAnything(session))
        .map((session) => this.finishTakeover(session)),
    );
  }

  /** Assigns the partitions of one service that need an owner. */
  private async assignService(service: Service): Promise<void> {
    const candidates = this.candidatesOf(service);
    const shards = this.shardsOf(service);
    const isNew = shards.some((shard) => shard.version === 0);
    if (isNew && !this.isReadyForFirstAssignment(service, candidates.length)) {
      return;
    }
    if (!shards.some((shard) => this.needsOwners(shard))) {
      return;
    }
    const changes = assignPartitions(shards, {
      candidates,
      mayReplace: (session) => this.takeovers.mayReplace(session),
    });
    await Promise.all(shards.map((shard) => this.writeShard(shard, changes)));
  }

  private needsOwners(shard: TableShard): boolean {
    return shard.owners.includes(NO_OWNER) ||
      shard.sessions.some((session) => this.takeovers.mayReplace(session));
  }

  private shardsOf(service: Service): TableShard[] {
    const known = this.context.fleet.state.shards.map((shard) => shard.record);
    return createShards(service.name, service.partitions).map((empty) =>
      known.find((shard) =>
        shard.service === service.name && shard.first === empty.first
      ) ?? empty
    );
  }

  /**
   * Whether the first assignment of a new service may be made: all its sessions are serving, or the last one to
   * appear has had the maximum time to start.
   *
   * Without this wait, the first session to report would get all partitions, and the others would get their
   * share in moves of one hundredth at a time: one busy and several idle servers for half a minute.
   */
  private isReadyForFirstAssignment(
    service: Service,
    candidateCount: number,
  ): boolean {
    const firstSeenTimes = this.context.fleet.sessions
      .filter((session) =>
        session.service === service.name && session.state === "open"
      )
      .map((session) => this.firstSeenAtMs.get(session.id) ?? Infinity);
    const waitedMs = monotonicMs() - Math.max(...firstSeenTimes);
    return waitedMs >= MIN_STARTUP_DELAY_MS &&
      (candidateCount === firstSeenTimes.length ||
        waitedMs >= MAX_STARTUP_DELAY_MS);
  }

  private async writeShard(
    shard: TableShard,
    changes: readonly PartitionChange[],
  ): Promise<void> {
    const reason = shard.version === 0
      ? "first assignment"
      : "takeover from ended sessions";
    const next = rewriteShard(shard, { changes, reason, nowMs: wallClockMs() });
    if (next === undefined) {
      return;
    }
    const known = this.context.fleet.state.shards.find((stored) =>
      stored.record.service === shard.service &&
      stored.record.first === shard.first
    );
    const written = await writeAndVerify(this.context.store, {
      key: tableKey(shard.service, shard.first),
      value: JSON.stringify(next),
      expectedRevision: known?.revision ?? 0,
    });
    if (written.isOk()) {
      const { service, first, version } = next;
      this.context.logger.log("table_written", {
        service,
        first,
        version,
        reason,
      });
    }
  }

  private async finishTakeover(id: string): Promise<void> {
    const known = this.context.fleet.state.sessions.get(id);
    if (known === undefined) {
      return;
    }
    const ended: SessionRecord = { ...known.record, state: "ended" };
    if (await this.writeSession(ended, known.revision)) {
      this.takeovers.finish(id);
      const { host } = known.record;
      this.context.logger.log("takeover_finished", { session: id, host });
    }
  }

  private ownsAnything(id: string): boolean {
    return this.context.fleet.state.shards.some(({ record }) =>
      record.sessions.includes(id)
    );
  }

  /** Deletes records of ended sessions that no witness set and no shard refers to. */
  private async deleteObsoleteRecords(): Promise<void> {
    const nowMs = monotonicMs();
    const { sessions, state } = this.context.fleet;
    const referenced = new Set(
      sessions.filter(({ state }) => state !== "ended").flatMap((session) =>
        session.witnesses
      ),
    );
    const ended = sessions.filter((session) => session.state === "ended");
    ended.filter(({ id }) => !this.endedAtMs.has(id)).forEach(({ id }) =>
      this.endedAtMs.set(id, nowMs)
    );
    const obsolete = ended.filter(({ id }) =>
      nowMs - (this.endedAtMs.get(id) as number) > ENDED_RECORD_RETENTION_MS &&
      !referenced.has(id) && !this.ownsAnything(id)
    );
    await Promise.all(obsolete.map(async ({ id }) => {
      const expectedRevision = state.sessions.get(id)?.revision ?? 0;
      await this.context.store.compareAndSwap({
        key: sessionKey(id),
        value: undefined,
        expectedRevision,
      });
      this.endedAtMs.delete(id);
    }));
  }
}
