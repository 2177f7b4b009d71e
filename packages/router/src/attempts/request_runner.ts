/**
 * Attempts a request at one backend server after another until an outcome is final.
 *
 * @module
 */
import type { FleetRetryBudget } from "@bamboolink/admission";
import type { Logger } from "@bamboolink/logger";
import type { MemberReport, MemberView } from "@bamboolink/membership";
import {
  expectedLatencyMs,
  hasStandingQueue,
  isServerFault,
  type PlacementCandidate,
} from "@bamboolink/placement";
import { AttemptHistory, type FinalOutcome } from "./attempt_history.ts";
import type { BackendLoadTracker } from "./backend_load_tracker.ts";
import type { Cancellation } from "./cancellation.ts";
import { monotonicMs } from "../clock.ts";
import type { Forwarder } from "./forwarder.ts";
import type { LocalBackend } from "../backend/local_backend.ts";
import type { OwnershipDirectory } from "../keys/ownership_directory.ts";
import type { RequestQuarantine } from "../backend/request_quarantine.ts";
import {
  notRun,
  type Outcome,
  type RefusalReason,
  type RoutedRequest,
} from "./routed_request.ts";
import { ZonePlacement } from "./zone_placement.ts";

/** Maximum attempts for one request, including refused ones; each refusal costs a network round trip. */
const MAX_ROUNDS = 4;
/** Maximum time a request waits for its key to get an owner, in milliseconds. */
const MAX_OWNER_WAIT_MS = 700;
/** Interval between two lookups of a key's owner, in milliseconds; the ownership table changes within a few. */
const OWNER_POLL_INTERVAL_MS = 15;
/** Lowest HTTP status by which a backend server reports that it failed a request. */
const FIRST_FAILURE_STATUS = 500;

/**
 * Refusals by a key's owner that are final: the owner is unreachable for longer than a request could wait, is stopping,
 * has no capacity, or can't finish the request before its deadline. No other backend server may run the request, so
 * waiting for another owner would only delay the response, and polling for one takes processor time from other
 * requests.
 */
const FINAL_OWNER_REFUSALS: ReadonlySet<RefusalReason> = new Set([
  "peer_unreachable",
  "stopping",
  "overloaded",
  "queue_full",
  "too_late",
  "rate_limited",
  "link_busy",
]);

/** Refusals after which a suspect request is not sent to another backend server. */
const REFUSALS_THAT_END_PROBATION: ReadonlySet<RefusalReason> = new Set([
  "backend_unreachable",
  "overloaded",
  "queue_full",
  "too_late",
  "rate_limited",
  "link_busy",
]);

/** Dependencies of {@link RequestRunner}. */
export interface RequestRunnerContext {
  readonly logger: Logger;
  readonly view: MemberView;
  readonly loadTracker: BackendLoadTracker;
  readonly directory: OwnershipDirectory;
  readonly backend: LocalBackend;
  readonly forwarder: Forwarder;
  readonly quarantine: RequestQuarantine;
  readonly budget: FleetRetryBudget;
  /** Milliseconds of waiting that saving one kilobyte between availability zones is worth. */
  readonly crossZoneMsPerKilobyte: () => number;
  /** The rank of the least urgent route to a service. */
  readonly leastUrgentRankOf: (service: string) => number;
  readonly random: () => number;
}

/** Places requests on backend servers and retries them as their routes, deadlines and the retry budget allow. */
export class RequestRunner {
  private readonly placement: ZonePlacement;

  private constructor(private readonly context: RequestRunnerContext) {
    this.placement = ZonePlacement.create(context);
  }

  static create(context: RequestRunnerContext): RequestRunner {
    return new RequestRunner(context);
  }

  /**
   * Runs a request to its final outcome.
   *
   * @param options.maximumAttempts how many attempts may reach a backend server.
   */
  async run(
    request: RoutedRequest,
    options: { maximumAttempts: number; cancellation: Cancellation },
  ): Promise<FinalOutcome> {
    const { cancellation, maximumAttempts } = options;
    const history = AttemptHistory.create();
    const classification = this.context.quarantine.classify(request);
    if (classification.kind === "quarantined") {
      const outcome = notRun("quarantined", {
        waitMs: classification.remainingMs,
      });
      return { outcome, peer: undefined, attempts: 0 };
    }
    this.context.budget.recordRequest(request.service, monotonicMs());
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      const current = history.brokenConnections === 0
        ? request
        : { ...request, brokenConnections: history.brokenConnections };
      const target = await this.findTarget(current, history, cancellation);
      if (target === undefined) {
        return history.toFinalOutcome();
      }
      if (!this.mayAttempt(current, history.sentAttempts, maximumAttempts)) {
        return history.toFinalOutcome();
      }
      const outcome = await this.attempt(current, {
        target,
        cancellation,
        mayGiveUp: () =>
          this.mayGiveUp(request, { target, history, maximumAttempts }),
      });
      history.record(target.address, outcome);
      this.recordSize(request, outcome);
      if (
        cancellation.isCancelled ||
        this.isFinal(request, { target, outcome }) ||
        this.isFinalOwnerRefusal(request, outcome) ||
        endsProbation(outcome) &&
          !this.context.quarantine.mayRetry(request, history.brokenConnections)
      ) {
        return history.toFinalOutcome();
      }
      this.logAttempt(request, { target, round, outcome });
    }
    return history.toFinalOutcome();
  }

  /** Whether an attempt may be made. A retry of a request that may have run is charged to the retry budget. */
  private mayAttempt(
    request: RoutedRequest,
    sentAttempts: number,
    maximumAttempts: number,
  ): boolean {
    if (sentAttempts === 0) {
      return true;
    }
    if (!this.hasRetryAllowance(request, sentAttempts, maximumAttempts)) {
      return false;
    }
    this.context.budget.recordRetry(request.service, monotonicMs());
    return true;
  }

  /** Whether a request should be retried elsewhere rather than left with a daemon that doesn't acknowledge it. */
  private mayGiveUp(
    request: RoutedRequest,
    at: {
      target: MemberReport;
      history: AttemptHistory;
      maximumAttempts: number;
    },
  ): boolean {
    const { target, history, maximumAttempts } = at;
    const tried = new Set([...history.tried, target.address]);
    return request.isIdempotent &&
      !this.context.directory.isKeyed(request.service) &&
      this.hasRetryAllowance(
        request,
        history.sentAttempts + 1,
        maximumAttempts,
      ) &&
      this.choose(request, tried) !== undefined;
  }

  private attempt(
    request: RoutedRequest,
    to: {
      target: MemberReport;
      cancellation: Cancellation;
      mayGiveUp: () => boolean;
    },
  ): Promise<Outcome> {
    const { view, backend, loadTracker, forwarder, directory } = this.context;
    const { target, cancellation, mayGiveUp } = to;
    if (!directory.isKeyed(request.service)) {
      this.placement.recordPlaced(request, target);
    }
    if (target.address === view.ownReport.address) {
      return backend.attempt(request, cancellation);
    }
    loadTracker.recordSent(target.address);
    return forwarder.forward(request, {
      daemon: target.address,
      cancellation,
      mayGiveUp,
    });
  }

  private recordSize(request: RoutedRequest, outcome: Outcome): void {
    if (outcome.kind === "answer") {
      this.context.loadTracker.recordResponseSize(
        request.route,
        outcome.body.length,
      );
    }
  }

  /** Whether a key's owner has refused the request for a reason that no further attempt can change. */
  private isFinalOwnerRefusal(
    request: RoutedRequest,
    outcome: Outcome,
  ): boolean {
    return request.key !== undefined && outcome.kind === "not_run" &&
      FINAL_OWNER_REFUSALS.has(outcome.reason);
  }

  private isFinal(
    request: RoutedRequest,
    { target, outcome }: { target: MemberReport; outcome: Outcome },
  ): boolean {
    switch (outcome.kind) {
      case "answer":
        return outcome.status < FIRST_FAILURE_STATUS || !request.isIdempotent ||
          !this.mayOthersSucceed(request, target);
      case "not_run":
        return outcome.reason === "cancelled" ||
          outcome.reason === "quarantined";
      case "unknown":
        return !request.isIdempotent || outcome.reason === "cancelled" ||
          outcome.reason === "deadline";
    }
  }

  /** Whether an error response is a fault of this backend server only, so that another one may succeed. */
  private mayOthersSucceed(
    request: RoutedRequest,
    target: MemberReport,
  ): boolean {
    const { view, loadTracker, backend } = this.context;
    const failureShareOf = (address: string) =>
      address === view.ownReport.address
        ? backend.failureShare
        : loadTracker.failureShareOf(address);
    const others = view.readyReports(request.service, monotonicMs())
      .map(({ address }) => address)
      .filter((address) => address !== target.address);
    return isServerFault(
      failureShareOf(target.address),
      others.map(failureShareOf),
    );
  }

  private hasRetryAllowance(
    request: RoutedRequest,
    sentAttempts: number,
    maximumAttempts: number,
  ): boolean {
    const { budget, view, loadTracker } = this.context;
    const nowMs = monotonicMs();
    const typicalMs = loadTracker.typicalMs(request.route);
    return sentAttempts < maximumAttempts &&
      request.deadlineAtMs - nowMs > typicalMs &&
      budget.allows(request.service, {
        nowMs,
        daemons: view.knownAddresses.length + 1,
      });
  }

  private findTarget(
    request: RoutedRequest,
    history: AttemptHistory,
    cancellation: Cancellation,
  ): Promise<MemberReport | undefined> {
    const { directory } = this.context;
    return directory.isKeyed(request.service)
      ? this.findOwner(request, history, cancellation)
      : Promise.resolve(this.choose(request, history.tried));
  }

  private choose(
    request: RoutedRequest,
    tried: ReadonlySet<string>,
  ): MemberReport | undefined {
    const { view, loadTracker } = this.context;
    const nowMs = monotonicMs();
    const untried = view.readyReports(request.service, nowMs)
      .filter(({ address }) => !tried.has(address));
    const reachable = untried.filter(({ address }) =>
      !loadTracker.isAvoided(address, nowMs)
    );
    const eligible = reachable.length > 0 ? reachable : untried;
    if (this.context.quarantine.classify(request).kind === "suspect") {
      return this.chooseProbation(request, eligible);
    }
    this.recordLocalLoad(request.route, nowMs);
    return this.placement.choose(
      request,
      eligible,
      (candidate) => tried.size === 0 || this.hasCapacity(candidate, request),
    );
  }

  private chooseProbation(
    request: RoutedRequest,
    eligible: readonly MemberReport[],
  ): MemberReport | undefined {
    const { quarantine, view } = this.context;
    const addresses = eligible.map(({ address }) => address);
    const chosen = quarantine.chooseProbation(request, addresses);
    return chosen === undefined ? undefined : view.find(chosen);
  }

  /**
   * Records the local backend server's load, which no other daemon reports. Without this, the server would always
   * appear idle and fast, and all requests that arrive here would be placed on it, however loaded it is.
   */
  private recordLocalLoad(route: string, nowMs: number): void {
    const { view, loadTracker, backend } = this.context;
    const load = backend.loadReportFor(route);
    loadTracker.recordRouteLoad(view.ownReport.address, {
      route,
      load,
      nowMs,
      measuredAtMs: backend.lastCompletedAtMs(route),
    });
  }

  /**
   * Whether a backend server is expected to serve a request that another one has refused. Under overload all are full,
   * and trying each would cost more than the response that it saves, unless less urgent requests wait there.
   */
  private hasCapacity(
    candidate: PlacementCandidate,
    request: RoutedRequest,
  ): boolean {
    const { service, rank, deadlineAtMs } = request;
    return rank < this.context.leastUrgentRankOf(service)
      ? monotonicMs() + expectedLatencyMs(candidate) < deadlineAtMs
      : !hasStandingQueue(candidate);
  }

  /**
   * Finds a key's owner, and waits for one if the key has just lost it: most keys get another within milliseconds. An
   * owner whose backend server rejected the request without running it may be tried again: no other server can run it,
   * and a server that sheds part of its load may accept the next attempt.
   */
  private async findOwner(
    request: RoutedRequest,
    { tried, rejectedBy }: AttemptHistory,
    cancellation: Cancellation,
  ): Promise<MemberReport | undefined> {
    const { directory, view } = this.context;
    if (request.key === undefined) {
      return undefined;
    }
    const remainingMs = request.deadlineAtMs - monotonicMs();
    const waitUntilMs = monotonicMs() +
      Math.min(MAX_OWNER_WAIT_MS, remainingMs / 3);
    while (!cancellation.isCancelled) {
      const daemon = directory.ownerOf(request.service, request.key);
      const owner = daemon === undefined ? undefined : view.find(daemon);
      if (owner !== undefined && this.isUnavailable(owner)) {
        // A takeover takes seconds, so waiting here would only delay the caller's refusal.
        return undefined;
      }
      if (
        owner !== undefined &&
        (!tried.has(owner.address) || owner.address === rejectedBy)
      ) {
        return owner;
      }
      if (monotonicMs() >= waitUntilMs) {
        return undefined;
      }
      await new Promise((resolve) =>
        setTimeout(resolve, OWNER_POLL_INTERVAL_MS)
      );
    }
    return undefined;
  }

  private isUnavailable(owner: MemberReport): boolean {
    const { view } = this.context;
    return owner.phase === "stopping" ||
      view.heartbeatAgeMs(owner.address, monotonicMs()) >
        view.unresponsiveTimeoutMs;
  }

  private logAttempt(
    request: RoutedRequest,
    attempt: { target: MemberReport; round: number; outcome: Outcome },
  ): void {
    const { target, round, outcome } = attempt;
    if (outcome.kind === "answer") {
      return;
    }
    this.context.logger.log("attempt_failed", {
      request_id: request.id,
      service: request.service,
      key: request.key,
      round,
      peer: target.address,
      outcome: outcome.kind,
      reason: outcome.reason,
      wait_ms: outcome.kind === "not_run" ? outcome.waitMs : undefined,
      left_ms: Math.round(request.deadlineAtMs - monotonicMs()),
    });
  }
}

/**
 * Whether a suspect request must not be sent to another backend server after this outcome: the one that it was sent to
 * has stopped, can't be reached, or has no capacity before the deadline. Otherwise concurrent attempts at the same
 * request could each crash another server.
 */
function endsProbation(outcome: Outcome): boolean {
  return outcome.kind === "unknown" && outcome.reason === "backend_lost" ||
    outcome.kind === "not_run" &&
      REFUSALS_THAT_END_PROBATION.has(outcome.reason);
}
