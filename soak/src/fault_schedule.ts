/**
 * Draws the faults of one run from its seed.
 *
 * @module
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Kinds of faults in every run. */
export const FAULT_KINDS = [
  "kill_daemon",
  "stop_daemon",
  "pause_daemon",
  "crash_backend",
  "drain_backend",
  "lose_answers",
  "store_down",
  "store_slow",
  "store_loses_answers",
  "store_relay_silent",
  "store_relay_one_way",
  "store_relay_reset",
  "change_configuration",
] as const;
/** Restarts of backend servers; drawn after `FAULT_KINDS`, so that older seeds still yield the same faults. */
export const RESTART_FAULT_KINDS = [
  "restart_backend",
  "restart_often",
] as const;
/** Rollbacks of the store and requests that crash backend servers; drawn after both others for the same reason. */
export const ROLLBACK_AND_LETHAL_FAULT_KINDS = [
  "store_goes_back",
  "lethal_request",
] as const;
/** What backend servers state in their responses only; drawn last for the same reason. */
export const STATED_STATUS_FAULT_KINDS = [
  "state_limit",
  "state_leaving",
] as const;
/** A kind of fault. */
export type FaultKind =
  | typeof FAULT_KINDS[number]
  | typeof RESTART_FAULT_KINDS[number]
  | typeof ROLLBACK_AND_LETHAL_FAULT_KINDS[number]
  | typeof STATED_STATUS_FAULT_KINDS[number];

/** One fault of a schedule. */
export interface Fault {
  readonly kind: FaultKind;
  /** Index of the host, for a fault that affects one host. */
  readonly host: number;
  /** Start of the fault, in milliseconds from the start of the run. */
  readonly atMs: number;
  /** Duration, in milliseconds. */
  readonly forMs: number;
}

/** Returns a pseudo-random integer from `min` to `max`, both included. */
export type Draw = (min: number, max: number) => number;

/** Creates a function that draws the same sequence of integers each time it is created for a seed. */
export function createDraw(seed: number): Draw {
  const generator = xoroshiro128plus(seed);
  return (min, max) => uniformInt(generator, min, max);
}

/** Draws the faults of a run, which may overlap; returns them by their start. */
export function drawFaults(
  draw: Draw,
  options: {
    hostCount: number;
    durationMs: number;
    hasRestarts: boolean;
    hasRollbacksAndLethalRequests: boolean;
    hasStatedStatus: boolean;
  },
): Fault[] {
  const faultCount = Math.max(2, Math.round(options.durationMs / 1_500));
  const drawSeries = (kinds: readonly FaultKind[], count: number) =>
    Array.from({ length: count }, () => ({
      kind: kinds[draw(0, kinds.length - 1)]!,
      host: draw(0, options.hostCount - 1),
      atMs: draw(0, options.durationMs),
      forMs: draw(200, 3_500),
    }));
  return [
    ...drawSeries(FAULT_KINDS, faultCount),
    ...drawSeries(
      RESTART_FAULT_KINDS,
      options.hasRestarts ? Math.round(faultCount / 2) : 0,
    ),
    ...drawSeries(
      ROLLBACK_AND_LETHAL_FAULT_KINDS,
      options.hasRollbacksAndLethalRequests ? Math.round(faultCount / 4) : 0,
    ),
    ...drawSeries(
      STATED_STATUS_FAULT_KINDS,
      options.hasStatedStatus ? Math.round(faultCount / 4) : 0,
    ),
  ].sort((left, right) => left.atMs - right.atMs);
}
