/**
 * Measures how much of the slots of one backend server the requests of each rank use.
 *
 * @module
 */

/** Number of starts that are considered: in fewer, chance alone moves shares by more than a fifth. */
const MAX_STARTS = 25;

interface Start {
  readonly rank: number;
  readonly estimateMs: number;
}

/** The work of the requests that were started last, by rank. */
export class RankWork {
  private starts: Start[] = [];

  private constructor() {}

  /** Creates an instance without work. */
  static create(): RankWork {
    return new RankWork();
  }

  /** Records a request that starts. */
  recordStart({ rank, estimateMs }: Start): void {
    this.starts = [...this.starts, { rank, estimateMs }].slice(-MAX_STARTS);
  }

  /**
   * Share of the slot time that more urgent ranks leave over to a rank while requests wait: more of them arrive
   * meanwhile. It is at least what one start of those considered takes, so that waits are finite.
   */
  shareLeftTo(rank: number): number {
    const sumOf = (starts: readonly Start[]) =>
      starts.reduce((sum, { estimateMs }) => sum + estimateMs, 0);
    const all = sumOf(this.starts);
    const urgent = sumOf(this.starts.filter((start) => start.rank < rank));
    return all === 0 ? 1 : Math.max(1 / MAX_STARTS, 1 - urgent / all);
  }
}
