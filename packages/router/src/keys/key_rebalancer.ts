/**
 * Moves keys from the backend server on this host to less loaded ones.
 *
 * @module
 */
import {
  type GrantTracker,
  type OwnerLoad,
  type PlannedMove,
  type RebalanceInput,
  RebalancePlanner,
  sizeOf,
} from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import type { MemberReport, MemberView } from "@bamboolink/membership";
import type { BackendManager } from "../backend/backend_manager.ts";
import { bootMs, monotonicMs } from "../clock.ts";
import type { HandoverCoordinator } from "./handover_coordinator.ts";
import type { LocalBackend } from "../backend/local_backend.ts";
import type { OwnershipDirectory } from "./ownership_directory.ts";
import type { OwnershipLeaseManager } from "./ownership_lease_manager.ts";

/**
 * Moves are likely while an owner's utilization exceeds this. Owners above 0.6 move keys if others have headroom, but
 * few requests are late below this.
 */
const LIKELY_UTILIZATION = 0.9;
/** A response is not delayed in advance unless the backend server holds its keys for this time, in milliseconds. */
const MIN_HELD_MS = 2_000;

/** Dependencies of the key rebalancer. */
export interface KeyRebalancerContext {
  readonly logger: Logger;
  readonly view: MemberView;
  readonly directory: OwnershipDirectory;
  readonly grants: GrantTracker;
  readonly backend: LocalBackend;
  readonly backendManager: () => BackendManager;
  readonly handoverCoordinator: HandoverCoordinator;
  readonly leaseManager: OwnershipLeaseManager;
  /** The service of the backend server on this host, if its keys have owners. */
  readonly ownService: () => string | undefined;
  /** Announces to a daemon the keys that are about to be moved to it; none if that is no longer planned. */
  readonly onMovesPlanned: (
    daemon: string,
    moves: readonly PlannedMove[],
  ) => void;
}

/** What has become of the moves since the start of this process. */
export interface MoveTotals {
  /** Moves that were begun, and the keys in them. */
  readonly begun: number;
  readonly keys: number;
  /** Plans that were dropped before they could begin, because they were no longer needed. */
  readonly dropped: number;
}

/** Plans and begins moves of keys. */
export class KeyRebalancer {
  private readonly planner = RebalancePlanner.create();
  private lastBegunMoves: readonly PlannedMove[] = [];
  /** Whether moves that begin are being confirmed by a read of the store. */
  private isConfirming = false;
  private moveTotals: MoveTotals = { begun: 0, keys: 0, dropped: 0 };

  private constructor(private readonly context: KeyRebalancerContext) {}

  /** Creates a rebalancer without planned moves. */
  static create(context: KeyRebalancerContext): KeyRebalancer {
    return new KeyRebalancer(context);
  }

  /** The moves that were begun last, with the new owner of each range. */
  get begunMoves(): readonly PlannedMove[] {
    return this.lastBegunMoves;
  }

  /** What has become of the moves since the start of this process. */
  get totals(): MoveTotals {
    return this.moveTotals;
  }

  /** Plans moves of the keys with the highest load while this daemon's backend server is more loaded than others. */
  tick(): void {
    const { grants, backendManager, leaseManager } = this.context;
    const service = this.context.ownService();
    const nowMs = monotonicMs();
    if (
      service === undefined || !this.planner.isDue(nowMs) ||
      backendManager().phase !== "ready" || grants.isReleasing ||
      this.isConfirming || !leaseManager.canMoveKeys()
    ) {
      return;
    }
    const hadPlan = this.hasPlannedMoves;
    const announcements = this.planner.update(
      this.createInput(service, nowMs),
      nowMs,
    );
    announcements.forEach((moves, recipient) =>
      this.context.onMovesPlanned(recipient, moves)
    );
    this.context.handoverCoordinator.recheck();
    if (hadPlan && !this.hasPlannedMoves) {
      this.moveTotals = {
        ...this.moveTotals,
        dropped: this.moveTotals.dropped + 1,
      };
      this.context.logger.log("key_moves_dropped", {
        service,
        utilization: this.utilization,
      });
    }
  }

  private createInput(service: string, nowMs: number): RebalanceInput {
    const { grants, backend, view, backendManager, directory } = this.context;
    const alive = view.alive(nowMs);
    const reports = alive.filter((report) =>
      report.service === service && report.phase === "ready"
    );
    const owners = new Set(directory.record(service)?.daemons ?? []);
    const addresses = reports.map(({ address }) => address);
    return {
      own: {
        daemon: view.ownReport.address,
        utilization: this.utilization,
        deviation: this.deviation,
        slots: backend.capacity,
        serviceMs: backend.serviceMs,
      },
      // The load of cold keys is not their usual one, and moves planned by it would have to be undone.
      others: backend.hasColdKeys ? [] : reports.map(toOwnerLoad),
      ranges: grants.ownRanges,
      profile: backend.profile,
      keyless: new Set(addresses.filter((address) => !owners.has(address))),
      reportAgeMs: Math.min(
        ...alive.map(({ address }) => view.heartbeatAgeMs(address, nowMs)),
      ),
      coldMs: backendManager().coldRemainingMs,
    };
  }

  /**
   * Load of this daemon's keys relative to the capacity of its backend server. Keys that have just been moved away don't
   * count any more, so that an owner does not rebalance a second time because of them.
   */
  get utilization(): number {
    const { backend } = this.context;
    return this.context.ownService() === undefined || backend.capacity === 0
      ? backend.utilization
      : this.load / backend.capacity;
  }

  /** Standard deviation of the utilization. */
  private get deviation(): number {
    const { backend } = this.context;
    const deviation = backend.profile.standardDeviationOf(this.load);
    return backend.capacity === 0 ? deviation : deviation / backend.capacity;
  }

  /** Load of this daemon's keys, in slots. */
  private get load(): number {
    const { grants, backend } = this.context;
    return backend.profile.loadOf(grants.ownRanges) / 1_000;
  }

  /** Whether planned moves of keys await the next response to a heartbeat. */
  get hasPlannedMoves(): boolean {
    return this.planner.plannedMoves.length > 0;
  }

  /**
   * Whether moves from or to this daemon are likely to be planned soon: an owner has more load than it can serve, and the
   * backend server here needs no grant now and is warm.
   */
  get areMovesLikely(): boolean {
    const { grants, view, backendManager, leaseManager } = this.context;
    const service = this.context.ownService();
    if (
      service === undefined || backendManager().phase !== "ready" ||
      backendManager().coldRemainingMs > 0 || !leaseManager.canMoveKeys() ||
      !grants.holdsAll(bootMs() + MIN_HELD_MS)
    ) {
      return false;
    }
    const reports = view.readyReports(service, monotonicMs());
    return reports.length > 1 &&
      [this.utilization, ...reports.map(({ utilization }) => utilization)]
        .some((utilization) => utilization > LIKELY_UTILIZATION);
  }

  /**
   * Begins the planned moves just before a heartbeat is responded to. Until that response the backend server continues
   * to serve the keys, and by then their recipients are ready to receive them.
   *
   * @param latestMs when the heartbeat must be responded to at the latest.
   */
  async beginMoves(latestMs: number): Promise<void> {
    const { handoverCoordinator, leaseManager, grants } = this.context;
    const recipients = () => [
      ...new Set(this.planner.plannedMoves.map(({ daemon }) => daemon)),
    ];
    await handoverCoordinator.awaitRecipients(
      recipients,
      latestMs - monotonicMs(),
    );
    const { utilization, deviation } = this;
    const { moves, waitedMs } = this.planner.take(monotonicMs());
    const service = this.context.ownService();
    if (service === undefined || moves.length === 0) {
      return;
    }
    this.isConfirming = true;
    const isConfirmed = await leaseManager.confirmKeysMovable(service)
      .finally(() => {
        this.isConfirming = false;
      });
    if (isConfirmed) {
      this.lastBegunMoves = moves;
      grants.beginRelease(moves);
      this.recordBegun(moves, { service, utilization, deviation, waitedMs });
    }
  }

  private recordBegun(
    moves: readonly PlannedMove[],
    cause: {
      service: string;
      utilization: number;
      deviation: number;
      waitedMs: number;
    },
  ): void {
    const { service, utilization, deviation, waitedMs } = cause;
    const { begun, keys, dropped } = this.moveTotals;
    this.moveTotals = {
      begun: begun + moves.length,
      keys: keys + moves.reduce((sum, move) => sum + sizeOf(move), 0),
      dropped,
    };
    moves.forEach((move) => {
      this.context.logger.log("ownership_shed", {
        service,
        ...move,
        utilization,
        deviation,
        waited_ms: Math.round(waitedMs),
      });
    });
  }
}

function toOwnerLoad(report: MemberReport): OwnerLoad {
  const { address, utilization, capacity, serviceMs } = report;
  return { daemon: address, utilization, slots: capacity, serviceMs };
}
