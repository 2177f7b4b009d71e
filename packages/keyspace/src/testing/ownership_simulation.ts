/**
 * A discrete-event simulation of daemons, backend servers and the store on virtual time. It exercises the rules that
 * keep every key with at most one holder under delays, crashes, suspensions, outages and clocks with different rates.
 *
 * It runs the real decision code and simulates only its environment. Each fault is a broken variant of one rule or
 * assumption, which the checked properties must detect.
 *
 * @module
 */
import {
  ARBITER_WAIT_MS,
  ArbiterState,
  type Grant,
  type GrantLimit,
  GrantTracker,
  type Heartbeat,
  type HeldRange,
  IncarnationTracker,
  intersect,
  KEY_COUNT,
  type KeyRange,
  OwnershipLease,
  OwnershipRecord,
  type PromiseRequest,
  RangeMap,
  type ReleasedRange,
  RepairTimer,
  RestoreTimer,
  TAKEOVER_WAIT_MS,
  TakeoverTimers,
} from "../mod.ts";
import { toMonotonicRevision } from "@bamboolink/types";

/** A broken variant of one rule or assumption. */
export type Fault =
  /** A lease counts from when the store's response was received. */
  | "lease_from_response"
  /** A lease is measured by the monotonic clock, which stops during a suspension. */
  | "monotonic_clock"
  /** A takeover waits for the lease by its own clock, without allowing for the drift of other clocks. */
  | "takeover_without_drift"
  /** A takeover assigns the keys without waiting. */
  | "takeover_at_once"
  /** Seals have no unique id: the wait counts from the first one that was observed. */
  | "reused_seal_id"
  /** Keys are assigned to another owner before the backend server has released them. */
  | "assign_before_release"
  /** A restarted daemon assumes that its backend server holds no keys. */
  | "restart_without_holds"
  /** Tokens of a restarted daemon are derived from the record alone. */
  | "tokens_from_record"
  /** A promise counts from when it was received. */
  | "promise_from_response"
  /** The promise of one arbiter suffices. */
  | "one_promise_suffices"
  /** Arbiters make promises to owners that they have observed as sealed. */
  | "promise_to_sealed_owner"
  /** An arbiter takes over after the short lease as soon as it is appointed. */
  | "arbiter_without_wait"
  /** Appointments have no unique id: an arbiter counts its time from an earlier appointment. */
  | "reused_appointment_id"
  /** The shared reader responds with what it had read before the request. */
  | "read_before_request"
  /** Tokens are not raised although another owner may have held the keys. */
  | "tokens_outlive_lease"
  /** An arbiter keeps no seals: an owner that it has taken over is treated like any other. */
  | "promise_after_takeover"
  /** A restarted arbiter makes promises at once. */
  | "promise_after_restart"
  /** A backend server that restarts with the same id is treated as the former process. */
  | "id_identifies_process"
  /** A corrupt record is replaced by the last known one at once. */
  | "repair_at_once"
  /** Records are ordered, and tokens derived, by the store's own revisions without the era. */
  | "order_without_era"
  /** A record of an earlier era is treated as valid after a rollback of the store. */
  | "earlier_era_accepted"
  /** A restored record grants keys like any other. */
  | "restored_grants_keys"
  /** A restored record confirms leases that were not valid just before, too. */
  | "restored_confirms_all"
  /** A restored record takes full effect at once. */
  | "settle_at_once"
  /** Writes of an earlier process of a daemon may take effect after its restart. */
  | "writes_outlive_process"
  /** A starting daemon confirms its lease by reads that it sent before it was registered. */
  | "read_before_fence"
  /** Writes that were sent for another service's backend server at an address may take effect afterwards. */
  | "writes_outlive_service"
  /** A release of another service's keys that has failed is repeated without a check of the backend server's service. */
  | "foreign_release_planned_once"
  /** A settlement of a restored record that has failed is repeated without a check of the wait. */
  | "settle_planned_once"
  /** The wait for a restored record counts only records that the daemon has read, not those that others have sent. */
  | "restoration_unnoticed";

/** One step of a schedule; `a` and `b` are its parameters, whose meaning is stated at each kind that uses them. */
export interface Step {
  readonly kind: StepKind;
  /** Index of the host, modulo the number of hosts. */
  readonly host: number;
  readonly a: number;
  readonly b: number;
}

/** The kinds of steps. In steps that involve another host, `b` selects which of the others it is. */
export const STEP_KINDS = [
  /** The time advances by `4 * a` ms. */
  "advance",
  /** A heartbeat whose request is delayed by `a % 40` ms, and its response by `b % 40` ms. */
  "heartbeat",
  /** A heartbeat whose request is delayed by `3 * a` ms, and its response by `b` ms. */
  "late_heartbeat",
  /** A read of the store whose request is delayed by `a % 200` ms, and its response by `2 * b` ms. */
  "confirm",
  /** A shared read by the other host, which collects requests for `a % 400` ms; the response takes `2 * b` ms. */
  "shared_confirm",
  "release",
  /**
   * Released keys are assigned to the other host; the write takes `5 * a` ms if `b` is divisible by 3, else 2 ms, and
   * gets no response if `a` is even.
   */
  "publish",
  /** The host seals the other host. */
  "seal",
  /** The host takes the other host over. */
  "take_over",
  "unseal",
  "crash_server",
  "restart_server",
  /**
   * The daemon restarts. If `b % 3` is 1, its registration takes `5 * a` ms and is repeated, and its first read takes as
   * long; otherwise both take 2 ms.
   */
  "restart_daemon",
  /** The backend server is replaced by one of another service, or that by one of the simulated service. */
  "change_service",
  /**
   * The keys of a host whose backend server belongs to another service are assigned to the other host; the write takes
   * as long as that of `publish`.
   */
  "release_foreign",
  /** The host receives the newest record that the other host knows. */
  "gossip",
  /** The daemon is suspended for `20 * a` ms. */
  "suspend",
  /** The store is unreachable for `10 * a` ms. */
  "outage",
  /** Arbiters are appointed: by `a % 3` the host, the host and the other host, or the other host. */
  "appoint",
  /** Promises are requested; the requests are delayed by `a % 50` ms, and the responses by `5 * b` ms. */
  "request_promises",
  /** Another writer replaces the record if `b` is even, and deletes it otherwise. */
  "corrupt",
  /** A corrupt record is replaced; the write takes `5 * a` ms if `b` is divisible by 3, else 2 ms. */
  "repair",
  /** The store is restored from an older snapshot, so that `1 + a % 6` changes are lost. */
  "roll_back",
  /** The host observes the store's era in the response to a call that does not read the record. */
  "observe_era",
  /** The record is restored; the write takes `5 * a` ms if `b` is divisible by 3, else 2 ms. */
  "restore",
  /** A restored record is settled; the write takes as long as that of `publish`. */
  "settle",
] as const;
export type StepKind = typeof STEP_KINDS[number];

/** Share by which the clocks of backend servers run slow. */
const SERVER_CLOCK_DRIFT = 0.02;
/** After this time a response to a heartbeat is ignored, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 1_000;
/** Time after which a heartbeat is overdue, in milliseconds. */
const HEARTBEAT_OVERDUE_MS = 1_300;
/** Time after which a server that does not respond to a probe counts as stopped, in milliseconds. */
const UNRESPONSIVE_MS = 2_500;
/** Maximum number of changes that the store loses in a rollback. */
const MAX_LOST_SNAPSHOTS = 6;
/** Difference between the monotonic revisions of consecutive eras. */
const REVISIONS_PER_ERA = toMonotonicRevision({ era: 1, revision: 1 }) - 1;
/** The service whose keys are simulated, and another one that may run at the same addresses. */
const SERVICE = "simulated";
const OTHER_SERVICE = "other";
/** Clock rates of the daemons. */
const DAEMON_CLOCK_RATES = [1.009, 0.991, 1, 1.005];
/** Maximum time between two checks of the properties, in milliseconds. */
const MAX_TIME_STEP_MS = 50;
/** Delay of a write that is not delayed by a step, and of the response to it, in milliseconds. */
const WRITE_DELAY_MS = 2;
/** Time after which a daemon repeats a write that has got no response, in milliseconds. */
const WRITE_TIMEOUT_MS = 1_000;
/** Pause before a change that conflicts with another one is planned again, in milliseconds. */
const CONFLICT_PAUSE_MS = 10;
/** Number of ranges above which neighbours are joined: one, so that joins are frequent. */
const MAX_SEPARATE_RANGES = 1;
/** A response to a heartbeat holds three ranges, so that some ranges don't fit. */
const GRANT_LIMIT: GrantLimit = { bytes: 3, measure: () => 1 };
/** Maximum number of attempts to write one change of the record. */
const MAX_WRITE_ATTEMPTS = 4;

interface Server {
  readonly service: string;
  instance: string;
  /** Identifies the process, even if it keeps the id of an earlier one. */
  born: number;
  sequence: number;
  /** The latest heartbeat whose response was applied. */
  appliedSequence: number;
  readonly holds: RangeMap<{ token: number; expiresAtMs: number }>;
  freed: ReleasedRange[];
  /** Highest token that this incarnation has received. */
  maxToken: number;
}

interface Host {
  readonly name: string;
  readonly rate: number;
  server: Server;
  /** The service of the backend server whose heartbeat was accepted last. */
  service: string | undefined;
  /** The condition of this process's writes; 0 before it is registered. */
  guard: number;
  /** Number of renewals of the registration that have begun. */
  renewals: number;
  /** Heartbeat of the previous incarnation, which may still arrive. */
  formerHeartbeat: Heartbeat | undefined;
  grants: GrantTracker;
  lease: OwnershipLease;
  takeoverTimers: TakeoverTimers;
  arbiterState: ArbiterState;
  incarnations: IncarnationTracker;
  repairTimer: RepairTimer;
  restoreTimer: RestoreTimer;
  /** The latest era of the store that the daemon has observed. */
  era: number;
  record: OwnershipRecord;
  registrationRevision: number;
  suspendedUntilMs: number;
  suspendedForMs: number;
  handovers: ReleasedRange[];
  restarts: number;
}

/** The content of the store at one time. */
interface Snapshot {
  readonly stored: OwnershipRecord;
  readonly corruptRevision: number | undefined;
  readonly revision: number;
  readonly registrations: ReadonlyMap<string, number>;
}

/** The result of a read of the store. */
interface ReadResult {
  readonly stored: OwnershipRecord;
  readonly corruptRevision: number | undefined;
  readonly era: number;
}

/** Plans a change by the state at the time of the call; `undefined` if there is nothing to change then. */
type RecordChange = (record: OwnershipRecord) => OwnershipRecord | undefined;

/** How a write reaches the store. */
interface WriteTransport {
  readonly delayMs: number;
  /** Otherwise the response is lost, and the daemon repeats the write. */
  readonly isAnswered: boolean;
}

const PROMPT: WriteTransport = { delayMs: WRITE_DELAY_MS, isAnswered: true };

/** A compare-and-swap of the record. */
interface ConditionalWrite {
  readonly record: OwnershipRecord;
  readonly expectedRevision: number;
  readonly guard: number;
  /** Plans the change again, by the state at that time, if attempts are left. */
  readonly planAgain: () => void;
}

type WriteOutcome =
  | { readonly kind: "written"; readonly stored: OwnershipRecord }
  | { readonly kind: "conflict" | "superseded" | "failed" };

interface ScheduledEvent {
  readonly dueAtMs: number;
  readonly run: () => void;
}

/** The simulated service. */
export class OwnershipSimulation {
  /** Descriptions of the violations of the properties. */
  readonly violations: string[] = [];
  private readonly hosts: Host[];
  private events: ScheduledEvent[] = [];
  private nowMs = 100_000;
  private outageUntilMs = 0;
  private stored = OwnershipRecord.create();
  /** Revision of the corrupt value that another writer has written in place of the record; 0 if it was deleted. */
  private corruptRevision: number | undefined;
  private revision = 1;
  private era = 0;
  private snapshots: Snapshot[] = [];
  /** Revisions of the records by which daemons are registered, by name. */
  private registrations = new Map<string, number>();
  private serverCount = 0;
  private readonly highestTokens = RangeMap.create<
    { token: number; holder: string }
  >();

  private constructor(
    size: number,
    private readonly fault: Fault | undefined,
  ) {
    this.hosts = Array.from(
      { length: size },
      (_, index) => this.createHost(index),
    );
    this.assignFirst();
  }

  /** Creates a simulation with `size` hosts, in which all keys have an owner. */
  static create(size: number, fault?: Fault): OwnershipSimulation {
    return new OwnershipSimulation(size, fault);
  }

  /** Runs a schedule. */
  run(steps: readonly Step[]): void {
    steps.forEach((step) => this.step(step));
  }

  /** Number of keys that any backend server holds. */
  get heldKeys(): number {
    const held = RangeMap.create<true>();
    this.hosts.forEach((host) =>
      this.holdsOf(host).forEach((range) => held.set(range, true))
    );
    return held.segments.reduce((sum, { from, to }) => sum + to - from + 1, 0);
  }

  private step({ kind, host: index, a, b }: Step): void {
    const host = this.hosts[index % this.hosts.length]!;
    const other = this.hosts[
      (index + 1 + (b % (this.hosts.length - 1))) %
      this.hosts.length
    ]!;
    switch (kind) {
      case "advance":
        return this.advance(a * 4);
      case "heartbeat":
        return this.sendHeartbeat(host, {
          requestDelayMs: a % 40,
          responseDelayMs: b % 40,
        });
      case "late_heartbeat":
        return this.sendHeartbeat(host, {
          requestDelayMs: a * 3,
          responseDelayMs: b,
        });
      case "confirm":
        return this.confirm(host, {
          requestDelayMs: a % 200,
          responseDelayMs: b * 2,
        });
      case "shared_confirm":
        return this.confirmShared(host, {
          reader: other,
          gatherMs: a % 400,
          responseDelayMs: b * 2,
        });
      case "release":
        return host.grants.beginRelease(host.grants.ownRanges.slice(0, 1));
      case "publish":
        return this.publish(host, {
          to: other,
          delayMs: b % 3 === 0 ? a * 5 : 2,
          isAnswered: a % 2 !== 0,
        });
      case "seal":
        return this.write(
          host,
          this.onlyFor(host.record, (record) => record.seal([other.name])),
        );
      case "take_over":
        return this.takeOver(host, other);
      case "unseal":
        return this.write(
          host,
          (record) =>
            record.isSealed(host.name) ? record.unseal(host.name) : undefined,
        );
      case "crash_server":
        return this.replaceServer(host, this.createServer());
      case "restart_server":
        return this.replaceServer(
          host,
          this.createServer({ instance: host.server.instance }),
        );
      case "restart_daemon":
        return this.restartDaemon(
          host,
          b % 3 === 1 ? { delayMs: a * 5, repeats: true } : { delayMs: 2 },
        );
      case "change_service":
        return this.replaceServer(
          host,
          this.createServer({
            service: host.server.service === SERVICE ? OTHER_SERVICE : SERVICE,
          }),
        );
      case "release_foreign":
        return this.releaseForeign(host, {
          to: other,
          delayMs: b % 3 === 0 ? a * 5 : 2,
          isAnswered: a % 2 !== 0,
        });
      case "gossip":
        return this.scheduleOnHost(
          host,
          1,
          () => this.applyRecord(host, other.record),
        );
      case "suspend":
        host.suspendedUntilMs = this.nowMs + a * 20;
        host.suspendedForMs += a * 20;
        return;
      case "outage":
        this.outageUntilMs = this.nowMs + a * 10;
        return;
      case "appoint":
        return this.appoint(host, { other, choice: a });
      case "request_promises":
        return this.requestPromises(host, {
          requestDelayMs: a % 50,
          responseDelayMs: b * 5,
        });
      case "corrupt":
        this.revision += 1;
        this.corruptRevision = b % 2 === 0 ? this.currentRevision() : 0;
        this.takeSnapshot();
        return;
      case "repair":
        return this.repair(host, b % 3 === 0 ? a * 5 : 2);
      case "roll_back":
        return this.rollBack(a);
      case "observe_era":
        if (this.nowMs >= this.outageUntilMs) {
          host.era = this.era;
        }
        return;
      case "restore":
        return this.restore(host, b % 3 === 0 ? a * 5 : 2);
      case "settle":
        return this.settle(host, {
          delayMs: b % 3 === 0 ? a * 5 : WRITE_DELAY_MS,
          isAnswered: a % 2 !== 0,
        });
    }
  }

  /** The current monotonic revision. */
  private currentRevision(): number {
    const era = this.fault === "order_without_era" ? 0 : this.era;
    return toMonotonicRevision({ era, revision: this.revision });
  }

  private takeSnapshot(): void {
    const { stored, corruptRevision, revision } = this;
    const registrations = new Map(this.registrations);
    this.snapshots.push({ stored, corruptRevision, revision, registrations });
  }

  /** Rolls the store back to an older snapshot, after which it assigns the same revisions again. */
  private rollBack(choice: number): void {
    const lostCount = 1 + choice % MAX_LOST_SNAPSHOTS;
    const keptCount = Math.max(1, this.snapshots.length - lostCount);
    this.snapshots = this.snapshots.slice(0, keptCount);
    const snapshot = this.snapshots.at(-1)!;
    this.era += 1;
    this.revision = snapshot.revision;
    this.registrations = new Map(
      [...snapshot.registrations].map((
        [name, revision],
      ) => [name, this.inCurrentEra(revision)]),
    );
    this.corruptRevision = snapshot.corruptRevision === undefined
      ? undefined
      : this.inCurrentEra(snapshot.corruptRevision);
    this.stored = snapshot.stored.withRevision(
      this.inCurrentEra(snapshot.stored.revision),
    );
  }

  /** The monotonic revision in the current era of a store revision that was assigned in an earlier era. */
  private inCurrentEra(revision: number): number {
    const era = this.fault === "order_without_era" ? 0 : this.era;
    return toMonotonicRevision({ era, revision: revisionInEra(revision) });
  }

  private createHost(index: number): Host {
    const name = `host-${index}`;
    this.registrations.set(name, 1);
    const lease = OwnershipLease.create();
    lease.recordFence(-Infinity);
    return {
      name,
      rate: DAEMON_CLOCK_RATES[index % DAEMON_CLOCK_RATES.length]!,
      server: this.createServer(),
      formerHeartbeat: undefined,
      // By default all keys count as held by an earlier process for some time; these hosts had none.
      grants: GrantTracker.create(-Infinity),
      lease,
      service: undefined,
      guard: 1,
      renewals: 0,
      takeoverTimers: TakeoverTimers.create(),
      arbiterState: ArbiterState.create(-Infinity),
      incarnations: IncarnationTracker.create(),
      repairTimer: RepairTimer.create(),
      restoreTimer: RestoreTimer.create(),
      era: 0,
      record: OwnershipRecord.create(),
      registrationRevision: 1,
      suspendedUntilMs: 0,
      suspendedForMs: 0,
      handovers: [],
      restarts: 0,
    };
  }

  /** @param given `instance`: the id of an earlier process, if the server keeps it. */
  private createServer(
    given: { instance?: string; service?: string } = {},
  ): Server {
    const { instance, service = SERVICE } = given;
    this.serverCount += 1;
    return {
      service,
      instance: instance ?? `instance-${this.serverCount}`,
      born: this.serverCount,
      sequence: 0,
      appliedSequence: 0,
      holds: RangeMap.create(),
      freed: [],
      maxToken: 0,
    };
  }

  private assignFirst(): void {
    const size = Math.ceil(KEY_COUNT / this.hosts.length);
    this.stored = OwnershipRecord.create().assign(
      this.hosts.map(({ name }, index) => ({
        from: index * size,
        to: Math.min(KEY_COUNT, (index + 1) * size) - 1,
        daemon: name,
        handover: "",
      })),
    );
    this.commit(this.stored);
    this.hosts.forEach((host) =>
      this.confirm(host, { requestDelayMs: 0, responseDelayMs: 0 })
    );
    this.advance(1);
    this.hosts.forEach((host) =>
      this.sendHeartbeat(host, { requestDelayMs: 0, responseDelayMs: 0 })
    );
    this.advance(1);
  }

  /** A daemon's clock, which continues during suspensions unless `monotonic_clock` is set. */
  private clockOf(host: Host): number {
    const suspendedMs = this.fault === "monotonic_clock"
      ? host.suspendedForMs
      : 0;
    return (this.nowMs - suspendedMs) * host.rate;
  }

  private isRunning(host: Host): boolean {
    return this.nowMs >= host.suspendedUntilMs;
  }

  private schedule(delayMs: number, run: () => void): void {
    this.events.push({ dueAtMs: this.nowMs + delayMs, run });
    this.events.sort((left, right) => left.dueAtMs - right.dueAtMs);
  }

  /** Schedules an action of a daemon: after its suspension, and not at all if it has restarted in the meantime. */
  private scheduleOnHost(host: Host, delayMs: number, run: () => void): void {
    const { restarts } = host;
    this.schedule(delayMs, () => {
      if (host.restarts !== restarts) {
        return;
      }
      if (this.isRunning(host)) {
        run();
      } else {
        this.scheduleOnHost(host, host.suspendedUntilMs - this.nowMs, run);
      }
    });
  }

  private advance(byMs: number): void {
    const untilMs = this.nowMs + byMs;
    while (this.nowMs < untilMs) {
      const next = this.events[0]?.dueAtMs ?? Infinity;
      this.nowMs = Math.min(
        untilMs,
        Math.max(this.nowMs, next),
        this.nowMs + MAX_TIME_STEP_MS,
      );
      while ((this.events[0]?.dueAtMs ?? Infinity) <= this.nowMs) {
        this.events.shift()!.run();
      }
      this.check();
    }
  }

  private sendHeartbeat(
    host: Host,
    delays: { requestDelayMs: number; responseDelayMs: number },
  ): void {
    const { server } = host;
    const sentAtMs = this.nowMs;
    server.sequence += 1;
    const heartbeat = {
      service: server.service,
      instance: server.instance,
      born: server.born,
      sequence: server.sequence,
      holds: this.holdsOf(host).map(({ from, to, value }) => ({
        from,
        to,
        token: value.token,
      })),
      freed: [...server.freed],
    };
    this.scheduleOnHost(host, delays.requestDelayMs, () => {
      const grant = this.handleHeartbeat(host, heartbeat);
      const isStale =
        this.nowMs + delays.responseDelayMs - sentAtMs > RESPONSE_TIMEOUT_MS;
      if (grant === undefined || isStale || host.server !== server) {
        return;
      }
      this.schedule(
        delays.responseDelayMs,
        () =>
          this.applyGrant(server, {
            grant,
            sentAtMs,
            sequence: heartbeat.sequence,
            reportedCount: heartbeat.freed.length,
          }),
      );
    });
  }

  private handleHeartbeat(
    host: Host,
    sent: Heartbeat & {
      service: string;
      holds: readonly HeldRange[];
      freed: readonly ReleasedRange[];
    },
  ): Grant | undefined {
    const nowMs = this.clockOf(host);
    const heartbeat = this.fault === "id_identifies_process"
      ? { ...sent, born: undefined }
      : sent;
    const status = host.incarnations.classify(heartbeat);
    if (status.kind === "late") {
      return undefined;
    }
    if (status.kind === "current") {
      host.incarnations.accept(heartbeat, nowMs);
      this.updateService(host, heartbeat.service);
      host.grants.adoptTokens(heartbeat.holds, nowMs);
    } else {
      // The response to the probe contains the server's id, but not its start time.
      const { instance } = host.server;
      const succession = host.incarnations.classifySuccession(
        heartbeat,
        { kind: "answered", instance, born: undefined, isReady: true },
        {
          arrivedAtMs: nowMs,
          overdueMs: HEARTBEAT_OVERDUE_MS,
          unresponsiveMs: UNRESPONSIVE_MS,
        },
      );
      if (succession === "rejected") {
        return undefined;
      }
      host.incarnations.acceptSuccessor(heartbeat, { succession, nowMs });
      this.updateService(host, heartbeat.service);
      host.grants.recordNewIncarnation(succession === "proved");
    }
    host.grants.raiseTokens(heartbeat.holds);
    host.grants.recordHeld(heartbeat.holds, MAX_SEPARATE_RANGES);
    host.handovers.push(...host.grants.recordReleased(heartbeat.freed));
    if (heartbeat.service !== SERVICE || host.guard === 0) {
      return undefined;
    }
    return host.grants.createGrant({
      leaseRemainingMs: host.lease.remainingMs(nowMs),
      nowMs,
      processingMs: 0,
      size: GRANT_LIMIT,
    });
  }

  /** Handles the service of a backend server whose heartbeat was accepted. */
  private updateService(host: Host, service: string): void {
    const hasChanged = host.service !== undefined && host.service !== service;
    host.service = service;
    if (!hasChanged) {
      return;
    }
    host.grants.clearKeys();
    host.lease.reset();
    if (this.fault === "writes_outlive_service") {
      host.lease.recordFence(-Infinity);
    } else {
      this.register(host, { delayMs: 2 });
    }
    this.applyToGrants(host);
  }

  private applyGrant(
    server: Server,
    given: {
      grant: Grant;
      sentAtMs: number;
      sequence: number;
      reportedCount: number;
    },
  ): void {
    const { grant, sentAtMs, sequence, reportedCount } = given;
    const isCurrent = this.hosts.some((host) => host.server === server);
    // A response that arrives after that to a later heartbeat was held up on its way, which no daemon can notice.
    const isOvertaken = sequence < server.appliedSequence;
    if (!isCurrent || isOvertaken || grant.holdMs <= 0) {
      return;
    }
    server.appliedSequence = sequence;
    server.freed = server.freed.slice(reportedCount);
    const before = [...server.holds.segments];
    server.holds.clear();
    const expiresAtMs = sentAtMs + grant.holdMs / (1 - SERVER_CLOCK_DRIFT);
    grant.ranges
      .filter(({ token }) => token >= 0)
      .forEach((range) => {
        server.holds.set(range, { token: range.token, expiresAtMs });
        this.checkToken(server, range);
      });
    before
      .filter(({ value }) => value.expiresAtMs > this.nowMs)
      .forEach((segment) =>
        server.holds.gaps(segment).forEach((gap) =>
          server.freed.push({ ...gap, handover: `from ${server.instance}` })
        )
      );
  }

  /** A key must be granted with a higher token than any other incarnation has held it with. */
  private checkToken(server: Server, range: HeldRange): void {
    const earlier = this.highestTokens.within(range);
    const holder = `${server.instance} of ${server.born}`;
    earlier
      .filter(({ value }) =>
        value.holder !== holder && value.token >= range.token
      )
      .forEach(({ from, value }) =>
        this.violations.push(
          `${holder} holds key ${from} with token ${range.token} after ${value.holder} held it with ${value.token}`,
        )
      );
    this.highestTokens.set(range, { token: range.token, holder });
  }

  private confirm(
    host: Host,
    delays: { requestDelayMs: number; responseDelayMs: number },
  ): void {
    if (!this.isRunning(host)) {
      return;
    }
    const sentAtMs = this.clockOf(host);
    const { restarts } = host;
    this.schedule(delays.requestDelayMs, () => {
      if (this.nowMs < this.outageUntilMs) {
        return;
      }
      const { stored, corruptRevision, era } = this;
      const result = { stored, corruptRevision, era };
      this.schedule(delays.responseDelayMs, () => {
        if (host.restarts === restarts) {
          this.scheduleOnHost(
            host,
            0,
            () => this.handleRead(host, result, sentAtMs),
          );
        }
      });
    });
  }

  /** Confirms the lease by a shared read: another daemon collects requests, reads the store, and responds. */
  private confirmShared(
    host: Host,
    read: { reader: Host; gatherMs: number; responseDelayMs: number },
  ): void {
    if (!this.isRunning(host)) {
      return;
    }
    const { reader, gatherMs, responseDelayMs } = read;
    const requestedAtMs = this.clockOf(host);
    const { restarts } = host;
    const previousRevision = reader.record.revision;
    this.scheduleOnHost(reader, gatherMs, () => {
      if (this.nowMs < this.outageUntilMs) {
        return;
      }
      const revision = this.fault === "read_before_request"
        ? previousRevision
        : this.corruptRevision ?? this.stored.revision;
      this.schedule(responseDelayMs, () => {
        const isKnown = revision > 0 && host.record.revision >= revision;
        if (host.restarts === restarts && isKnown) {
          this.scheduleOnHost(
            host,
            0,
            () => this.handleRecord(host, host.record, requestedAtMs),
          );
        }
      });
    });
  }

  /** Appoints one or both of two hosts as arbiters. */
  private appoint(host: Host, names: { other: Host; choice: number }): void {
    const { other, choice } = names;
    const choices = [
      [host.name],
      [host.name, other.name],
      [other.name],
    ];
    const chosen = choices[choice % choices.length]!;
    this.write(
      host,
      this.onlyFor(host.record, (record) => record.appoint(chosen)),
    );
  }

  /** Requests a promise from each arbiter that the host's lease depends on. */
  private requestPromises(
    host: Host,
    delays: { requestDelayMs: number; responseDelayMs: number },
  ): void {
    if (!this.isRunning(host)) {
      return;
    }
    const requestedAtMs = this.clockOf(host);
    const { restarts } = host;
    const { arbiters, confirmedRevision } = host.lease;
    const request = { owner: host.name, confirmedRevision };
    const isRequired = ({ name }: Host) =>
      arbiters.some(({ daemon }) => daemon === name);
    this.hosts.filter(isRequired).forEach((arbiter) =>
      this.scheduleOnHost(arbiter, delays.requestDelayMs, () => {
        if (!this.mayPromise(arbiter, request)) {
          return;
        }
        this.schedule(delays.responseDelayMs, () => {
          if (host.restarts === restarts) {
            this.scheduleOnHost(
              host,
              0,
              () => this.recordPromise(host, arbiter.name, requestedAtMs),
            );
          }
        });
      })
    );
  }

  private mayPromise(arbiter: Host, request: PromiseRequest): boolean {
    switch (this.fault) {
      case "promise_to_sealed_owner":
        return true;
      case "promise_after_takeover":
        return arbiter.record.revision > 0 &&
          !arbiter.record.isSealed(request.owner);
      default:
        return arbiter.arbiterState.mayPromise(request, this.clockOf(arbiter));
    }
  }

  private recordPromise(host: Host, from: string, requestedAtMs: number): void {
    const countedFromMs = this.fault === "promise_from_response"
      ? this.clockOf(host)
      : requestedAtMs;
    const promised = this.fault === "one_promise_suffices"
      ? host.lease.arbiters.map(({ daemon }) => daemon)
      : [from];
    promised.forEach((name) => host.lease.recordPromise(name, countedFromMs));
  }

  private handleRead(host: Host, result: ReadResult, sentAtMs: number): void {
    if (this.observe(host, result)) {
      this.handleRecord(host, result.stored, sentAtMs);
    }
  }

  /** Handles what a read has found; returns whether it is a record that is in force. */
  private observe(host: Host, result: ReadResult): boolean {
    const { stored, corruptRevision, era } = result;
    if (era < host.era) {
      // The read was in flight during a rollback of the store, and the response to a later one has overtaken it.
      return false;
    }
    host.era = era;
    if (corruptRevision !== undefined) {
      this.handleCorruptRecord(host, corruptRevision);
      return false;
    }
    if (stored.era !== era && this.fault !== "earlier_era_accepted") {
      host.restoreTimer.recordEarlierEra(stored.revision, this.clockOf(host));
      return false;
    }
    host.repairTimer.markReadable();
    host.restoreTimer.recordCurrentEra(stored, this.clockOf(host));
    this.applyRecord(host, stored);
    return true;
  }

  private handleRecord(
    host: Host,
    result: OwnershipRecord,
    sentAtMs: number,
  ): void {
    host.repairTimer.markReadable();
    this.applyRecord(host, result);
    if (host.service === OTHER_SERVICE) {
      return;
    }
    const mayConfirm = this.fault === "restored_confirms_all" ||
      host.lease.mayConfirm(result, this.clockOf(host));
    if (!result.isSealed(host.name) && mayConfirm) {
      if (this.fault !== "tokens_outlive_lease") {
        const hasExpired = host.lease.hasExpired(this.clockOf(host));
        host.grants.recordConfirmation({
          revision: result.revision,
          hasExpired,
        });
      }
      const countsFromResponse = this.fault === "lease_from_response";
      host.lease.confirm(
        countsFromResponse ? this.clockOf(host) : sentAtMs,
        result,
      );
    }
  }

  private handleCorruptRecord(host: Host, revision: number): void {
    if (revision > 0 || host.record.revision > 0) {
      host.repairTimer.markCorrupt(revision, this.clockOf(host));
    }
  }

  /** Replaces a corrupt record by the last one that the host has read. */
  private repair(host: Host, delayMs: number): void {
    const due = this.fault === "repair_at_once"
      ? this.corruptRevision
      : host.repairTimer.findReplaceableRevision(this.clockOf(host));
    if (due === undefined || !this.isRunning(host)) {
      return;
    }
    const { record } = host;
    this.schedule(delayMs, () => {
      if (this.nowMs >= this.outageUntilMs && this.corruptRevision === due) {
        this.commit(record.withEra(this.era));
      }
    });
  }

  /**
   * Restores the newest record that the host has after a rollback of the store; the store's record if it has none.
   */
  private restore(host: Host, delayMs: number): void {
    const due = host.restoreTimer.findReplaceableRevision(this.clockOf(host));
    if (due === undefined || !this.isRunning(host)) {
      return;
    }
    const { era } = host;
    const known = host.record.revision > 0 ? host.record : this.stored;
    this.schedule(delayMs, () => {
      const isUnchanged = this.corruptRevision === undefined &&
        revisionInEra(this.stored.revision) === revisionInEra(due);
      if (this.nowMs >= this.outageUntilMs && isUnchanged) {
        this.commit(known.restoredIn(era));
      }
    });
  }

  /** Settles a restored record, once no backend server holds keys by a lost one. */
  private settle(host: Host, transport: WriteTransport): void {
    const isSettled = () =>
      this.fault === "settle_at_once" ||
      host.restoreTimer.isSettled(this.clockOf(host));
    if (!isSettled()) {
      return;
    }
    this.write(
      host,
      (record) =>
        record.isRestored &&
          (this.fault === "settle_planned_once" || isSettled())
          ? record.settle()
          : undefined,
      transport,
    );
  }

  private applyRecord(host: Host, record: OwnershipRecord): void {
    if (record.revision < host.record.revision) {
      return;
    }
    if (this.fault !== "restoration_unnoticed") {
      host.restoreTimer.observe(record, this.clockOf(host));
    }
    host.record = record;
    const sealedOwners = this.fault === "reused_seal_id"
      ? record.sealedOwners.map(({ daemon }) => ({
        daemon,
        seal: this.hosts.findIndex(({ name }) => name === daemon) + 1,
      }))
      : record.sealedOwners;
    const arbiters = this.fault === "reused_appointment_id"
      ? record.arbiters.map(({ daemon }) => ({ daemon, appointmentId: 1 }))
      : record.arbiters;
    host.takeoverTimers.observe({ sealedOwners, arbiters }, this.clockOf(host));
    host.arbiterState.observe(record);
    this.applyToGrants(host);
  }

  /** Applies the known record to the grants of a registered daemon, unless its backend server is of another service. */
  private applyToGrants(host: Host): void {
    const { record } = host;
    if (host.guard === 0 || host.service === OTHER_SERVICE) {
      return;
    }
    const revision = this.fault === "tokens_from_record"
      ? record.revision
      : Math.max(record.revision, host.registrationRevision);
    const effectiveRecord = this.fault === "restored_grants_keys"
      ? record.settle()
      : record;
    host.grants.applyRecord(effectiveRecord, { daemon: host.name, revision });
  }

  private publish(
    host: Host,
    write: WriteTransport & { to: Host },
  ): void {
    if (!this.isRunning(host) || host.service === OTHER_SERVICE) {
      return;
    }
    const change = (record: OwnershipRecord) => {
      const ranges = this.findReleased(host, record);
      return ranges.length === 0
        ? undefined
        : record.assign(toAssignments(ranges, write.to));
    };
    this.write(host, change, write);
  }

  /** The ranges of a host that its backend server has certainly released. */
  private findReleased(host: Host, record: OwnershipRecord): KeyRange[] {
    const released = this.fault === "assign_before_release"
      ? record.rangesOf(host.name).slice(0, 1)
      : host.grants.findReleased(this.clockOf(host));
    return released.flatMap((range) =>
      record.rangesOf(host.name).flatMap((own) => intersect(own, range) ?? [])
    );
  }

  /** Assigns the keys of a host whose backend server belongs to another service to another host. */
  private releaseForeign(
    host: Host,
    write: WriteTransport & { to: Host },
  ): void {
    const isForeign = () => host.service === OTHER_SERVICE;
    if (!isForeign()) {
      return;
    }
    const change = (record: OwnershipRecord) => {
      const mayRelease = this.fault === "foreign_release_planned_once" ||
        isForeign();
      const ranges = mayRelease ? record.rangesOf(host.name) : [];
      return ranges.length === 0
        ? undefined
        : record.assign(toAssignments(ranges, write.to));
    };
    this.write(host, change, write);
  }

  private takeOver(host: Host, sealedHost: Host): void {
    const nowMs = this.clockOf(host);
    const { record } = host;
    const sealed = record.sealedOwners.filter(({ daemon, seal }) =>
      daemon === sealedHost.name &&
      this.mayTakeOver(host, { seal, sealedHost, nowMs })
    );
    const ranges = sealed.flatMap(({ seal }) => record.rangesWithSeal(seal));
    if (ranges.length === 0) {
      return;
    }
    this.write(
      host,
      this.onlyFor(
        record,
        (known) => known.assign(toAssignments(ranges, host)),
      ),
    );
  }

  private mayTakeOver(
    host: Host,
    takeover: { seal: number; sealedHost: Host; nowMs: number },
  ): boolean {
    const { seal, sealedHost, nowMs } = takeover;
    const appointment = host.record.findArbiter(host.name);
    switch (this.fault) {
      case "takeover_at_once":
        return true;
      case "takeover_without_drift":
        return host.takeoverTimers.hasLeaseEnded(seal, nowMs + 300);
      case "reused_seal_id":
        return host.takeoverTimers.hasLeaseEnded(
          this.hosts.indexOf(sealedHost) + 1,
          nowMs,
          appointment,
        );
      case "arbiter_without_wait":
        return host.takeoverTimers.hasLeaseEnded(seal, nowMs, appointment) ||
          appointment !== undefined &&
            host.takeoverTimers.hasLeaseEnded(
              seal,
              nowMs + TAKEOVER_WAIT_MS - ARBITER_WAIT_MS,
            );
      case "reused_appointment_id":
        return host.takeoverTimers.hasLeaseEnded(
          seal,
          nowMs,
          appointment === undefined
            ? undefined
            : { ...appointment, appointmentId: 1 },
        );
      default:
        return host.takeoverTimers.hasLeaseEnded(seal, nowMs, appointment);
    }
  }

  /** A change that is planned for one revision of the record only. */
  private onlyFor(
    { revision }: OwnershipRecord,
    change: RecordChange,
  ): RecordChange {
    return (record) =>
      record.revision === revision ? change(record) : undefined;
  }

  /**
   * Writes a change of the record that a host knows. A write without a response is repeated as it is; a change whose
   * condition has failed is planned again.
   */
  private write(
    host: Host,
    change: RecordChange,
    transport = PROMPT,
    attempt = 1,
  ): void {
    if (!this.isRunning(host) || host.guard === 0) {
      return;
    }
    const known = host.record;
    const { era, guard } = host;
    const record = change(known)?.withEra(era);
    const isOfEarlierEra = known.era !== era &&
      this.fault !== "order_without_era" &&
      this.fault !== "earlier_era_accepted";
    if (record === undefined || isOfEarlierEra) {
      return;
    }
    const write: ConditionalWrite = {
      record,
      expectedRevision: known.revision,
      guard,
      planAgain: () => {
        if (attempt < MAX_WRITE_ATTEMPTS) {
          this.write(host, change, PROMPT, attempt + 1);
        }
      },
    };
    this.schedule(transport.delayMs, () => {
      const outcome = this.execute(host, write);
      if (transport.isAnswered) {
        this.answer(host, write, outcome);
      }
    });
    if (!transport.isAnswered) {
      this.scheduleOnHost(
        host,
        WRITE_TIMEOUT_MS,
        () => this.repeatWrite(host, write),
      );
    }
  }

  /** Repeats a write that got no response; it can take effect only once. */
  private repeatWrite(host: Host, write: ConditionalWrite): void {
    this.schedule(WRITE_DELAY_MS, () => {
      const { stored } = this;
      const hasTakenEffect = this.nowMs >= this.outageUntilMs &&
        stored.encode() === write.record.encode();
      this.answer(
        host,
        write,
        hasTakenEffect
          ? { kind: "written", stored }
          : this.execute(host, write),
      );
    });
  }

  /** Executes a write at the store, if its conditions hold. */
  private execute(host: Host, write: ConditionalWrite): WriteOutcome {
    if (this.nowMs < this.outageUntilMs) {
      return { kind: "failed" };
    }
    if (!this.holdsGuard(host, write.guard)) {
      return { kind: "superseded" };
    }
    // The store compares its own revisions only, and may have assigned this one again after a rollback.
    const isUnchanged = this.corruptRevision === undefined &&
      revisionInEra(this.stored.revision) ===
        revisionInEra(write.expectedRevision);
    if (!isUnchanged) {
      return { kind: "conflict" };
    }
    this.commit(write.record);
    return { kind: "written", stored: this.stored };
  }

  /** Sends the outcome of a write to its daemon. */
  private answer(
    host: Host,
    write: ConditionalWrite,
    outcome: WriteOutcome,
  ): void {
    const { era } = this;
    this.scheduleOnHost(host, WRITE_DELAY_MS, () => {
      switch (outcome.kind) {
        case "written":
          return era === this.era
            ? this.applyRecord(host, outcome.stored)
            : undefined;
        case "superseded":
          return this.renewGuard(host, write);
        case "conflict":
          return this.readConflict(host, write);
        case "failed":
          return;
      }
    });
  }

  /** Registers a host again, unless that has been done since a write was sent, and plans the write again. */
  private renewGuard(host: Host, write: ConditionalWrite): void {
    if (host.guard !== write.guard) {
      write.planAgain();
      return;
    }
    this.register(host, {
      delayMs: WRITE_DELAY_MS,
      onRegistered: write.planAgain,
    });
  }

  /** Reads the record that a write conflicts with, and plans the write again. */
  private readConflict(host: Host, write: ConditionalWrite): void {
    const { stored, corruptRevision, era } = this;
    this.scheduleOnHost(host, CONFLICT_PAUSE_MS, () => {
      this.observe(host, { stored, corruptRevision, era });
      write.planAgain();
    });
  }

  /** Whether a write of a host may take effect, by the registration under which it was sent. */
  private holdsGuard(host: Host, guard: number): boolean {
    return this.fault === "writes_outlive_process" ||
      this.registrations.get(host.name) === guard;
  }

  /**
   * Registers a host. The write takes effect even if the host restarts before; if it is repeated, the first attempt gets
   * no response and takes effect after the second.
   */
  private register(
    host: Host,
    registration: {
      delayMs: number;
      repeats?: boolean;
      onRegistered?: () => void;
    },
  ): void {
    const { delayMs, repeats = false, onRegistered } = registration;
    const { restarts } = host;
    host.renewals += 1;
    const { renewals } = host;
    this.schedule(delayMs, () => {
      const revision = this.writeRegistration(host);
      if (host.restarts === restarts) {
        this.scheduleOnHost(
          host,
          0,
          () => {
            this.handleRegistered(host, {
              revision,
              renewals,
              readDelayMs: delayMs,
            });
            onRegistered?.();
          },
        );
      }
    });
    if (repeats) {
      this.schedule(2 * delayMs, () => this.writeRegistration(host));
    }
  }

  private writeRegistration(host: Host): number {
    this.revision += 1;
    const revision = this.currentRevision();
    this.registrations.set(host.name, revision);
    this.takeSnapshot();
    return revision;
  }

  private handleRegistered(
    host: Host,
    registered: { revision: number; renewals: number; readDelayMs: number },
  ): void {
    const { revision, renewals, readDelayMs } = registered;
    const isFirst = host.guard === 0;
    host.guard = Math.max(host.guard, revision);
    host.era = Math.max(host.era, this.era);
    if (renewals === host.renewals && this.fault !== "read_before_fence") {
      host.lease.recordFence(this.clockOf(host));
    }
    if (isFirst) {
      host.registrationRevision = revision;
      host.arbiterState.recordStartRevision(revision);
      this.applyToGrants(host);
      this.confirm(host, { requestDelayMs: 2, responseDelayMs: readDelayMs });
    }
  }

  private commit(record: OwnershipRecord): void {
    this.revision += 1;
    this.stored = record.withRevision(this.currentRevision());
    this.corruptRevision = undefined;
    this.takeSnapshot();
  }

  private replaceServer(host: Host, server: Server): void {
    const { instance, born, sequence, service } = host.server;
    host.formerHeartbeat = { instance, born, sequence: sequence + 1 };
    host.server = server;
    const formerHeartbeat = host.formerHeartbeat;
    // A delayed heartbeat of the previous incarnation arrives after those of the new one.
    this.scheduleOnHost(host, 900, () => {
      this.handleHeartbeat(host, {
        ...formerHeartbeat,
        service,
        holds: [],
        freed: [],
      });
    });
  }

  private restartDaemon(
    host: Host,
    registration: { delayMs: number; repeats?: boolean },
  ): void {
    host.restarts += 1;
    const nowMs = this.clockOf(host);
    host.grants = GrantTracker.create(
      this.fault === "restart_without_holds" ? -Infinity : nowMs,
    );
    host.lease = OwnershipLease.create(nowMs);
    if (this.fault === "read_before_fence") {
      host.lease.recordFence(-Infinity);
    }
    host.service = undefined;
    host.guard = 0;
    host.takeoverTimers = TakeoverTimers.create();
    host.arbiterState = ArbiterState.create(
      this.fault === "promise_after_restart" ? -Infinity : nowMs,
    );
    host.incarnations = IncarnationTracker.create();
    host.repairTimer = RepairTimer.create();
    host.restoreTimer = RestoreTimer.create();
    host.record = OwnershipRecord.create();
    host.handovers = [];
    host.registrationRevision = 0;
    host.era = this.era;
    this.register(host, registration);
  }

  private holdsOf(host: Host) {
    return host.server.holds.segments.filter(({ value }) =>
      value.expiresAtMs > this.nowMs
    );
  }

  private check(): void {
    this.hosts.forEach((host, index) =>
      this.hosts.slice(index + 1).forEach((other) => {
        const overlapping = this.holdsOf(host).flatMap((range) =>
          this.holdsOf(other).filter(({ from, to }) =>
            from <= range.to && to >= range.from
          )
        );
        if (overlapping.length > 0) {
          this.violations.push(
            `at ${this.nowMs} ${host.name} and ${other.name} hold key ${
              overlapping[0]!.from
            }`,
          );
        }
      })
    );
  }
}

/** Assigns ranges to a host, without proofs of a handover. */
function toAssignments(ranges: readonly KeyRange[], { name }: Host) {
  return ranges.map(({ from, to }) => ({
    from,
    to,
    daemon: name,
    handover: "",
  }));
}

/** The store's own revision of a monotonic revision. */
function revisionInEra(revision: number): number {
  return revision % REVISIONS_PER_ERA;
}
