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

/**
 * Interval between two checks whether a poll is due, in milliseconds: a daemon that is cut off from its peers, or that
 * has to replace a follower, must not wait until an earlier hold ends.
 */
const CHECK_INTERVAL_MS = 250;
/**
 * How long a daemon waits for the announcement of a follower in its own zone before it fetches a newer version from one
 * in another zone, in milliseconds. Traffic between zones is billed, and all followers learn of a change together.
 */
const OWN_ZONE_WAIT_MS = 150;

/** Maximum time until a renewal that may be announced, in milliseconds. */
const MAX_PLAN_MS = 60_000;

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
  /** Highest version of the configuration that was announced to others. */
  private announcedVersion = -Infinity;
  private endHold: (() => void) | undefined;
  /** Whether this daemon polls since no follower has announced a response of the store for a while. */
  private replacesFollowers = false;
  private checkedAtMs = -Infinity;
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
  awaitDue(): Promise<void> {
    const { nowMs, configurationVersion } = this.context;
    this.observedAtMs = nowMs();
    this.followers.recordObservation(this.observedAtMs);
    this.logRole();
    const holdMs = this.holdMs();
    if (holdMs <= 0) {
      return Promise.resolve();
    }
    if (
      this.replacesFollowers && configurationVersion() > this.announcedVersion
    ) {
      // Others must not wait for the next poll of this daemon.
      this.announce(holdMs);
    }
    this.replacesFollowers = false;
    return new Promise((resolve) => {
      this.endHold = resolve;
      this.checkedAtMs = nowMs();
    });
  }

  /** Ends the wait for a poll that has become due; called by the control loop. */
  tick(): void {
    const { nowMs } = this.context;
    const { endHold } = this;
    if (
      endHold === undefined || nowMs() - this.checkedAtMs < CHECK_INTERVAL_MS
    ) {
      return;
    }
    this.checkedAtMs = nowMs();
    this.logRole();
    if (this.holdMs() <= 0) {
      this.endHold = undefined;
      this.replacesFollowers = true;
      endHold();
    }
  }

  /**
   * Chooses the timeout of the next poll, in milliseconds, and announces it.
   *
   * @param endedUnchanged whether the last poll ended without a change.
   */
  nextTimeoutMs(endedUnchanged: boolean): number {
    const remainingMs = this.coordinator.nextTimeoutMs({
      nowMs: this.context.nowMs(),
      others: this.followers.findFellowFollowers(this.members) ?? [],
      endedUnchanged,
    });
    this.announce(remainingMs);
    return remainingMs;
  }

  /** Applies the announcement of another daemon. */
  async handlePlan(plan: WatchPlan): Promise<void> {
    const { view, nowMs, configurationVersion, fetchConfiguration } =
      this.context;
    const { sender, remainingMs, observationAgeMs } = plan;
    this.coordinator.recordPlan(sender, nowMs() + remainingMs);
    this.followers.recordAnnouncement(sender, observationAgeMs !== undefined);
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

  /** Announces the next renewal, the last response of the store and the version in force. */
  private announce(remainingMs: number): void {
    const { view, nowMs, broadcast, configurationVersion } = this.context;
    this.announcedVersion = configurationVersion();
    broadcast({
      kind: "watch_plan",
      sender: view.ownReport.address,
      remainingMs: Math.min(MAX_PLAN_MS, remainingMs),
      observationAgeMs: Math.max(0, nowMs() - this.observedAtMs),
      configurationVersion: Math.max(0, this.announcedVersion),
    });
  }

  /** Time until this daemon has to poll the store, in milliseconds; 0 if it has to poll now. */
  private holdMs(): number {
    const { view, nowMs } = this.context;
    const { members } = this;
    const peerSilenceMs = Math.min(
      ...members.filter(({ address }) => address !== view.ownReport.address)
        .map(({ address }) => view.heartbeatAgeMs(address, nowMs())),
    );
    return this.followers.holdMs(members, { nowMs: nowMs(), peerSilenceMs });
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
