/**
 * Limits the rate at which requests are started at one backend server, by the strictest of the limits that are known:
 * that of its cold start, and the one that it advertises.
 *
 * A cold server that is sent as many requests as fit its slots crashes under that load, and restarts cold again. A
 * server in need that gets more requests than it takes fails those of all callers.
 *
 * @module
 */

/**
 * Window of the cold limit, in milliseconds: one second, plus the jitter of the path to the server.
 */
const COLD_WINDOW_MS = 1_050;
/**
 * Starts that an advertised limit allows at once, as the time in which it allows as many, in milliseconds. Longer
 * bursts would make the requests behind them wait.
 */
const ADVERTISED_BURST_MS = 250;
/**
 * Lowest rate, in requests per second, even if the server takes fewer: only the response to a request shows that a
 * limit has ended.
 */
const MIN_ADVERTISED_PER_SECOND = 0.5;
/** Upper bound on remembered starts; larger limits are applied in shorter windows. */
const MAX_TRACKED_STARTS = 1_024;

/** Maximum number of starts within any window of a length in milliseconds. */
interface WindowLimit {
  readonly starts: number;
  readonly windowMs: number;
  /** When the limit ends, in milliseconds. */
  readonly endsAtMs: number;
}

/** Sliding-window rate limiter for the requests started at one backend server. */
export class StartRateLimiter {
  /** Times of the latest starts, the oldest first. */
  private readonly starts: number[] = [];
  private coldLimit: WindowLimit | undefined;
  private advertisedLimit: WindowLimit | undefined;
  private coldUntilMs = -Infinity;

  private constructor(private lastUntrackedStartMs: number) {}

  /**
   * Creates a limiter without limits.
   *
   * @param startedAtMs when this process started. An earlier process may have sent requests just before, so all windows
   *   are assumed to be full at that time.
   */
  static create(startedAtMs: number): StartRateLimiter {
    return new StartRateLimiter(startedAtMs);
  }

  /** Sets the maximum number of requests per second while the server is cold; 0 for no limit. */
  setColdLimit(requests: number): void {
    this.coldLimit = requests === 0 ? undefined : createWindowLimit(requests, {
      windowMs: COLD_WINDOW_MS,
      endsAtMs: this.coldUntilMs,
    });
  }

  /** Sets until when the server is cold, in milliseconds on the daemon's clock. */
  setColdUntil(coldUntilMs: number): void {
    this.coldUntilMs = coldUntilMs;
    if (this.coldLimit !== undefined) {
      this.coldLimit = { ...this.coldLimit, endsAtMs: coldUntilMs };
    }
  }

  /** Sets the requests per second that the server takes; `undefined` for no limit. */
  setAdvertisedLimit(perSecond: number | undefined): void {
    this.advertisedLimit = perSecond === undefined
      ? undefined
      : createAdvertisedLimit(perSecond);
  }

  /** Whether the cold limit is in effect. */
  isCold(nowMs: number): boolean {
    return this.coldLimit !== undefined && nowMs < this.coldLimit.endsAtMs;
  }

  /** Advertised rate that is applied, in requests per second; infinite without one. */
  get advertisedPerSecond(): number {
    const limit = this.advertisedLimit;
    return limit === undefined
      ? Infinity
      : limit.starts / limit.windowMs * 1_000;
  }

  /** Records the start of a request. Starts without a limit count, too, because one may become known at any time. */
  recordStart(nowMs: number): void {
    this.starts.push(nowMs);
    if (this.starts.length > MAX_TRACKED_STARTS) {
      this.lastUntrackedStartMs = this.starts.shift()!;
    }
  }

  /** Number of starts in the last second, up to the number that is remembered. */
  startsInLastSecond(nowMs: number): number {
    return this.starts.filter((startedAtMs) => nowMs - startedAtMs < 1_000)
      .length;
  }

  /** Delay until a request with `ahead` others before it may start, in milliseconds. */
  delayMs(ahead: number, nowMs: number): number {
    return this.limitsAt(nowMs).reduce(
      (delayMs, limit) =>
        Math.max(delayMs, this.startAtMs(ahead, limit) - nowMs),
      0,
    );
  }

  /** Share of the cold limit that is used in the current window; 0 while that limit is not in effect. */
  coldUtilization(nowMs: number): number {
    const { coldLimit } = this;
    if (coldLimit === undefined || !this.isCold(nowMs)) {
      return 0;
    }
    const used = Array.from(
      { length: coldLimit.starts },
      (_, back) => this.latestStartMs(back),
    ).filter((startedAtMs) => nowMs - startedAtMs < coldLimit.windowMs);
    return used.length / coldLimit.starts;
  }

  private limitsAt(nowMs: number): WindowLimit[] {
    return [this.coldLimit, this.advertisedLimit].filter((limit) =>
      limit !== undefined
    ).filter(({ endsAtMs }) => nowMs < endsAtMs);
  }

  /** When a request with `ahead` others before it may start under one limit. */
  private startAtMs(ahead: number, limit: WindowLimit): number {
    const { starts, windowMs, endsAtMs } = limit;
    const windows = Math.floor(ahead / starts) + 1;
    const back = starts - 1 - ahead % starts;
    const startAtMs = this.latestStartMs(back) + windows * windowMs;
    return Math.min(startAtMs, endsAtMs);
  }

  /** Time of the latest start but `back` others. */
  private latestStartMs(back: number): number {
    return this.starts.at(-1 - back) ?? this.lastUntrackedStartMs;
  }
}

function createAdvertisedLimit(perSecond: number): WindowLimit {
  const rate = Math.max(MIN_ADVERTISED_PER_SECOND, perSecond);
  const starts = Math.max(1, Math.floor(rate * ADVERTISED_BURST_MS / 1_000));
  return createWindowLimit(starts, {
    windowMs: starts / rate * 1_000,
    endsAtMs: Infinity,
  });
}

/** Creates a limit of the same rate whose starts can all be remembered. */
function createWindowLimit(
  starts: number,
  { windowMs, endsAtMs }: { windowMs: number; endsAtMs: number },
): WindowLimit {
  const tracked = Math.min(starts, MAX_TRACKED_STARTS);
  return { starts: tracked, windowMs: windowMs * tracked / starts, endsAtMs };
}
