/**
 * Runs suspect requests one at a time on one backend server.
 *
 * @module
 */

/**
 * The first-in, first-out queue of suspects at one server. When a server crashes, all requests that it was running
 * become suspects together and are retried at the same few servers; if they ran concurrently there, all of them would
 * be blamed for the next crash.
 */
export class ProbationQueue {
  private runningId: number | undefined;
  private waitingIds: number[] = [];

  private constructor() {}

  /** Creates an empty queue. */
  static create(): ProbationQueue {
    return new ProbationQueue();
  }

  /** How many suspects a new one would have to wait for. */
  get length(): number {
    return this.waitingIds.length + (this.runningId === undefined ? 0 : 1);
  }

  /** Adds a suspect; returns whether it may run at once. */
  enter(id: number): boolean {
    if (this.runningId === undefined) {
      this.runningId = id;
      return true;
    }
    this.waitingIds.push(id);
    return false;
  }

  /**
   * Removes a suspect that has run or was cancelled.
   *
   * @returns the id of the suspect that may run now as a result, if any.
   */
  leave(id: number): number | undefined {
    if (this.runningId !== id) {
      this.waitingIds = this.waitingIds.filter((other) => other !== id);
      return undefined;
    }
    this.runningId = this.waitingIds.shift();
    return this.runningId;
  }
}
