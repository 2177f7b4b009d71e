/**
 * Elects the planner by one record in the store that hangs on a lease.
 *
 * Two planners at a time are harmless, since everything they do is a compare-and-swap; the election
 * only keeps them from doing the work twice.
 *
 * @module
 */
import type { Logger } from "@bamboolink/logger";
import { type Store, writeAndVerify } from "@bamboolink/store";
import { PLANNER_KEY, type PlannerRecord } from "@bamboolink/types";
import { BackgroundTask } from "./background_task.ts";
import { monotonicMs, wallClockMs } from "./clock.ts";
import type { Fleet } from "./fleet.ts";

/** Length of the lease in seconds, and how often it is renewed in milliseconds. */
const LEASE_SECONDS = 2;
const RENEW_EVERY_MS = 600;
/** Pause after a lost election, in milliseconds. */
const RETRY_MS = 300;

/** The election as one daemon takes part in it. */
export class PlannerElection {
  private readonly working: BackgroundTask;
  private lease: string | undefined;
  private elected: string | undefined;
  private electedRevision = 0;
  private nextMs = 0;

  private constructor(
    private readonly context: { store: Store; fleet: Fleet; logger: Logger },
  ) {
    this.working = BackgroundTask.create(context.logger, "planner_election");
  }

  /** Creates an election in which this daemon is not elected. */
  static create(
    context: { store: Store; fleet: Fleet; logger: Logger },
  ): PlannerElection {
    return new PlannerElection(context);
  }

  /** Whether a session of this daemon is the planner, as far as it knows. */
  isPlanner(session: string | undefined): boolean {
    return session !== undefined && this.elected === session;
  }

  /**
   * One step of the control loop.
   *
   * @param candidate the own session if it may be the planner.
   * @param isLost whether the session that is the planner now is known to be lost.
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
      this.elected !== undefined &&
      (this.elected !== candidate || this.isDeposed())
    ) {
      this.resign();
    }
    if (nowMs < this.nextMs || candidate === undefined) {
      return;
    }
    if (this.elected !== undefined) {
      this.nextMs = nowMs + RENEW_EVERY_MS;
      this.working.start(() => this.renew());
      return;
    }
    const planner = this.context.fleet.state.planner;
    if (planner === undefined || options.isLost(planner.record.session)) {
      this.nextMs = nowMs + RETRY_MS;
      this.working.start(() => this.stand(candidate, planner?.revision ?? 0));
    }
  }

  /** Gives the role up at once, so that another daemon need not wait for the lease. */
  async close(): Promise<void> {
    const { lease } = this;
    this.resign();
    if (lease !== undefined) {
      await this.context.store.revokeLease(lease);
    }
  }

  /** Whether another daemon took the role after this one was elected. */
  private isDeposed(): boolean {
    const planner = this.context.fleet.state.planner;
    return planner !== undefined && planner.revision > this.electedRevision &&
      planner.record.session !== this.elected;
  }

  private async stand(
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
    this.elected = candidate;
    this.electedRevision = written.value;
    this.nextMs = monotonicMs() + RENEW_EVERY_MS;
    this.context.logger.log("planner_elected", { session: candidate });
  }

  private async renew(): Promise<void> {
    const { lease } = this;
    if (lease === undefined) {
      this.resign();
      return;
    }
    const renewed = await this.context.store.renewLease(lease);
    // While the store is down nobody else can be elected either; only a lapsed lease ends the role.
    if (renewed.isErr() && renewed.error.code === "not_found") {
      this.resign();
    }
  }

  private resign(): void {
    if (this.elected !== undefined) {
      this.context.logger.log("planner_resigned", { session: this.elected });
    }
    this.elected = undefined;
    this.lease = undefined;
  }
}
