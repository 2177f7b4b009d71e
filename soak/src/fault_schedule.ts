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
export const LATER_FAULT_KINDS = ["restart_backend", "restart_often"] as const;
/** The same, drawn apart from both. */
export const LATEST_FAULT_KINDS = [
  "store_goes_back",
  "lethal_request",
] as const;
/** What can be done to a fleet. */
export type FaultKind =
  | typeof FAULT_KINDS[number]
  | typeof LATER_FAULT_KINDS[number]
  | typeof LATEST_FAULT_KINDS[number];

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
export type Draw = (least: number, most: number) => number;

/** Creates the drawer of a seed. */
export function createDraw(seed: number): Draw {
  const generator = xoroshiro128plus(seed);
  return (least, most) => uniformInt(generator, least, most);
}

/** Draws faults that overlap, over a time. */
export function drawFaults(
  draw: Draw,
  run: {
    hosts: number;
    lengthMs: number;
    hasRestarts: boolean;
    hasReturns: boolean;
  },
): Fault[] {
  const count = Math.max(2, Math.round(run.lengthMs / 1_500));
  const drawSeries = (kinds: readonly FaultKind[], length: number) =>
    Array.from({ length }, () => ({
      kind: kinds[draw(0, kinds.length - 1)]!,
      host: draw(0, run.hosts - 1),
      atMs: draw(0, run.lengthMs),
      forMs: draw(200, 3_500),
    }));
  return [
    ...drawSeries(FAULT_KINDS, count),
    ...drawSeries(
      LATER_FAULT_KINDS,
      run.hasRestarts ? Math.round(count / 2) : 0,
    ),
    ...drawSeries(
      LATEST_FAULT_KINDS,
      run.hasReturns ? Math.round(count / 4) : 0,
    ),
  ].sort((left, right) => left.atMs - right.atMs);
}
