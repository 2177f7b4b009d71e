/**
 * Chooses the backend server for a request without a key.
 *
 * @module
 */

/** State of one backend server that could run the request. */
export interface PlacementCandidate {
  /** Address of the daemon on the host of the backend server. */
  readonly daemon: string;
  /** Whether it runs on the host of the daemon that chooses. */
  readonly isLocal: boolean;
  readonly isSameZone: boolean;
  /** Slots that requests can keep busy: fewer than it has if it limits the rate of requests. */
  readonly capacity: number;
  /** Wait for a slot at the time of the report, in milliseconds. */
  readonly waitMs: number;
  /**
   * Recent offered work relative to the capacity (half-life 1 s), or the used share of a cold server's rate limit if
   * that is higher; 1 is saturated.
   */
  readonly utilization: number;
  /** Typical service time of this route there, in milliseconds; 0 if unknown. */
  readonly serviceMs: number;
  /** Typical service time there over all routes, in milliseconds; 0 if unknown. */
  readonly meanServiceMs: number;
  /** Size of the request's body and typical size of the route's responses together, in bytes. */
  readonly transferBytes: number;
  /** Expected wait of the request's body for the network link there, in milliseconds; 0 for a small one. */
  readonly bodyWaitMs: number;
  /** Share of its recent requests that failed. */
  readonly failureShare: number;
  /** Age of the report, in milliseconds. */
  readonly reportAgeMs: number;
  /** Number of requests that the choosing daemon has sent there since that report. */
  readonly sentSinceReport: number;
}

/** Round-trip time to another availability zone, in milliseconds. */
const OTHER_ZONE_ROUND_TRIP_MS = 6;
/**
 * Fixed penalty for another availability zone in the score, in milliseconds, so that requests stay in their zone where
 * it is as good. Small compared with latency objectives of some 100 ms.
 */
const CROSS_ZONE_PENALTY_MS = 20;
/**
 * Penalty per kilobyte transferred between availability zones in the score, in milliseconds, unless the operator sets
 * another. Traffic between zones is billed: a small response may come from anywhere, while a download of 90 KB, which
 * costs 180 ms in addition to the fixed penalty, stays in its zone unless it would wait there for about 200 ms longer.
 */
export const DEFAULT_CROSS_ZONE_MS_PER_KILOBYTE = 2;
/**
 * Cost of forwarding to another daemon in the same zone, in milliseconds; includes 1 ms of CPU time at each of the two
 * daemons.
 */
const OTHER_DAEMON_OVERHEAD_MS = 4;
/** Relative jitter of the scores, so that daemons with the same stale reports don't all choose the same server. */
const SCORE_JITTER = 0.15;
/**
 * Multiple of the service time that is added to the cost of a server, in proportion to its failure share beyond that of
 * the best server. A failing server still gets a few requests, which show when it has recovered. Where all servers fail
 * alike, for example because another service refuses the calls that they make, none of them is penalized.
 */
const FAILURE_WEIGHT = 8;
/**
 * Half-life of the weight of a reported wait, in milliseconds. With age, the typical wait at the server's utilization
 * replaces it. Otherwise, after a moment without a queue, all daemons would send to a server that is full on average,
 * and 0.1 s later it would have the longest queue of all.
 */
const REPORTED_WAIT_HALF_LIFE_MS = 150;
/**
 * Upper limit of the growth of a queue at a utilization of 1, in milliseconds of wait per millisecond: chance and waves
 * bring up to a third more than a server finishes.
 */
const MIN_QUEUE_GROWTH = 0.3;
/** Upper limit of the utilization in the estimate of the wait, which grows without bound towards 1. */
const MAX_UTILIZATION = 0.97;
/**
 * Service time assumed for a server that has served no requests yet, as a share of that of the fastest other server.
 * It is sent requests soon after it has joined, so its service time becomes known.
 */
const NEW_SERVER_TIME_FACTOR = 0.7;
/** Lower bound of a capacity, in slots, so that no expected wait is infinite. */
const MIN_CAPACITY = 0.01;
/** Service time assumed where no server has served a request yet, in milliseconds. */
const DEFAULT_SERVICE_MS = 50;

/**
 * Chooses the candidate with the lowest cost.
 *
 * @param random returns numbers from 0 up to 1.
 * @param crossZoneMsPerKilobyte penalty per kilobyte transferred between availability zones, in milliseconds.
 * @returns `undefined` where there is no candidate.
 */
export function chooseBackend(
  candidates: readonly PlacementCandidate[],
  random: () => number,
  crossZoneMsPerKilobyte = DEFAULT_CROSS_ZONE_MS_PER_KILOBYTE,
): PlacementCandidate | undefined {
  const minFailureShare = Math.min(
    ...candidates.map(({ failureShare }) => failureShare),
  );
  return withServiceTimes(candidates)
    .map((candidate) => ({
      candidate,
      score: costMs(candidate, { minFailureShare, crossZoneMsPerKilobyte }) *
        (1 + SCORE_JITTER * random()),
    }))
    .reduce<{ candidate: PlacementCandidate; score: number } | undefined>(
      (best, scored) =>
        best === undefined || scored.score < best.score ? scored : best,
      undefined,
    )?.candidate;
}

function withServiceTimes(
  candidates: readonly PlacementCandidate[],
): PlacementCandidate[] {
  const known = candidates
    .map(({ serviceMs }) => serviceMs)
    .filter((serviceMs) => serviceMs > 0);
  const fallback = known.length === 0
    ? DEFAULT_SERVICE_MS
    : Math.min(...known) * NEW_SERVER_TIME_FACTOR;
  return candidates.map((candidate) => ({
    ...candidate,
    serviceMs: candidate.serviceMs || fallback,
  }));
}

/** Expected latency of a request at a candidate, including wait and network, in milliseconds. */
export function expectedLatencyMs(candidate: PlacementCandidate): number {
  return withoutWaitMs(candidate) + expectedWaitMs(candidate);
}

/**
 * The same, with a wait that has not grown faster since the report than a queue grows. The typical wait of a server
 * that is used to capacity is that of minutes, and no queue reaches it within the age of a report.
 */
export function boundedLatencyMs(candidate: PlacementCandidate): number {
  const { waitMs, reportAgeMs, utilization } = candidate;
  const growth = MIN_QUEUE_GROWTH + Math.max(0, utilization - 1);
  return withoutWaitMs(candidate) +
    Math.min(expectedWaitMs(candidate), waitMs + reportAgeMs * growth);
}

/** Expected latency without the wait that the report states, in milliseconds. */
function withoutWaitMs(candidate: PlacementCandidate): number {
  const { serviceMs, bodyWaitMs, sentSinceReport } = candidate;
  const unreportedMs = sentSinceReport * serviceMs / usableCapacity(candidate);
  return serviceMs + bodyWaitMs + unreportedMs + networkMs(candidate);
}

function expectedWaitMs(candidate: PlacementCandidate): number {
  const { waitMs, reportAgeMs } = candidate;
  const freshness = 0.5 ** (reportAgeMs / REPORTED_WAIT_HALF_LIFE_MS);
  return waitMs * freshness + typicalWaitMs(candidate) * (1 - freshness);
}

/** Whether more requests are expected to wait for a candidate than keep its slots busy. */
export function hasStandingQueue(candidate: PlacementCandidate): boolean {
  const { meanServiceMs, serviceMs } = candidate;
  return expectedWaitMs(candidate) >
    (meanServiceMs || serviceMs || DEFAULT_SERVICE_MS);
}

/**
 * Mean wait for one of several slots at a given utilization, in milliseconds (Sakasegawa's approximation, for
 * exponentially distributed interarrival and service times).
 */
function typicalWaitMs(candidate: PlacementCandidate): number {
  const capacity = usableCapacity(candidate);
  const busy = Math.min(MAX_UTILIZATION, candidate.utilization);
  const exponent = Math.sqrt(2 * (capacity + 1)) - 1;
  // A short call waits for slots that long requests hold, so the mean over all routes counts.
  const meanMs = candidate.meanServiceMs || candidate.serviceMs;
  return meanMs * busy ** exponent / (capacity * (1 - busy));
}

function usableCapacity({ capacity }: PlacementCandidate): number {
  return Math.max(MIN_CAPACITY, capacity);
}

/** Expected latency plus the penalties for other zones and for failures, in milliseconds. */
function costMs(
  candidate: PlacementCandidate,
  weights: { minFailureShare: number; crossZoneMsPerKilobyte: number },
): number {
  const { minFailureShare, crossZoneMsPerKilobyte } = weights;
  const { serviceMs, failureShare, isSameZone, transferBytes } = candidate;
  const zoneMs = isSameZone ? 0 : CROSS_ZONE_PENALTY_MS +
    transferBytes / 1_000 * crossZoneMsPerKilobyte;
  const failureMs = (failureShare - minFailureShare) * FAILURE_WEIGHT *
    serviceMs;
  return expectedLatencyMs(candidate) + zoneMs + failureMs;
}

function networkMs({ isLocal, isSameZone }: PlacementCandidate): number {
  if (isLocal) {
    return 0;
  }
  return isSameZone ? OTHER_DAEMON_OVERHEAD_MS : OTHER_ZONE_ROUND_TRIP_MS;
}
