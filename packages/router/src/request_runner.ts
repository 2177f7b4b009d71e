/**
 * Makes attempts for one request until one of them is final.
 *
 * @module
 */
import type { ResendBudget } from "@bamboolink/admission";
import type { Logger } from "@bamboolink/logger";
import type { MemberReport, MemberView } from "@bamboolink/membership";
import {
  chooseBackend,
  expectedMs,
  type PlacementCandidate,
} from "@bamboolink/placement";
import type { BackendBoard } from "./backend_board.ts";
import type { Cancellation } from "./cancellation.ts";
import { steadyMs } from "./clock.ts";
import type { Forwarder } from "./forwarder.ts";
import type { LocalBackend } from "./local_backend.ts";
import type { OwnershipDirectory } from "./ownership_directory.ts";
import { notRun, type Outcome, type RefusalReason, type Work } from "./work.ts";

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

/** Refusals by which the owner of a key is away. */
const OWNER_AWAY: ReadonlySet<RefusalReason> = new Set([
  "peer_unreachable",
  "stopping",
]);

/** What the runner needs. */
export interface RequestRunnerContext {
  readonly logger: Logger;
  readonly view: MemberView;
  readonly board: BackendBoard;
  readonly directory: OwnershipDirectory;
  readonly backend: LocalBackend;
  readonly forwarder: Forwarder;
  readonly budget: ResendBudget;
  readonly random: () => number;
}

/** What happened to a request so far. */
interface Progress {
  /** How often it arrived at a backend server, or may have. */
  arrivals: number;
  readonly tried: Set<string>;
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
    work: Work,
    options: { maximumAttempts: number; cancellation: Cancellation },
  ): Promise<Outcome> {
    const progress: Progress = { arrivals: 0, tried: new Set() };
    this.context.budget.noteRequest(work.service, steadyMs());
    let last = notRun("no_backend");
    for (let round = 0; round < MAXIMUM_ROUNDS; round += 1) {
      const target = await this.findTarget(
        work,
        progress,
        options.cancellation,
      );
      if (target === undefined) {
        return last;
      }
      if (progress.arrivals > 0) {
        if (
          !this.mayResend(work, progress.arrivals, options.maximumAttempts)
        ) {
          return last;
        }
        this.context.budget.noteResend(work.service, steadyMs());
      }
      const mayGiveUp = () =>
        work.isIdempotent &&
        !this.context.directory.isKeyed(work.service) &&
        this.mayResend(work, progress.arrivals + 1, options.maximumAttempts) &&
        this.choose(work, withTried(progress, target)) !== undefined;
      last = await this.attempt(work, {
        target,
        cancellation: options.cancellation,
        mayGiveUp,
      });
      this.logAttempt(work, { target, round, outcome: last });
      if (this.isFinal(work, last) || this.isOwnerAway(work, last)) {
        return last;
      }
      if (options.cancellation.isCancelled) {
        return last;
      }
      progress.arrivals += hasArrived(last) ? 1 : 0;
      progress.tried.add(target.address);
    }
    return last;
  }

  private attempt(
    work: Work,
    to: {
      target: MemberReport;
      cancellation: Cancellation;
      mayGiveUp: () => boolean;
    },
  ): Promise<Outcome> {
    const { view, backend, board, forwarder } = this.context;
    const { target, cancellation, mayGiveUp } = to;
    if (target.address === view.ownReport.address) {
      return backend.attempt(work, cancellation);
    }
    board.noteSent(target.address);
    return forwarder.forward(work, {
      daemon: target.address,
      cancellation,
      mayGiveUp,
    });
  }

  /**
   * Whether the one owner of a key is away for longer than a request could wait: its daemon restarts or
   * is cut off. Its keys stay its own meanwhile, so nobody else can run the request.
   */
  private isOwnerAway(work: Work, outcome: Outcome): boolean {
    return work.key !== undefined && outcome.kind === "not_run" &&
      OWNER_AWAY.has(outcome.reason);
  }

  private isFinal(work: Work, outcome: Outcome): boolean {
    switch (outcome.kind) {
      case "answer":
        return outcome.status < FIRST_FAILURE_STATUS || !work.isIdempotent;
      case "not_run":
        return outcome.reason === "cancelled";
      case "unknown":
        return !work.isIdempotent || outcome.reason === "cancelled" ||
          outcome.reason === "deadline";
    }
  }

  private mayResend(
    work: Work,
    arrivals: number,
    maximumAttempts: number,
  ): boolean {
    const { budget, view, backend } = this.context;
    const nowMs = steadyMs();
    const usualMs = backend.report().serviceMs;
    return arrivals < maximumAttempts &&
      work.deadlineAtMs - nowMs > usualMs * USEFUL_TIME_SHARE &&
      budget.allows(work.service, {
        nowMs,
        daemons: view.known.length + 1,
      });
  }

  private findTarget(
    work: Work,
    progress: Progress,
    cancellation: Cancellation,
  ): Promise<MemberReport | undefined> {
    const { directory } = this.context;
    return directory.isKeyed(work.service)
      ? this.findOwner(work, progress, cancellation)
      : Promise.resolve(this.choose(work, progress));
  }

  private choose(work: Work, progress: Progress): MemberReport | undefined {
    const { view, board, random } = this.context;
    const nowMs = steadyMs();
    const own = view.ownReport;
    const ready = [...view.alive(nowMs), own].filter((report) =>
      report.service === work.service && report.phase === "ready" &&
      !progress.tried.has(report.address)
    );
    const reachable = ready.filter(({ address }) =>
      !board.isAvoided(address, nowMs)
    );
    const pool = reachable.length > 0 ? reachable : ready;
    const place = {
      daemon: own.address,
      availabilityZone: own.availabilityZone,
      nowMs,
    };
    const described = pool.map((report) => board.describe(report, place));
    const candidates = progress.tried.size === 0
      ? described
      : described.filter((candidate) => this.hasRoom(candidate, work));
    const chosen = chooseBackend(candidates, random);
    return pool.find(({ address }) => address === chosen?.daemon);
  }

  /**
   * Whether a backend server may do the work in time, after another has refused it. Under overload all
   * are full: asking each would cost more than the answer that it saves.
   */
  private hasRoom(candidate: PlacementCandidate, work: Work): boolean {
    return steadyMs() + expectedMs(candidate) < work.objectiveAtMs;
  }

  /** Waits a little for a key that has just lost its owner: most get another within milliseconds. */
  private async findOwner(
    work: Work,
    progress: Progress,
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
      if (owner !== undefined && !progress.tried.has(owner.address)) {
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
    work: Work,
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

function withTried(progress: Progress, target: MemberReport): Progress {
  return {
    arrivals: progress.arrivals,
    tried: new Set([...progress.tried, target.address]),
  };
}

function hasArrived(outcome: Outcome): boolean {
  return outcome.kind !== "not_run" || outcome.hasArrived;
}
