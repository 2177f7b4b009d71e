/**
 * The choices that the zone simulation compares.
 *
 * @module
 */
import {
  chooseBackend,
  DEFAULT_CROSS_ZONE_MS_PER_KILOBYTE,
  expectedLatencyMs,
  type PlacementCandidate,
} from "../choose_backend.ts";
import { sampleBackends } from "../sample_backends.ts";
import { chooseWithAffinity } from "../zone_affinity.ts";
import { type ServerLoad, ZoneShareTracker } from "../zone_share_tracker.ts";
import type { SimulatedServer } from "./simulated_server.ts";
import type { SimulatedRequest, ZonePolicy } from "./zone_simulation.ts";

/** Round-trip time to another zone, in milliseconds. */
const OTHER_ZONE_MS = 6;

/** The choice of commit edd28a5: the lowest score of a sample, with a fixed penalty for another zone and one by bytes. */
export const chooseByScore: ZonePolicy = (request, context) => {
  const { candidates, nowMs, isRetry, random } = context;
  const sampled = sampleBackends(candidates, {
    isNear: ({ isSameZone }) => isSameZone,
    random,
  });
  const usable = isRetry
    ? sampled.filter((candidate) =>
      nowMs + expectedLatencyMs(candidate) < request.objectiveAtMs
    )
    : sampled;
  const chosen = chooseBackend(usable, random);
  return chosen === undefined ? undefined : Number(chosen.daemon);
};

/** The choice with zone affinity, with or without the shares of the zone's work. */
export function createAffinityChoice(
  options: { crossZoneMsPerKilobyte?: number; followsShares?: boolean } = {},
): ZonePolicy {
  const {
    crossZoneMsPerKilobyte = DEFAULT_CROSS_ZONE_MS_PER_KILOBYTE,
    followsShares = true,
  } = options;
  const trackers = new Map<number, ZoneShareTracker>();
  return (request, context) => {
    const { candidates, servers, daemon, nowMs, isRetry, random } = context;
    const { kind, zone } = request;
    const tracker = trackers.get(daemon) ??
      ZoneShareTracker.create(String(zone));
    trackers.set(daemon, tracker);
    const chosen = chooseWithAffinity(candidates, {
      objectiveRemainingMs: request.objectiveAtMs - nowMs,
      remainingMs: request.deadlineAtMs - nowMs,
      bodyBytes: kind.requestBytes,
      crossZoneMsPerKilobyte,
      leavingShare: followsShares
        ? tracker.leavingShare(
          kind.route,
          () => toServerLoads(candidates, servers),
          nowMs,
        )
        : 0,
    }, {
      isOwnZone: ({ isSameZone }) => isSameZone,
      describe: (candidate) =>
        isRetry && nowMs + expectedLatencyMs(candidate) >= request.objectiveAtMs
          ? undefined
          : candidate,
      random,
    });
    if (chosen === undefined) {
      return undefined;
    }
    tracker.recordPlaced({
      route: kind.route,
      workMs: kind.workMs,
      bytes: kind.requestBytes + kind.responseBytes,
      isOtherZone: !chosen.isSameZone,
    }, nowMs);
    return Number(chosen.daemon);
  };
}

/** The loads of all servers as the choosing daemon knows them. */
function toServerLoads(
  candidates: readonly PlacementCandidate[],
  servers: readonly SimulatedServer[],
): ServerLoad[] {
  const known = candidates.filter(({ serviceMs }) => serviceMs > 0);
  const meanMs = known.reduce((sum, { serviceMs }) => sum + serviceMs, 0) /
    known.length;
  return candidates.map(({ daemon, capacity, utilization, serviceMs }) => ({
    zone: String(servers[Number(daemon)]!.zone),
    capacity,
    utilization,
    speed: serviceMs > 0 ? meanMs / serviceMs : 1,
  }));
}

/**
 * A reference with full knowledge of the queues and of the work of the request, but not of later requests: the server in
 * the zone that leaves the least time before the objective, and another zone only if none there is on time. A zone
 * that is about to be full sends out small requests first: those with a large body may use all of the time.
 */
export function createInformedChoice(
  options: { smallRequestShare: number; largeBytes: number },
): ZonePolicy {
  const { smallRequestShare, largeBytes } = options;
  return (request, { servers, nowMs }) => {
    const own = findBest(request, servers, (zone) => zone === request.zone);
    const others = findBest(request, servers, (zone) => zone !== request.zone);
    const budgetMs = request.kind.objectiveMs *
      (request.kind.requestBytes >= largeBytes ? 1 : smallRequestShare);
    const ownMs = finishMs(request, servers[own]!, nowMs);
    const otherMs = finishMs(request, servers[others]!, nowMs) + OTHER_ZONE_MS;
    return ownMs <= budgetMs || ownMs <= otherMs ? own : others;
  };

  function findBest(
    request: SimulatedRequest,
    servers: readonly SimulatedServer[],
    isIncluded: (zone: number) => boolean,
  ): number {
    const nowMs = request.objectiveAtMs - request.kind.objectiveMs;
    return servers
      .map((server, index) => ({
        index,
        zone: server.zone,
        endMs: finishMs(request, server, nowMs),
      }))
      .filter(({ zone }) => isIncluded(zone))
      .reduce((best, next) => next.endMs < best.endMs ? next : best).index;
  }
}

function finishMs(
  { workMs }: SimulatedRequest,
  server: SimulatedServer,
  nowMs: number,
): number {
  return server.waitMs(nowMs) + workMs / server.speed;
}
