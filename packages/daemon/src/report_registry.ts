/**
 * What the daemons reported to the planner.
 *
 * @module
 */
import type { ReportRequest } from "@bamboolink/protocol";

/** A report and when it came, on the planner's monotonic clock. */
export interface ReceivedReport {
  readonly report: ReportRequest;
  readonly receivedAtMs: number;
}

/** The latest report of each session. */
export class ReportRegistry {
  private readonly entries = new Map<string, ReceivedReport>();

  private constructor() {}

  /** Creates an empty board. */
  static create(): ReportRegistry {
    return new ReportRegistry();
  }

  /** Notes a report. */
  record(report: ReportRequest, receivedAtMs: number): void {
    this.entries.set(report.session, { report, receivedAtMs });
  }

  /** The latest report of a session. */
  latestOf(session: string): ReceivedReport | undefined {
    return this.entries.get(session);
  }

  /** All latest reports. */
  all(): ReceivedReport[] {
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
