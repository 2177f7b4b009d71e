/**
 * Lets suspects run one at a time on one backend server.
 *
 * @module
 */

/**
 * The order of the suspects at one server. When a server ends, what it ran is suspected together, and is sent to the
 * same few servers again; run side by side there, all would be blamed for the next end.
 */
export class ProbationQueue {
  private current: number | undefined;
  private waiting: number[] = [];

  private constructor() {}

  /** Creates a lane that nobody is in. */
  static create(): ProbationQueue {
    return new ProbationQueue();
  }

  /** How many are before one that comes now. */
  get length(): number {
    return this.waiting.length + (this.current === undefined ? 0 : 1);
  }

  /** Lets a suspect in; returns whether it may run at once. */
  enter(id: number): boolean {
    if (this.current === undefined) {
      this.current = id;
      return true;
    }
    this.waiting.push(id);
    return false;
  }

  /** A suspect has run or has gone away; returns the one that may run now because of that. */
  leave(id: number): number | undefined {
    if (this.current !== id) {
      this.waiting = this.waiting.filter((other) => other !== id);
      return undefined;
    }
    this.current = this.waiting.shift();
    return this.current;
  }
}
