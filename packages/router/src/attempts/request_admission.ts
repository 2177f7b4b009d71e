/**
 * Applies the admission decision for a service to the requests of this daemon's callers, and tells refused callers when
 * to come back.
 *
 * @module
 */
import {
  type AdmissionQuery,
  ServiceAdmission,
  toRankWaits,
} from "@bamboolink/admission";
import type { Logger } from "@bamboolink/logger";
import type { MemberReport, MemberView } from "@bamboolink/membership";
import type { Metrics } from "@bamboolink/metrics";
import type { FinalOutcome } from "./attempt_history.ts";
import type { BackendLoadTracker } from "./backend_load_tracker.ts";
import type { LocalBackend } from "../backend/local_backend.ts";
import { monotonicMs } from "../clock.ts";
import type { OwnershipDirectory } from "../keys/ownership_directory.ts";
import type { LoadReport } from "../links/link_codec.ts";
import {
  notRun,
  type Outcome,
  type RefusalReason,
  type RoutedRequest,
} from "./routed_request.ts";

/**
 * Assumed age of the waits in a report on arrival, in milliseconds, for each report that its daemon has made since:
 * daemons report every 500 ms. In a large fleet, most reports arrive seconds after they were made.
 */
const REPORT_AGE_MS = 500;
/** Minimum interval between log lines on the refusals of one service, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;
/** Interval at which daemons that are not alive are forgotten, in milliseconds. */
const CLEANUP_INTERVAL_MS = 1_000;

/** Refusals by a queue beside a backend server for lack of capacity. */
const CAPACITY_REASONS: ReadonlySet<RefusalReason> = new Set([
  "overloaded",
  "queue_full",
  "too_late",
  "rate_limited",
  "link_busy",
]);

/** Dependencies of {@link RequestAdmission}. */
export interface RequestAdmissionContext {
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly view: MemberView;
  readonly loadTracker: Pick<BackendLoadTracker, "typicalMs">;
  readonly directory: Pick<OwnershipDirectory, "isKeyed" | "ownerOf">;
  readonly backend: Pick<
    LocalBackend,
    "capacity" | "rankWaits" | "utilization"
  >;
  /** Whether the deployment's settings call for these decisions. */
  readonly isEnabled: () => boolean;
  readonly random: () => number;
}

/** A request of a caller of this daemon. */
export type AdmissibleRequest = Pick<
  RoutedRequest,
  "service" | "route" | "rank" | "key" | "objectiveAtMs" | "deadlineAtMs"
>;

/** Decides which requests are refused before their first attempt. It has no effect unless it is enabled. */
export class RequestAdmission {
  private readonly admission: ServiceAdmission;
  private readonly refusals = new Map<
    string,
    { count: number; loggedAtMs: number }
  >();
  private cleanedUpAtMs = -Infinity;

  private constructor(private readonly context: RequestAdmissionContext) {
    this.admission = ServiceAdmission.create(context.random);
  }

  /** Creates an instance that knows no backend servers. */
  static create(context: RequestAdmissionContext): RequestAdmission {
    return new RequestAdmission(context);
  }

  /** Number of reserved times at which refused callers are to come back. */
  get reservationCount(): number {
    return this.admission.reservationCount(monotonicMs());
  }

  /** Records reports of other daemons. */
  recordReports(reports: readonly MemberReport[], nowMs: number): void {
    if (reports.length === 0 || !this.context.isEnabled()) {
      return;
    }
    this.admission.recordContact(nowMs);
    const { view } = this.context;
    reports.forEach((report) => {
      const { address, rankWaitsMs, lateRankWaitsMs } = report;
      this.admission.recordStatus(address, toStatus(report));
      this.admission.recordWaits(address, {
        waits: toRankWaits(rankWaitsMs, lateRankWaitsMs),
        measuredAtMs: nowMs - REPORT_AGE_MS * (1 + view.reportLag(address)),
      });
    });
    this.forgetLost(nowMs);
  }

  /** Records the load that a daemon reports with an outcome. */
  recordLoad(daemon: string, load: LoadReport, nowMs: number): void {
    if (load.rankWaits === "malformed") {
      this.context.logger.log("rank_waits_malformed", { peer: daemon });
      return;
    }
    if (this.context.isEnabled() && load.rankWaits !== undefined) {
      this.admission.recordWaits(daemon, {
        waits: load.rankWaits,
        measuredAtMs: nowMs,
      });
    }
  }

  /** Returns the outcome of a request that no backend server is expected to serve; `undefined` if it is admitted. */
  refuse(request: AdmissibleRequest): FinalOutcome | undefined {
    const query = this.createQuery(request);
    if (query === undefined) {
      return undefined;
    }
    const nowMs = monotonicMs();
    this.recordOwnServer(query, nowMs);
    const verdict = this.admission.decide(query, nowMs);
    if (verdict.kind === "admit") {
      return undefined;
    }
    const { waitMs, retryAfterMs } = verdict;
    const { service } = query;
    this.context.metrics.count("bamboolink_admission_refusals", { service });
    this.logRefusal(query, { waitMs, nowMs });
    return {
      outcome: notRun("overloaded", { waitMs }),
      peer: undefined,
      attempts: 0,
      retryAfterMs,
    };
  }

  /**
   * Returns when the caller of an admitted request should come back that a queue refused for lack of capacity, in
   * milliseconds from now; `undefined` for other refusals.
   */
  retryAfterMs(
    request: AdmissibleRequest,
    { reason, waitMs }: Extract<Outcome, { kind: "not_run" }>,
  ): number | undefined {
    const query = CAPACITY_REASONS.has(reason)
      ? this.createQuery(request)
      : undefined;
    if (query === undefined) {
      return undefined;
    }
    const { service } = query;
    this.context.metrics.count("bamboolink_admission_misses", {
      service,
      reason,
    });
    return this.admission.scheduleReturn(query, {
      waitMs,
      nowMs: monotonicMs(),
    });
  }

  /** Returns `undefined` if no decision is to be made: it is not enabled, or the key has no known owner. */
  private createQuery(request: AdmissibleRequest): AdmissionQuery | undefined {
    const { directory, loadTracker, isEnabled } = this.context;
    if (!isEnabled()) {
      return undefined;
    }
    const { service, key } = request;
    const isKeyed = directory.isKeyed(service);
    const owner = isKeyed && key !== undefined
      ? directory.ownerOf(service, key)
      : undefined;
    if (isKeyed && owner === undefined) {
      return undefined;
    }
    const nowMs = monotonicMs();
    return {
      service,
      rank: request.rank,
      objectiveRemainingMs: request.objectiveAtMs - nowMs,
      remainingMs: request.deadlineAtMs - nowMs,
      serviceMs: loadTracker.typicalMs(request.route),
      owner,
    };
  }

  /** Records the state of the server on this host, which no other daemon reports. */
  private recordOwnServer(query: AdmissionQuery, nowMs: number): void {
    const { view, backend } = this.context;
    const { address, service } = view.ownReport;
    if (service !== query.service) {
      return;
    }
    this.admission.recordStatus(address, {
      ...toStatus(view.ownReport),
      capacity: backend.capacity,
      utilization: backend.utilization,
    });
    this.admission.recordWaits(address, {
      waits: backend.rankWaits,
      measuredAtMs: nowMs,
    });
  }

  private forgetLost(nowMs: number): void {
    if (nowMs - this.cleanedUpAtMs < CLEANUP_INTERVAL_MS) {
      return;
    }
    this.cleanedUpAtMs = nowMs;
    const { view } = this.context;
    this.admission.retain((daemon) =>
      view.heartbeatAgeMs(daemon, nowMs) <= view.unresponsiveTimeoutMs
    );
  }

  private logRefusal(
    { service, owner, rank }: AdmissionQuery,
    at: { waitMs: number; nowMs: number },
  ): void {
    const { waitMs, nowMs } = at;
    const known = this.refusals.get(service);
    const count = (known?.count ?? 0) + 1;
    if (known !== undefined && nowMs - known.loggedAtMs < LOG_INTERVAL_MS) {
      this.refusals.set(service, { ...known, count });
      return;
    }
    this.refusals.set(service, { count: 0, loggedAtMs: nowMs });
    this.context.logger.log("service_refused", {
      service,
      owner,
      rank,
      wait_ms: Math.round(waitMs),
      refused: count,
    });
  }
}

function toStatus(report: MemberReport) {
  const { service, phase, capacity, utilization } = report;
  return { service, acceptsRequests: phase === "ready", capacity, utilization };
}
