/**
 * A discrete-event simulation of callers, the daemons that they reach first, and the backend servers of one service.
 *
 * The queues beside the servers are the real decision code, or rules that it is compared with; callers, the network,
 * reports and servers are simulated.
 *
 * @module
 */
import { EventQueue } from "@bamboolink/simulation";
import { type QueueChanges, WorkQueue } from "../work_queue.ts";
import {
  type AdmissionFigures,
  type AdmissionScenario,
  drawWorkFactor,
  type KindFigures,
  type QueueFactory,
  type RequestKind,
  type SimulatedQueue,
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
/** Maximum attempts at servers for one attempt of a caller, including refused ones. */
const MAX_ROUNDS = 4;
/** Callers honour a delay of up to this share of their remaining time; those that don't repeat after the default. */
const HONOURED_SHARE = 1 / 3;
const DEFAULT_DELAY_MS = 50;

interface SimulatedRequest {
  readonly id: number;
  readonly kind: RequestKind;
  readonly figures: KindFigures;
  readonly daemon: number;
  readonly owner: number | undefined;
  readonly workFactor: number;
  readonly firstSentAtMs: number;
  sentAtMs: number;
  retries: number;
  /** Whether this attempt was sent at the time that the caller was told. */
  isAtToldTime: boolean;
}

interface SimulatedServer {
  readonly speed: number;
  readonly queue: SimulatedQueue;
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
  private readonly figures: AdmissionFigures;
  private lastId = 0;

  private constructor(
    private readonly scenario: AdmissionScenario,
    createQueue: QueueFactory,
  ) {
    const { speeds, slots, daemons, kinds, callerRandom } = scenario;
    this.servers = speeds.map((speed) => ({
      speed,
      queue: createQueue(slots, callerRandom),
      waiting: new Map(),
    }));
    this.placement = Array.from(
      { length: daemons },
      () => speeds.map(() => ({ waitMs: 0, sentSince: 0 })),
    );
    this.figures = {
      kinds: kinds.map(() => ({
        requests: 0,
        served: 0,
        servedMs: [],
        refusedMs: [],
        leftMs: [],
        toldRetries: 0,
        servedToldRetries: 0,
      })),
      wastedAttempts: 0,
    };
  }

  /** Runs a scenario with a queue beside each server. */
  static run(
    scenario: AdmissionScenario,
    createQueue: QueueFactory = createWorkQueue,
  ): AdmissionFigures {
    const simulation = new AdmissionSimulation(scenario, createQueue);
    scenario.kinds.forEach((_, index) => simulation.scheduleArrival(index, 0));
    simulation.servers.forEach((_, index) => {
      simulation.scheduleReport(index, index * 37 % REPORT_INTERVAL_MS);
      simulation.scheduleAdvance(index, index);
    });
    simulation.events.runAll();
    return simulation.figures;
  }

  private scheduleArrival(index: number, nowMs: number): void {
    const { durationMs, random, loadAt, kinds } = this.scenario;
    const perMs = kinds[index]!.perSecond * loadAt(nowMs) / 1_000;
    const nextMs = nowMs - Math.log(1 - random()) / perMs;
    if (nextMs < durationMs) {
      this.events.at(nextMs, () => {
        this.arrive(index, nextMs);
        this.scheduleArrival(index, nextMs);
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

  private arrive(index: number, nowMs: number): void {
    const { random, daemons, ownerAt, kinds } = this.scenario;
    this.lastId += 1;
    const figures = this.figures.kinds[index]!;
    figures.requests += 1;
    this.send({
      id: this.lastId,
      kind: kinds[index]!,
      figures,
      daemon: Math.floor(random() * daemons),
      owner: ownerAt?.(nowMs, random()),
      workFactor: drawWorkFactor(random),
      firstSentAtMs: nowMs,
      sentAtMs: nowMs,
      retries: 0,
      isAtToldTime: false,
    }, nowMs);
  }

  /** The caller sends a request, for the first time or again. */
  private send(request: SimulatedRequest, nowMs: number): void {
    request.sentAtMs = nowMs;
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
        this.offer(index, request, arrivedAtMs, (retryMs, endedAtMs) => {
          const reportedWaitMs = this.waitAt(index, endedAtMs);
          this.events.at(endedAtMs + HOP_MS, (returnedAtMs) => {
            this.deliver(daemon, index, reportedWaitMs);
            if (retryMs !== undefined) {
              const tried = new Set([...at.tried, index]);
              this.handleRefusal(
                request,
                { round: at.round, tried, retryMs },
                returnedAtMs,
              );
            }
          });
        }),
    );
  }

  /** Handles the refusal of a queue: tries another server if that one is expected to have room, or refuses the caller. */
  private handleRefusal(
    request: SimulatedRequest,
    at: { round: number; tried: ReadonlySet<number>; retryMs: number },
    nowMs: number,
  ): void {
    this.figures.wastedAttempts += 1;
    const { round, tried, retryMs } = at;
    if (
      request.owner === undefined && round + 1 < MAX_ROUNDS &&
      tried.size < this.servers.length
    ) {
      const next = this.choose(request, tried);
      if (this.mayHaveRoom(request, next, nowMs)) {
        this.attempt(request, { round: round + 1, tried }, nowMs);
        return;
      }
    }
    this.comeBack(request, { retryMs, nowMs });
  }

  private comeBack(
    request: SimulatedRequest,
    { retryMs, nowMs }: { retryMs: number; nowMs: number },
  ): void {
    const { maxRetries, heedsRetryAfter } = this.scenario.habits;
    const { firstSentAtMs, sentAtMs, kind, figures } = request;
    const leftMs = firstSentAtMs + kind.deadlineMs - nowMs;
    figures.refusedMs.push(nowMs - sentAtMs);
    figures.leftMs.push(leftMs);
    const isAtToldTime = heedsRetryAfter && retryMs <= leftMs * HONOURED_SHARE;
    const delayMs = isAtToldTime ? retryMs : DEFAULT_DELAY_MS;
    if (request.retries < maxRetries && leftMs - delayMs > kind.workMs) {
      request.retries += 1;
      request.isAtToldTime = isAtToldTime;
      figures.toldRetries += isAtToldTime ? 1 : 0;
      this.events.at(nowMs + delayMs, (atMs) => this.send(request, atMs));
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

  /** Whether another server may serve a request that one has refused. A full queue may have room for urgent requests. */
  private mayHaveRoom(
    request: SimulatedRequest,
    index: number,
    nowMs: number,
  ): boolean {
    const { kind, daemon, firstSentAtMs } = request;
    const leastUrgent = Math.max(
      ...this.scenario.kinds.map(({ rank }) => rank),
    );
    const { waitMs } = this.placement[daemon]![index]!;
    return kind.rank < leastUrgent
      ? nowMs + this.expectedMs(request, index) <
        firstSentAtMs + kind.deadlineMs
      : waitMs <= this.serviceMs(request, index);
  }

  private serviceMs({ kind }: SimulatedRequest, index: number): number {
    return kind.workMs / this.servers[index]!.speed;
  }

  private expectedMs(request: SimulatedRequest, index: number): number {
    const { waitMs, sentSince } = this.placement[request.daemon]![index]!;
    const serviceMs = this.serviceMs(request, index);
    return serviceMs + waitMs + sentSince * serviceMs / this.scenario.slots;
  }

  /** Offers a request to a queue. `onEnd` is called with the time to come back if it is refused. */
  private offer(
    index: number,
    request: SimulatedRequest,
    nowMs: number,
    onEnd: (retryMs: number | undefined, nowMs: number) => void,
  ): void {
    const server = this.servers[index]!;
    const { kind, firstSentAtMs } = request;
    this.lastId += 1;
    const id = this.lastId;
    const estimateMs = this.serviceMs(request, index);
    const decision = server.queue.offer({
      id,
      rank: kind.rank,
      deadlineAtMs: firstSentAtMs + kind.deadlineMs,
      estimateMs,
      blocksOthers: false,
    }, nowMs);
    const start = (startedAtMs: number) => {
      const endsAtMs = startedAtMs + estimateMs * request.workFactor;
      this.events.at(endsAtMs, () => {
        recordServed(request, endsAtMs);
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
    const { waiting } = this.servers[index]!;
    const resolve = (id: number, outcome: "run" | number) => {
      const listener = waiting.get(id);
      waiting.delete(id);
      listener?.(outcome, nowMs);
    };
    changes.run.forEach((id) => resolve(id, "run"));
    changes.refuse.forEach(({ id, waitMs }) => resolve(id, waitMs));
  }
}

/** The queue that daemons use. */
export function createWorkQueue(
  slots: number,
  random: () => number,
): WorkQueue {
  const queue = WorkQueue.create(undefined, undefined, random);
  queue.setSlots(slots);
  return queue;
}

function recordServed(request: SimulatedRequest, endsAtMs: number): void {
  const { kind, firstSentAtMs, figures, isAtToldTime } = request;
  const tookMs = endsAtMs + HOP_MS - firstSentAtMs;
  if (tookMs <= kind.deadlineMs) {
    figures.served += 1;
    figures.servedMs.push(tookMs);
    figures.servedToldRetries += isAtToldTime ? 1 : 0;
  }
}
