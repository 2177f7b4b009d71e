/**
 * The planner's count of which witnesses suspect which sessions.
 *
 * @module
 */
import { refusalsNeeded } from "./timing.ts";

/** Suspicions older than this no longer count, in milliseconds. */
const FRESH_MS = 1_500;

/** Reports of silent sessions, by witness. */
export class SuspicionLedger {
  private readonly reports = new Map<string, Map<string, number>>();

  private constructor() {}

  /** Creates a ledger without reports. */
  static create(): SuspicionLedger {
    return new SuspicionLedger();
  }

  /** Notes that a witness has not heard from a session. */
  report(session: string, by: { witness: string; nowMs: number }): void {
    const reports = this.reports.get(session) ?? new Map<string, number>();
    reports.set(by.witness, by.nowMs);
    this.reports.set(session, reports);
  }

  /**
   * Whether enough witnesses suspect a session.
   *
   * One witness alone may be the one that is cut off. Witnesses that are suspected themselves, or
   * not open any more, can't report, so they are not waited for.
   *
   * @param isOpen whether the session of a witness is open.
   */
  isSuspected(
    session: { id: string; witnesses: readonly string[] },
    context: { nowMs: number; isOpen: (witness: string) => boolean },
  ): boolean {
    const fresh = this.freshReports(session.id, context.nowMs);
    const reporting =
      session.witnesses.filter((witness) => fresh.includes(witness)).length;
    const able =
      session.witnesses.filter((witness) =>
        context.isOpen(witness) &&
        this.freshReports(witness, context.nowMs).length === 0
      ).length;
    return reporting > 0 &&
      reporting >= Math.min(refusalsNeeded(session.witnesses.length), able);
  }

  /** Forgets everything about sessions that are not in `known`. */
  retain(known: ReadonlySet<string>): void {
    [...this.reports.keys()].filter((id) => !known.has(id)).forEach((id) =>
      this.reports.delete(id)
    );
  }

  private freshReports(session: string, nowMs: number): string[] {
    return [...(this.reports.get(session) ?? [])]
      .filter(([, at]) => nowMs - at <= FRESH_MS)
      .map(([witness]) => witness);
  }
}
