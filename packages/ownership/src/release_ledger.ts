/**
 * What an owner gave up, and what of it still runs.
 *
 * @module
 */

/** Identity of one assignment of a partition. */
export interface AssignmentId {
  readonly service: string;
  readonly partition: number;
  readonly token: number;
}

/**
 * Assignments that a session gave up. Giving up is for good: an old copy of the table may still name
 * this session, and a repeated or late request to release must find the same answer.
 */
export class ReleaseLedger {
  private readonly given = new Map<string, number>();
  private readonly running = new Map<string, number>();

  private constructor() {}

  /** Creates a ledger in which nothing is given up. */
  static create(): ReleaseLedger {
    return new ReleaseLedger();
  }

  /** Gives an assignment up: nothing is admitted under it any more. */
  startRelease(assignment: AssignmentId): void {
    const name = partitionName(assignment);
    this.given.set(name, Math.max(assignment.token, this.given.get(name) ?? 0));
  }

  /** Whether work may be admitted under an assignment. */
  mayAdmit(assignment: AssignmentId): boolean {
    return assignment.token > (this.given.get(partitionName(assignment)) ?? 0);
  }

  /** Notes that a request begins. */
  beginRequest(assignment: AssignmentId): void {
    const name = partitionName(assignment);
    this.running.set(name, (this.running.get(name) ?? 0) + 1);
  }

  /** Notes that a request ended, however it ended. */
  endRequest(assignment: AssignmentId): void {
    const name = partitionName(assignment);
    const left = (this.running.get(name) ?? 1) - 1;
    if (left > 0) {
      this.running.set(name, left);
    } else {
      this.running.delete(name);
    }
  }

  /** Whether an assignment is given up and nothing runs under it any more. */
  isReleased(assignment: AssignmentId): boolean {
    return !this.mayAdmit(assignment) &&
      !this.running.has(partitionName(assignment));
  }

  /** How many requests run in all. */
  get runningCount(): number {
    return [...this.running.values()].reduce((sum, count) => sum + count, 0);
  }
}

function partitionName(assignment: AssignmentId): string {
  return `${assignment.service}/${assignment.partition}`;
}
