/**
 * A small world for property tests of ownership: the real decision code of several sessions and two
 * planners, with clocks that drift, a store with compare-and-swap, and messages that are delayed, lost,
 * doubled and crossed. One partition is owned.
 *
 * @module
 */
import type { SessionRecord } from "@bamboolink/types";
import { LeaseHolder } from "../lease_holder.ts";
import { TakeoverTracker } from "../takeover_tracker.ts";
import type { LeaseTiming } from "../timing.ts";
import { WitnessLedger } from "../witness_ledger.ts";

/** Ways to break the rules on purpose; the properties must notice each. */
export type Fault =
  | "none"
  | "no_wait"
  | "no_seal"
  | "forgetful_witness"
  | "timer_expiry"
  | "promises_while_invalid"
  | "one_set_in_change"
  | "ignores_drift"
  | "unanimous_by_one"
  | "release_of_any_token";

/** One step of a schedule. What its numbers mean depends on the kind; they are taken modulo sizes. */
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
  "double",
  "pause",
  "resume",
  "restart",
  "change_witnesses",
  "confirm_open",
  "seal",
  "ask_to_refuse",
  "plan",
  "timer",
  "creep",
  "hand_over",
] as const;
/** Kind of a step. */
export type StepKind = typeof STEP_KINDS[number];

interface SimulatedSession {
  readonly id: string;
  readonly lease: LeaseHolder;
  ledger: WitnessLedger;
  proposed: (readonly string[])[];
  settled: { witnesses: readonly string[]; revision: number };
  /**
   * Tokens of assignments that were not given up. The worst case of an old table: what was once assigned
   * is believed for ever.
   */
  readonly tokens: Set<number>;
  /** Only for the broken variant that looks at the clock by a timer. */
  timerSaysValid: boolean;
}

interface SimulatedNode {
  readonly rate: number;
  readonly offset: number;
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

/** Length of a small step of time, in milliseconds. */
const CREEP_MS = 3;
const CREEP_STEPS = 40;
/** Two clocks of the world differ in rate by at most this. */
const REAL_DRIFT = 0.02;

/** The world. */
export class SessionSimulation {
  private now = 0;
  private revision = 1;
  private nextId = 0;
  private readonly nodes: SimulatedNode[];
  private readonly stored = new Map<string, StoredSession>();
  private messages: Message[] = [];
  private table: { owner: string | undefined; token: number } = {
    owner: undefined,
    token: 0,
  };
  private readonly books: TakeoverTracker[];
  private readonly timing: LeaseTiming;

  private constructor(size: number, private readonly fault: Fault) {
    this.timing = {
      promiseMs: 1_000,
      renewIntervalMs: 250,
      drift: fault === "ignores_drift" ? 0 : REAL_DRIFT,
    };
    this.nodes = Array.from({ length: size }, (_, index) => ({
      rate: 1 + (REAL_DRIFT / 2) * (index % 3 - 1),
      offset: index * 10_000,
      paused: false,
      session: this.makeSession(index, {
        witnesses: this.othersOf(index, size),
        replaces: [],
      }),
    }));
    this.books = [
      TakeoverTracker.create(this.timing),
      TakeoverTracker.create(this.timing),
    ];
  }

  /** Creates a world in which every node is a witness of its neighbours and nobody owns anything. */
  static create(size: number, fault: Fault): SessionSimulation {
    return new SessionSimulation(size, fault);
  }

  /** Makes one step. */
  step(step: Step): void {
    const index = step.a % this.nodes.length;
    const node = this.nodes[index] as SimulatedNode;
    const other = step.b % this.nodes.length;
    switch (step.kind) {
      case "advance":
        this.now += step.n;
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
      case "double":
        this.double(step.n);
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
      case "ask_to_refuse":
        this.askToRefuse(index);
        break;
      case "plan":
        this.plan(index, step.n);
        break;
      case "creep":
        this.creep(index, step.n);
        break;
      case "hand_over":
        this.handOver(index, step.n);
        break;
      case "timer":
        this.nodes.filter(({ paused }) => !paused).forEach((each) =>
          this.runTimer(each)
        );
        break;
    }
  }

  /** Sessions that would hand a request over right now. */
  owners(): string[] {
    return this.nodes
      .filter((node) =>
        !node.paused && node.session.tokens.size > 0 && this.isValid(node)
      )
      .map((node) => node.session.id);
  }

  /** The session that the table names. */
  get tableOwner(): string | undefined {
    return this.table.owner;
  }

  /** Lets everything run well for a while: all resume, messages arrive, the planner works. */
  heal(seconds: number): void {
    this.nodes.forEach((node) => node.paused = false);
    for (let elapsed = 0; elapsed < seconds * 1_000; elapsed += 100) {
      this.now += 100;
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
      this.askToRefuse(0);
      this.deliverAll();
      this.plan(0, elapsed);
      this.repairRelease();
    }
  }

  /** An owner that gave its assignment up reports so, and the planner finishes the handover. */
  private repairRelease(): void {
    const holder = this.nodes.find((node) =>
      node.session.id === this.table.owner
    );
    if (holder !== undefined && !holder.session.tokens.has(this.table.token)) {
      this.assign(holder);
    }
  }

  private isValid(node: SimulatedNode): boolean {
    return this.fault === "timer_expiry"
      ? node.session.timerSaysValid
      : this.clock(node) < node.session.lease.validUntil;
  }

  private runTimer(node: SimulatedNode): void {
    node.session.timerSaysValid =
      this.clock(node) < node.session.lease.validUntil;
  }

  private clock(node: SimulatedNode): number {
    return node.offset + node.rate * this.now;
  }

  private othersOf(index: number, size: number): string[] {
    return Array.from({ length: size }, (_, other) => other).filter((other) =>
      other !== index
    ).map((other) => `s${other}`)
      .slice(0, 5);
  }

  private makeSession(
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
      settled: { witnesses: record.witnesses, revision: this.revision },
      tokens: new Set(),
      timerSaysValid: false,
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
    const sentAtMs = this.clock(node);
    this.sendToWitness(witness, (peer) => {
      const validUntilMs = this.fault === "promises_while_invalid"
        ? Infinity
        : peer.session.lease.validUntil;
      const answer = peer.session.ledger.renew(session.id, {
        nowMs: this.clock(peer),
        validUntilMs,
      });
      this.send(index, () => {
        if (node.session === session && answer === "promised") {
          session.lease.recordPromise(witness, sentAtMs);
        }
      });
    });
  }

  private restart(index: number): void {
    const node = this.nodes[index] as SimulatedNode;
    if (this.fault === "forgetful_witness") {
      node.session.ledger = WitnessLedger.create(this.timing);
      return;
    }
    const old = node.session;
    const alive = this.nodes.filter((other) => other !== node).map((other) =>
      other.session.id
    );
    node.paused = false;
    node.session = this.makeSession(index, {
      witnesses: alive.slice(0, 5),
      replaces: [old.id],
    });
  }

  /** Proposes other witnesses; the write and its answer are messages like others. */
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
      : [session.settled.witnesses, ...session.proposed];
    session.lease.setWitnesses(...sets);
    if (options.lost) {
      return;
    }
    const expected = session.settled.revision;
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
          revision > session.settled.revision
        ) {
          session.settled = { witnesses: next, revision };
          session.proposed = [];
          session.lease.setWitnesses(next);
        }
      });
    });
  }

  /** Names all others, where a witness is not there any more. */
  private replaceWitnesses(index: number): void {
    const { session } = this.nodes[index] as SimulatedNode;
    const alive = this.nodes.map((node) => node.session.id);
    if (
      session.proposed.length > 0 ||
      session.settled.witnesses.some((witness) => !alive.includes(witness))
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
    const sentAtMs = this.clock(node);
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

  /** The planner on a node asks all witnesses of all cases. */
  private askToRefuse(index: number): void {
    const planner = index % this.books.length;
    const node = this.nodes[planner] as SimulatedNode;
    const book = this.books[planner] as TakeoverTracker;
    if (node.paused) {
      return;
    }
    this.observe(book, node);
    book.pendingRefusals().forEach((sessions, witness) => {
      this.sendToWitness(witness, (peer) => {
        const refusals = sessions.map((session) => ({
          session,
          remainingMs: peer.session.ledger.refuse(session, this.clock(peer)),
        }));
        this.send(
          planner,
          () =>
            refusals.forEach(({ session, remainingMs }) =>
              book.recordRefusal(session, {
                witness,
                remainingMs: this.fault === "no_wait" ? 0 : remainingMs,
                nowMs: this.clock(node),
              })
            ),
        );
      });
    });
  }

  private observe(book: TakeoverTracker, node: SimulatedNode): void {
    const records = [...this.stored.values()].map(({ record }) => record);
    const nowMs = this.clock(node);
    const seen = this.fault === "no_seal"
      ? records.map((record) =>
        record.id === this.table.owner
          ? { ...record, state: "sealed" as const }
          : record
      )
      : records;
    book.observe(
      this.fault === "unanimous_by_one" ? seen.map(trustOneWitness) : seen,
      nowMs,
    );
  }

  /** The planner on a node works through its book and assigns the partition if it may. */
  private plan(index: number, choice: number): void {
    const planner = index % this.books.length;
    const node = this.nodes[planner] as SimulatedNode;
    const book = this.books[planner] as TakeoverTracker;
    if (node.paused) {
      return;
    }
    this.observe(book, node);
    book.advance(this.clock(node));
    const { owner } = this.table;
    book.replaceable().filter((id) => id !== owner).forEach((id) =>
      this.end(id)
    );
    if (owner !== undefined && !book.mayReplace(owner)) {
      return;
    }
    const open = this.nodes.filter((other) =>
      this.stored.get(other.session.id)?.record.state === "open"
    );
    const taker = open[choice % Math.max(1, open.length)];
    if (taker !== undefined) {
      this.assign(taker);
    }
  }

  /** Writes that a session has ended, which is evidence for takeovers of those it witnessed for. */
  private end(id: string): void {
    const stored = this.stored.get(id);
    if (stored?.record.state === "sealed") {
      this.revision += 1;
      this.stored.set(id, {
        record: { ...stored.record, state: "ended" },
        revision: this.revision,
      });
    }
  }

  private assign(taker: SimulatedNode): void {
    this.table = { owner: taker.session.id, token: this.table.token + 1 };
    taker.session.tokens.add(this.table.token);
  }

  /** Time passes in small steps until the planner assigns, so that it assigns as early as it may. */
  private creep(index: number, choice: number): void {
    const before = this.table.token;
    for (
      let count = 0;
      count < choice % CREEP_STEPS && this.table.token === before;
      count += 1
    ) {
      this.now += CREEP_MS;
      this.plan(index, choice);
    }
  }

  /** A planned handover: the owner gives its assignment up, then another gets the partition. */
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
        const taker = this.nodes[choice % this.nodes.length] as SimulatedNode;
        const current = this.fault === "release_of_any_token" ||
          this.table.token === token;
        if (
          current && this.stored.get(taker.session.id)?.record.state === "open"
        ) {
          this.assign(taker);
        }
      });
    });
  }

  /** A witness is named by session: one that restarted meanwhile is not the one that was asked. */
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

  private double(choice: number): void {
    const message = this.messages[choice % Math.max(1, this.messages.length)];
    if (message !== undefined) {
      this.messages.push({ ...message });
    }
  }
}

/** A broken planner that is content with one refusal. */
function trustOneWitness(record: SessionRecord): SessionRecord {
  return record.state === "sealed"
    ? { ...record, witnesses: record.witnesses.slice(0, 1) }
    : record;
}
