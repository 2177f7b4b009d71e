/**
 * A discrete-event simulation of callers, the daemons that they reach first, and the backend servers of one service.
 *
 * The queues beside the servers are the real decision code; callers, the network, reports and servers are simulated. A
 * caller retries a refused request once.
 *
 * @module
 */
import { EventQueue } from "@bamboolink/simulation";
import { createRetryAfterSampler } from "../retry_after_sampler.ts";
import { type QueueChanges, WorkQueue } from "../work_queue.ts";
import {
  type AdmissionFigures,
  type AdmissionScenario,
  drawWorkFactor,
  type RequestKind,
} from "./admission_model.ts";

/** One-way delay between two daemons, in milliseconds. */
const HOP_MS = 1;
/** Interval and delay of the reports on each server, in milliseconds. */
const REPORT_INTERVAL_MS = 500;
const REPORT_DELAY_MS = 100;
/** Relative jitter of the scores by which daemons choose a server. */
const SCORE_JITTER = 0.15;
/** Interval at which the queue of each server is advanced, in milliseconds. */
const ADVANCE_INTERVAL_MS = 50;
/** Maximum attempts of one request, including refused ones. */
const MAX_ROUNDS = 4;
/** Retries with less than this share of the work left to the deadline are not made. */
const MIN_RETRY_SHARE = 0.8;
/** Callers ignore a delay of more than this share of their remaining time, and then retry after the default. */
const MAX_DELAY_SHARE = 1 / 3;
const DEFAULT_DELAY_MS = 50;
interface SimulatedRequest {
  readonly id: number;
  readonly kind: RequestKind;
  readonly daemon: number;
  readonly owner: number | undefined;
  readonly workFactor: number;
  readonly firstSentAtMs: number;
  attempts: number;
}

interface SimulatedServer {
  readonly speed: number;
  readonly queue: WorkQueue;
  readonly waiting: Map<
    number,
    (outcome: "run" | number, nowMs: number) => void
  >;
}

/** What a daemon uses to place requests without keys. */
interface PlacementInfo {
  waitMs: number;
  sentSince: number;
}

/** The simulated service, its daemons and callers. */
export class AdmissionSimulation {
  private readonly events = EventQueue.create();
  private readonly servers: SimulatedServer[];
  private readonly placement: PlacementInfo[][];
  private readonly sampleRetryAfterMs: ReturnType<
    typeof createRetryAfterSampler
  >;
  private readonly figures: AdmissionFigures;
  private lastId = 0;

  private constructor(private readonly scenario: AdmissionScenario) {
    const { speeds, slots, daemons, kinds } = scenario;
    this.servers = speeds.map((speed) => {
      const queue = WorkQueue.create();
      queue.setSlots(slots);
      return {
        speed,
        queue,
        waiting: new Map(),
      };
    });
    this.sampleRetryAfterMs = createRetryAfterSampler(scenario.callerRandom);
    this.placement = Array.from(
      { length: daemons },
      () => speeds.map(() => ({ waitMs: 0, sentSince: 0 })),
    );
    const rankCount = Math.max(...kinds.map(({ rank }) => rank)) + 1;
    this.figures = {
      ranks: Array.from(
        { length: rankCount },
        () => ({ requests: 0, onTime: 0, late: 0 }),
      ),
      requests: 0,
      onTime: 0,
      late: 0,
      retries: 0,
      servedRetries: 0,
      wastedAttempts: 0,
      worstWaitMs: 0,
    };
  }

  /** Runs a scenario. */
  static run(scenario: AdmissionScenario): AdmissionFigures {
    const simulation = new AdmissionSimulation(scenario);
    scenario.kinds.forEach((kind) => simulation.scheduleArrival(kind, 0));
    simulation.servers.forEach((_, index) => {
      simulation.scheduleReport(index, index * 37 % REPORT_INTERVAL_MS);
      simulation.scheduleAdvance(index, index);
    });
    simulation.events.runAll();
    return simulation.figures;
  }

  private scheduleArrival(kind: RequestKind, nowMs: number): void {
    const { durationMs, random, loadAt } = this.scenario;
    const perMs = kind.perSecond * loadAt(nowMs) / 1_000;
    const nextMs = nowMs - Math.log(1 - random()) / perMs;
    if (nextMs < durationMs) {
      this.events.at(nextMs, () => {
        this.arrive(kind, nextMs);
        this.scheduleArrival(kind, nextMs);
      });
    }
  }

  private scheduleReport(index: number, atMs: number): void {
    if (atMs > this.scenario.durationMs) {
      return;
    }
    this.events.at(atMs, () => {
      const waitMs = this.waitAt(index, atMs);
      this.events.at(
        atMs + REPORT_DELAY_MS,
        () =>
          this.placement.forEach((_, daemon) =>
            this.deliver(daemon, index, waitMs)
          ),
      );
      this.scheduleReport(index, atMs + REPORT_INTERVAL_MS);
    });
  }

  private scheduleAdvance(index: number, atMs: number): void {
    const { queue } = this.servers[index]!;
    if (atMs > this.scenario.durationMs && queue.waitingCount === 0) {
      return;
    }
    this.events.at(atMs, () => {
      this.applyChanges(index, queue.advance(atMs), atMs);
      this.scheduleAdvance(index, atMs + ADVANCE_INTERVAL_MS);
    });
  }

  private waitAt(index: number, nowMs: number): number {
    return this.servers[index]!.queue.waitMs(nowMs);
  }

  private deliver(daemon: number, index: number, waitMs: number): void {
    const info = this.placement[daemon]![index]!;
    info.waitMs = waitMs;
    info.sentSince = 0;
  }

  private arrive(kind: RequestKind, nowMs: number): void {
    const { random, daemons, ownerAt } = this.scenario;
    this.lastId += 1;
    const request: SimulatedRequest = {
      id: this.lastId,
      kind,
      daemon: Math.floor(random() * daemons),
      owner: ownerAt?.(nowMs, random()),
      workFactor: drawWorkFactor(random),
      firstSentAtMs: nowMs,
      attempts: 0,
    };
    this.figures.requests += 1;
    this.figures.ranks[kind.rank]!.requests += 1;
    this.send(request, nowMs);
  }

  /** The caller sends a request for the first or the second time. */
  private send(request: SimulatedRequest, nowMs: number): void {
    request.attempts += 1;
    this.attempt(request, { round: 0, tried: new Set() }, nowMs);
  }

  private attempt(
    request: SimulatedRequest,
    at: { round: number; tried: ReadonlySet<number> },
    nowMs: number,
  ): void {
    const { daemon } = request;
    const index = request.owner ?? this.choose(request, at.tried);
    this.placement[daemon]![index]!.sentSince += 1;
    this.events.at(
      nowMs + HOP_MS,
      (arrivedAtMs) =>
        this.offer(index, request, arrivedAtMs, (waitMs, endedAtMs) => {
          const reportedWaitMs = this.waitAt(index, endedAtMs);
          this.events.at(endedAtMs + HOP_MS, (returnedAtMs) => {
            this.deliver(daemon, index, reportedWaitMs);
            if (waitMs !== undefined) {
              const tried = new Set([...at.tried, index]);
              this.handleRefusal(
                request,
                { round: at.round, tried, waitMs },
                returnedAtMs,
              );
            }
          });
        }),
    );
  }

  /** Handles the refusal of a queue: tries another server if it is expected to be on time, or refuses the caller. */
  private handleRefusal(
    request: SimulatedRequest,
    at: { round: number; tried: ReadonlySet<number>; waitMs: number },
    nowMs: number,
  ): void {
    this.figures.wastedAttempts += 1;
    const { round, tried, waitMs } = at;
    const { kind, firstSentAtMs } = request;
    if (
      request.owner === undefined && round + 1 < MAX_ROUNDS &&
      tried.size < this.servers.length
    ) {
      const next = this.choose(request, tried);
      const expectedMs = this.expectedMs(request, next);
      if (nowMs + expectedMs < firstSentAtMs + kind.objectiveMs) {
        this.attempt(request, { round: round + 1, tried }, nowMs);
        return;
      }
    }
    const delayMs = this.sampleRetryAfterMs({
      waitMs,
      objectiveRemainingMs: firstSentAtMs + kind.objectiveMs - nowMs,
      remainingMs: firstSentAtMs + kind.deadlineMs - nowMs,
      isTransient: false,
    });
    this.comeBack(request, { delayMs, nowMs });
  }

  private comeBack(
    request: SimulatedRequest,
    at: { delayMs: number; nowMs: number },
  ): void {
    const { delayMs, nowMs } = at;
    const { firstSentAtMs, kind } = request;
    const remainingMs = firstSentAtMs + kind.deadlineMs - nowMs;
    const waitMs = delayMs <= remainingMs * MAX_DELAY_SHARE
      ? delayMs
      : DEFAULT_DELAY_MS;
    if (
      request.attempts === 1 &&
      remainingMs - waitMs > kind.workMs * MIN_RETRY_SHARE
    ) {
      this.figures.retries += 1;
      this.events.at(nowMs + waitMs, (atMs) => this.send(request, atMs));
    }
  }

  private choose(
    request: SimulatedRequest,
    tried: ReadonlySet<number>,
  ): number {
    const { placementRandom } = this.scenario;
    return this.servers
      .map((_, index) => ({
        index,
        score: this.expectedMs(request, index) *
          (1 + SCORE_JITTER * placementRandom()),
      }))
      .filter(({ index }) => !tried.has(index))
      .reduce((best, scored) => scored.score < best.score ? scored : best)
      .index;
  }

  private expectedMs({ kind, daemon }: SimulatedRequest, index: number) {
    const { waitMs, sentSince } = this.placement[daemon]![index]!;
    const serviceMs = kind.workMs / this.servers[index]!.speed;
    return serviceMs + waitMs + sentSince * serviceMs / this.scenario.slots;
  }

  /** Offers a request to a queue. `onEnd` is called with its wait if it is refused. */
  private offer(
    index: number,
    request: SimulatedRequest,
    nowMs: number,
    onEnd: (refusedWaitMs: number | undefined, nowMs: number) => void,
  ): void {
    const server = this.servers[index]!;
    const { kind, firstSentAtMs } = request;
    this.lastId += 1;
    const id = this.lastId;
    const estimateMs = kind.workMs / server.speed;
    const decision = server.queue.offer({
      id,
      rank: kind.rank,
      objectiveAtMs: firstSentAtMs + kind.objectiveMs,
      deadlineAtMs: firstSentAtMs + kind.deadlineMs,
      estimateMs,
      mayEndLate: true,
    }, nowMs);
    const start = (startedAtMs: number) => {
      const endsAtMs = startedAtMs + estimateMs * request.workFactor;
      this.events.at(endsAtMs, () => {
        this.recordServed(request, { startedAtMs, endsAtMs });
        onEnd(undefined, endsAtMs);
        this.applyChanges(index, server.queue.finish(id, endsAtMs), endsAtMs);
      });
    };
    if (decision.kind === "run") {
      start(nowMs);
    } else if (decision.kind === "refuse") {
      onEnd(decision.waitMs, nowMs);
    } else {
      server.waiting.set(
        id,
        (outcome, atMs) =>
          outcome === "run" ? start(atMs) : onEnd(outcome, atMs),
      );
    }
  }

  private applyChanges(
    index: number,
    changes: QueueChanges,
    nowMs: number,
  ): void {
    const { waiting, queue } = this.servers[index]!;
    const resolve = (id: number, outcome: "run" | number) => {
      const listener = waiting.get(id);
      waiting.delete(id);
      listener?.(outcome, nowMs);
    };
    changes.run.forEach((id) => resolve(id, "run"));
    changes.refuse.forEach(({ id }) => resolve(id, queue.waitMs(nowMs)));
  }

  private recordServed(
    request: SimulatedRequest,
    times: { startedAtMs: number; endsAtMs: number },
  ): void {
    const { kind, firstSentAtMs } = request;
    const tookMs = times.endsAtMs + HOP_MS - firstSentAtMs;
    if (tookMs > kind.deadlineMs) {
      return;
    }
    const rank = this.figures.ranks[kind.rank]!;
    const field = tookMs <= kind.objectiveMs ? "onTime" : "late";
    this.figures[field] += 1;
    this.figures.servedRetries += request.attempts > 1 ? 1 : 0;
    rank[field] += 1;
    this.figures.worstWaitMs = Math.max(
      this.figures.worstWaitMs,
      times.startedAtMs - firstSentAtMs,
    );
  }
}
