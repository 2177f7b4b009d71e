/**
 * Chooses the backend server for a request without a key.
 *
 * @module
 */

/** What is known of one backend server that could run the request. */
export interface PlacementCandidate {
  /** Names the daemon beside the backend server. */
  readonly daemon: string;
  /** Whether it is beside the deciding daemon. */
  readonly isLocal: boolean;
  readonly isSameZone: boolean;
  readonly slots: number;
  /** Until a request would have started there when it reported, in milliseconds. */
  readonly waitMs: number;
  /** Work offered for each of its slots, as a mean of the last second; 1 keeps all busy. */
  readonly utilization: number;
  /** Usual time of a request of this route there, in milliseconds; 0 where nothing is known. */
  readonly serviceMs: number;
  /** Usual time of a request there over all routes, in milliseconds; 0 where nothing is known. */
  readonly meanServiceMs: number;
  /** Bytes that a request of this route and its answer take on the way, as a rule. */
  readonly transferBytes: number;
  /** Share of its recent requests that it failed. */
  readonly failureShare: number;
  /** Age of the report, in milliseconds. */
  readonly reportAgeMs: number;
  /** Requests sent there by the deciding daemon since that report. */
  readonly sentSinceReport: number;
}

/** What the way to another availability zone and back takes, in milliseconds. */
const OTHER_ZONE_MS = 6;
/**
 * What leaving the zone costs in the score, in milliseconds, whatever the size: the own zone is kept to where it
 * is as good. Small beside latency objectives of some 100 ms.
 */
const LEAVING_ZONE_MS = 20;
/**
 * What a kilobyte between availability zones costs in the score, in milliseconds. Bytes between zones are paid
 * for: a small answer may go anywhere, a download of 90 KB stays in its zone unless it would wait there
 * for 180 ms more.
 */
const OTHER_ZONE_MS_PER_KILOBYTE = 2;
/**
 * What the way to another daemon in the own zone costs, in milliseconds: a millisecond of processor time
 * at each of the two.
 */
const OTHER_DAEMON_MS = 4;
/** Jitter that keeps daemons with the same stale reports from picking the same server. */
const SCORE_NOISE = 0.15;
/**
 * A failing server is charged its time this many times over for each failure beyond those of the best, so
 * that it gets a trickle that shows when it is well again. Where all fail alike, as when the calls that
 * they make are refused elsewhere, none is the worse choice for it.
 */
const FAILURE_WEIGHT = 8;
/**
 * How long a reported wait is believed, as a half-life in milliseconds. Then the usual wait at the server's
 * utilization takes its place: after a moment without a queue all daemons would send to a server that is
 * full on average, and it would have the longest queue of all a tenth of a second later.
 */
const WAIT_HALF_LIFE_MS = 150;
/** Utilization from which on the usual wait is no longer told apart: there it grows without bound. */
const LARGEST_UTILIZATION = 0.97;
/**
 * A server that has served nothing yet is taken for this much faster than the fastest other: it gets
 * requests soon after it has joined, and with them a time of its own.
 */
const UNKNOWN_SPEEDUP = 0.7;
/** Service time where nobody has served anything yet, in milliseconds. */
const UNKNOWN_SERVICE_MS = 50;

/** Chooses the candidate with the lowest cost; `undefined` where there is none. */
export function chooseBackend(
  candidates: readonly PlacementCandidate[],
  random: () => number,
): PlacementCandidate | undefined {
  const usualFailureShare = Math.min(
    ...candidates.map(({ failureShare }) => failureShare),
  );
  return withServiceTimes(candidates)
    .map((candidate) => ({
      candidate,
      score: costMs(candidate, usualFailureShare) *
        (1 + SCORE_NOISE * random()),
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
    ? UNKNOWN_SERVICE_MS
    : Math.min(...known) * UNKNOWN_SPEEDUP;
  return candidates.map((candidate) => ({
    ...candidate,
    serviceMs: candidate.serviceMs || fallback,
  }));
}

/** The time a request is expected to take at a candidate, from here and back, in milliseconds. */
export function expectedLatencyMs(candidate: PlacementCandidate): number {
  const { serviceMs, reportAgeMs } = candidate;
  const slots = Math.max(1, candidate.slots);
  const freshness = 0.5 ** (reportAgeMs / WAIT_HALF_LIFE_MS);
  const waitMs = candidate.waitMs * freshness +
    usualWaitMs(candidate) * (1 - freshness);
  const addedMs = candidate.sentSinceReport * serviceMs / slots;
  return serviceMs + waitMs + addedMs + wayMs(candidate);
}

/**
 * The mean wait in front of several slots at a utilization, in milliseconds (Sakasegawa's approximation for
 * arrivals and service times that vary as exponential ones do).
 */
function usualWaitMs(candidate: PlacementCandidate): number {
  const slots = Math.max(1, candidate.slots);
  const busy = Math.min(LARGEST_UTILIZATION, candidate.utilization);
  const exponent = Math.sqrt(2 * (slots + 1)) - 1;
  // A short call waits for the slots of long requests.
  const meanMs = candidate.meanServiceMs || candidate.serviceMs;
  return meanMs * busy ** exponent / (slots * (1 - busy));
}

/** The expected time with what else speaks against a candidate, in milliseconds. */
function costMs(
  candidate: PlacementCandidate,
  usualFailureShare: number,
): number {
  const { serviceMs, failureShare, isSameZone, transferBytes } = candidate;
  const zoneMs = isSameZone
    ? 0
    : LEAVING_ZONE_MS + transferBytes / 1_000 * OTHER_ZONE_MS_PER_KILOBYTE;
  const failureMs = (failureShare - usualFailureShare) * FAILURE_WEIGHT *
    serviceMs;
  return expectedLatencyMs(candidate) + zoneMs + failureMs;
}

function wayMs({ isLocal, isSameZone }: PlacementCandidate): number {
  if (isLocal) {
    return 0;
  }
  return isSameZone ? OTHER_DAEMON_MS : OTHER_ZONE_MS;
}
