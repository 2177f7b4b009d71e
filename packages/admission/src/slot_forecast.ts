/**
 * Forecasts when slots of a backend server become free.
 *
 * @module
 */
import type { ServerLoadEstimator } from "./server_load_estimator.ts";
import {
  bestStartMs,
  type ColdEstimate,
  serviceMsAt,
  type WorkRequest,
} from "./work_request.ts";

/** Lower bound of `maxTypicalMs`, in milliseconds, whatever the estimate. */
const MIN_MAX_TYPICAL_MS = 1;
/** Durations of requests of one route typically vary by up to this factor; few take longer. */
const TYPICAL_SPREAD_FACTOR = 1.3;
/** Minimum remaining time of a running request, as a share of its estimate. */
const MIN_REMAINING_SHARE = 0.2;

/** A request that holds a slot. */
export interface RunningRequest {
  readonly rank: number;
  readonly startedAtMs: number;
  readonly estimateMs: number;
}

/** Requests that hold slots of one backend server, and how much longer than their estimates they take there now. */
interface ServerState {
  readonly running: Iterable<RunningRequest>;
  readonly load: ServerLoadEstimator;
  readonly nowMs: number;
}

/** Simulates the slots of one backend server: each request takes the slot that becomes free first. */
export class SlotForecast {
  /** When each slot becomes free, in milliseconds from now at the mean speed of the server. */
  private readonly freeInMs: number[];
  private readonly slowdown: number;

  private constructor(private readonly state: ServerState & { slots: number }) {
    const { load, slots, nowMs } = state;
    const running = [...state.running];
    const remaining = running.map((request) => {
      const { startedAtMs } = request;
      const run = { startedAtMs, endedAtMs: nowMs };
      return remainingMsOf(request, load.meanSpeedMs(run));
    });
    const free = Array.from(
      { length: Math.max(0, slots - remaining.length) },
      () => 0,
    );
    this.freeInMs = [...remaining, ...free];
    this.slowdown = overrunOf({ running, load, nowMs });
  }

  /** Creates a forecast in which only the running requests hold slots. */
  static create(state: ServerState & { slots: number }): SlotForecast {
    return new SlotForecast(state);
  }

  /** Expected wait of the next request, in milliseconds; infinite without slots. */
  get waitMs(): number {
    const { load, slots, nowMs } = this.state;
    return slots === 0
      ? Infinity
      : load.durationMs(this.freeInMs[indexOfMin(this.freeInMs)]!, nowMs);
  }

  /** Adds a request, which the next one waits behind. */
  add(request: WorkRequest): void {
    const { nowMs, slots } = this.state;
    if (slots === 0) {
      return;
    }
    const earliest = indexOfMin(this.freeInMs);
    const startMs = bestStartMs(request, nowMs + this.freeInMs[earliest]!);
    const slowdown = request.coldEstimate === undefined ? this.slowdown : 1;
    this.freeInMs[earliest] = startMs - nowMs +
      serviceMsAt(request, startMs) * slowdown;
  }
}

/**
 * The request, with its estimate at the current speed of the server: as the server states it, and scaled by how far the
 * running requests exceed their estimates. Estimates come from requests that have ended. When a server has just become
 * slow, for example after a restart, none has ended yet, and without this the queue would admit many more requests than
 * the server can finish before their deadlines.
 */
export function scaledBySlowdown(
  request: WorkRequest,
  { running, load, nowMs }: ServerState,
): WorkRequest {
  const slowdown = overrunOf({ running, load, nowMs });
  const { coldEstimate } = request;
  const estimateMs = load.durationMs(request.estimateMs * slowdown, nowMs);
  if (estimateMs === request.estimateMs) {
    return request;
  }
  return coldEstimate === undefined ? { ...request, estimateMs } : {
    ...request,
    estimateMs,
    coldEstimate: scaledUntilWarm(coldEstimate, { slowdown, nowMs }),
  };
}

/** Factor by which the running requests exceed their typical durations; at least 1. */
export function overrunOf({ running, load, nowMs }: ServerState): number {
  const work = [...running].map((other) => ({
    startedAtMs: other.startedAtMs,
    maxTypicalMs: maxTypicalMs(other),
  }));
  return load.overrunFactor(work, nowMs);
}

/** The estimate, scaled for starts before the server or the key becomes warm. */
function scaledUntilWarm(
  estimate: ColdEstimate,
  { slowdown, nowMs }: { slowdown: number; nowMs: number },
): ColdEstimate {
  const { warmAtMs } = estimate;
  const nextWarmAtMs = warmAtMs.find((atMs) => atMs > nowMs) ?? nowMs;
  return {
    warmAtMs,
    at: (startMs) =>
      estimate.at(startMs) * (startMs < nextWarmAtMs ? slowdown : 1),
    isMeasured: (startMs) => estimate.isMeasured(startMs),
  };
}

/**
 * Expected remaining time of a running request, in milliseconds. A request that is far overdue is expected to take as
 * much longer again as it is already overdue.
 *
 * @param ranMs for how long it has run, at the mean speed of the server.
 */
function remainingMsOf(running: RunningRequest, ranMs: number): number {
  const { estimateMs } = running;
  const overdueMs = Math.max(0, ranMs - maxTypicalMs(running));
  return Math.max(
    estimateMs - ranMs,
    estimateMs * MIN_REMAINING_SHARE + overdueMs,
  );
}

/** Longest typical duration of a request, in milliseconds; beyond it the server is assumed to be slow. */
function maxTypicalMs({ estimateMs }: RunningRequest): number {
  return Math.max(MIN_MAX_TYPICAL_MS, estimateMs * TYPICAL_SPREAD_FACTOR);
}

function indexOfMin(numbers: readonly number[]): number {
  return numbers.reduce(
    (minIndex, number, index) => number < numbers[minIndex]! ? index : minIndex,
    0,
  );
}
