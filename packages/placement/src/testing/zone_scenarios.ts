/**
 * Loads of the zone simulation: four zones whose waves follow each other.
 *
 * @module
 */
import type {
  RequestKind,
  SimulationResult,
  ZoneScenario,
} from "./zone_simulation.ts";

/** Uploads of 60 KB and requests of 5 KB, with the work, objectives and deadlines of the deployment "exams". */
const KINDS: readonly RequestKind[] = [
  {
    route: "upload",
    share: 0.3,
    workMs: 152,
    objectiveMs: 893,
    deadlineMs: 2_233,
    requestBytes: 60_000,
    responseBytes: 500,
  },
  {
    route: "request",
    share: 0.7,
    workMs: 171,
    objectiveMs: 837,
    deadlineMs: 2_091,
    requestBytes: 4_000,
    responseBytes: 1_000,
  },
];
const SPEEDS = [0.6, 1, 1.4, 0.6, 1, 1.4];

/** Four zones of equal capacity. */
export const EVEN_SPEEDS: readonly (readonly number[])[] = [
  SPEEDS,
  SPEEDS,
  SPEEDS,
  SPEEDS,
];
/** The first zone has a third of the capacity of the others, but as many callers. */
export const UNEVEN_SPEEDS: readonly (readonly number[])[] = [
  [0.6, 1.4],
  SPEEDS,
  SPEEDS,
  SPEEDS,
];
/** Few servers: each zone has one, and the second zone has two. */
export const FEW_SPEEDS: readonly (readonly number[])[] = [
  [1],
  [0.6, 1.4],
  [1.4],
  [0.6],
];

/** Creates a scenario of two waves with a given mean utilization. */
export function createScenario(
  options: {
    utilization: number;
    seed: number;
    speeds?: readonly (readonly number[])[];
  } & Pick<ZoneScenario, "hasReports" | "isAvailable">,
): ZoneScenario {
  const { utilization, seed, speeds = EVEN_SPEEDS, ...failures } = options;
  return {
    ...failures,
    speeds,
    slots: 6,
    daemonsPerZone: 8,
    kinds: KINDS,
    utilization,
    swing: 0.55,
    periodMs: 17_000,
    phases: [0.1, 0.18, 0.26, 0.34],
    durationMs: 37_000,
    // Arrivals don't depend on how many numbers a choice draws, so that choices are compared on the same requests.
    arrivalRandom: createRandom(seed),
    random: createRandom(seed + 1),
  };
}

/** Figures of a result: shares of requests, megabytes and utilizations. */
export function summarize(result: SimulationResult) {
  const { zones, crossZoneBytes, meanUtilization, maxUtilization } = result;
  const onTimeShares = zones.map(({ onTime, requests }) => onTime / requests);
  const sum = (pick: (zone: typeof zones[number]) => number) =>
    zones.reduce((total, zone) => total + pick(zone), 0);
  const requests = sum((zone) => zone.requests);
  return {
    worstZoneOnTime: Math.min(...onTimeShares),
    bestZoneOnTime: Math.max(...onTimeShares),
    onTime: sum(({ onTime }) => onTime) / requests,
    refused: sum(({ refused }) => refused) / requests,
    crossZoneMegabytes: crossZoneBytes / 1_000_000,
    crossedUploads: sum(({ crossed }) => crossed["upload"] ?? 0),
    crossedRequests: sum(({ crossed }) => crossed["request"] ?? 0),
    requests,
    meanUtilization,
    maxUtilization,
  };
}

/** A pseudo-random generator that returns the same numbers in each run. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 16_807) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}
