/**
 * Reports that daemons sent to the planner.
 *
 * @module
 */
import type { ReportRequest } from "@bamboolink/protocol";

/** A report and when it was received, in milliseconds on the planner's monotonic clock. */
export interface ReceivedReport {
  readonly report: ReportRequest;
  readonly receivedAtMs: number;
}

/** Stores the latest report of each session. */
export class ReportRegistry {
  private readonly entries = new Map<string, ReceivedReport>();

  private constructor() {}

  /** Creates an empty registry. */
  static create(): ReportRegistry {
    return new ReportRegistry();
  }

  /** Replaces the session's earlier report. */
  record(report: ReportRequest, receivedAtMs: number): void {
    this.entries.set(report.session, { report, receivedAtMs });
  }

  /** The latest report of a session; `undefined` if there is none. */
  latestOf(session: string): ReceivedReport | undefined {
    return this.entries.get(session);
  }

  /** The latest reports of all sessions. */
  all(): ReceivedReport[] {
    return [...this.entries.values()];
  }

  /** Removes the reports of all sessions other than the given open ones. */
  retain(open: ReadonlySet<string>): void {
    [...this.entries.keys()].filter((id) => !open.has(id)).forEach((id) =>
      this.entries.delete(id)
    );
  }

  /** Removes all reports, at the start of a planner's term. */
  clear(): void {
    this.entries.clear();
  }
}
