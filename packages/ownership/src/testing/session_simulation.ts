/**
 * Simulation for property tests of ownership: it runs the real decision code of several sessions and two planners,
 * with clocks that drift, a store with compare-and-swap, and messages that are delayed, lost, duplicated and
 * reordered. There is one partition.
 *
 * @module
 */
import type { SessionRecord } from "@bamboolink/types";
import { LeaseHolder } from "../lease_holder.ts";
import { TakeoverTracker } from "../takeover_tracker.ts";
import type { LeaseTiming } from "../timing.ts";
import { WitnessLedger } from "../witness_ledger.ts";

/** Injected faults, each of which breaks one rule and must violate the tested properties. */
export type Fault =
  | "none"
  | "no_wait"
  | "no_seal"
  | "witness_without_memory"
  | "timer_expiry"
  | "promises_while_invalid"
  | "one_set_in_change"
  | "ignores_drift"
  | "single_refusal"
  | "release_of_any_token";

/** One step of a schedule. The meaning of its numbers depends on the kind; indices are taken modulo the sizes. */
export interface Step {
  readonly kind: StepKind;
  readonly a: number;
  readonly b: number;
  readonly n: number;
}

/** Kinds of steps. */
export const STEP_KINDS = [
  "advance",
  "renew",
  "renew_all",
  "deliver",
  "deliver_all",
  "drop",
  "duplicate",
  "pause",
  "resume",
  "restart",
  "change_witnesses",
  "confirm_open",
  "seal",
  "request_refusals",
  "plan",
  "run_timers",
  "advance_until_assigned",
  "hand_over",
] as const;
/** Kind of a step. */
export type StepKind = typeof STEP_KINDS[number];

interface SimulatedSession {
  readonly id: string;
  readonly lease: LeaseHolder;
  ledger: WitnessLedger;
  proposed: (readonly string[])[];
  acknowledged: { witnesses: readonly string[]; revision: number };
  /**
   * Tokens of the assignments that the session has not released. This simulates the worst case of an outdated table:
   * the session assumes an assignment until it releases it.
   */
  readonly tokens: Set<number>;
  /** Used only with the fault `timer_expiry`: whether the lease was valid when the timer last fired. */
  wasValidAtTimer: boolean;
}

interface SimulatedNode {
  readonly clockRate: number;
  readonly clockOffsetMs: number;
  paused: boolean;
  session: SimulatedSession;
}

interface Message {
  readonly to: number;
  readonly run: () => void;
}

interface StoredSession {
  record: SessionRecord;
  revision: number;
}

/** Time between two attempts of the planner to assign, in milliseconds. */
const SMALL_STEP_MS = 3;
const MAX_SMALL_STEPS = 40;
/** Maximum difference between the rates of two clocks, as a share. */
const MAX_CLOCK_DRIFT = 0.02;

/** Simulation of several sessions, two planners and a store. */
export class SessionSimulation {
  private nowMs = 0;
  private revision = 1;
  private nextId = 0;
  private readonly nodes: SimulatedNode[];
  private readonly stored = new Map<string, StoredSession>();
  private messages: Message[] = [];
  private table: { owner: string | undefined; token: number } = {
    owner: undefined,
    token: 0,
  };
  private readonly takeoverTrackers: TakeoverTracker[];
  private readonly timing: LeaseTiming;

  private constructor(size: number, private readonly fault: Fault) {
    this.timing = {
      promiseMs: 1_000,
      renewIntervalMs: 250,
      drift: fault === "ignores_drift" ? 0 : MAX_CLOCK_DRIFT,
    };
    this.nodes = Array.from({ length: size }, (_, index) => ({
      clockRate: 1 + (MAX_CLOCK_DRIFT / 2) * (index % 3 - 1),
      clockOffsetMs: index * 10_000,
      paused: false,
      session: this.createSession(index, {
        witnesses: this.othersOf(index, size),
        replaces: [],
      }),
    }));
    this.takeoverTrackers = [
      TakeoverTracker.create(this.timing),
      TakeoverTracker.create(this.timing),
    ];
  }

  /** Creates a simulation of `size` nodes that are witnesses of each other; the partition has no owner. */
  static create(size: number, fault: Fault): SessionSimulation {
    return new SessionSimulation(size, fault);
  }

  /** Executes one step. */
  step(step: Step): void {
    const index = step.a % this.nodes.length;
    const node = this.nodes[index] as SimulatedNode;
    const other = step.b % this.nodes.length;
    switch (step.kind) {
      case "advance":
        this.nowMs += step.n;
        break;
      case "renew":
        this.sendRenewal(index, step.b);
        break;
      case "renew_all":
        this.nodes.forEach((_, each) => this.renewAll(each));
        break;
      case "deliver":
        this.deliver(step.n);
        break;
      case "deliver_all":
        this.deliverAll();
        break;
      case "drop":
        this.messages.splice(step.n % Math.max(1, this.messages.length), 1);
        break;
      case "duplicate":
        this.duplicate(step.n);
        break;
      case "pause":
        node.paused = true;
        break;
      case "resume":
        node.paused = false;
        break;
      case "restart":
        this.restart(index);
        break;
      case "change_witnesses":
        this.changeWitnesses(index, { choice: step.n, lost: step.b % 2 === 1 });
        break;
      case "confirm_open":
        this.confirmOpen(index);
        break;
      case "seal":
        this.sealSession(
          step.b % 2 === 0
            ? this.table.owner ?? ""
            : (this.nodes[other] as SimulatedNode).session.id,
        );
        break;
      case "request_refusals":
        this.requestRefusals(index);
        break;
      case "plan":
        this.plan(index, step.n);
        break;
      case "advance_until_assigned":
        this.advanceUntilAssigned(index, step.n);
        break;
      case "hand_over":
        this.handOver(index, step.n);
        break;
      case "run_timers":
        this.nodes.filter(({ paused }) => !paused).forEach((each) =>
          this.runTimer(each)
        );
        break;
    }
  }

  /** Returns the sessions that would dispatch a request now. */
  owners(): string[] {
    return this.nodes
      .filter((node) =>
        !node.paused && node.session.tokens.size > 0 && this.isValid(node)
      )
      .map((node) => node.session.id);
  }

  /** The owner according to the ownership table. */
  get tableOwner(): string | undefined {
    return this.table.owner;
  }

  /** Runs for a number of simulated seconds without failures: nodes resume, messages arrive, the planner runs. */
  runWithoutFailures(seconds: number): void {
    this.nodes.forEach((node) => node.paused = false);
    for (let elapsed = 0; elapsed < seconds * 1_000; elapsed += 100) {
      this.nowMs += 100;
      this.nodes.forEach((_, index) => {
        this.replaceWitnesses(index);
        this.confirmOpen(index);
        this.renewAll(index);
      });
      this.deliverAll();
      this.nodes.forEach((node, index) => {
        if (this.stored.get(node.session.id)?.record.state !== "open") {
          this.restart(index);
        }
      });
      this.sealReplaced();
      this.requestRefusals(0);
      this.deliverAll();
      this.plan(0, elapsed);
      this.finishRelease();
    }
  }

  /** Lets an owner that has released its assignment report this, so that the planner finishes the handover. */
  private finishRelease(): void {
    const holder = this.nodes.find((node) =>
      node.session.id === this.table.owner
    );
    if (holder !== undefined && !holder.session.tokens.has(this.table.token)) {
      this.assign(holder);
    }
  }

  private isValid(node: SimulatedNode): boolean {
    return this.fault === "timer_expiry"
      ? node.session.wasValidAtTimer
      : this.clockMs(node) < node.session.lease.validUntil;
  }

  private runTimer(node: SimulatedNode): void {
    node.session.wasValidAtTimer =
      this.clockMs(node) < node.session.lease.validUntil;
  }

  private clockMs(node: SimulatedNode): number {
    return node.clockOffsetMs + node.clockRate * this.nowMs;
  }

  private othersOf(index: number, size: number): string[] {
    return Array.from({ length: size }, (_, other) => other).filter((other) =>
      other !== index
    ).map((other) => `s${other}`)
      .slice(0, 5);
  }

  private createSession(
    host: number,
    options: { witnesses: readonly string[]; replaces: readonly string[] },
  ): SimulatedSession {
    const id = `s${this.nextId}`;
    this.nextId += 1;
    this.revision += 1;
    const record: SessionRecord = {
      id,
      host: `host-${host}`,
      region: "r",
      availability_zone: "z",
      control_address: `host-${host}:1`,
      data_address: `host-${host}:2`,
      service: "s",
      slots: 1,
      checks_fencing: true,
      longest_work_ms: 0,
      draining: false,
      state: "open",
      witnesses: [...options.witnesses],
      replaces: [...options.replaces],
      declared_lost: false,
      started_at_ms: 0,
      sealed_reason: "",
    };
    this.stored.set(id, { record, revision: this.revision });
    const lease = LeaseHolder.create(this.timing);
    lease.setWitnesses(record.witnesses);
    return {
      id,
      lease,
      ledger: WitnessLedger.create(this.timing),
      proposed: [],
      acknowledged: { witnesses: record.witnesses, revision: this.revision },
      tokens: new Set(),
      wasValidAtTimer: false,
    };
  }

  private renewAll(index: number): void {
    const count =
      (this.nodes[index] as SimulatedNode).session.lease.witnesses.length;
    Array.from(
      { length: count },
      (_, witness) => this.sendRenewal(index, witness),
    );
  }

  private sendRenewal(index: number, choice: number): void {
    const node = this.nodes[index] as SimulatedNode;
    const { session } = node;
    const names = session.lease.witnesses;
    const witness = names[choice % Math.max(1, names.length)];
    if (node.paused || witness === undefined) {
      return;
    }
    const sentAtMs = this.clockMs(node);
    this.sendToWitness(witness, (peer) => {
      const validUntilMs = this.fault === "promises_while_invalid"
        ? Infinity
        : peer.session.lease.validUntil;
      const response = peer.session.ledger.renew(session.id, {
        nowMs: this.clockMs(peer),
        validUntilMs,
      });
      this.send(index, () => {
        if (node.session === session && response === "promised") {
          session.lease.recordPromise(witness, sentAtMs);
        }
      });
    });
  }

  private restart(index: number): void {
    const node = this.nodes[index] as SimulatedNode;
    if (this.fault === "witness_without_memory") {
      node.session.ledger = WitnessLedger.create(this.timing);
      return;
    }
    const old = node.session;
    const alive = this.nodes.filter((other) => other !== node).map((other) =>
      other.session.id
    );
    node.paused = false;
    node.session = this.createSession(index, {
      witnesses: alive.slice(0, 5),
      replaces: [old.id],
    });
  }

  /** Proposes other witnesses. The write and its response are messages that can be delayed or lost. */
  private changeWitnesses(
    index: number,
    options: { choice: number; lost: boolean },
  ): void {
    const node = this.nodes[index] as SimulatedNode;
    const { session } = node;
    if (node.paused) {
      return;
    }
    const { choice } = options;
    const others = this.nodes.filter((other) => other !== node).map((other) =>
      other.session.id
    );
    const next = others.filter((_, position) => (choice >> position) % 2 === 1);
    if (next.length === 0) {
      return;
    }
    session.proposed.push(next);
    const sets = this.fault === "one_set_in_change"
      ? [next]
      : [session.acknowledged.witnesses, ...session.proposed];
    session.lease.setWitnesses(...sets);
    if (options.lost) {
      return;
    }
    const expected = session.acknowledged.revision;
    this.send(-1, () => {
      const stored = this.stored.get(session.id) as StoredSession;
      const applied = stored.revision === expected &&
        stored.record.state === "open";
      if (applied) {
        this.revision += 1;
        this.stored.set(session.id, {
          record: { ...stored.record, witnesses: next },
          revision: this.revision,
        });
      }
      const { revision } = this.stored.get(session.id) as StoredSession;
      this.send(index, () => {
        if (
          applied && node.session === session &&
          revision > session.acknowledged.revision
        ) {
          session.acknowledged = { witnesses: next, revision };
          session.proposed = [];
          session.lease.setWitnesses(next);
        }
      });
    });
  }

  /** Proposes all other nodes as witnesses if a current witness has stopped. */
  private replaceWitnesses(index: number): void {
    const { session } = this.nodes[index] as SimulatedNode;
    const alive = this.nodes.map((node) => node.session.id);
    if (
      session.proposed.length > 0 ||
      session.acknowledged.witnesses.some((witness) => !alive.includes(witness))
    ) {
      this.changeWitnesses(index, { choice: 0b111111, lost: false });
    }
  }

  private confirmOpen(index: number): void {
    const node = this.nodes[index] as SimulatedNode;
    const { session } = node;
    if (node.paused) {
      return;
    }
    const sentAtMs = this.clockMs(node);
    this.send(-1, () => {
      const open = this.stored.get(session.id)?.record.state === "open";
      this.send(index, () => {
        if (open && node.session === session) {
          session.ledger.confirmOpen(sentAtMs);
        }
      });
    });
  }

  private sealReplaced(): void {
    [...this.stored.values()].flatMap(({ record }) => record.replaces).forEach((
      id,
    ) => this.sealSession(id));
  }

  private sealSession(id: string): void {
    const stored = this.stored.get(id);
    if (stored?.record.state !== "open" || this.fault === "no_seal") {
      return;
    }
    this.revision += 1;
    this.stored.set(id, {
      record: { ...stored.record, state: "sealed" },
      revision: this.revision,
    });
  }

  /** Lets the planner of a node request the missing refusals of all takeovers. */
  private requestRefusals(index: number): void {
    const planner = index % this.takeoverTrackers.length;
    const node = this.nodes[planner] as SimulatedNode;
    const tracker = this.takeoverTrackers[planner] as TakeoverTracker;
    if (node.paused) {
      return;
    }
    this.observe(tracker, node);
    tracker.pendingRefusals().forEach((sessions, witness) => {
      this.sendToWitness(witness, (peer) => {
        const refusals = sessions.map((session) => ({
          session,
          remainingMs: peer.session.ledger.refuse(session, this.clockMs(peer)),
        }));
        this.send(
          planner,
          () =>
            refusals.forEach(({ session, remainingMs }) =>
              tracker.recordRefusal(session, {
                witness,
                remainingMs: this.fault === "no_wait" ? 0 : remainingMs,
                nowMs: this.clockMs(node),
              })
            ),
        );
      });
    });
  }

  private observe(tracker: TakeoverTracker, node: SimulatedNode): void {
    const records = [...this.stored.values()].map(({ record }) => record);
    const nowMs = this.clockMs(node);
    const observed = this.fault === "no_seal"
      ? records.map((record) =>
        record.id === this.table.owner
          ? { ...record, state: "sealed" as const }
          : record
      )
      : records;
    tracker.observe(
      this.fault === "single_refusal"
        ? observed.map(requireOneRefusal)
        : observed,
      nowMs,
    );
  }

  /** Lets the planner of a node advance its takeovers and assign the partition if permitted. */
  private plan(index: number, choice: number): void {
    const planner = index % this.takeoverTrackers.length;
    const node = this.nodes[planner] as SimulatedNode;
    const tracker = this.takeoverTrackers[planner] as TakeoverTracker;
    if (node.paused) {
      return;
    }
    this.observe(tracker, node);
    tracker.advance(this.clockMs(node));
    const { owner } = this.table;
    tracker.replaceable().filter((id) => id !== owner).forEach((id) =>
      this.recordEnd(id)
    );
    if (owner !== undefined && !tracker.mayReplace(owner)) {
      return;
    }
    const open = this.nodes.filter((other) =>
      this.stored.get(other.session.id)?.record.state === "open"
    );
    const recipient = open[choice % Math.max(1, open.length)];
    if (recipient !== undefined) {
      this.assign(recipient);
    }
  }

  /** Records in the store that a session has ended, which is evidence for takeovers of sessions it is a witness of. */
  private recordEnd(id: string): void {
    const stored = this.stored.get(id);
    if (stored?.record.state === "sealed") {
      this.revision += 1;
      this.stored.set(id, {
        record: { ...stored.record, state: "ended" },
        revision: this.revision,
      });
    }
  }

  private assign(recipient: SimulatedNode): void {
    this.table = { owner: recipient.session.id, token: this.table.token + 1 };
    recipient.session.tokens.add(this.table.token);
  }

  /** Advances the clock in small steps until the planner assigns, so that it does so as early as permitted. */
  private advanceUntilAssigned(index: number, choice: number): void {
    const before = this.table.token;
    for (
      let count = 0;
      count < choice % MAX_SMALL_STEPS && this.table.token === before;
      count += 1
    ) {
      this.nowMs += SMALL_STEP_MS;
      this.plan(index, choice);
    }
  }

  /** Starts a planned handover: the owner releases its assignment, then another session gets the partition. */
  private handOver(index: number, choice: number): void {
    const { owner, token } = this.table;
    const holder = this.nodes.findIndex((node) => node.session.id === owner);
    if (holder < 0) {
      return;
    }
    this.send(holder, () => {
      const { session } = this.nodes[holder] as SimulatedNode;
      if (session.id !== owner) {
        return;
      }
      session.tokens.delete(token);
      this.send(index, () => {
        const recipient = this
          .nodes[choice % this.nodes.length] as SimulatedNode;
        const current = this.fault === "release_of_any_token" ||
          this.table.token === token;
        if (
          current &&
          this.stored.get(recipient.session.id)?.record.state === "open"
        ) {
          this.assign(recipient);
        }
      });
    });
  }

  /** Sends to a witness by session id; the message is dropped if that node has started a new session meanwhile. */
  private sendToWitness(
    witness: string,
    run: (peer: SimulatedNode) => void,
  ): void {
    const target = this.nodes.findIndex(({ session }) =>
      session.id === witness
    );
    if (target < 0) {
      return;
    }
    this.send(target, () => {
      const peer = this.nodes[target] as SimulatedNode;
      if (peer.session.id === witness) {
        run(peer);
      }
    });
  }

  private send(to: number, run: () => void): void {
    this.messages.push({ to, run });
  }

  private isDeliverable(message: Message): boolean {
    return message.to < 0 || this.nodes[message.to]?.paused === false;
  }

  private deliver(choice: number): void {
    const ready = this.messages.filter((message) =>
      this.isDeliverable(message)
    );
    const message = ready[choice % Math.max(1, ready.length)];
    if (message !== undefined) {
      this.messages = this.messages.filter((other) => other !== message);
      message.run();
    }
  }

  private deliverAll(): void {
    const limit = 1_000;
    for (
      let count = 0;
      count < limit &&
      this.messages.some((message) => this.isDeliverable(message));
      count += 1
    ) {
      this.deliver(0);
    }
  }

  private duplicate(choice: number): void {
    const message = this.messages[choice % Math.max(1, this.messages.length)];
    if (message !== undefined) {
      this.messages.push({ ...message });
    }
  }
}

/** Implements the fault `single_refusal`: only the first witness of a sealed session has to refuse. */
function requireOneRefusal(record: SessionRecord): SessionRecord {
  return record.state === "sealed"
    ? { ...record, witnesses: record.witnesses.slice(0, 1) }
    : record;
}
