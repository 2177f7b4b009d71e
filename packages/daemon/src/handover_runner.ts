/**
 * Planned handovers: the old owner stops admitting and finishes what it runs, then the table changes.
 * Nothing waits for an expiry.
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

/** Plans are made this often, in milliseconds. */
const PLAN_EVERY_MS = 1_000;
/** The largest share of a service's partitions that one plan moves beyond what leaving owners force. */
const MAXIMUM_CHURN = 0.01;
/** The most partitions that are asked from one owner at a time, so that few keys pause at once. */
const BATCH = 256;

interface Handover {
  readonly service: string;
  readonly move: Move;
  state: string;
}

/** What the runner needs. */
export interface HandoverContext {
  readonly store: Store;
  readonly fleet: Fleet;
  readonly clients: PeerClients;
  readonly logger: Logger;
  readonly reports: ReportRegistry;
}

/** Runs the handovers of one planner's term. */
export class HandoverRunner {
  private handovers: Handover[] = [];
  private nextPlanMs = 0;

  private constructor(private readonly context: HandoverContext) {}

  /** Creates a runner without handovers. */
  static create(context: HandoverContext): HandoverRunner {
    return new HandoverRunner(context);
  }

  /** Plans, asks owners to release, and writes what they released. */
  async run(
    nowMs: number,
    candidates: ReadonlyMap<string, readonly Candidate[]>,
  ): Promise<void> {
    if (nowMs >= this.nextPlanMs && this.handovers.length === 0) {
      this.nextPlanMs = nowMs + PLAN_EVERY_MS;
      this.handovers = this.plan(candidates);
    }
    if (this.handovers.length === 0 || !await this.isStoreThere()) {
      return;
    }
    await this.releaseAll();
    await this.assignReleased();
    this.dropFinished();
  }

  /**
   * Whether the store answers right now.
   *
   * What goes wrong without asking: an owner releases partitions, the store is down, and nobody owns
   * them until it is back. It shows as keys without an owner for as long as the outage lasts.
   */
  private async isStoreThere(): Promise<boolean> {
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
    const staying = new Set(candidates.map((candidate) => candidate.session));
    const { fleet } = this.context;
    const leaving = new Set(
      [...new Set(owned.map((partition) => partition.owner))].filter((id) => {
        const session = fleet.session(id);
        const drains = session?.draining === true ||
          fleet.state.drains.has(session?.host ?? "");
        return session?.state === "open" && drains && !staying.has(id);
      }),
    );
    const released = new Map(
      this.context.reports.all().flatMap(({ report }) =>
        report.released.filter((item) => item.service === service).map((
          item,
        ) => [item.partition, Number(item.token)])
      ),
    );
    const lost = owned.filter(({ partition, token }) =>
      released.get(partition) === token
    );
    const moves = planMoves(
      owned.filter((partition) => !lost.includes(partition)),
      {
        candidates,
        leaving,
        maximumMoves: Math.ceil(owned.length * MAXIMUM_CHURN),
      },
    );
    const repairs = candidates.length === 0
      ? []
      : lost.map((partition, index): Move => ({
        partition: partition.partition,
        token: partition.token,
        from: partition.owner,
        to: (candidates[index % candidates.length] as Candidate).session,
      }));
    return boundBatches([...repairs, ...moves])
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
    const waiting = this.handovers.filter((handover) =>
      handover.state === "releasing"
    );
    const owners = [...new Set(waiting.map(({ move }) => move.from))];
    await Promise.all(
      owners.map((owner) =>
        this.releaseFrom(
          owner,
          waiting.filter(({ move }) => move.from === owner),
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
      handovers.forEach((handover) => step(handover, "OWNER_LOST"));
      return;
    }
    const assignments = handovers.map(({ service, move }) => ({
      service,
      partition: move.partition,
      token: BigInt(move.token),
    }));
    const answer = await this.context.clients.call(session.control_address, {
      step: "handover_runner.release",
      send: (client, options) =>
        client.release({ session: owner, assignments }, options),
    });
    if (answer.isErr()) {
      return;
    }
    const released = new Set(
      answer.value.released.map((item) => `${item.service}/${item.partition}`),
    );
    handovers
      .filter(({ service, move }) =>
        released.has(`${service}/${move.partition}`)
      )
      .forEach((handover) => step(handover, "RELEASED"));
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
    const own = released.filter(({ service, move }) =>
      service === record.service && move.partition >= record.first &&
      move.partition < end
    );
    // The release is for one assignment only; if the table has moved on, the handover is void.
    const current = own.filter(({ move }) =>
      record.tokens[move.partition - record.first] === move.token
    );
    own.filter((handover) => !current.includes(handover)).forEach((handover) =>
      step(handover, "CONFLICT")
    );
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
      current.forEach((handover) => step(handover, "ASSIGNED"));
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

function step(handover: Handover, event: string): void {
  handover.state = HANDOVER_CHART.next(handover.state, event);
}

function describeReason(handovers: readonly Handover[]): string {
  const owners = [...new Set(handovers.map(({ move }) => move.from))];
  return `handover from ${owners.slice(0, 3).join(", ")}${
    owners.length > 3 ? ", ..." : ""
  }`;
}

function boundBatches(moves: readonly Move[]): Move[] {
  const taken = new Map<string, number>();
  return moves.filter((move) => {
    const count = taken.get(move.from) ?? 0;
    taken.set(move.from, count + 1);
    return count < BATCH;
  });
}
