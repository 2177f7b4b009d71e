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
/** Writes and responses whose effects come late; drawn after all others for the same reason. */
export const LATE_EFFECT_FAULT_KINDS = [
  "late_write",
  "repeat_rejections",
] as const;
/** Faults that overlap in series; drawn last for the same reason. */
export const SERIES_FAULT_KINDS = [
  "store_connections_silent",
  "store_connections_closed",
  "store_slow",
  "store_rejects_some",
  "store_silent_for_some",
  "store_hides_changes",
  "pause_daemon",
  "kill_daemon",
  "stop_daemon",
  "restart_backend",
] as const;
/** Changes of the configuration during and after a series. */
export const CONFIGURATION_CHANGE_KINDS = [
  "add_route",
  "add_many_routes",
  "split_route",
  "move_route",
  "remove_routes",
  "add_routes_again",
  "change_limits",
] as const;
/** A kind of change of the configuration. */
export type ConfigurationChangeKind = typeof CONFIGURATION_CHANGE_KINDS[number];
/** A kind of fault. */
export type FaultKind =
  | typeof FAULT_KINDS[number]
  | typeof RESTART_FAULT_KINDS[number]
  | typeof ROLLBACK_AND_LETHAL_FAULT_KINDS[number]
  | typeof STATED_STATUS_FAULT_KINDS[number]
  | typeof LATE_EFFECT_FAULT_KINDS[number]
  | typeof SERIES_FAULT_KINDS[number]
  | ConfigurationChangeKind;

/** Time from the first to the last fault of a series, in milliseconds. */
const SERIES_SPREAD_MS = 2_000;
/** Greatest time from a fault of a series to a change of the configuration, in milliseconds. */
const MAX_CHANGE_DELAY_MS = 4_000;
/** Time of a run for each series, in milliseconds. */
const SERIES_INTERVAL_MS = 5_000;
/** Longest fault of a series, in milliseconds; longer than new versions may take while the store is unstable. */
const MAX_SERIES_FAULT_MS = 9_000;

/** One fault of a schedule. */
export interface Fault {
  readonly kind: FaultKind;
  /** Index of the host, for a fault that affects one host. */
  readonly host: number;
  /** Start of the fault, in milliseconds from the start of the run. */
  readonly atMs: number;
  /** Duration, in milliseconds. */
  readonly forMs: number;
  /** Percentage of connections or hosts that are affected, for a fault that affects some. */
  readonly share?: number;
}

/** Returns a pseudo-random integer from `min` to `max`, both included. */
export type Draw = (min: number, max: number) => number;

/** Creates a function that draws the same sequence of integers each time it is created for a seed. */
export function createDraw(seed: number): Draw {
  const generator = xoroshiro128plus(seed);
  return (min, max) => uniformInt(generator, min, max);
}

/** Which faults a run has. */
export interface FaultSelection {
  /** Whether faults start one by one, at any time. */
  readonly hasSingleFaults: boolean;
  readonly hasRestarts: boolean;
  readonly hasRollbacksAndLethalRequests: boolean;
  readonly hasStatedStatus: boolean;
  /** Whether several faults overlap in series, with changes of routes and limits soon after them. */
  readonly hasSeries: boolean;
  /** Whether the store executes writes late, and backend servers repeat rejections. */
  readonly hasLateEffects: boolean;
}

/** Selects no fault. */
export const NO_FAULTS: FaultSelection = {
  hasSingleFaults: false,
  hasRestarts: false,
  hasRollbacksAndLethalRequests: false,
  hasStatedStatus: false,
  hasSeries: false,
  hasLateEffects: false,
};

/** Draws the faults of a run, which may overlap; returns them by their start. */
export function drawFaults(
  draw: Draw,
  options: FaultSelection & { hostCount: number; durationMs: number },
): Fault[] {
  const faultCount = Math.max(2, Math.round(options.durationMs / 1_500));
  const seriesCount = options.hasSeries
    ? Math.max(1, Math.round(options.durationMs / SERIES_INTERVAL_MS))
    : 0;
  const drawSingle = (kinds: readonly FaultKind[], count: number) =>
    Array.from({ length: count }, () => ({
      kind: kinds[draw(0, kinds.length - 1)]!,
      host: draw(0, options.hostCount - 1),
      atMs: draw(0, options.durationMs),
      forMs: draw(200, 3_500),
    }));
  return [
    ...drawSingle(FAULT_KINDS, options.hasSingleFaults ? faultCount : 0),
    ...drawSingle(
      RESTART_FAULT_KINDS,
      options.hasRestarts ? Math.round(faultCount / 2) : 0,
    ),
    ...drawSingle(
      ROLLBACK_AND_LETHAL_FAULT_KINDS,
      options.hasRollbacksAndLethalRequests ? Math.round(faultCount / 4) : 0,
    ),
    ...drawSingle(
      STATED_STATUS_FAULT_KINDS,
      options.hasStatedStatus ? Math.round(faultCount / 4) : 0,
    ),
    ...Array.from(
      { length: seriesCount },
      (_, index) =>
        drawOverlappingSeries(draw, {
          hostCount: options.hostCount,
          startMs: index * SERIES_INTERVAL_MS,
        }),
    ).flat(),
    ...drawSingle(
      LATE_EFFECT_FAULT_KINDS,
      options.hasLateEffects ? Math.round(faultCount / 2) : 0,
    ),
  ].sort((left, right) => left.atMs - right.atMs);
}

/** Draws faults that overlap, and changes of the configuration at most `MAX_CHANGE_DELAY_MS` after one of them. */
function drawOverlappingSeries(
  draw: Draw,
  { hostCount, startMs }: { hostCount: number; startMs: number },
): Fault[] {
  const startedAtMs = startMs + draw(0, SERIES_INTERVAL_MS - SERIES_SPREAD_MS);
  const faults = Array.from({ length: draw(3, 5) }, () => ({
    kind: SERIES_FAULT_KINDS[draw(0, SERIES_FAULT_KINDS.length - 1)]!,
    host: draw(0, hostCount - 1),
    atMs: startedAtMs + draw(0, SERIES_SPREAD_MS),
    forMs: draw(200, MAX_SERIES_FAULT_MS),
    share: draw(20, 100),
  }));
  const changes = Array.from({ length: draw(2, 5) }, () => ({
    kind: CONFIGURATION_CHANGE_KINDS[
      draw(0, CONFIGURATION_CHANGE_KINDS.length - 1)
    ]!,
    host: 0,
    atMs: faults[draw(0, faults.length - 1)]!.atMs +
      draw(0, MAX_CHANGE_DELAY_MS),
    forMs: 0,
  }));
  return [...faults, ...changes];
}
