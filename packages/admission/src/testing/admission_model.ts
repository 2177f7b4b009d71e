/**
 * The types that the simulation of admission, its scenarios and the compared rules have in common.
 *
 * @module
 */
import type { WorkQueue } from "../work_queue.ts";

/** Work of a request relative to the mean of its kind. */
const MIN_WORK_FACTOR = 0.6;
const WORK_FACTOR_RANGE = 0.8;

/** Requests with the same needs. */
export interface RequestKind {
  readonly rank: number;
  /** Requests per second at a load of 1. */
  readonly perSecond: number;
  /** Mean service time at a server of speed 1, in milliseconds. */
  readonly workMs: number;
  /** How long its caller waits in all, in milliseconds. */
  readonly deadlineMs: number;
}

/** What callers do that are refused. */
export interface CallerHabits {
  /** How often a caller repeats a refused request. */
  readonly maxRetries: number;
  /** Whether it honours `Retry-After`, up to a third of its remaining time; otherwise it retries after 50 ms. */
  readonly heedsRetryAfter: boolean;
}

/** What is simulated. */
export interface AdmissionScenario {
  readonly durationMs: number;
  readonly speeds: readonly number[];
  readonly slots: number;
  readonly daemons: number;
  readonly kinds: readonly RequestKind[];
  readonly habits: CallerHabits;
  /** Factor on the rate of all requests at a time. */
  readonly loadAt: (nowMs: number) => number;
  /** The only server that may run a request, for a service with keys; `undefined` for one without. */
  readonly ownerAt: ((nowMs: number, random: number) => number) | undefined;
  /** Draws the arrivals and their work, so that these are the same under all rules. */
  readonly random: () => number;
  /** Draws what daemons decide by chance. */
  readonly placementRandom: () => number;
  /** Draws when refused callers are to come back. */
  readonly callerRandom: () => number;
}

/** The queue beside a server, or a rule that it is compared with. */
export type SimulatedQueue = Pick<
  WorkQueue,
  "offer" | "finish" | "advance" | "waitMs" | "waitingCount" | "runningCount"
>;

/** Creates the queue of a server with a number of slots. */
export type QueueFactory = (
  slots: number,
  random: () => number,
) => SimulatedQueue;

/** What the callers of one kind have seen; times in milliseconds. */
export interface KindFigures {
  requests: number;
  served: number;
  /** From the first attempt to the response, of those that were served. */
  readonly servedMs: number[];
  /** From an attempt to its refusal. */
  readonly refusedMs: number[];
  /** Time left to callers that were refused. */
  readonly leftMs: number[];
  /** Retries after the stated delay, and those of them that were served. */
  toldRetries: number;
  servedToldRetries: number;
}

/** Figures of a run. */
export interface AdmissionFigures {
  /** In the order of the scenario's kinds. */
  readonly kinds: readonly KindFigures[];
  /** Attempts that a queue refused. */
  wastedAttempts: number;
}

/** Share of the requests of some kinds that was served. */
export function servedShare(kinds: readonly KindFigures[]): number {
  const sum = (field: "requests" | "served") =>
    kinds.reduce((total, kind) => total + kind[field], 0);
  return sum("served") / sum("requests");
}

/** The value that a share of the values does not exceed; `NaN` without values. */
export function percentile(values: readonly number[], share: number): number {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[
    Math.min(sorted.length - 1, Math.floor(sorted.length * share))
  ] ??
    NaN;
}

/** Draws the work of a request relative to the mean of its kind. */
export function drawWorkFactor(random: () => number): number {
  return MIN_WORK_FACTOR + WORK_FACTOR_RANGE * random();
}
