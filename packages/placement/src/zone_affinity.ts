/**
 * Keeps requests in their availability zone while a server there is expected to finish them in time.
 *
 * Traffic between zones is billed, and callers need a response before the latency objective, not as early as possible.
 * A zone whose servers become full sends out requests with few bytes first, because they must keep a larger margin
 * before their objective than requests with many bytes.
 *
 * Designed for waves of load that reach the zones one after the other, and for zones with different capacities; see
 * `zone_replay_test.ts`.
 *
 * @module
 */
import {
  boundedLatencyMs,
  chooseBackend,
  expectedLatencyMs,
  type PlacementCandidate,
} from "./choose_backend.ts";
import { sampleBackends, sampleByZone } from "./sample_backends.ts";

/** What the choice needs to know about a request. */
export interface PlacementRequest {
  /** Remaining time to the latency objective, in milliseconds. */
  readonly objectiveRemainingMs: number;
  /** Remaining time to the caller's deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Size of the request's body, in bytes. */
  readonly bodyBytes: number;
  /** Milliseconds of waiting that saving one kilobyte between zones is worth; 0 switches affinity off. */
  readonly crossZoneMsPerKilobyte: number;
  /** Share of the requests of its route that should leave the zone, from 0 to 1. */
  readonly leavingShare: number;
}

/** How the backend servers appear to the choosing daemon. */
export interface PlacementView<T> {
  readonly isOwnZone: (backend: T) => boolean;
  /** Returns a backend server as a candidate, or `undefined` if it can't be used for the request. */
  readonly describe: (backend: T) => PlacementCandidate | undefined;
  /** Returns numbers from 0 up to 1. */
  readonly random: () => number;
}

/**
 * Share of the time to the objective that a request with few bytes may be expected to take in its zone. The rest is a
 * margin for reports that are up to 2 s old, and for requests that take longer than usual. In the replay with the least
 * capacity, 0.5 serves the callers of the fullest zone worse than the choice by score alone, and 0.4 as well.
 */
const FEW_BYTES_SHARE = 0.4;
/** The same for a request with many bytes, which leaves a full zone last. */
const MANY_BYTES_SHARE = 0.8;
/**
 * Value of the bytes of a request, in milliseconds, at which the share is halfway between both: 20 KB at the default
 * price, between requests of some 5 KB and uploads and downloads of 60 to 90 KB.
 */
const HALFWAY_VALUE_MS = 40;
/**
 * Failure share up to which a server keeps the requests of its zone. Above, it is compared with servers of other zones,
 * which shows whether all fail alike. One failure raises the share by 0.1, so services of which one request in fifty fails
 * by chance stay below.
 */
const MAX_FAILURE_SHARE = 0.25;
/**
 * Share of the time to the objective within which a server of the zone finishes a request although its route should send
 * some out: the shares follow reports that are seconds old, and the zone may have room again.
 */
const ROOM_SHARE = 0.3;
/** Bodies from this size, in bytes, are not sent to another zone to be refused there: they cost more than an answer. */
const LARGE_BODY_BYTES = 8_000;

/**
 * Chooses the server for a request among a sample: one in its zone that is expected to finish it with a margin before
 * its objective, or else the one with the lowest cost in any zone.
 *
 * @returns `undefined` where there is no usable server.
 */
export function chooseWithAffinity<T>(
  backends: readonly T[],
  request: PlacementRequest,
  view: PlacementView<T>,
): PlacementCandidate | undefined {
  const { isOwnZone, random } = view;
  const { crossZoneMsPerKilobyte } = request;
  const describeAll = (sample: readonly T[]) =>
    sample.map(view.describe).filter((candidate) => candidate !== undefined);
  if (crossZoneMsPerKilobyte === 0) {
    const sample = sampleBackends(backends, { isNear: isOwnZone, random });
    return chooseBackend(describeAll(sample), random, crossZoneMsPerKilobyte);
  }
  const sample = sampleByZone(backends, { isOwnZone, random });
  const own = describeAll(sample.own);
  const inTime = own.filter((candidate) => isInTime(candidate, request));
  const mustLeave = request.leavingShare > 0 &&
    random() < request.leavingShare && !hasRoom(own, request);
  if (inTime.length > 0 && !mustLeave) {
    return chooseBackend(inTime, random, crossZoneMsPerKilobyte);
  }
  const allOthers = describeAll(sample.others);
  const others = allOthers.filter((candidate) =>
    mayReceiveBody(candidate, request)
  );
  const compared = mustLeave && others.length > 0
    ? others
    : [...own, ...others];
  // Without any server to compare, the request would be refused although the expected waits may be outdated.
  return chooseBackend(
    compared.length > 0 ? compared : allOthers,
    random,
    crossZoneMsPerKilobyte,
  );
}

/** Whether a server of the zone would finish a request so early that it need not leave. */
function hasRoom(
  own: readonly PlacementCandidate[],
  { objectiveRemainingMs }: PlacementRequest,
): boolean {
  return own.some((candidate) =>
    expectedLatencyMs(candidate) <= objectiveRemainingMs * ROOM_SHARE
  );
}

/** Whether a server in the zone is expected to finish a request with a margin before its objective. */
function isInTime(
  candidate: PlacementCandidate,
  { objectiveRemainingMs, crossZoneMsPerKilobyte }: PlacementRequest,
): boolean {
  const valueMs = candidate.transferBytes / 1_000 * crossZoneMsPerKilobyte;
  const share = FEW_BYTES_SHARE + (MANY_BYTES_SHARE - FEW_BYTES_SHARE) *
      valueMs / (valueMs + HALFWAY_VALUE_MS);
  return candidate.failureShare <= MAX_FAILURE_SHARE &&
    boundedLatencyMs(candidate) <= objectiveRemainingMs * share;
}

/** Whether a body may be sent to a server of another zone, where the request must not be refused as too late. */
function mayReceiveBody(
  candidate: PlacementCandidate,
  { remainingMs, bodyBytes }: PlacementRequest,
): boolean {
  return bodyBytes < LARGE_BODY_BYTES ||
    expectedLatencyMs(candidate) < remainingMs;
}
