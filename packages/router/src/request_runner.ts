/**
 * Makes attempts for one request until one of them is final.
 *
 * @module
 */
import type { FleetRetryBudget } from "@bamboolink/admission";
import type { Logger } from "@bamboolink/logger";
import type { MemberReport, MemberView } from "@bamboolink/membership";
import {
  chooseBackend,
  expectedLatencyMs,
  isServerFault,
  type PlacementCandidate,
  sampleBackends,
} from "@bamboolink/placement";
import { AttemptHistory, type Ending } from "./attempt_history.ts";
import type { BackendLoadTracker } from "./backend_load_tracker.ts";
import type { Cancellation } from "./cancellation.ts";
import { steadyMs } from "./clock.ts";
import type { Forwarder } from "./forwarder.ts";
import type { LocalBackend } from "./local_backend.ts";
import type { OwnershipDirectory } from "./ownership_directory.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import {
  notRun,
  type Outcome,
  type RefusalReason,
  type RoutedRequest,
} from "./routed_request.ts";

/** Attempts for one request, refused ones included; each refusal costs a way there and back. */
const MAXIMUM_ROUNDS = 4;
/** How long a request waits for its key to get an owner, in milliseconds. */
const OWNER_WAIT_MS = 700;
/** Pause between two looks at who owns a key, in milliseconds; the table changes within a few. */
const OWNER_POLL_MS = 15;
/** A resend must have this share of the time of a usual request left, or it would be wasted. */
const USEFUL_TIME_SHARE = 0.8;
/** Statuses of a backend server's own that say that the request failed there. */
const FIRST_FAILURE_STATUS = 500;

/**
 * Refusals after which nobody else can run a request for a key: its owner is away for longer than a
 * request could wait, or has no room. Waiting for another owner would hold callers back for nothing, and
 * looking for one again and again costs the time that other requests need.
 */
const FINAL_OWNER_REFUSALS: ReadonlySet<RefusalReason> = new Set([
  "peer_unreachable",
  "stopping",
  "overloaded",
  "queue_full",
  "too_late",
]);

/** Refusals after which a suspect is not sent to another server. */
const REFUSALS_THAT_END_PROBATION: ReadonlySet<RefusalReason> = new Set([
  "backend_unreachable",
  "overloaded",
  "queue_full",
  "too_late",
]);

/** What the runner needs. */
export interface RequestRunnerContext {
  readonly logger: Logger;
  readonly view: MemberView;
  readonly loadTracker: BackendLoadTracker;
  readonly directory: OwnershipDirectory;
  readonly backend: LocalBackend;
  readonly forwarder: Forwarder;
  readonly quarantine: RequestQuarantine;
  readonly budget: FleetRetryBudget;
  readonly random: () => number;
}

/** Runs requests. */
export class RequestRunner {
  private constructor(private readonly context: RequestRunnerContext) {}

  /** Creates a runner. */
  static create(context: RequestRunnerContext): RequestRunner {
    return new RequestRunner(context);
  }

  /** Runs a request; the outcome is final. */
  async run(
    work: RoutedRequest,
    options: { maximumAttempts: number; cancellation: Cancellation },
  ): Promise<Ending> {
    const { cancellation, maximumAttempts } = options;
    const history = AttemptHistory.create();
    const standing = this.context.quarantine.classify(work);
    if (standing.kind === "quarantined") {
      const outcome = notRun("quarantined", { waitMs: standing.remainingMs });
      return { outcome, peer: undefined, attempts: 0 };
    }
    this.context.budget.recordRequest(work.service, steadyMs());
    for (let round = 0; round < MAXIMUM_ROUNDS; round += 1) {
      const current = history.brokenConnections === 0
        ? work
        : { ...work, brokenConnections: history.brokenConnections };
      const target = await this.findTarget(
        current,
        history.tried,
        cancellation,
      );
      if (target === undefined) {
        return history.end();
      }
      if (!this.mayAttempt(current, history.arrivals, maximumAttempts)) {
        return history.end();
      }
      const outcome = await this.attempt(current, {
        target,
        cancellation,
        mayGiveUp: () =>
          this.mayGiveUp(work, { target, history, maximumAttempts }),
      });
      history.note(target.address, outcome);
      this.noteSize(work, outcome);
      if (
        cancellation.isCancelled || this.isFinal(work, { target, outcome }) ||
        this.isFinalOwnerRefusal(work, outcome) ||
        endsProbation(outcome) &&
          !this.context.quarantine.mayRetry(work, history.brokenConnections)
      ) {
        return history.end();
      }
      this.logAttempt(work, { target, round, outcome });
    }
    return history.end();
  }

  /** Whether an attempt may be made; one that repeats what may have run draws on the budget. */
  private mayAttempt(
    work: RoutedRequest,
    arrivals: number,
    maximumAttempts: number,
  ): boolean {
    if (arrivals === 0) {
      return true;
    }
    if (!this.mayResend(work, arrivals, maximumAttempts)) {
      return false;
    }
    this.context.budget.recordRetry(work.service, steadyMs());
    return true;
  }

  /** Whether a request is better sent elsewhere than left with a daemon that says nothing. */
  private mayGiveUp(
    work: RoutedRequest,
    at: {
      target: MemberReport;
      history: AttemptHistory;
      maximumAttempts: number;
    },
  ): boolean {
    const { target, history, maximumAttempts } = at;
    const tried = new Set([...history.tried, target.address]);
    return work.isIdempotent &&
      !this.context.directory.isKeyed(work.service) &&
      this.mayResend(work, history.arrivals + 1, maximumAttempts) &&
      this.choose(work, tried) !== undefined;
  }

  private attempt(
    work: RoutedRequest,
    to: {
      target: MemberReport;
      cancellation: Cancellation;
      mayGiveUp: () => boolean;
    },
  ): Promise<Outcome> {
    const { view, backend, loadTracker, forwarder } = this.context;
    const { target, cancellation, mayGiveUp } = to;
    if (target.address === view.ownReport.address) {
      return backend.attempt(work, cancellation);
    }
    loadTracker.recordSent(target.address);
    return forwarder.forward(work, {
      daemon: target.address,
      cancellation,
      mayGiveUp,
    });
  }

  private noteSize(work: RoutedRequest, outcome: Outcome): void {
    if (outcome.kind === "answer") {
      const bytes = (work.body?.length ?? 0) + outcome.body.length;
      this.context.loadTracker.recordSize(work.route, bytes);
    }
  }

  /** Whether the owner of a key has refused a request in a way that another attempt can't change. */
  private isFinalOwnerRefusal(work: RoutedRequest, outcome: Outcome): boolean {
    return work.key !== undefined && outcome.kind === "not_run" &&
      FINAL_OWNER_REFUSALS.has(outcome.reason);
  }

  private isFinal(
    work: RoutedRequest,
    { target, outcome }: { target: MemberReport; outcome: Outcome },
  ): boolean {
    switch (outcome.kind) {
      case "answer":
        return outcome.status < FIRST_FAILURE_STATUS || !work.isIdempotent ||
          !this.mayOthersDoBetter(work, target);
      case "not_run":
        return outcome.reason === "cancelled" ||
          outcome.reason === "quarantined";
      case "unknown":
        return !work.isIdempotent || outcome.reason === "cancelled" ||
          outcome.reason === "deadline";
    }
  }

  /** Whether a failure that a backend server answered is its own, so that another one may answer the request. */
  private mayOthersDoBetter(
    work: RoutedRequest,
    target: MemberReport,
  ): boolean {
    const { view, loadTracker, backend } = this.context;
    const shareOf = (address: string) =>
      address === view.ownReport.address
        ? backend.failureShare
        : loadTracker.failureShareOf(address);
    const others = view.readyOf(work.service, steadyMs())
      .map(({ address }) => address)
      .filter((address) => address !== target.address);
    return isServerFault(shareOf(target.address), others.map(shareOf));
  }

  private mayResend(
    work: RoutedRequest,
    arrivals: number,
    maximumAttempts: number,
  ): boolean {
    const { budget, view, loadTracker } = this.context;
    const nowMs = steadyMs();
    const usualMs = loadTracker.typicalMs(work.route);
    return arrivals < maximumAttempts &&
      work.deadlineAtMs - nowMs > usualMs * USEFUL_TIME_SHARE &&
      budget.allows(work.service, {
        nowMs,
        daemons: view.known.length + 1,
      });
  }

  private findTarget(
    work: RoutedRequest,
    tried: ReadonlySet<string>,
    cancellation: Cancellation,
  ): Promise<MemberReport | undefined> {
    const { directory } = this.context;
    return directory.isKeyed(work.service)
      ? this.findOwner(work, tried, cancellation)
      : Promise.resolve(this.choose(work, tried));
  }

  private choose(
    work: RoutedRequest,
    tried: ReadonlySet<string>,
  ): MemberReport | undefined {
    const { view, loadTracker, random } = this.context;
    const nowMs = steadyMs();
    const own = view.ownReport;
    const untried = view.readyOf(work.service, nowMs)
      .filter(({ address }) => !tried.has(address));
    const reachable = untried.filter(({ address }) =>
      !loadTracker.isAvoided(address, nowMs)
    );
    const open = reachable.length > 0 ? reachable : untried;
    if (this.context.quarantine.classify(work).kind === "suspect") {
      return this.chooseProbation(work, open);
    }
    const place = {
      daemon: own.address,
      availabilityZone: own.availabilityZone,
      route: work.route,
      nowMs,
    };
    this.noteOwnLoad(work.route, nowMs);
    const isNear = ({ availabilityZone }: MemberReport) =>
      availabilityZone === own.availabilityZone;
    const described = sampleBackends(open, { isNear, random }).map((report) =>
      loadTracker.describe(report, place)
    );
    const candidates = tried.size === 0
      ? described
      : described.filter((candidate) => this.hasRoom(candidate, work));
    const chosen = chooseBackend(candidates, random);
    return chosen === undefined ? undefined : view.find(chosen.daemon);
  }

  private chooseProbation(
    work: RoutedRequest,
    open: readonly MemberReport[],
  ): MemberReport | undefined {
    const { quarantine, view } = this.context;
    const addresses = open.map(({ address }) => address);
    const chosen = quarantine.chooseProbation(work, addresses);
    return chosen === undefined ? undefined : view.find(chosen);
  }

  /**
   * Nobody reports the own backend server's load to its own daemon. Without this it would look idle and fast
   * for ever, and requests that arrive here would all go to it, however full it is.
   */
  private noteOwnLoad(route: string, nowMs: number): void {
    const { view, loadTracker, backend } = this.context;
    const load = backend.loadReportFor(route);
    loadTracker.recordRouteLoad(view.ownReport.address, { route, load, nowMs });
  }

  /**
   * Whether a backend server may do the work in time, after another has refused it. Under overload all
   * are full: asking each would cost more than the answer that it saves.
   */
  private hasRoom(candidate: PlacementCandidate, work: RoutedRequest): boolean {
    return steadyMs() + expectedLatencyMs(candidate) < work.objectiveAtMs;
  }

  /** Waits a little for a key that has just lost its owner: most get another within milliseconds. */
  private async findOwner(
    work: RoutedRequest,
    tried: ReadonlySet<string>,
    cancellation: Cancellation,
  ): Promise<MemberReport | undefined> {
    const { directory, view } = this.context;
    if (work.key === undefined) {
      return undefined;
    }
    const leftMs = work.deadlineAtMs - steadyMs();
    const untilMs = steadyMs() + Math.min(OWNER_WAIT_MS, leftMs / 3);
    while (!cancellation.isCancelled) {
      const daemon = directory.ownerOf(work.service, work.key);
      const owner = daemon === undefined ? undefined : view.find(daemon);
      if (owner !== undefined && this.isAway(owner)) {
        // A takeover takes seconds: the caller is told now, and not after a wait.
        return undefined;
      }
      if (owner !== undefined && !tried.has(owner.address)) {
        return owner;
      }
      if (steadyMs() >= untilMs) {
        return undefined;
      }
      await new Promise((resolve) => setTimeout(resolve, OWNER_POLL_MS));
    }
    return undefined;
  }

  private isAway(owner: MemberReport): boolean {
    const { view } = this.context;
    return owner.phase === "stopping" ||
      view.silentMs(owner.address, steadyMs()) > view.silentAfterMs;
  }

  private logAttempt(
    work: RoutedRequest,
    attempt: { target: MemberReport; round: number; outcome: Outcome },
  ): void {
    const { target, round, outcome } = attempt;
    if (outcome.kind === "answer") {
      return;
    }
    this.context.logger.log("attempt_failed", {
      request_id: work.id,
      service: work.service,
      key: work.key,
      round,
      peer: target.address,
      outcome: outcome.kind,
      reason: outcome.reason,
      wait_ms: outcome.kind === "not_run" ? outcome.waitMs : undefined,
      left_ms: Math.round(work.deadlineAtMs - steadyMs()),
    });
  }
}

/**
 * Whether a suspect has had its turn: its server is gone, or has no room for it soon. Sent on from there, copies that
 * come at the same time would each end a server.
 */
function endsProbation(outcome: Outcome): boolean {
  return outcome.kind === "unknown" && outcome.reason === "backend_lost" ||
    outcome.kind === "not_run" &&
      REFUSALS_THAT_END_PROBATION.has(outcome.reason);
}
