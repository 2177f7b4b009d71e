/**
 * What the daemons reported to the planner.
 *
 * @module
 */
import type { ReportRequest } from "@bamboolink/protocol";

/** A report and when it came, on the planner's monotonic clock. */
export interface BoardEntry {
  readonly report: ReportRequest;
  readonly atMs: number;
}

/** The latest report of each session. */
export class ReportBoard {
  private readonly entries = new Map<string, BoardEntry>();

  private constructor() {}

  /** Creates an empty board. */
  static create(): ReportBoard {
    return new ReportBoard();
  }

  /** Notes a report. */
  note(report: ReportRequest, atMs: number): void {
    this.entries.set(report.session, { report, atMs });
  }

  /** The latest report of a session. */
  latest(session: string): BoardEntry | undefined {
    return this.entries.get(session);
  }

  /** All latest reports. */
  all(): BoardEntry[] {
    return [...this.entries.values()];
  }

  /** Forgets sessions that are not open any more. */
  retain(open: ReadonlySet<string>): void {
    [...this.entries.keys()].filter((id) => !open.has(id)).forEach((id) =>
      this.entries.delete(id)
    );
  }

  /** Forgets everything, when the role of planner ends. */
  clear(): void {
    this.entries.clear();
  }
}
