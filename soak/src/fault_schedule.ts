/**
 * Draws the faults of one run from its seed.
 *
 * @module
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** What can be done to a fleet. */
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
/** What can be done in addition; drawn apart, so that the faults of a seed stay what they were. */
export const RESTART_FAULT_KINDS = [
  "restart_backend",
  "restart_often",
] as const;
/** The same, drawn apart from both. */
export const ROLLBACK_AND_LETHAL_FAULT_KINDS = [
  "store_goes_back",
  "lethal_request",
] as const;
/** What can be done to a fleet. */
export type FaultKind =
  | typeof FAULT_KINDS[number]
  | typeof RESTART_FAULT_KINDS[number]
  | typeof ROLLBACK_AND_LETHAL_FAULT_KINDS[number];

/** One fault of a schedule. */
export interface Fault {
  readonly kind: FaultKind;
  /** Chooses the host, where one is harmed. */
  readonly host: number;
  /** When it begins, in milliseconds from the start. */
  readonly atMs: number;
  /** How long it lasts, in milliseconds. */
  readonly forMs: number;
}

/** A drawer of numbers that gives the same sequence for the same seed. */
export type Draw = (min: number, max: number) => number;

/** Creates the drawer of a seed. */
export function createDraw(seed: number): Draw {
  const generator = xoroshiro128plus(seed);
  return (min, max) => uniformInt(generator, min, max);
}

/** Draws faults that overlap, over a time. */
export function drawFaults(
  draw: Draw,
  options: {
    hostCount: number;
    durationMs: number;
    hasRestarts: boolean;
    hasRollbacksAndLethalRequests: boolean;
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
  ].sort((left, right) => left.atMs - right.atMs);
}
