/**
 * The planner's record of which witnesses suspect which sessions.
 *
 * @module
 */
import { refusalsNeeded } from "./timing.ts";

/** Age at which a suspicion no longer counts, in milliseconds. */
const SUSPICION_TTL_MS = 1_500;

/** Reports of unresponsive sessions, by session and witness. */
export class SuspicionLedger {
  private readonly reports = new Map<string, Map<string, number>>();

  private constructor() {}

  /** Creates a ledger without reports. */
  static create(): SuspicionLedger {
    return new SuspicionLedger();
  }

  /** Records that a witness has received no renewal from a session; `nowMs` is on the planner's clock. */
  report(session: string, by: { witness: string; nowMs: number }): void {
    const reports = this.reports.get(session) ?? new Map<string, number>();
    reports.set(by.witness, by.nowMs);
    this.reports.set(session, reports);
  }

  /**
   * Whether enough witnesses suspect a session.
   *
   * A single witness does not suffice, because it may be the one that is partitioned from the network. Witnesses
   * that are themselves suspected or no longer open can't report, so their reports are not required.
   *
   * @param context.isOpen whether the session of a witness is open.
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

  /** Deletes the reports about sessions that are not in `known`. */
  retain(known: ReadonlySet<string>): void {
    [...this.reports.keys()].filter((id) => !known.has(id)).forEach((id) =>
      this.reports.delete(id)
    );
  }

  private freshReports(session: string, nowMs: number): string[] {
    return [...(this.reports.get(session) ?? [])]
      .filter(([, at]) => nowMs - at <= SUSPICION_TTL_MS)
      .map(([witness]) => witness);
  }
}
