/**
 * Hands requests to the backend server on this host, no more at a time than it has slots.
 *
 * @module
 */
import {
  ColdStartPacer,
  type QueueChanges,
  ServiceTimes,
  WorkQueue,
} from "@bamboolink/admission";
import {
  type GrantTracker,
  type Incarnation,
  isSameIncarnation,
  LoadProfile,
} from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import type { MemberPhase } from "@bamboolink/membership";
import type { Cancellation } from "./cancellation.ts";
import { bootMs, steadyMs } from "./clock.ts";
import { ConnectionPool } from "./connection_pool.ts";
import type { Connection, ExchangeResult } from "./exchange.ts";
import { selectAnswerHeaders } from "./http_headers.ts";
import type { LoadReport } from "./link_codec.ts";
import { LoadMeter } from "./load_meter.ts";
import type { BackendProtocol } from "./ports/backend_protocol.ts";
import { Probation } from "./probation.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import {
  Destination,
  notRun,
  type Outcome,
  type RefusalReason,
  type RoutedRequest,
  unknown,
} from "./routed_request.ts";

/**
 * How long a connection may have been idle to be used again for idempotent requests, in milliseconds:
 * these are sent again elsewhere when the backend server has forgotten it.
 */
const REUSE_IDEMPOTENT_MS = 5_000;
/**
 * The same for requests that may run once only, in milliseconds. One that goes out on a forgotten
 * connection ends as unknown, so only connections in steady use will do.
 */
const REUSE_ONCE_MS = 1_000;
/** A request for a key that the backend server is about to be granted waits so long, in milliseconds. */
const GRANT_WAIT_MS = 1_200;

/**
 * For how long a wait that was worked out is told again, in milliseconds. It goes with every answer, and the
 * slots are played forward for it.
 */
const WAIT_FRESH_MS = 5;

/** When this process started, on the steady clock. */
const PROCESS_START_MS = 0;

/** What contradicts that a backend server is there as it is believed to be. */
export type BackendSuspicion =
  /** It refuses connections. */
  | "refused"
  /** Its connections break, all of those on which something ran. */
  | "lost"
  /** Another one answers. */
  | "wrong_instance";

/** What the local backend needs. */
export interface LocalBackendContext {
  readonly address: string;
  readonly protocol: BackendProtocol;
  readonly logger: Logger;
  readonly grants: GrantTracker;
  readonly quarantine: RequestQuarantine;
  /** Called when something contradicts what is believed of the backend server. */
  readonly onSuspicion: (suspicion: BackendSuspicion) => void;
}

/** What is known of the backend server that requests need. */
export interface BackendIdentity extends Incarnation {
  readonly service: string;
  readonly slots: number;
  readonly phase: MemberPhase;
  readonly isKeyed: boolean;
  /** After this nothing is handed over any more, on the steady clock; infinite while it takes work. */
  readonly forwardUntilMs: number;
  /** Until when it is cold, on the steady clock. */
  readonly coldUntilMs: number;
  /** Most requests in one second while it is cold; 0 where that is not known. */
  readonly coldLimit: number;
}

interface Waiting {
  readonly resolve: (outcome: "run" | Outcome) => void;
}

/** The backend server on this host. */
export class LocalBackend extends Destination {
  /** How much work its keys bring. */
  readonly profile = LoadProfile.create();
  private readonly pacer = ColdStartPacer.create(PROCESS_START_MS);
  private readonly queue = WorkQueue.create(this.pacer);
  private readonly times = ServiceTimes.create();
  private readonly meter = LoadMeter.create();
  private readonly waiting = new Map<number, Waiting>();
  private readonly grantWaits = new Set<() => void>();
  private readonly probation = Probation.create();
  private connections: ConnectionPool;
  private identity: BackendIdentity | undefined;
  private lastId = 0;
  private totals = { offered: 0, finished: 0 };
  private wait = { waitMs: 0, atMs: -Infinity };

  private constructor(private context: LocalBackendContext) {
    super();
    this.connections = ConnectionPool.create(context.address);
  }

  /** Creates one that knows of no backend server yet. */
  static create(context: LocalBackendContext): LocalBackend {
    return new LocalBackend(context);
  }

  /** Takes over what the backend server says of itself; `undefined` when it is gone. */
  updateIdentity(identity: BackendIdentity | undefined): void {
    const isSameProcess = identity !== undefined &&
      this.identity !== undefined && isSameIncarnation(identity, this.identity);
    if (!isSameProcess) {
      this.connections.closeIdle();
      this.times.clear();
    }
    this.identity = identity;
    if (identity !== undefined) {
      this.pacer.setLimit(identity.coldLimit);
      this.pacer.setColdUntil(identity.coldUntilMs);
    }
    this.queue.setSlots(identity?.slots ?? 0);
    this.apply(this.queue.advance(steadyMs()));
  }

  /** How busy the backend server is, and how long requests of a route take there. */
  loadReportFor(route: string): LoadReport {
    return {
      waitMs: this.waitMs,
      utilization: this.utilization,
      serviceMs: this.times.averageOf(route),
      failureShare: this.failureShare,
    };
  }

  /** Until a request that arrives now would start, in milliseconds. */
  get waitMs(): number {
    const nowMs = steadyMs();
    if (nowMs - this.wait.atMs > WAIT_FRESH_MS) {
      // Without slots nobody sends anything; the phase says so, and the figure must be one that travels.
      const hasSlots = (this.identity?.slots ?? 0) > 0;
      this.wait = {
        waitMs: hasSlots ? this.queue.waitMs(nowMs) : 0,
        atMs: nowMs,
      };
    }
    return this.wait.waitMs;
  }

  /** Usual time of a request over all routes, in milliseconds; 0 until enough were served. */
  get serviceMs(): number {
    return this.times.stableAverageMs;
  }

  /** Share of recent requests that failed. */
  get failureShare(): number {
    return this.meter.failureShare;
  }

  /** Work offered for each slot, or what a cold server's rate is used, whichever is more; 1 leaves no room. */
  get utilization(): number {
    const slots = this.identity?.slots ?? 0;
    return slots === 0 ? 0 : Math.max(
      this.meter.offeredPerSecondMs / (slots * 1_000),
      this.pacer.utilization(steadyMs()),
    );
  }

  /** How many requests run and wait. */
  get counts(): { running: number; waiting: number } {
    return {
      running: this.queue.runningCount,
      waiting: this.queue.waitingCount + this.grantWaits.size,
    };
  }

  /** Describes the load since the last call, for the log. */
  takeLoadSummary(): Record<string, number> {
    const { offered, finished } = this.totals;
    this.totals = { offered: 0, finished: 0 };
    return {
      ...this.counts,
      offered,
      finished,
      slots: this.identity?.slots ?? 0,
      is_cold: this.pacer.isPacing(steadyMs()) ? 1 : 0,
      wait_ms: Math.round(this.waitMs),
      service_ms: Math.round(this.times.averageMs),
      utilization: Math.round(this.utilization * 100) / 100,
      failure_share: Math.round(this.meter.failureShare * 100) / 100,
    };
  }

  /** Lets time pass: what can't be done in time any more is refused, and old load is forgotten. */
  tick(): void {
    const nowMs = steadyMs();
    this.apply(this.queue.advance(nowMs));
    this.meter.decay(nowMs);
    this.profile.decay(nowMs);
    this.connections.prune({ nowMs, maxIdleMs: REUSE_IDEMPOTENT_MS });
  }

  /** The backend server was granted keys: requests that waited for them look again. */
  onKeysGranted(): void {
    this.grantWaits.forEach((look) => look());
  }

  /** Closes all connections. */
  close(): Promise<void> {
    return this.connections.destroy();
  }

  override async attempt(
    work: RoutedRequest,
    cancellation: Cancellation,
  ): Promise<Outcome> {
    const { quarantine } = this.context;
    const refused = this.checkService(work) ?? this.checkQuarantine(work) ??
      await this.awaitKey(work, cancellation);
    if (refused !== undefined) {
      return refused;
    }
    const estimateMs = this.estimate(work);
    if (quarantine.classify(work).kind !== "suspect") {
      return await this.runAdmitted(work, { cancellation, estimateMs });
    }
    return await this.probation.run(work, { cancellation, estimateMs }, () => {
      const changed = this.checkService(work);
      const isOnProbation = true;
      return changed === undefined
        ? this.runAdmitted(work, { cancellation, estimateMs, isOnProbation })
        : Promise.resolve(changed);
    });
  }

  private estimate(work: RoutedRequest): number {
    const nowMs = steadyMs();
    return this.times.estimate(work.route, {
      objectiveMs: work.objectiveAtMs - nowMs,
      deadlineMs: work.deadlineAtMs - nowMs,
    });
  }

  /** Runs a request when a slot is free for it. */
  private async runAdmitted(
    work: RoutedRequest,
    entry: {
      cancellation: Cancellation;
      estimateMs: number;
      isOnProbation?: boolean;
    },
  ): Promise<Outcome> {
    const { cancellation, estimateMs, isOnProbation = false } = entry;
    this.meter.noteOffered(estimateMs);
    this.totals.offered += 1;
    if (work.key !== undefined) {
      this.profile.record(work.key, estimateMs);
    }
    this.lastId += 1;
    const id = this.lastId;
    const admitted = await this.awaitSlot(work, {
      id,
      estimateMs,
      cancellation,
    });
    return admitted === "run"
      ? await this.handOver(work, { id, cancellation, isOnProbation })
      : admitted;
  }

  private checkService(work: RoutedRequest): Outcome | undefined {
    const { identity } = this;
    if (identity === undefined || identity.phase === "absent") {
      return notRun("no_backend");
    }
    if (identity.service !== work.service) {
      return notRun("no_backend");
    }
    return this.isTaking(identity)
      ? undefined
      : notRun(leavingReason(identity));
  }

  private checkQuarantine(work: RoutedRequest): Outcome | undefined {
    const standing = this.context.quarantine.classify(work);
    return standing.kind === "quarantined"
      ? notRun("quarantined", { waitMs: standing.remainingMs })
      : undefined;
  }

  /** One that leaves is handed requests for a while longer only for keys, which nobody else can serve. */
  private isTaking({ phase, isKeyed, forwardUntilMs }: BackendIdentity) {
    return phase === "ready" || isKeyed && steadyMs() <= forwardUntilMs;
  }

  /** Requests for a key wait until the backend server holds it, if it is to hold it. */
  private async awaitKey(
    work: RoutedRequest,
    cancellation: Cancellation,
  ): Promise<Outcome | undefined> {
    const { grants } = this.context;
    if (this.identity?.isKeyed !== true) {
      return undefined;
    }
    const key = work.key;
    if (key === undefined || !grants.owns(key)) {
      return notRun("not_owner");
    }
    if (grants.holds(key, bootMs())) {
      return undefined;
    }
    const leftMs = work.deadlineAtMs - steadyMs();
    await this.awaitGrant(key, {
      waitMs: Math.min(GRANT_WAIT_MS, leftMs / 2),
      cancellation,
    });
    return grants.holds(key, bootMs()) ? undefined : notRun("not_owner");
  }

  private awaitGrant(
    key: number,
    options: { waitMs: number; cancellation: Cancellation },
  ): Promise<void> {
    const { grants } = this.context;
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        this.grantWaits.delete(look);
        options.cancellation.remove(end);
        resolve();
      };
      const look = () => {
        if (grants.holds(key, bootMs()) || !grants.owns(key)) {
          end();
        }
      };
      const timer = setTimeout(end, options.waitMs);
      this.grantWaits.add(look);
      options.cancellation.onCancel(end);
    });
  }

  private awaitSlot(
    work: RoutedRequest,
    entry: { id: number; estimateMs: number; cancellation: Cancellation },
  ): Promise<"run" | Outcome> {
    const { id, estimateMs, cancellation } = entry;
    if (cancellation.isCancelled) {
      return Promise.resolve(notRun("cancelled"));
    }
    const { rank, objectiveAtMs, deadlineAtMs, mayEndLate } = work;
    const verdict = this.queue.offer(
      { id, rank, objectiveAtMs, deadlineAtMs, estimateMs, mayEndLate },
      steadyMs(),
    );
    if (verdict.kind === "run") {
      return Promise.resolve("run");
    }
    if (verdict.kind === "refuse") {
      return Promise.resolve(
        notRun(verdict.reason, { waitMs: verdict.waitMs }),
      );
    }
    return new Promise((resolve) => {
      const leave = () => {
        if (this.queue.cancel(id)) {
          this.settle(id, notRun("cancelled"));
        }
      };
      cancellation.onCancel(leave);
      this.waiting.set(id, {
        resolve: (outcome) => {
          cancellation.remove(leave);
          resolve(outcome);
        },
      });
    });
  }

  /** From here on bytes may reach the backend server. */
  private async handOver(
    work: RoutedRequest,
    slot: { id: number; cancellation: Cancellation; isOnProbation: boolean },
  ): Promise<Outcome> {
    const startedMs = steadyMs();
    const refused = this.checkAgain(work);
    if (refused !== undefined) {
      this.leaveSlot(slot.id);
      return refused;
    }
    const connection = this.connections.acquire({
      nowMs: startedMs,
      maxIdleMs: work.isIdempotent ? REUSE_IDEMPOTENT_MS : REUSE_ONCE_MS,
    });
    const result = await connection.exchange(
      this.describe(work, startedMs),
      { cancellation: slot.cancellation, nowMs: steadyMs },
    );
    this.leaveSlot(slot.id);
    const outcome = this.judge(work, { result, connection });
    this.tellQuarantine(work, { outcome, isOnProbation: slot.isOnProbation });
    this.learn(work, { outcome, tookMs: steadyMs() - startedMs });
    return outcome;
  }

  /** While a request waited, the key may have gone, the server may leave, or servers may have ended under it. */
  private checkAgain(work: RoutedRequest): Outcome | undefined {
    const { grants } = this.context;
    const quarantined = this.checkQuarantine(work);
    if (quarantined !== undefined) {
      return quarantined;
    }
    const key = work.key;
    if (this.identity?.isKeyed === true && key !== undefined) {
      if (!grants.owns(key) || !grants.holds(key, bootMs())) {
        return notRun("not_owner");
      }
    }
    if (work.deadlineAtMs - steadyMs() < 1) {
      return notRun("too_late");
    }
    const { identity } = this;
    if (identity === undefined || identity.service !== work.service) {
      return notRun("no_backend");
    }
    return steadyMs() > identity.forwardUntilMs
      ? notRun(leavingReason(identity))
      : undefined;
  }

  private describe(work: RoutedRequest, nowMs: number) {
    const details = this.context.protocol.requestHeaders({
      remainingMs: Math.max(1, Math.floor(work.deadlineAtMs - nowMs)),
      instance: this.identity?.instance ?? "",
      callerService: work.callerService,
    });
    const { method, target, body } = work;
    return { method, target, body, headers: [...work.headers, ...details] };
  }

  private judge(
    work: RoutedRequest,
    end: { result: ExchangeResult; connection: Connection },
  ): Outcome {
    const { result, connection } = end;
    if (result.kind === "answer") {
      return this.judgeAnswer(work, { answer: result, connection });
    }
    this.connections.discard(connection);
    if (result.kind === "unsent") {
      if (result.isRefused) {
        this.context.onSuspicion("refused");
      }
      return notRun("backend_unreachable");
    }
    const isLate = work.deadlineAtMs - steadyMs() < 1;
    return unknown(isLate ? "deadline" : "backend_lost");
  }

  private judgeAnswer(
    work: RoutedRequest,
    end: {
      answer: Extract<ExchangeResult, { kind: "answer" }>;
      connection: Connection;
    },
  ): Outcome {
    const { answer, connection } = end;
    const verdict = this.context.protocol.classifyResponse(answer, work.id);
    if (verdict === "foreign") {
      // The right answer may still follow on this connection, where nobody may take it for another's.
      this.connections.discard(connection);
      this.context.logger.log("foreign_answer", { request_id: work.id });
      return unknown("foreign_answer");
    }
    this.connections.release(connection);
    if (verdict === "answer") {
      return { ...answer, headers: selectAnswerHeaders(answer.headers) };
    }
    if (verdict === "wrong_instance") {
      this.context.onSuspicion("wrong_instance");
    }
    return notRun("not_executed", { hasArrived: true });
  }

  private tellQuarantine(
    work: RoutedRequest,
    end: { outcome: Outcome; isOnProbation: boolean },
  ): void {
    const { outcome, isOnProbation } = end;
    const { quarantine, onSuspicion } = this.context;
    if (outcome.kind === "answer") {
      quarantine.recordResponse(work);
    }
    if (outcome.kind === "unknown" && outcome.reason === "backend_lost") {
      quarantine.recordBrokenConnection(work, isOnProbation);
      // While others run on, only this connection has broken.
      if (this.queue.runningCount === 0) {
        onSuspicion("lost");
      }
    }
  }

  private learn(
    work: RoutedRequest,
    end: { outcome: Outcome; tookMs: number },
  ): void {
    const { outcome, tookMs } = end;
    if (outcome.kind === "answer" && outcome.status < 500) {
      this.times.record(work.route, tookMs);
    }
    const isFailure = outcome.kind === "unknown" ||
      outcome.kind === "answer" && outcome.status >= 500 ||
      outcome.kind === "not_run" && outcome.hasArrived;
    this.meter.noteResult(isFailure);
  }

  private leaveSlot(id: number): void {
    this.totals.finished += 1;
    this.apply(this.queue.finish(id, steadyMs()));
  }

  private apply(changes: QueueChanges): void {
    changes.run.forEach((id) => this.settle(id, "run"));
    changes.refuse.forEach(({ id, reason }) =>
      this.settle(id, notRun(reason, { waitMs: this.waitMs }))
    );
  }

  private settle(id: number, outcome: "run" | Outcome): void {
    const waiting = this.waiting.get(id);
    this.waiting.delete(id);
    waiting?.resolve(outcome);
  }
}

/** Why a backend server that takes no new work takes none. */
function leavingReason({ phase }: BackendIdentity): RefusalReason {
  return phase === "evacuated" ? "evacuated" : "draining";
}
