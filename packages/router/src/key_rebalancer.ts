/**
 * Moves keys from the backend server on this host to cooler ones.
 *
 * @module
 */
import {
  type GrantTracker,
  type PlannedMove,
  planRebalance,
} from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import type { MemberReport, MemberView } from "@bamboolink/membership";
import type { BackendManager } from "./backend_manager.ts";
import { steadyMs } from "./clock.ts";
import type { HandoverCoordinator } from "./handover_coordinator.ts";
import type { LocalBackend } from "./local_backend.ts";
import type { OwnershipDirectory } from "./ownership_directory.ts";
import type { OwnershipLeaseManager } from "./ownership_lease_manager.ts";

/** Time between two looks for keys to shed, in milliseconds. */
const SHED_MS = 250;

/** What the shedder needs. */
export interface KeyRebalancerContext {
  readonly logger: Logger;
  readonly view: MemberView;
  readonly directory: OwnershipDirectory;
  readonly grants: GrantTracker;
  readonly backend: LocalBackend;
  readonly backendManager: () => BackendManager;
  readonly handoverCoordinator: HandoverCoordinator;
  readonly leaseManager: OwnershipLeaseManager;
  /** The service of which the backend server here owns keys, if it is of such a service. */
  readonly ownService: () => string | undefined;
  /** Tells a daemon that keys are about to come to it. */
  readonly onMovesPlanned: (
    daemon: string,
    moves: readonly PlannedMove[],
  ) => void;
}

/** Plans moves of keys, and begins them. */
export class KeyRebalancer {
  private planned: readonly PlannedMove[] = [];
  private begun: readonly PlannedMove[] = [];
  private shedAtMs = -Infinity;

  private constructor(private readonly context: KeyRebalancerContext) {}

  /** Creates a shedder without plans. */
  static create(context: KeyRebalancerContext): KeyRebalancer {
    return new KeyRebalancer(context);
  }

  /** Where the keys go that were given up last. */
  get destinations(): readonly PlannedMove[] {
    return this.begun;
  }

  /** Moves the keys with the most work away while the own backend server is hotter than others. */
  tick(): void {
    const { grants, backend, view, backendManager, logger, leaseManager } =
      this.context;
    const service = this.context.ownService();
    const nowMs = steadyMs();
    if (service === undefined || nowMs - this.shedAtMs < SHED_MS) {
      return;
    }
    this.shedAtMs = nowMs;
    const isMoving = grants.isReleasing || this.planned.length > 0;
    if (
      backendManager().phase !== "ready" || isMoving ||
      !leaseManager.isMovable()
    ) {
      return;
    }
    const others = view.alive(nowMs)
      .filter((report) =>
        report.service === service && report.phase === "ready"
      )
      .map(toLoad);
    const own = {
      daemon: view.ownReport.address,
      utilization: this.utilization,
      deviation: this.deviation,
      slots: backendManager().slots,
      serviceMs: backend.serviceMs,
    };
    const record = this.context.directory.record(service);
    const owners = new Set(record?.daemons ?? []);
    this.planned = planRebalance(own, others, {
      ranges: grants.ownRanges,
      profile: backend.profile,
      keyless: new Set(
        others
          .map(({ daemon }) => daemon)
          .filter((daemon) => !owners.has(daemon)),
      ),
    });
    this.planned.forEach((move) => {
      logger.log("ownership_shed", {
        service,
        ...move,
        utilization: own.utilization,
        deviation: own.deviation,
      });
    });
    const takers = new Set(this.planned.map(({ daemon }) => daemon));
    takers.forEach((taker) =>
      this.context.onMovesPlanned(
        taker,
        this.planned.filter(({ daemon }) => daemon === taker),
      )
    );
  }

  /**
   * Work that the own keys bring for each slot. Keys that have just gone don't count any more, so that an owner
   * does not shed once more for them.
   */
  get utilization(): number {
    const { backend, backendManager } = this.context;
    return this.context.ownService() === undefined ||
        backendManager().slots === 0
      ? backend.utilization
      : this.load / backendManager().slots;
  }

  /** How far that may be off by chance: one standard deviation. */
  private get deviation(): number {
    const { backend, backendManager } = this.context;
    return backend.profile.standardDeviationOf(this.load) /
      Math.max(1, backendManager().slots);
  }

  /** Work that the own keys bring, in slots. */
  private get load(): number {
    const { grants, backend } = this.context;
    return backend.profile.loadOf(grants.ownRanges) / 1_000;
  }

  /** Whether keys wait to be moved away with the next answer to a heartbeat. */
  get hasPlannedMoves(): boolean {
    return this.planned.length > 0;
  }

  /**
   * Begins the planned moves, in the answer to a heartbeat: until then the backend server goes on
   * serving the keys, and the new owners are ready to take them.
   */
  async beginMoves(): Promise<void> {
    const { planned } = this;
    const takers = [...new Set(planned.map(({ daemon }) => daemon))];
    await this.context.handoverCoordinator.awaitRecipients(takers);
    this.planned = [];
    const service = this.context.ownService();
    if (
      service !== undefined &&
      await this.context.leaseManager.reachesStore(service)
    ) {
      this.begun = planned;
      this.context.grants.beginRelease(planned);
    }
  }
}

function toLoad({ address, utilization, slots, serviceMs }: MemberReport) {
  return { daemon: address, utilization, slots, serviceMs };
}
