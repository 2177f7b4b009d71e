/**
 * Moves keys from the backend server on this host to less loaded ones.
 *
 * @module
 */
import {
  type GrantTracker,
  type OwnerLoad,
  type PlannedMove,
  planRebalance,
} from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import type { MemberReport, MemberView } from "@bamboolink/membership";
import type { BackendManager } from "../backend/backend_manager.ts";
import { monotonicMs } from "../clock.ts";
import type { HandoverCoordinator } from "./handover_coordinator.ts";
import type { LocalBackend } from "../backend/local_backend.ts";
import type { OwnershipDirectory } from "./ownership_directory.ts";
import type { OwnershipLeaseManager } from "./ownership_lease_manager.ts";

/** Interval between two attempts to plan a rebalance, in milliseconds. */
const REBALANCE_INTERVAL_MS = 250;

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
  /** Announces to a daemon the keys that are about to be moved to it. */
  readonly onMovesPlanned: (
    daemon: string,
    moves: readonly PlannedMove[],
  ) => void;
}

/** Plans and begins moves of keys. */
export class KeyRebalancer {
  private plannedMoves: readonly PlannedMove[] = [];
  private lastBegunMoves: readonly PlannedMove[] = [];
  private lastPlannedAtMs = -Infinity;

  private constructor(private readonly context: KeyRebalancerContext) {}

  /** Creates a rebalancer without planned moves. */
  static create(context: KeyRebalancerContext): KeyRebalancer {
    return new KeyRebalancer(context);
  }

  /** The moves that were begun last, with the new owner of each range. */
  get begunMoves(): readonly PlannedMove[] {
    return this.lastBegunMoves;
  }

  /** Plans moves of the keys with the highest load while this daemon's backend server is more loaded than others. */
  tick(): void {
    const { grants, backend, view, backendManager, logger, leaseManager } =
      this.context;
    const service = this.context.ownService();
    const nowMs = monotonicMs();
    if (
      service === undefined ||
      nowMs - this.lastPlannedAtMs < REBALANCE_INTERVAL_MS
    ) {
      return;
    }
    this.lastPlannedAtMs = nowMs;
    const isMoving = grants.isReleasing || this.plannedMoves.length > 0;
    if (
      backendManager().phase !== "ready" || isMoving || backend.isCold ||
      !leaseManager.canMoveKeys()
    ) {
      return;
    }
    const others = view.alive(nowMs)
      .filter((report) =>
        report.service === service && report.phase === "ready"
      )
      .map(toOwnerLoad);
    const own = {
      daemon: view.ownReport.address,
      utilization: this.utilization,
      deviation: this.deviation,
      slots: backend.capacity,
      serviceMs: backend.serviceMs,
    };
    const record = this.context.directory.record(service);
    const owners = new Set(record?.daemons ?? []);
    this.plannedMoves = planRebalance(own, others, {
      ranges: grants.ownRanges,
      profile: backend.profile,
      keyless: new Set(
        others
          .map(({ daemon }) => daemon)
          .filter((daemon) => !owners.has(daemon)),
      ),
    });
    this.plannedMoves.forEach((move) => {
      logger.log("ownership_shed", {
        service,
        ...move,
        utilization: own.utilization,
        deviation: own.deviation,
      });
    });
    const recipients = new Set(this.plannedMoves.map(({ daemon }) => daemon));
    recipients.forEach((recipient) =>
      this.context.onMovesPlanned(
        recipient,
        this.plannedMoves.filter(({ daemon }) => daemon === recipient),
      )
    );
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
    return this.plannedMoves.length > 0;
  }

  /**
   * Begins the planned moves just before a heartbeat is responded to. Until that response the backend server continues
   * to serve the keys, and by then their recipients are ready to receive them.
   */
  async beginMoves(): Promise<void> {
    const { plannedMoves } = this;
    const recipients = [...new Set(plannedMoves.map(({ daemon }) => daemon))];
    await this.context.handoverCoordinator.awaitRecipients(recipients);
    this.plannedMoves = [];
    const service = this.context.ownService();
    if (
      service !== undefined &&
      await this.context.leaseManager.confirmKeysMovable(service)
    ) {
      this.lastBegunMoves = plannedMoves;
      this.context.grants.beginRelease(plannedMoves);
    }
  }
}

function toOwnerLoad(report: MemberReport): OwnerLoad {
  const { address, utilization, capacity, serviceMs } = report;
  return { daemon: address, utilization, slots: capacity, serviceMs };
}
