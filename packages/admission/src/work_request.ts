/**
 * The request type of `WorkQueue`. It holds what a decision about a wait may depend on: the caller's time, the work, the
 * rank; neither what operators aim at nor what the caller has sent before.
 *
 * @module
 */

/** A request for a slot of a backend server. */
export interface WorkRequest {
  readonly id: number;
  /** Urgency; 0 is the most urgent. */
  readonly rank: number;
  /** Time after which the response is useless to the caller, in milliseconds on the daemon's clock. */
  readonly deadlineAtMs: number;
  /**
   * Whether other requests wait behind it on its caller's connection: responses are sent in the order of the requests,
   * so whatever it waits, those behind it wait, too.
   */
  readonly blocksOthers: boolean;
  /** Expected time for which it holds a slot, in milliseconds, if it starts at once. */
  readonly estimateMs: number;
  /** The same by the time of its start, while the server or the request's key is cold. */
  readonly coldEstimate?: ColdEstimate | undefined;
}

/** Expected service times of a request whose server or key is cold. They follow what is learned while it waits. */
export interface ColdEstimate {
  /** Expected time for which the request holds a slot if it starts at the given time, in milliseconds. */
  at(startMs: number): number;
  /** Whether `at` is an average of completed requests, and not assumed. */
  isMeasured(startMs: number): boolean;
  /** When the server or the key becomes warm, in milliseconds, ascending. */
  readonly warmAtMs: readonly number[];
}

/** Expected time for which a request holds a slot if it starts at the given time, in milliseconds. */
export function serviceMsAt(request: WorkRequest, startMs: number): number {
  return request.coldEstimate?.at(startMs) ?? request.estimateMs;
}

/**
 * When a request should start, from a time on, to end soonest, in milliseconds. A cold request may end sooner if it
 * starts only when its server or key has become warm, and it then leaves its slot to others meanwhile.
 */
export function bestStartMs(request: WorkRequest, earliestMs: number): number {
  const { coldEstimate } = request;
  if (coldEstimate === undefined) {
    return earliestMs;
  }
  return coldEstimate.warmAtMs
    .filter((warmAtMs) => warmAtMs > earliestMs)
    .reduce(
      (bestMs, warmAtMs) =>
        warmAtMs + coldEstimate.at(warmAtMs) <
            bestMs + coldEstimate.at(bestMs)
          ? warmAtMs
          : bestMs,
      earliestMs,
    );
}

/**
 * Whether a request that may start after a wait is expected to end before its deadline.
 *
 * @param at.spread how far the expected time until then may be wrong, as a share of it.
 */
export function canMeetDeadline(
  request: WorkRequest,
  at: { nowMs: number; waitMs: number; spread: number },
): boolean {
  const { nowMs, waitMs, spread } = at;
  const startMs = bestStartMs(request, nowMs + waitMs);
  const expectedMs = startMs - nowMs + serviceMsAt(request, startMs);
  return nowMs + expectedMs * (1 + spread) <= request.deadlineAtMs;
}

/**
 * Whether a waiting request should start now that a slot is free. A cold one should not if it would miss its deadline,
 * or end sooner by starting later; that is decided only by measured times, because it leaves the slot idle.
 */
export function shouldStart(request: WorkRequest, nowMs: number): boolean {
  const { coldEstimate, deadlineAtMs } = request;
  if (coldEstimate === undefined) {
    return true;
  }
  return nowMs + coldEstimate.at(nowMs) <= deadlineAtMs &&
    (!coldEstimate.isMeasured(nowMs) || bestStartMs(request, nowMs) === nowMs);
}

/**
 * Whether a request that starts now ends before its deadline even if its server or key, which counts as warm by
 * assumption only, is still cold.
 */
export function endsInTimeIfCold(request: WorkRequest, nowMs: number): boolean {
  const { coldEstimate, deadlineAtMs } = request;
  if (coldEstimate === undefined || coldEstimate.isMeasured(nowMs)) {
    return true;
  }
  const assumedWarmAtMs = Math.min(nowMs, ...coldEstimate.warmAtMs);
  const coldMs = coldEstimate.at(assumedWarmAtMs - 1);
  return nowMs + Math.max(coldMs, coldEstimate.at(nowMs)) <= deadlineAtMs;
}
