/**
 * Elects the planner with one record in the store that is bound to a store lease.
 *
 * Two concurrent planners are harmless, since every write is a compare-and-swap; the election only prevents
 * duplicate work.
 *
 * @module
 */
import type { Logger } from "@bamboolink/logger";
import { type Store, writeAndVerify } from "@bamboolink/store";
import { PLANNER_KEY, type PlannerRecord } from "@bamboolink/types";
import { BackgroundTask } from "./background_task.ts";
import { monotonicMs, wallClockMs } from "./clock.ts";
import type { Fleet } from "./fleet.ts";

/** Duration of the store lease, in seconds. */
const LEASE_SECONDS = 2;
/** Time between two renewals of the store lease, in milliseconds. */
const RENEW_INTERVAL_MS = 600;
/** Delay before this daemon tries again to be elected, in milliseconds. */
const ELECTION_RETRY_DELAY_MS = 300;

/** One daemon's participation in the election. */
export class PlannerElection {
  private readonly electionTask: BackgroundTask;
  private lease: string | undefined;
  private electedSession: string | undefined;
  private electedRevision = 0;
  private nextAttemptAtMs = 0;

  private constructor(
    private readonly context: { store: Store; fleet: Fleet; logger: Logger },
  ) {
    this.electionTask = BackgroundTask.create(
      context.logger,
      "planner_election",
    );
  }

  /** Creates an election in which this daemon is not elected. */
  static create(
    context: { store: Store; fleet: Fleet; logger: Logger },
  ): PlannerElection {
    return new PlannerElection(context);
  }

  /** Whether this daemon assumes that the given session of its own is the planner. */
  isPlanner(session: string | undefined): boolean {
    return session !== undefined && this.electedSession === session;
  }

  /**
   * Runs one step of the control loop.
   *
   * @param nowMs current time on the monotonic clock, in milliseconds.
   * @param options `candidate`: this daemon's session if it may be the planner; `isLost`: whether a session is
   *   lost, called with that of the current planner.
   */
  tick(
    nowMs: number,
    options: {
      candidate: string | undefined;
      isLost: (session: string) => boolean;
    },
  ): void {
    const { candidate } = options;
    if (
      this.electedSession !== undefined &&
      (this.electedSession !== candidate || this.isSuperseded())
    ) {
      this.resign();
    }
    if (nowMs < this.nextAttemptAtMs || candidate === undefined) {
      return;
    }
    if (this.electedSession !== undefined) {
      this.nextAttemptAtMs = nowMs + RENEW_INTERVAL_MS;
      this.electionTask.start(() => this.renew());
      return;
    }
    const planner = this.context.fleet.state.planner;
    if (planner === undefined || options.isLost(planner.record.session)) {
      this.nextAttemptAtMs = nowMs + ELECTION_RETRY_DELAY_MS;
      this.electionTask.start(() =>
        this.campaign(candidate, planner?.revision ?? 0)
      );
    }
  }

  /** Resigns and revokes the store lease, so that another daemon need not wait for its expiry. */
  async close(): Promise<void> {
    const { lease } = this;
    this.resign();
    if (lease !== undefined) {
      await this.context.store.revokeLease(lease);
    }
  }

  /** Whether another daemon was elected after this one. */
  private isSuperseded(): boolean {
    const planner = this.context.fleet.state.planner;
    return planner !== undefined && planner.revision > this.electedRevision &&
      planner.record.session !== this.electedSession;
  }

  private async campaign(
    candidate: string,
    expectedRevision: number,
  ): Promise<void> {
    const lease = await this.context.store.grantLease(LEASE_SECONDS);
    if (lease.isErr()) {
      return;
    }
    const record: PlannerRecord = {
      session: candidate,
      elected_at_ms: wallClockMs(),
    };
    const written = await writeAndVerify(this.context.store, {
      key: PLANNER_KEY,
      value: JSON.stringify(record),
      expectedRevision,
      lease: lease.value,
    });
    if (written.isErr()) {
      await this.context.store.revokeLease(lease.value);
      return;
    }
    this.lease = lease.value;
    this.electedSession = candidate;
    this.electedRevision = written.value;
    this.nextAttemptAtMs = monotonicMs() + RENEW_INTERVAL_MS;
    this.context.logger.log("planner_elected", { session: candidate });
  }

  private async renew(): Promise<void> {
    const { lease } = this;
    if (lease === undefined) {
      this.resign();
      return;
    }
    const renewed = await this.context.store.renewLease(lease);
    // While the store is unreachable, no other daemon can be elected, so only an expired lease ends the role.
    if (renewed.isErr() && renewed.error.code === "not_found") {
      this.resign();
    }
  }

  private resign(): void {
    if (this.electedSession !== undefined) {
      this.context.logger.log("planner_resigned", {
        session: this.electedSession,
      });
    }
    this.electedSession = undefined;
    this.lease = undefined;
  }
}
