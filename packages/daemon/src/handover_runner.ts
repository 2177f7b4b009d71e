/**
 * Planned handovers: the current owner stops admitting requests and finishes those in flight, then the partition
 * is reassigned in the table. No lease has to expire.
 *
 * @module
 */
import type { Logger } from "@bamboolink/logger";
import {
  type Candidate,
  HANDOVER_CHART,
  type Move,
  type OwnedPartition,
  ownersOf,
  planMoves,
  rewriteShard,
} from "@bamboolink/ownership";
import { type Store, writeAndVerify } from "@bamboolink/store";
import { PLANNER_KEY, tableKey, type TableShard } from "@bamboolink/types";
import type { Versioned } from "@bamboolink/view";
import { wallClockMs } from "./clock.ts";
import type { Fleet } from "./fleet.ts";
import type { PeerClients } from "./peer_clients.ts";
import type { ReportRegistry } from "./report_registry.ts";

/** Minimum time between two plans, in milliseconds. */
const PLAN_INTERVAL_MS = 1_000;
/** Maximum share of a service's partitions that one plan moves in addition to those of draining owners. */
const MAX_MOVED_SHARE = 0.01;
/** Maximum number of partitions that one owner releases per plan, so that few keys are paused at a time. */
const MAX_BATCH_PARTITIONS = 256;

interface Handover {
  readonly service: string;
  readonly move: Move;
  state: string;
}

/** Dependencies of the runner. */
export interface HandoverContext {
  readonly store: Store;
  readonly fleet: Fleet;
  readonly clients: PeerClients;
  readonly logger: Logger;
  readonly reports: ReportRegistry;
}

/** Runs the handovers during one planner's term. */
export class HandoverRunner {
  private handovers: Handover[] = [];
  private nextPlanAtMs = 0;

  private constructor(private readonly context: HandoverContext) {}

  /** Creates a runner without handovers. */
  static create(context: HandoverContext): HandoverRunner {
    return new HandoverRunner(context);
  }

  /**
   * Plans handovers, requests releases from the owners, and reassigns the released partitions.
   *
   * @param nowMs current time on the monotonic clock, in milliseconds.
   * @param candidates sessions to which partitions may be assigned, by service.
   */
  async run(
    nowMs: number,
    candidates: ReadonlyMap<string, readonly Candidate[]>,
  ): Promise<void> {
    if (nowMs >= this.nextPlanAtMs && this.handovers.length === 0) {
      this.nextPlanAtMs = nowMs + PLAN_INTERVAL_MS;
      this.handovers = this.plan(candidates);
    }
    if (this.handovers.length === 0 || !await this.isStoreReachable()) {
      return;
    }
    await this.releaseAll();
    await this.assignReleased();
    this.dropFinished();
  }

  /**
   * Whether the store responds now.
   *
   * Without this check, an owner could release partitions while the store is unreachable, and their keys would
   * have no owner until the outage ends.
   */
  private async isStoreReachable(): Promise<boolean> {
    return (await this.context.store.get(PLANNER_KEY)).isOk();
  }

  private plan(
    candidates: ReadonlyMap<string, readonly Candidate[]>,
  ): Handover[] {
    const handovers = [...candidates].flatMap(([service, list]) =>
      this.planService(service, list)
    );
    handovers
      .map((handover) => handover.move.from)
      .filter((from, index, all) => all.indexOf(from) === index)
      .forEach((session) => {
        const partitions = handovers.filter(({ move }) =>
          move.from === session
        ).length;
        this.context.logger.log("handover_started", { session, partitions });
      });
    return handovers;
  }

  private planService(
    service: string,
    candidates: readonly Candidate[],
  ): Handover[] {
    const owned = this.ownedPartitions(service);
    const candidateIds = new Set(
      candidates.map((candidate) => candidate.session),
    );
    const { fleet } = this.context;
    const draining = new Set(
      [...new Set(owned.map((partition) => partition.owner))].filter((id) => {
        const session = fleet.session(id);
        const isDraining = session?.draining === true ||
          fleet.state.drains.has(session?.host ?? "");
        return session?.state === "open" && isDraining && !candidateIds.has(id);
      }),
    );
    const released = new Map(
      this.context.reports.all().flatMap(({ report }) =>
        report.released.filter((item) => item.service === service).map((
          item,
        ) => [item.partition, Number(item.token)])
      ),
    );
    const releasedPartitions = owned.filter(({ partition, token }) =>
      released.get(partition) === token
    );
    const moves = planMoves(
      owned.filter((partition) => !releasedPartitions.includes(partition)),
      {
        candidates,
        draining,
        maximumMoves: Math.ceil(owned.length * MAX_MOVED_SHARE),
      },
    );
    const reassignments = candidates.length === 0
      ? []
      : releasedPartitions.map((partition, index): Move => ({
        partition: partition.partition,
        token: partition.token,
        from: partition.owner,
        to: (candidates[index % candidates.length] as Candidate).session,
      }));
    return limitBatches([...reassignments, ...moves])
      .map((move) => ({ service, move, state: HANDOVER_CHART.initial }));
  }

  private ownedPartitions(service: string): OwnedPartition[] {
    const rates = new Map(
      this.context.reports.all().flatMap(({ report }) =>
        report.loads.filter((load) => load.service === service).map((
          load,
        ) => [load.partition, load.rate])
      ),
    );
    return this.shardsOf(service).flatMap(({ record }) =>
      ownersOf(record).flatMap((owner, index) => {
        const partition = record.first + index;
        const load = 1 + (rates.get(partition) ?? 0);
        return owner === undefined
          ? []
          : [{ partition, token: record.tokens[index] ?? 0, owner, load }];
      })
    );
  }

  private shardsOf(service: string): Versioned<TableShard>[] {
    return this.context.fleet.state.shards.filter(({ record }) =>
      record.service === service
    );
  }

  private async releaseAll(): Promise<void> {
    const pending = this.handovers.filter((handover) =>
      handover.state === "releasing"
    );
    const owners = [...new Set(pending.map(({ move }) => move.from))];
    await Promise.all(
      owners.map((owner) =>
        this.releaseFrom(
          owner,
          pending.filter(({ move }) => move.from === owner),
        )
      ),
    );
  }

  private async releaseFrom(
    owner: string,
    handovers: readonly Handover[],
  ): Promise<void> {
    const session = this.context.fleet.session(owner);
    if (session?.state !== "open") {
      handovers.forEach((handover) => applyEvent(handover, "OWNER_LOST"));
      return;
    }
    const assignments = handovers.map(({ service, move }) => ({
      service,
      partition: move.partition,
      token: BigInt(move.token),
    }));
    const response = await this.context.clients.call(session.control_address, {
      step: "handover_runner.release",
      send: (client, options) =>
        client.release({ session: owner, assignments }, options),
    });
    if (response.isErr()) {
      return;
    }
    const released = new Set(
      response.value.released.map((item) =>
        `${item.service}/${item.partition}`
      ),
    );
    handovers
      .filter(({ service, move }) =>
        released.has(`${service}/${move.partition}`)
      )
      .forEach((handover) => applyEvent(handover, "RELEASED"));
  }

  private async assignReleased(): Promise<void> {
    const released = this.handovers.filter((handover) =>
      handover.state === "assigning"
    );
    const services = [...new Set(released.map(({ service }) => service))];
    const shards = services.flatMap((service) => this.shardsOf(service));
    await Promise.all(shards.map((shard) => this.writeShard(shard, released)));
  }

  private async writeShard(
    shard: Versioned<TableShard>,
    released: readonly Handover[],
  ): Promise<void> {
    const { record } = shard;
    const end = record.first + record.owners.length;
    const inShard = released.filter(({ service, move }) =>
      service === record.service && move.partition >= record.first &&
      move.partition < end
    );
    // A release applies to one assignment only; a newer token in the table makes the handover invalid.
    const current = inShard.filter(({ move }) =>
      record.tokens[move.partition - record.first] === move.token
    );
    inShard.filter((handover) => !current.includes(handover)).forEach((
      handover,
    ) => applyEvent(handover, "CONFLICT"));
    const changes = current.map(({ move }) => ({
      partition: move.partition,
      owner: move.to,
    }));
    const next = rewriteShard(record, {
      changes,
      reason: describeReason(current),
      nowMs: wallClockMs(),
    });
    if (next === undefined) {
      return;
    }
    const written = await writeAndVerify(this.context.store, {
      key: tableKey(record.service, record.first),
      value: JSON.stringify(next),
      expectedRevision: shard.revision,
    });
    if (written.isOk()) {
      current.forEach((handover) => applyEvent(handover, "ASSIGNED"));
      const { service, first, version } = next;
      this.context.logger.log("handover_finished", {
        service,
        first,
        version,
        partitions: changes.length,
      });
    }
  }

  private dropFinished(): void {
    const failed = this.handovers.filter((handover) =>
      handover.state === "failed"
    );
    if (failed.length > 0) {
      this.context.logger.log("handover_failed", { partitions: failed.length });
    }
    this.handovers = this.handovers.filter(({ state }) =>
      state === "releasing" || state === "assigning"
    );
  }
}

function applyEvent(handover: Handover, event: string): void {
  handover.state = HANDOVER_CHART.next(handover.state, event);
}

function describeReason(handovers: readonly Handover[]): string {
  const owners = [...new Set(handovers.map(({ move }) => move.from))];
  return `handover from ${owners.slice(0, 3).join(", ")}${
    owners.length > 3 ? ", ..." : ""
  }`;
}

function limitBatches(moves: readonly Move[]): Move[] {
  const counts = new Map<string, number>();
  return moves.filter((move) => {
    const count = counts.get(move.from) ?? 0;
    counts.set(move.from, count + 1);
    return count < MAX_BATCH_PARTITIONS;
  });
}
