/**
 * Measures how much of the slots of one backend server the requests of each rank use.
 *
 * @module
 */
import { DecayingSum } from "./decaying_sum.ts";

/** Half-life of the measured work, in milliseconds; load peaks last a few seconds. */
const HALF_LIFE_MS = 1_000;
/** Minimum share of slot time that more urgent ranks are assumed to leave over, so that waits stay finite. */
const MIN_SHARE_LEFT = 0.05;

/** The work of the requests that were started lately, by rank. */
export class RankWork {
  private readonly sums: DecayingSum[] = [];

  private constructor() {}

  /** Creates an instance without work. */
  static create(): RankWork {
    return new RankWork();
  }

  /** Records the slot time of a request that starts. */
  recordStart(
    request: { rank: number; estimateMs: number },
    nowMs: number,
  ): void {
    const { rank, estimateMs } = request;
    const known = this.sums[rank] ?? DecayingSum.create(HALF_LIFE_MS);
    this.sums[rank] = known;
    known.add(estimateMs, nowMs);
  }

  /** Share of slot time that more urgent ranks leave over to a rank: while a request waits, more of them arrive. */
  shareLeftTo(
    rank: number,
    { slots, nowMs }: { slots: number; nowMs: number },
  ): number {
    const usedMs = this.sums.slice(0, rank).reduce(
      (sum, work) => sum + (work?.perSecond(nowMs) ?? 0),
      0,
    );
    return Math.max(MIN_SHARE_LEFT, 1 - usedMs / (slots * 1_000));
  }
}
