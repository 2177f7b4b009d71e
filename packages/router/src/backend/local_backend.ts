/**
 * Forwards requests to the backend server on this host, at most as many at a time as it has slots, and queues or
 * refuses the rest.
 *
 * @module
 */
import {
  type RunningColdRequest,
  type ServiceEstimate,
  ServiceTimes,
} from "@bamboolink/admission";
import { BamboolinkError } from "@bamboolink/errors";
import {
  type GrantTracker,
  type Incarnation,
  isSameIncarnation,
  LoadProfile,
} from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import type { MemberPhase, StatedStatus } from "@bamboolink/membership";
import {
  BackendStatusMonitor,
  type StatedLeavingListener,
} from "./backend_status_monitor.ts";
import type { Cancellation } from "../attempts/cancellation.ts";
import { bootMs, monotonicMs } from "../clock.ts";
import { ColdStart } from "./cold_start.ts";
import { ConnectionPool } from "./connection_pool.ts";
import type { Connection, ExceededLimit, ExchangeResult } from "./exchange.ts";
import { selectResponseHeaders } from "../ingress/http_headers.ts";
import type { LoadReport } from "../links/link_codec.ts";
import { LoadMeter } from "./load_meter.ts";
import type { BackendProtocol } from "../ports/backend_protocol.ts";
import { Probation } from "./probation.ts";
import { ResponseMemory } from "./response_memory.ts";
import { type ServerLimits, SlotAdmission } from "./slot_admission.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import {
  Destination,
  notRun,
  type Outcome,
  type RefusalReason,
  type RoutedRequest,
  unknown,
} from "../attempts/routed_request.ts";

/**
 * Maximum idle time of a connection that is reused for idempotent requests, in milliseconds. These are retried
 * elsewhere if the backend server has dropped the connection.
 */
const IDEMPOTENT_MAX_IDLE_MS = 5_000;
/**
 * The same for requests that are not idempotent, in milliseconds. One that is sent on a dropped connection has an
 * unknown outcome, so only connections in steady use are reused for them.
 */
const NON_IDEMPOTENT_MAX_IDLE_MS = 1_000;
/** Maximum wait of a request for a key that the backend server is about to be granted, in milliseconds. */
const MAX_GRANT_WAIT_MS = 1_200;

/** Evidence against the assumed state of the backend server. */
export type BackendSuspicion =
  /** It refuses connections. */
  | "refused"
  /** All connections on which requests ran have broken. */
  | "lost"
  /** Another instance responds at its address. */
  | "wrong_instance";

/** Dependencies of {@link LocalBackend}. */
export interface LocalBackendContext {
  readonly address: string;
  readonly protocol: BackendProtocol;
  readonly logger: Logger;
  readonly grants: GrantTracker;
  readonly quarantine: RequestQuarantine;
  /** Called on evidence against the assumed state of the backend server. */
  readonly onSuspicion: (suspicion: BackendSuspicion) => void;
  /** Called when the backend server states in a response that it is leaving. */
  readonly onLeaving: StatedLeavingListener;
  /** Called when a response has exceeded a limit. */
  readonly onLimitExceeded?: (bound: ExceededLimit["bound"]) => void;
  /** Returns numbers from 0 up to 1; `Math.random` by default. */
  readonly random?: () => number;
  /** Memory limit of this process, in bytes; unknown if absent. */
  readonly memoryBytes?: number | undefined;
}

/** The backend server's identity and state, as far as requests depend on them. */
export interface BackendIdentity extends Incarnation, ServerLimits {
  readonly service: string;
  readonly phase: MemberPhase;
  readonly isKeyed: boolean;
  /** Until when requests are forwarded to it, on the monotonic clock; infinite while it accepts new requests. */
  readonly forwardUntilMs: number;
}

/** An exchange that has been sent. */
interface SentExchange {
  readonly incarnation: Incarnation;
  /** On the monotonic clock, in milliseconds. */
  readonly sentAtMs: number;
}

/** The backend server on this host: its queue, its connections and its load statistics. */
export class LocalBackend extends Destination {
  /** Load of each key. */
  readonly profile = LoadProfile.create();
  private readonly admission: SlotAdmission;
  private readonly times = ServiceTimes.create();
  private readonly coldStart: ColdStart;
  private readonly meter = LoadMeter.create();
  private readonly grantWaits = new Set<() => void>();
  private readonly probation = Probation.create();
  private readonly statusMonitor: BackendStatusMonitor;
  private connections: ConnectionPool;
  private identity: BackendIdentity | undefined;
  private totals = { offered: 0, finished: 0 };

  private constructor(private context: LocalBackendContext) {
    super();
    this.connections = ConnectionPool.create(
      context.address,
      ResponseMemory.create(context.memoryBytes),
    );
    this.statusMonitor = BackendStatusMonitor.create(context);
    this.coldStart = ColdStart.create({ ...context, times: this.times });
    this.admission = SlotAdmission.create(
      this.statusMonitor.load,
      context.random ?? Math.random,
    );
  }

  /** Creates an instance without a backend server; requests are refused until {@link updateIdentity} is called. */
  static create(context: LocalBackendContext): LocalBackend {
    return new LocalBackend(context);
  }

  /** Applies the identity that the backend server announced; `undefined` when it is absent. */
  updateIdentity(identity: BackendIdentity | undefined): void {
    const isSameProcess = identity !== undefined &&
      this.identity !== undefined && isSameIncarnation(identity, this.identity);
    if (!isSameProcess) {
      this.connections.closeIdle();
      this.times.clear();
      this.coldStart.reset();
    }
    this.identity = identity;
    if (identity !== undefined) {
      this.statusMonitor.setIncarnation(identity);
      this.admission.setAdvertisedLimit(this.statusMonitor.limitPerSecond);
    }
    this.coldStart.setServerColdUntil(identity?.coldUntilMs ?? -Infinity);
    this.admission.setServerLimits(identity);
  }

  /** Whether the backend server or most of its keys are cold. */
  get isCold(): boolean {
    return this.coldStart.isCold;
  }

  /** Whether most keys of the backend server are cold. */
  get hasColdKeys(): boolean {
    return this.coldStart.hasColdKeys;
  }

  /** For how long keys are assumed to be cold after a grant without a handover, in milliseconds. */
  get keyColdMs(): number {
    return this.coldStart.keyColdMs;
  }

  /** Applies what the backend server had stated in responses to an earlier process of this daemon. */
  restoreStatus(status: StatedStatus): void {
    this.statusMonitor.restore(status);
    this.admission.setAdvertisedLimit(this.statusMonitor.limitPerSecond);
  }

  /** What the backend server has stated in responses; `null` if that is nothing. */
  get statedStatus(): StatedStatus | null {
    return this.statusMonitor.statedStatus;
  }

  /** Whether an incarnation has stated in a response that it is leaving. */
  hasStatedLeaving(incarnation: Incarnation): boolean {
    return this.statusMonitor.hasStatedLeaving(incarnation);
  }

  /** Returns the backend server's load, and the average time of a route's requests there. */
  loadReportFor(route: string): LoadReport {
    return {
      waitMs: this.waitMs,
      utilization: this.utilization,
      serviceMs: this.statusMonitor.load.durationMs(
        this.times.averageOf(route),
        monotonicMs(),
      ),
      failureShare: this.failureShare,
    };
  }

  /** When the backend server last completed a request of a route, on the monotonic clock; `undefined` if never. */
  lastCompletedAtMs(route: string): number | undefined {
    return this.times.lastCompletedAtMs(route);
  }

  /** Estimated wait of a request that arrives now, in milliseconds. */
  get waitMs(): number {
    return this.admission.waitMs;
  }

  /** Typical service time over all routes, in milliseconds; 0 until enough requests were served. */
  get serviceMs(): number {
    return this.times.stableAverageMs;
  }

  /** Share of recent requests that failed, from 0 to 1. */
  get failureShare(): number {
    return this.meter.failureShare;
  }

  /** Slots that requests can keep busy: fewer than there are if the server limits the rate of requests. */
  get capacity(): number {
    return this.admission.capacity;
  }

  /**
   * Offered load relative to the capacity, or the used share of a cold server's rate limit, whichever is higher; 1 is
   * saturated.
   */
  get utilization(): number {
    const { capacity } = this;
    return capacity === 0 ? 0 : Math.max(
      this.meter.offeredPerSecondMs / (capacity * 1_000),
      this.admission.coldUtilization,
    );
  }

  /** Factor by which work takes longer now than its mean, as the server states it. */
  get slowdown(): number {
    return this.statusMonitor.load.factor(monotonicMs());
  }

  /** Requests per second that the server states it takes (infinite without a limit), and those started last second. */
  get startRate(): { limitPerSecond: number; startedPerSecond: number } {
    return {
      limitPerSecond: this.statusMonitor.limitPerSecond ?? Infinity,
      startedPerSecond: this.admission.startsInLastSecond,
    };
  }

  /** Numbers of running and of waiting requests. */
  get counts(): { running: number; waiting: number } {
    const { running, waiting } = this.admission.counts;
    return { running, waiting: waiting + this.grantWaits.size };
  }

  /** Returns the fields of a log entry on the load since the last call. */
  takeLoadSummary(): Record<string, number> {
    const { offered, finished } = this.totals;
    this.totals = { offered: 0, finished: 0 };
    return {
      ...this.counts,
      offered,
      finished,
      slots: this.identity?.slots ?? 0,
      is_cold: this.admission.isCold ? 1 : 0,
      ...this.describeLimit(),
      slowdown: Math.round(this.slowdown * 100) / 100,
      wait_ms: Math.round(this.waitMs),
      service_ms: Math.round(this.times.averageMs),
      utilization: Math.round(this.utilization * 100) / 100,
      failure_share: Math.round(this.meter.failureShare * 100) / 100,
    };
  }

  /** The advertised limit as a field of a log entry; no field without a limit. */
  private describeLimit(): Record<string, number> {
    const { limitPerSecond } = this.statusMonitor;
    return limitPerSecond === undefined
      ? {}
      : { limit_per_second: limitPerSecond };
  }

  /**
   * Refuses queued requests that can no longer be served before their deadline, and decays the load statistics. Called
   * by a timer.
   */
  tick(): void {
    const nowMs = monotonicMs();
    this.coldStart.tick(this.statusMonitor.load.factor(nowMs));
    this.admission.advance();
    this.meter.decay(nowMs);
    this.profile.decay(nowMs);
    this.connections.prune({ nowMs, maxIdleMs: IDEMPOTENT_MAX_IDLE_MS });
  }

  /** Rechecks the requests that wait for a grant. To be called when the backend server was granted keys. */
  onKeysGranted(): void {
    this.grantWaits.forEach((recheck) => recheck());
  }

  /** Closes all connections. */
  close(): Promise<void> {
    this.admission.close();
    return this.connections.destroy();
  }

  override async attempt(
    request: RoutedRequest,
    cancellation: Cancellation,
  ): Promise<Outcome> {
    const { quarantine } = this.context;
    const refused = this.checkService(request) ??
      this.checkQuarantine(request) ??
      await this.awaitKey(request, cancellation);
    if (refused !== undefined) {
      return refused;
    }
    const estimate = this.coldStart.estimate(request);
    if (quarantine.classify(request).kind !== "suspect") {
      return await this.runAdmitted(request, { cancellation, estimate });
    }
    return await this.probation.run(
      request,
      { cancellation, estimateMs: estimate.estimateMs },
      () => {
        const changed = this.checkService(request);
        const isOnProbation = true;
        return changed === undefined
          ? this.runAdmitted(request, {
            cancellation,
            estimate,
            isOnProbation,
          })
          : Promise.resolve(changed);
      },
    );
  }

  /** Queues a request for a slot and runs it there. */
  private async runAdmitted(
    request: RoutedRequest,
    entry: {
      cancellation: Cancellation;
      estimate: ServiceEstimate;
      isOnProbation?: boolean;
    },
  ): Promise<Outcome> {
    const { cancellation, estimate, isOnProbation = false } = entry;
    this.meter.recordOffered(estimate.estimateMs);
    this.totals.offered += 1;
    if (request.key !== undefined) {
      // What a key needs while it is cold is no reason to move it.
      this.profile.record(request.key, this.coldStart.estimateWarmMs(request));
    }
    const admitted = await this.admission.admit(request, {
      estimate,
      cancellation,
    });
    if (admitted.kind !== "admitted") {
      if (admitted.kind === "not_run" && admitted.reason !== "cancelled") {
        this.coldStart.count("refused");
      }
      return admitted;
    }
    const { release } = admitted;
    return await this.exchange(request, {
      release,
      cancellation,
      isOnProbation,
    });
  }

  private checkService(request: RoutedRequest): Outcome | undefined {
    const { identity } = this;
    if (identity === undefined || identity.phase === "absent") {
      return notRun("no_backend");
    }
    if (identity.service !== request.service) {
      return notRun("no_backend");
    }
    return this.acceptsRequests(identity)
      ? undefined
      : notRun(closedReason(identity));
  }

  private checkQuarantine(request: RoutedRequest): Outcome | undefined {
    const classification = this.context.quarantine.classify(request);
    return classification.kind === "quarantined"
      ? notRun("quarantined", { waitMs: classification.remainingMs })
      : undefined;
  }

  /**
   * A draining or evacuated backend server still gets requests for its keys until `forwardUntilMs`: no other one can
   * serve them.
   */
  private acceptsRequests({ phase, isKeyed, forwardUntilMs }: BackendIdentity) {
    return phase === "ready" || isKeyed && monotonicMs() <= forwardUntilMs;
  }

  /** Waits for the grant of a request's key if this backend server is the key's assigned owner. */
  private async awaitKey(
    request: RoutedRequest,
    cancellation: Cancellation,
  ): Promise<Outcome | undefined> {
    const { grants } = this.context;
    if (this.identity?.isKeyed !== true) {
      return undefined;
    }
    const key = request.key;
    if (key === undefined || !grants.owns(key)) {
      return notRun("not_owner");
    }
    if (grants.holds(key, bootMs())) {
      return undefined;
    }
    const remainingMs = request.deadlineAtMs - monotonicMs();
    await this.awaitGrant(key, {
      waitMs: Math.min(MAX_GRANT_WAIT_MS, remainingMs / 2),
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
      const finish = () => {
        clearTimeout(timer);
        this.grantWaits.delete(recheck);
        options.cancellation.remove(finish);
        resolve();
      };
      const recheck = () => {
        if (grants.holds(key, bootMs()) || !grants.owns(key)) {
          finish();
        }
      };
      const timer = setTimeout(finish, options.waitMs);
      this.grantWaits.add(recheck);
      options.cancellation.onCancel(finish);
    });
  }

  /** Sends a request to the backend server. Only from here on may bytes of it reach the server. */
  private async exchange(
    request: RoutedRequest,
    slot: {
      release: () => void;
      cancellation: Cancellation;
      isOnProbation: boolean;
    },
  ): Promise<Outcome> {
    const startedAtMs = monotonicMs();
    const refused = this.recheck(request);
    if (refused !== undefined) {
      this.releaseSlot(slot.release);
      return refused;
    }
    const sent = { incarnation: this.identity!, sentAtMs: startedAtMs };
    const running = this.coldStart.begin(request);
    const connection = this.connections.acquire({
      nowMs: startedAtMs,
      maxIdleMs: request.isIdempotent
        ? IDEMPOTENT_MAX_IDLE_MS
        : NON_IDEMPOTENT_MAX_IDLE_MS,
      requestId: request.id,
    });
    const result = await this.confirmComplete(
      await connection.exchange(
        this.toExchangeRequest(request, startedAtMs),
        { cancellation: slot.cancellation, nowMs: monotonicMs },
      ),
    );
    const outcome = this.toOutcome(request, { result, connection, sent });
    // The next request is chosen by what this one has shown.
    this.recordStatistics(running, outcome);
    this.releaseSlot(slot.release);
    this.updateQuarantine(request, {
      outcome,
      isOnProbation: slot.isOnProbation,
    });
    return outcome;
  }

  /**
   * Treats a body that is delimited by the end of its connection as truncated if its server has ended.
   *
   * The system closes the connections of a process that has ended without a reset, and its listener, which was opened
   * before them, first. So a server that still accepts connections has closed this one itself.
   */
  private async confirmComplete(
    result: ExchangeResult,
  ): Promise<ExchangeResult> {
    if (result.kind !== "answer" || !result.isDelimitedByClose) {
      return result;
    }
    const opened = await this.connections.openIdle(monotonicMs);
    if (opened !== "refused") {
      return result;
    }
    this.context.onSuspicion("refused");
    const error = BamboolinkError.create(
      "unknown_effect",
      "the peer ended before it had ended the response",
      { step: "confirm_complete", peer: this.context.address },
    );
    return { kind: "lost", error };
  }

  /**
   * Repeats the checks after the wait: keys may have moved, the server may be draining, the request may be quarantined.
   */
  private recheck(request: RoutedRequest): Outcome | undefined {
    const { grants } = this.context;
    const quarantined = this.checkQuarantine(request);
    if (quarantined !== undefined) {
      return quarantined;
    }
    const key = request.key;
    if (this.identity?.isKeyed === true && key !== undefined) {
      if (!grants.owns(key) || !grants.holds(key, bootMs())) {
        return notRun("not_owner");
      }
    }
    if (request.deadlineAtMs - monotonicMs() < 1) {
      return notRun("too_late");
    }
    const { identity } = this;
    if (identity === undefined || identity.service !== request.service) {
      return notRun("no_backend");
    }
    return monotonicMs() > identity.forwardUntilMs
      ? notRun(closedReason(identity))
      : undefined;
  }

  private toExchangeRequest(request: RoutedRequest, nowMs: number) {
    const details = this.context.protocol.requestHeaders({
      remainingMs: Math.max(1, Math.floor(request.deadlineAtMs - nowMs)),
      instance: this.identity?.instance ?? "",
      callerService: request.callerService,
    });
    const { id, method, target, body } = request;
    const headers = [...request.headers, ...details];
    return { id, method, target, body, headers };
  }

  private toOutcome(
    request: RoutedRequest,
    completed: {
      result: ExchangeResult;
      connection: Connection;
      sent: SentExchange;
    },
  ): Outcome {
    const { result, connection, sent } = completed;
    if (result.kind === "answer") {
      return this.toResponseOutcome(request, {
        response: result,
        connection,
        sent,
      });
    }
    this.connections.discard(connection);
    if (result.kind === "unsent") {
      if (result.isRefused) {
        this.context.onSuspicion("refused");
      }
      return notRun("backend_unreachable");
    }
    if (result.limit !== undefined) {
      const { bound, bytes } = result.limit;
      this.context.logger.log("response_limit_exceeded", {
        request_id: request.id,
        route: request.route,
        peer: this.context.address,
        bound,
        bytes,
      });
      this.context.onLimitExceeded?.(bound);
      return unknown("foreign_answer");
    }
    const isLate = request.deadlineAtMs - monotonicMs() < 1;
    return unknown(isLate ? "deadline" : "backend_lost");
  }

  private toResponseOutcome(
    request: RoutedRequest,
    completed: {
      response: Extract<ExchangeResult, { kind: "answer" }>;
      connection: Connection;
      sent: SentExchange;
    },
  ): Outcome {
    const { response, connection, sent } = completed;
    const verdict = this.context.protocol.classifyResponse(
      response,
      request.id,
      connection,
    );
    if (verdict === "foreign") {
      // The right response may still follow on this connection, and must not be matched to another request.
      this.connections.discard(connection);
      this.context.logger.log("foreign_answer", {
        request_id: request.id,
        status: response.status,
      });
      return unknown("foreign_answer");
    }
    this.connections.release(connection);
    const status = this.context.protocol.readStatus(response);
    if (status !== undefined) {
      this.statusMonitor.record(status, {
        ...sent,
        requestId: request.id,
        receivedAtMs: monotonicMs(),
      });
      this.admission.setAdvertisedLimit(this.statusMonitor.limitPerSecond);
    }
    if (verdict === "answer") {
      const { kind, body } = response;
      const headers = selectResponseHeaders(response.headers);
      return {
        kind,
        status: response.status,
        headers,
        body,
        isComplete: true,
      };
    }
    if (verdict === "wrong_instance") {
      this.context.onSuspicion("wrong_instance");
    }
    return notRun("not_executed", { hasArrived: true });
  }

  private updateQuarantine(
    request: RoutedRequest,
    completed: { outcome: Outcome; isOnProbation: boolean },
  ): void {
    const { outcome, isOnProbation } = completed;
    const { quarantine, onSuspicion } = this.context;
    if (outcome.kind === "answer") {
      quarantine.recordResponse(request, outcome.status);
    }
    if (outcome.kind === "unknown" && outcome.reason === "backend_lost") {
      quarantine.recordBrokenConnection(request, isOnProbation);
      // While other requests keep running, only this connection has broken.
      if (this.admission.counts.running === 0) {
        onSuspicion("lost");
      }
    }
  }

  private recordStatistics(
    running: RunningColdRequest,
    outcome: Outcome,
  ): void {
    const isServed = outcome.kind === "answer" && outcome.status < 500;
    const tookMs = this.statusMonitor.load.meanSpeedMs({
      startedAtMs: running.startedAtMs,
      endedAtMs: monotonicMs(),
    });
    this.coldStart.end(running, { isServed, tookMs });
    if (outcome.kind !== "not_run") {
      this.coldStart.count(isServed ? "served" : "missed");
    }
    const isFailure = outcome.kind === "unknown" ||
      outcome.kind === "answer" && outcome.status >= 500 ||
      outcome.kind === "not_run" && outcome.hasArrived;
    this.meter.recordResult(isFailure);
  }

  private releaseSlot(release: () => void): void {
    this.totals.finished += 1;
    release();
  }
}

/** Why a backend server accepts no new requests. */
function closedReason({ phase }: BackendIdentity): RefusalReason {
  return phase === "evacuated" ? "evacuated" : "draining";
}
