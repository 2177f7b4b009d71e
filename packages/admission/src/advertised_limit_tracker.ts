/**
 * Tracks the rate limit that a backend server advertises in its responses.
 *
 * Responses overtake each other, so a response without the limit, or with a higher one, may be older than the one that
 * stated it. A limit is therefore tightened by any response, but loosened only by one to a request that was sent after
 * the limit was last confirmed.
 *
 * @module
 */

/** What one response states about the limit, and when. */
export interface LimitObservation {
  /** Requests per second; `undefined` if the response states no limit. */
  readonly perSecond: number | undefined;
  /** When the request was sent, in milliseconds. */
  readonly sentAtMs: number;
  /** When its response was received, in milliseconds. */
  readonly receivedAtMs: number;
}

/** A change of the limit, in requests per second; `undefined` stands for no limit. */
export interface LimitChange {
  readonly before: number | undefined;
  readonly after: number | undefined;
}

/** The limit of one incarnation of a backend server. */
export class AdvertisedLimitTracker {
  private current: number | undefined;
  private confirmedAtMs = -Infinity;

  private constructor() {}

  /** Creates a tracker without a limit. */
  static create(): AdvertisedLimitTracker {
    return new AdvertisedLimitTracker();
  }

  /** The limit in requests per second; `undefined` if there is none. */
  get perSecond(): number | undefined {
    return this.current;
  }

  /** Records a response; returns the change that it makes, if any. */
  record(observation: LimitObservation): LimitChange | undefined {
    const before = this.current;
    const { perSecond, sentAtMs, receivedAtMs } = observation;
    const isLooser = valueOf(perSecond) > valueOf(before);
    if (isLooser && sentAtMs < this.confirmedAtMs) {
      return undefined;
    }
    this.current = perSecond;
    this.confirmedAtMs = receivedAtMs;
    return perSecond === before ? undefined : { before, after: perSecond };
  }
}

function valueOf(perSecond: number | undefined): number {
  return perSecond ?? Infinity;
}
