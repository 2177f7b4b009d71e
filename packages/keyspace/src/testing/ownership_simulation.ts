/**
 * A small world in which daemons, backend servers and the store run on virtual time, to try the rules of
 * sole ownership under delays, crashes, suspensions, outages and clocks that differ.
 *
 * The decisions are the real ones; only their surroundings are played. Each fault is a broken variant of
 * one rule or assumption, which the properties must notice.
 *
 * @module
 */
import {
  ARBITER_WAIT_MS,
  ArbiterState,
  type FreedRange,
  type Grant,
  GrantTracker,
  type Heartbeat,
  type HeldRange,
  IncarnationTracker,
  KEY_COUNT,
  type KeyRange,
  OwnershipLease,
  OwnershipRecord,
  type PromiseRequest,
  RangeMap,
  RepairTimer,
  RestoreTimer,
  TAKEOVER_WAIT_MS,
  TakeoverTimers,
} from "../mod.ts";
import { orderRevision } from "@bamboolink/types";

/** A broken variant of one rule. */
export type Fault =
  /** A tenure counts from when the answer of the store came. */
  | "tenure_from_answer"
  /** A tenure is measured by a clock that stands still during a suspension. */
  | "steady_clock"
  /** A takeover waits for the tenure by its own clock only, without the drift of others. */
  | "takeover_without_drift"
  /** A takeover begins to assign without waiting. */
  | "takeover_at_once"
  /** Seals have no name: the wait counts from the first that was seen. */
  | "nameless_seal"
  /** A release is written before the backend server has given the keys back. */
  | "release_unfreed"
  /** A restarted daemon takes nothing for held by its backend server. */
  | "forgetful_restart"
  /** Tokens of a restarted daemon come from the record alone. */
  | "tokens_from_record"
  /** A promise counts from when it came. */
  | "promise_from_answer"
  /** The promise of one arbiter is enough. */
  | "any_promise"
  /** Arbiters promise to owners that they know to be sealed. */
  | "promise_under_seal"
  /** An arbiter takes over quickly as soon as it is one. */
  | "arbiter_at_once"
  /** Appointments have no name: an arbiter takes itself for one all along. */
  | "nameless_office"
  /** The daemon that reads for all answers with what it had read before it was asked. */
  | "read_before_question"
  /** Tokens stay as they are while keys may have been another owner's. */
  | "tokens_outlive_tenure"
  /** An arbiter remembers no seal: what it has taken over looks like any other owner. */
  | "promise_after_takeover"
  /** An arbiter that has started again promises at once. */
  | "promise_after_restart"
  /** A backend server that starts again under its id is taken for the former process. */
  | "id_names_process"
  /** A record that can't be read is replaced by the last known one at once. */
  | "repair_at_once"
  /** Records are told apart by the store's own revisions, and tokens made of them. */
  | "order_without_era"
  /** What the store holds after it went back is taken for in force. */
  | "copy_in_force"
  /** A record that was put back gives keys like any other. */
  | "restored_in_force"
  /** It confirms also those who were no owners just before. */
  | "restored_confirms_all"
  /** It is in force like any other at once. */
  | "settle_at_once";

/** One step of a schedule. */
export interface Step {
  readonly kind: StepKind;
  /** Chooses the host. */
  readonly host: number;
  /** Delays and lengths, in milliseconds. */
  readonly a: number;
  readonly b: number;
}

/** The kinds of steps. */
export const STEP_KINDS = [
  "advance",
  "heartbeat",
  "late_heartbeat",
  "confirm",
  "shared_confirm",
  "release",
  "publish",
  "seal",
  "take_over",
  "unseal",
  "crash_server",
  "restart_server",
  "restart_daemon",
  "suspend",
  "outage",
  "appoint",
  "ask",
  "spoil",
  "repair",
  "go_back",
  "restore",
  "settle",
] as const;
/** The kind of a step. */
export type StepKind = typeof STEP_KINDS[number];

/** Clocks of backend servers run up to this much slow. */
const SERVER_DRIFT = 0.02;
/** A daemon waits so long for the answer to a heartbeat, in milliseconds. */
const ANSWER_MS = 1_000;
/** A heartbeat is overdue after so long, in milliseconds. */
const OVERDUE_MS = 1_300;
/** And a server that nobody finds is gone after so long, in milliseconds. */
const SILENT_MS = 2_500;
/** The most changes that the store loses when it goes back. */
const LARGEST_LOSS = 6;
/** The first revision of the era after the first one, in the order over all eras. */
const FIRST_OF_NEXT_ERA = orderRevision({ era: 1, revision: 1 }) - 1;
/** Clock rates of the daemons. */
const DAEMON_RATES = [1.009, 0.991, 1, 1.005];
/** The steps after which somebody may have begun to hold keys are looked at this often, in ms. */
const LONGEST_STEP_MS = 50;

interface Server {
  instance: string;
  /** Names the process, also where it keeps the id of an earlier one. */
  born: number;
  sequence: number;
  readonly holds: RangeMap<{ token: number; untilMs: number }>;
  freed: FreedRange[];
  /** Highest token that this incarnation has seen. */
  seen: number;
}

interface Host {
  readonly name: string;
  readonly rate: number;
  server: Server;
  /** The incarnation before, whose heartbeats may still arrive. */
  ghost: Heartbeat | undefined;
  grants: GrantTracker;
  tenure: OwnershipLease;
  waits: TakeoverTimers;
  promises: ArbiterState;
  instances: IncarnationTracker;
  repair: RepairTimer;
  restore: RestoreTimer;
  /** The store's era, as far as the daemon knows. */
  era: number;
  record: OwnershipRecord;
  registration: number;
  suspendedUntilMs: number;
  suspendedForMs: number;
  handovers: FreedRange[];
  life: number;
}

/** What the store held at a moment. */
interface Copy {
  readonly stored: OwnershipRecord;
  readonly spoiledAs: number | undefined;
  readonly revision: number;
}

/** What a read of the store has found. */
interface Found {
  readonly stored: OwnershipRecord;
  readonly spoiledAs: number | undefined;
  readonly era: number;
}

interface Event {
  readonly atMs: number;
  readonly act: () => void;
}

/** The world. */
export class TenureWorld {
  /** What went wrong, in words. */
  readonly violations: string[] = [];
  private readonly hosts: Host[];
  private events: Event[] = [];
  private nowMs = 100_000;
  private outageUntilMs = 0;
  private stored = OwnershipRecord.create();
  /** Revision of what another writer has put in the record's place, 0 for nothing. */
  private spoiledAs: number | undefined;
  private revision = 1;
  private era = 0;
  private copies: Copy[] = [];
  private instances = 0;
  private readonly highest = RangeMap.create<
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

  /** Creates a world of some hosts, in which all keys are owned. */
  static create(size: number, fault?: Fault): TenureWorld {
    return new TenureWorld(size, fault);
  }

  /** Plays a schedule. */
  play(steps: readonly Step[]): void {
    steps.forEach((step) => this.step(step));
  }

  /** How many keys are held by anybody. */
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
        return this.sendHeartbeat(host, { thereMs: a % 40, backMs: b % 40 });
      case "late_heartbeat":
        return this.sendHeartbeat(host, { thereMs: a * 3, backMs: b });
      case "confirm":
        return this.confirm(host, { thereMs: a % 200, backMs: b * 2 });
      case "shared_confirm":
        return this.confirmShared(host, {
          reader: other,
          gatherMs: a % 400,
          backMs: b * 2,
        });
      case "release":
        return host.grants.beginRelease(host.grants.ownRanges.slice(0, 1));
      case "publish":
        return this.publish(host, {
          to: other,
          lateMs: b % 3 === 0 ? a * 5 : 2,
        });
      case "seal":
        return this.write(host, (record) => record.seal([other.name]), 2);
      case "take_over":
        return this.takeOver(host, other);
      case "unseal":
        return this.write(
          host,
          (record) =>
            record.isSealed(host.name) ? record.unseal(host.name) : undefined,
          2,
        );
      case "crash_server":
        return this.replaceServer(host, this.createServer());
      case "restart_server":
        return this.replaceServer(
          host,
          this.createServer(host.server.instance),
        );
      case "restart_daemon":
        return this.restartDaemon(host);
      case "suspend":
        host.suspendedUntilMs = this.nowMs + a * 20;
        host.suspendedForMs += a * 20;
        return;
      case "outage":
        this.outageUntilMs = this.nowMs + a * 10;
        return;
      case "appoint":
        return this.appoint(host, { other, choice: a });
      case "ask":
        return this.ask(host, { thereMs: a % 50, backMs: b * 5 });
      case "spoil":
        this.revision += 1;
        this.spoiledAs = b % 2 === 0 ? this.order() : 0;
        this.copy();
        return;
      case "repair":
        return this.repair(host, b % 3 === 0 ? a * 5 : 2);
      case "go_back":
        return this.goBack(a);
      case "restore":
        return this.restore(host, b % 3 === 0 ? a * 5 : 2);
      case "settle":
        return this.settle(host);
    }
  }

  /** The present revision in the order over all eras. */
  private order(): number {
    const era = this.fault === "order_without_era" ? 0 : this.era;
    return orderRevision({ era, revision: this.revision });
  }

  private copy(): void {
    const { stored, spoiledAs, revision } = this;
    this.copies.push({ stored, spoiledAs, revision });
  }

  /** The store comes back from an older copy, and gives out its revisions again. */
  private goBack(choice: number): void {
    const lost = 1 + choice % LARGEST_LOSS;
    const kept = Math.max(1, this.copies.length - lost);
    this.copies = this.copies.slice(0, kept);
    const copy = this.copies.at(-1)!;
    this.era += 1;
    this.revision = copy.revision;
    this.spoiledAs = copy.spoiledAs === undefined
      ? undefined
      : this.reorder(copy.spoiledAs);
    this.stored = copy.stored.withRevision(
      this.reorder(copy.stored.revision),
    );
  }

  /** The place of a revision of a former era in the order of the present one. */
  private reorder(order: number): number {
    const era = this.fault === "order_without_era" ? 0 : this.era;
    return orderRevision({ era, revision: bareOf(order) });
  }

  private createHost(index: number): Host {
    return {
      name: `host-${index}`,
      rate: DAEMON_RATES[index % DAEMON_RATES.length]!,
      server: this.createServer(),
      ghost: undefined,
      // All keys count as held by an earlier process for a while; these hosts had none.
      grants: GrantTracker.create(-Infinity),
      tenure: OwnershipLease.create(),
      waits: TakeoverTimers.create(),
      promises: ArbiterState.create(-Infinity),
      instances: IncarnationTracker.create(),
      repair: RepairTimer.create(),
      restore: RestoreTimer.create(),
      era: 0,
      record: OwnershipRecord.create(),
      registration: 1,
      suspendedUntilMs: 0,
      suspendedForMs: 0,
      handovers: [],
      life: 0,
    };
  }

  /** @param instance the id of an earlier process that it keeps. */
  private createServer(instance?: string): Server {
    this.instances += 1;
    return {
      instance: instance ?? `instance-${this.instances}`,
      born: this.instances,
      sequence: 0,
      holds: RangeMap.create(),
      freed: [],
      seen: 0,
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
    this.hosts.forEach((host) => this.confirm(host, { thereMs: 0, backMs: 0 }));
    this.advance(1);
    this.hosts.forEach((host) =>
      this.sendHeartbeat(host, { thereMs: 0, backMs: 0 })
    );
    this.advance(1);
  }

  /** A daemon's clock; the good one goes on during suspensions. */
  private clockOf(host: Host): number {
    const lost = this.fault === "steady_clock" ? host.suspendedForMs : 0;
    return (this.nowMs - lost) * host.rate;
  }

  private isAwake(host: Host): boolean {
    return this.nowMs >= host.suspendedUntilMs;
  }

  private later(delayMs: number, act: () => void): void {
    this.events.push({ atMs: this.nowMs + delayMs, act });
    this.events.sort((left, right) => left.atMs - right.atMs);
  }

  /** Something happens at a daemon as soon as it is awake, unless it has restarted meanwhile. */
  private at(host: Host, delayMs: number, act: () => void): void {
    const { life } = host;
    this.later(delayMs, () => {
      if (host.life !== life) {
        return;
      }
      if (this.isAwake(host)) {
        act();
      } else {
        this.at(host, host.suspendedUntilMs - this.nowMs, act);
      }
    });
  }

  private advance(byMs: number): void {
    const untilMs = this.nowMs + byMs;
    while (this.nowMs < untilMs) {
      const next = this.events[0]?.atMs ?? Infinity;
      this.nowMs = Math.min(
        untilMs,
        Math.max(this.nowMs, next),
        this.nowMs + LONGEST_STEP_MS,
      );
      while ((this.events[0]?.atMs ?? Infinity) <= this.nowMs) {
        this.events.shift()!.act();
      }
      this.check();
    }
  }

  private sendHeartbeat(
    host: Host,
    delays: { thereMs: number; backMs: number },
  ): void {
    const { server } = host;
    const sentAtMs = this.nowMs;
    server.sequence += 1;
    const heartbeat = {
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
    this.at(host, delays.thereMs, () => {
      const grant = this.takeHeartbeat(host, heartbeat);
      const isStale = this.nowMs + delays.backMs - sentAtMs > ANSWER_MS;
      if (grant === undefined || isStale || host.server !== server) {
        return;
      }
      this.later(
        delays.backMs,
        () =>
          this.applyGrant(server, {
            grant,
            sentAtMs,
            told: heartbeat.freed.length,
          }),
      );
    });
  }

  private takeHeartbeat(
    host: Host,
    sent: Heartbeat & {
      holds: readonly HeldRange[];
      freed: readonly FreedRange[];
    },
  ): Grant | undefined {
    const nowMs = this.clockOf(host);
    const heartbeat = this.fault === "id_names_process"
      ? { ...sent, born: undefined }
      : sent;
    const verdict = host.instances.classify(heartbeat);
    if (verdict.kind === "late") {
      return undefined;
    }
    if (verdict.kind === "current") {
      host.instances.accept(heartbeat, nowMs);
      host.grants.adoptTokens(heartbeat.holds, nowMs);
    } else {
      // Whoever answers there tells its id, and not when it started.
      const { instance } = host.server;
      const succession = host.instances.classifySuccession(
        heartbeat,
        { kind: "answered", instance, born: undefined },
        { arrivedMs: nowMs, overdueMs: OVERDUE_MS, unresponsiveMs: SILENT_MS },
      );
      if (succession === "rejected") {
        return undefined;
      }
      host.instances.acceptSuccessor(heartbeat, { succession, nowMs });
      host.grants.recordNewIncarnation(succession === "proved");
    }
    host.grants.raiseTokens(heartbeat.holds);
    host.handovers.push(...host.grants.recordFreed(heartbeat.freed));
    return host.grants.createGrant({
      maxHoldMs: host.tenure.maxHoldMs(nowMs),
      nowMs,
      processingMs: 0,
    });
  }

  private applyGrant(
    server: Server,
    given: { grant: Grant; sentAtMs: number; told: number },
  ): void {
    const { grant, sentAtMs, told } = given;
    const isUp = this.hosts.some((host) => host.server === server);
    if (!isUp || grant.holdMs <= 0) {
      return;
    }
    server.freed = server.freed.slice(told);
    const before = [...server.holds.segments];
    server.holds.clear();
    const untilMs = sentAtMs + grant.holdMs / (1 - SERVER_DRIFT);
    grant.ranges
      .filter(({ token }) => token >= 0)
      .forEach((range) => {
        server.holds.set(range, { token: range.token, untilMs });
        this.checkToken(server, range);
      });
    before
      .filter(({ value }) => value.untilMs > this.nowMs)
      .forEach((segment) =>
        server.holds.gaps(segment).forEach((gap) =>
          server.freed.push({ ...gap, handover: `from ${server.instance}` })
        )
      );
  }

  /** A key must come with a higher token than any other incarnation has had it. */
  private checkToken(server: Server, range: HeldRange): void {
    const earlier = this.highest.within(range);
    const holder = `${server.instance} of ${server.born}`;
    earlier
      .filter(({ value }) =>
        value.holder !== holder && value.token >= range.token
      )
      .forEach(({ from, value }) =>
        this.violations.push(
          `${holder} takes key ${from} with token ${range.token} after ${value.holder} had ${value.token}`,
        )
      );
    this.highest.set(range, { token: range.token, holder });
  }

  private confirm(
    host: Host,
    delays: { thereMs: number; backMs: number },
  ): void {
    if (!this.isAwake(host)) {
      return;
    }
    const sentAtMs = this.clockOf(host);
    const { life } = host;
    this.later(delays.thereMs, () => {
      if (this.nowMs < this.outageUntilMs) {
        return;
      }
      const { stored, spoiledAs, era } = this;
      const found = { stored, spoiledAs, era };
      this.later(delays.backMs, () => {
        if (host.life === life) {
          this.at(host, 0, () => this.noteFound(host, found, sentAtMs));
        }
      });
    });
  }

  /** Asks another daemon, which gathers questions and reads, what the store holds. */
  private confirmShared(
    host: Host,
    read: { reader: Host; gatherMs: number; backMs: number },
  ): void {
    if (!this.isAwake(host)) {
      return;
    }
    const { reader, gatherMs, backMs } = read;
    const askedAtMs = this.clockOf(host);
    const { life } = host;
    const before = reader.record.revision;
    this.at(reader, gatherMs, () => {
      if (this.nowMs < this.outageUntilMs) {
        return;
      }
      const revision = this.fault === "read_before_question"
        ? before
        : this.spoiledAs ?? this.stored.revision;
      this.later(backMs, () => {
        const isKnown = revision > 0 && host.record.revision >= revision;
        if (host.life === life && isKnown) {
          this.at(host, 0, () => this.noteRead(host, host.record, askedAtMs));
        }
      });
    });
  }

  /** Names one or both of two hosts as arbiters. */
  private appoint(host: Host, names: { other: Host; choice: number }): void {
    const { other, choice } = names;
    const choices = [
      [host.name],
      [host.name, other.name],
      [other.name],
    ];
    const chosen = choices[choice % choices.length]!;
    this.write(host, (record) => record.appoint(chosen), 2);
  }

  /** Asks the arbiters that the host's tenure depends on for a promise. */
  private ask(
    host: Host,
    delays: { thereMs: number; backMs: number },
  ): void {
    if (!this.isAwake(host)) {
      return;
    }
    const askedAtMs = this.clockOf(host);
    const { life } = host;
    const { arbiters, confirmedRevision } = host.tenure;
    const question = { owner: host.name, confirmedRevision };
    const isAsked = ({ name }: Host) =>
      arbiters.some(({ daemon }) => daemon === name);
    this.hosts.filter(isAsked).forEach((arbiter) =>
      this.at(arbiter, delays.thereMs, () => {
        if (!this.mayPromise(arbiter, question)) {
          return;
        }
        this.later(delays.backMs, () => {
          if (host.life === life) {
            this.at(
              host,
              0,
              () => this.notePromise(host, arbiter.name, askedAtMs),
            );
          }
        });
      })
    );
  }

  private mayPromise(arbiter: Host, question: PromiseRequest): boolean {
    switch (this.fault) {
      case "promise_under_seal":
        return true;
      case "promise_after_takeover":
        return arbiter.record.revision > 0 &&
          !arbiter.record.isSealed(question.owner);
      default:
        return arbiter.promises.mayPromise(question, this.clockOf(arbiter));
    }
  }

  private notePromise(host: Host, from: string, askedAtMs: number): void {
    const countedMs = this.fault === "promise_from_answer"
      ? this.clockOf(host)
      : askedAtMs;
    const promised = this.fault === "any_promise"
      ? host.tenure.arbiters.map(({ daemon }) => daemon)
      : [from];
    promised.forEach((name) => host.tenure.recordPromise(name, countedMs));
  }

  private noteFound(host: Host, found: Found, sentAtMs: number): void {
    const { stored, spoiledAs, era } = found;
    if (era < host.era) {
      // It was under way when the store went back, and a later answer has overtaken it.
      return;
    }
    host.era = era;
    if (spoiledAs !== undefined) {
      this.noteSpoiled(host, spoiledAs);
      return;
    }
    if (stored.era !== era && this.fault !== "copy_in_force") {
      host.restore.recordEarlierEra(stored.revision, this.clockOf(host));
      return;
    }
    this.noteRead(host, stored, sentAtMs);
  }

  private noteRead(
    host: Host,
    found: OwnershipRecord,
    sentAtMs: number,
  ): void {
    host.repair.markReadable();
    this.noteRecord(host, found);
    const mayConfirm = this.fault === "restored_confirms_all" ||
      host.tenure.mayConfirm(found, this.clockOf(host));
    if (!found.isSealed(host.name) && mayConfirm) {
      if (this.fault !== "tokens_outlive_tenure") {
        const hasExpired = host.tenure.hasExpired(this.clockOf(host));
        host.grants.recordConfirmation({
          revision: found.revision,
          hasExpired,
        });
      }
      const fromAnswer = this.fault === "tenure_from_answer";
      host.tenure.confirm(
        fromAnswer ? this.clockOf(host) : sentAtMs,
        found,
      );
    }
  }

  private noteSpoiled(host: Host, revision: number): void {
    if (revision > 0 || host.record.revision > 0) {
      host.repair.markCorrupt(revision, this.clockOf(host));
    }
  }

  /** Replaces a spoiled record by the last one that the host has read. */
  private repair(host: Host, lateMs: number): void {
    const due = this.fault === "repair_at_once"
      ? this.spoiledAs
      : host.repair.findReplaceableRevision(this.clockOf(host));
    if (due === undefined || !this.isAwake(host)) {
      return;
    }
    const { record } = host;
    this.later(lateMs, () => {
      if (this.nowMs >= this.outageUntilMs && this.spoiledAs === due) {
        this.commit(record.withEra(this.era));
      }
    });
  }

  /** Puts back the newest record that the host knows after the store has gone back; the copy where it knows none. */
  private restore(host: Host, lateMs: number): void {
    const due = host.restore.findReplaceableRevision(this.clockOf(host));
    if (due === undefined || !this.isAwake(host)) {
      return;
    }
    const { era } = host;
    const known = host.record.revision > 0 ? host.record : this.stored;
    this.later(lateMs, () => {
      const isInForce = this.spoiledAs === undefined &&
        bareOf(this.stored.revision) === bareOf(due);
      if (this.nowMs >= this.outageUntilMs && isInForce) {
        this.commit(known.restoredIn(era));
      }
    });
  }

  /** Puts a record that was put back in force, once nobody holds keys by a lost one. */
  private settle(host: Host): void {
    const isSettled = this.fault === "settle_at_once" ||
      host.restore.isSettled(this.clockOf(host));
    if (host.record.isRestored && isSettled) {
      this.write(host, (record) => record.settle(), 2);
    }
  }

  private noteRecord(host: Host, record: OwnershipRecord): void {
    if (record.revision < host.record.revision) {
      return;
    }
    host.restore.recordCurrentEra(record, this.clockOf(host));
    host.record = record;
    const sealedOwners = this.fault === "nameless_seal"
      ? record.sealedOwners.map(({ daemon }) => ({
        daemon,
        seal: this.hosts.findIndex(({ name }) => name === daemon) + 1,
      }))
      : record.sealedOwners;
    const arbiters = this.fault === "nameless_office"
      ? record.arbiters.map(({ daemon }) => ({ daemon, appointmentId: 1 }))
      : record.arbiters;
    host.waits.observe({ sealedOwners, arbiters }, this.clockOf(host));
    host.promises.observe(record);
    const revision = this.fault === "tokens_from_record"
      ? record.revision
      : Math.max(record.revision, host.registration);
    const inForce = this.fault === "restored_in_force"
      ? record.settle()
      : record;
    host.grants.applyRecord(inForce, { daemon: host.name, revision });
  }

  private publish(
    host: Host,
    write: { to: Host; lateMs: number },
  ): void {
    if (!this.isAwake(host)) {
      return;
    }
    const released = this.fault === "release_unfreed"
      ? host.record.rangesOf(host.name).slice(0, 1)
      : host.grants.findReleased(this.clockOf(host));
    const mine = released.flatMap((range) =>
      host.record.rangesOf(host.name).flatMap(({ from, to }) => {
        const shared = {
          from: Math.max(from, range.from),
          to: Math.min(to, range.to),
        };
        return shared.from <= shared.to ? [shared] : [];
      })
    );
    if (mine.length === 0) {
      return;
    }
    const change = (record: OwnershipRecord) =>
      record.assign(
        mine.map((range: KeyRange) => ({
          ...range,
          daemon: write.to.name,
          handover: "",
        })),
      );
    this.write(host, change, write.lateMs);
  }

  private takeOver(host: Host, lost: Host): void {
    const nowMs = this.clockOf(host);
    const { record } = host;
    const under = record.sealedOwners.filter(({ daemon, seal }) =>
      daemon === lost.name && this.mayTakeOver(host, { seal, lost, nowMs })
    );
    const ranges = under.flatMap(({ seal }) => record.rangesWithSeal(seal));
    if (ranges.length === 0) {
      return;
    }
    this.write(host, (known) =>
      known.assign(
        ranges.map(({ from, to }) => ({
          from,
          to,
          daemon: host.name,
          handover: "",
        })),
      ), 2);
  }

  private mayTakeOver(
    host: Host,
    takeover: { seal: number; lost: Host; nowMs: number },
  ): boolean {
    const { seal, lost, nowMs } = takeover;
    const office = host.record.findArbiter(host.name);
    switch (this.fault) {
      case "takeover_at_once":
        return true;
      case "takeover_without_drift":
        return host.waits.hasLeaseEnded(seal, nowMs + 300);
      case "nameless_seal":
        return host.waits.hasLeaseEnded(
          this.hosts.indexOf(lost) + 1,
          nowMs,
          office,
        );
      case "arbiter_at_once":
        return host.waits.hasLeaseEnded(seal, nowMs, office) ||
          office !== undefined &&
            host.waits.hasLeaseEnded(
              seal,
              nowMs + TAKEOVER_WAIT_MS - ARBITER_WAIT_MS,
            );
      case "nameless_office":
        return host.waits.hasLeaseEnded(
          seal,
          nowMs,
          office === undefined ? undefined : { ...office, appointmentId: 1 },
        );
      default:
        return host.waits.hasLeaseEnded(seal, nowMs, office);
    }
  }

  /** A compare-and-swap that takes effect later, if its condition still holds then. */
  private write(
    host: Host,
    change: (record: OwnershipRecord) => OwnershipRecord | undefined,
    lateMs: number,
  ): void {
    if (!this.isAwake(host)) {
      return;
    }
    const known = host.record;
    const { era } = host;
    const changed = change(known)?.withEra(era);
    const isOfFormerEra = known.era !== era &&
      this.fault !== "order_without_era" && this.fault !== "copy_in_force";
    if (changed === undefined || isOfFormerEra) {
      return;
    }
    this.later(lateMs, () => {
      const isDown = this.nowMs < this.outageUntilMs;
      // The store knows its own revisions only, and may have given this one out again.
      const isInForce = this.spoiledAs === undefined &&
        bareOf(this.stored.revision) === bareOf(known.revision);
      if (!isDown && isInForce) {
        this.commit(changed);
        const written = this.stored;
        const isOfEra = era === this.era;
        this.at(host, 2, () => isOfEra && this.noteRecord(host, written));
      }
    });
  }

  private commit(record: OwnershipRecord): void {
    this.revision += 1;
    this.stored = record.withRevision(this.order());
    this.spoiledAs = undefined;
    this.copy();
  }

  private replaceServer(host: Host, server: Server): void {
    const { instance, born, sequence } = host.server;
    host.ghost = { instance, born, sequence: sequence + 1 };
    host.server = server;
    const ghost = host.ghost;
    // A heartbeat of the earlier incarnation that was held up arrives after the new one's.
    this.at(host, 900, () => {
      this.takeHeartbeat(host, { ...ghost, holds: [], freed: [] });
    });
  }

  private restartDaemon(host: Host): void {
    host.life += 1;
    const nowMs = this.clockOf(host);
    host.grants = GrantTracker.create(
      this.fault === "forgetful_restart" ? -Infinity : nowMs,
    );
    host.tenure = OwnershipLease.create(nowMs);
    host.waits = TakeoverTimers.create();
    host.promises = ArbiterState.create(
      this.fault === "promise_after_restart" ? -Infinity : nowMs,
    );
    host.instances = IncarnationTracker.create();
    host.repair = RepairTimer.create();
    host.restore = RestoreTimer.create();
    host.record = OwnershipRecord.create();
    host.handovers = [];
    this.revision += 1;
    host.era = this.era;
    host.registration = this.order();
    host.promises.recordStartRevision(host.registration);
    this.copy();
    this.confirm(host, { thereMs: 2, backMs: 2 });
  }

  private holdsOf(host: Host) {
    return host.server.holds.segments.filter(({ value }) =>
      value.untilMs > this.nowMs
    );
  }

  private check(): void {
    this.hosts.forEach((host, index) =>
      this.hosts.slice(index + 1).forEach((other) => {
        const both = this.holdsOf(host).flatMap((range) =>
          this.holdsOf(other).filter(({ from, to }) =>
            from <= range.to && to >= range.from
          )
        );
        if (both.length > 0) {
          this.violations.push(
            `at ${this.nowMs} ${host.name} and ${other.name} hold key ${
              both[0]!.from
            }`,
          );
        }
      })
    );
  }
}

/** The store's own revision of a place in the order over all eras. */
function bareOf(order: number): number {
  return order % FIRST_OF_NEXT_ERA;
}
