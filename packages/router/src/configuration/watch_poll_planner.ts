/**
 * Plans the polls of this daemon's watch of the operators' records, together with those of the other daemons.
 *
 * In a large fleet, a few daemons of each zone follow the records. They announce each response of the store and the
 * version of the configuration to the others, which fetch a newer version from them and poll only if these
 * announcements cease.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Logger } from "@bamboolink/logger";
import {
  type MemberReport,
  type MemberView,
  WatchFollowers,
  WatchPollCoordinator,
  WatchPollSchedule,
} from "@bamboolink/membership";
import type { Datagram } from "../members/datagram_codec.ts";

/** Shortest wait between two checks whether a poll is due, in milliseconds. */
const MIN_WAIT_MS = 20;
/**
 * How long a daemon waits for the announcement of a follower in its own zone before it fetches a newer version from one
 * in another zone, in milliseconds. Traffic between zones is billed, and all followers learn of a change together.
 */
const OWN_ZONE_WAIT_MS = 150;

/** Announces a planned renewal of a watch, and what its sender knows. */
export type WatchPlan = Extract<Datagram, { kind: "watch_plan" }>;

/** Dependencies of the planner. */
export interface WatchPollPlannerContext {
  readonly view: MemberView;
  readonly logger: Logger;
  readonly random: () => number;
  readonly nowMs: () => number;
  readonly reachesStore: () => boolean;
  /** The version of the configuration in force; negative if there is none. */
  readonly configurationVersion: () => number;
  /** Fetches the configuration from another daemon. */
  readonly fetchConfiguration: (peer: MemberReport) => Promise<void>;
  /** Sends a datagram to all alive daemons. */
  readonly broadcast: (plan: WatchPlan) => void;
}

/** Plans the polls of one daemon. */
export class WatchPollPlanner {
  private readonly coordinator: WatchPollCoordinator;
  private readonly followers: WatchFollowers;
  private observedAtMs = -Infinity;
  private wasFollower: boolean | undefined;

  private constructor(private readonly context: WatchPollPlannerContext) {
    const { address } = context.view.ownReport;
    this.coordinator = WatchPollCoordinator.create(
      address,
      WatchPollSchedule.create(context.random),
    );
    this.followers = WatchFollowers.create(address);
  }

  /** Creates a planner that knows no plans of other daemons. */
  static create(context: WatchPollPlannerContext): WatchPollPlanner {
    return new WatchPollPlanner(context);
  }

  /** Whether this daemon follows the records for others. */
  get isFollower(): boolean {
    return this.followers.findFellowFollowers(this.members) !== undefined;
  }

  /** Waits until a poll is due; to be called after each response of the store. */
  async awaitDue(): Promise<void> {
    const { nowMs } = this.context;
    this.observedAtMs = nowMs();
    this.followers.recordObservation(this.observedAtMs);
    while (true) {
      this.logRole();
      const holdMs = this.followers.holdMs(this.members, nowMs());
      if (holdMs <= 0) {
        return;
      }
      await sleep(Math.max(MIN_WAIT_MS, holdMs), undefined, { ref: false });
    }
  }

  /**
   * Chooses the timeout of the next poll, in milliseconds, and announces it.
   *
   * @param endedUnchanged whether the last poll ended without a change.
   */
  nextTimeoutMs(endedUnchanged: boolean): number {
    const { view, nowMs, broadcast, configurationVersion } = this.context;
    const others = this.followers.findFellowFollowers(this.members) ?? [];
    const remainingMs = this.coordinator.nextTimeoutMs({
      nowMs: nowMs(),
      others,
      endedUnchanged,
    });
    if (WatchPollCoordinator.coordinates(others.length + 1)) {
      broadcast({
        kind: "watch_plan",
        sender: view.ownReport.address,
        remainingMs,
        observationAgeMs: Math.max(0, nowMs() - this.observedAtMs),
        configurationVersion: Math.max(0, configurationVersion()),
      });
    }
    return remainingMs;
  }

  /** Applies the announcement of another daemon. */
  async handlePlan(plan: WatchPlan): Promise<void> {
    const { view, nowMs, configurationVersion, fetchConfiguration } =
      this.context;
    const { sender, remainingMs, observationAgeMs } = plan;
    this.coordinator.recordPlan(sender, nowMs() + remainingMs);
    if (observationAgeMs !== undefined) {
      this.followers.recordObservation(nowMs() - observationAgeMs);
    }
    const peer = view.find(sender);
    const isNewer = () =>
      (plan.configurationVersion ?? 0) > configurationVersion();
    // A follower learns of a change by its own poll at the same time.
    if (peer === undefined || !isNewer() || this.isFollower) {
      return;
    }
    if (peer.availabilityZone !== view.ownReport.availabilityZone) {
      await sleep(OWN_ZONE_WAIT_MS, undefined, { ref: false });
    }
    if (isNewer()) {
      await fetchConfiguration(peer);
    }
  }

  /** All alive daemons, including this one. */
  private get members(): MemberReport[] {
    const { view, nowMs, reachesStore } = this.context;
    return [
      ...view.alive(nowMs()),
      { ...view.ownReport, reachesStore: reachesStore() },
    ];
  }

  private logRole(): void {
    const { isFollower } = this;
    if (isFollower !== this.wasFollower) {
      this.wasFollower = isFollower;
      this.context.logger.log("watch_role_changed", {
        follows: isFollower,
        members: this.members.length,
      });
    }
  }
}
