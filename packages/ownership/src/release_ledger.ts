/**
 * Records the assignments that an owner has released and the requests that still run under them.
 *
 * @module
 */

/** Identifies one assignment of a partition; `token` is its fencing token. */
export interface AssignmentId {
  readonly service: string;
  readonly partition: number;
  readonly token: number;
}

/**
 * Assignments that a session has released, with counts of running requests. A release is permanent: an old copy
 * of the table may still name this session, and a repeated or delayed release request must get the same response.
 */
export class ReleaseLedger {
  private readonly releasedTokens = new Map<string, number>();
  private readonly requestCounts = new Map<string, number>();

  private constructor() {}

  /** Creates a ledger without released assignments. */
  static create(): ReleaseLedger {
    return new ReleaseLedger();
  }

  /** Starts the release of an assignment: from now on no request is admitted under it. */
  startRelease(assignment: AssignmentId): void {
    const name = partitionName(assignment);
    this.releasedTokens.set(
      name,
      Math.max(assignment.token, this.releasedTokens.get(name) ?? 0),
    );
  }

  /** Whether requests may be admitted under an assignment. */
  mayAdmit(assignment: AssignmentId): boolean {
    return assignment.token >
      (this.releasedTokens.get(partitionName(assignment)) ?? 0);
  }

  /** Counts a request as running under an assignment. */
  beginRequest(assignment: AssignmentId): void {
    const name = partitionName(assignment);
    this.requestCounts.set(name, (this.requestCounts.get(name) ?? 0) + 1);
  }

  /** Counts a request as ended, whether it succeeded or not. */
  endRequest(assignment: AssignmentId): void {
    const name = partitionName(assignment);
    const remaining = (this.requestCounts.get(name) ?? 1) - 1;
    if (remaining > 0) {
      this.requestCounts.set(name, remaining);
    } else {
      this.requestCounts.delete(name);
    }
  }

  /** Whether an assignment is released and no request of its partition is running. */
  isReleased(assignment: AssignmentId): boolean {
    return !this.mayAdmit(assignment) &&
      !this.requestCounts.has(partitionName(assignment));
  }

  /** Number of running requests over all partitions. */
  get runningCount(): number {
    return [...this.requestCounts.values()].reduce(
      (sum, count) => sum + count,
      0,
    );
  }
}

function partitionName(assignment: AssignmentId): string {
  return `${assignment.service}/${assignment.partition}`;
}
