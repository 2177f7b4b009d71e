/**
 * What a run showed.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";

/** Ends of requests, as the caller saw them. */
export type CallerOutcome =
  | "done"
  | "not_run"
  | "unknown"
  | "cut"
  | "crossed"
  | "unreachable"
  | "refused";

/** Times and ends of one operation. */
export interface OperationReport {
  readonly operation: string;
  readonly outcomes: Readonly<Partial<Record<CallerOutcome, number>>>;
  /** Milliseconds from the planned arrival to the whole answer, of requests that were done. */
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** The result of one run. */
export interface LoadReport {
  readonly sent: number;
  readonly seconds: number;
  readonly operations: readonly OperationReport[];
  readonly totals: Readonly<Partial<Record<CallerOutcome, number>>>;
  /** Requests by host of the server that answered. */
  readonly servers: Readonly<Record<string, number>>;
  /** Compared with the servers' ledgers: non-idempotent requests that ran twice. */
  readonly doubled: number;
  /** Requests that were answered as done and stand in no ledger. */
  readonly lost: number;
  /** Requests that were answered as not run and stand in a ledger. */
  readonly falselyNotRun: number;
}

/** Collects what a run shows. */
export class LoadRecorder {
  private readonly operations = new Map<
    string,
    { histogram: Histogram; outcomes: Map<CallerOutcome, number> }
  >();
  private readonly servers = new Map<string, number>();

  private constructor() {}

  /** Creates an empty recorder. */
  static create(): LoadRecorder {
    return new LoadRecorder();
  }

  /** Notes one request. */
  note(
    operation: string,
    end: { outcome: CallerOutcome; tookMs: number; server: string | undefined },
  ): void {
    const entry = this.operations.get(operation) ?? {
      histogram: build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 600_000_000,
        numberOfSignificantValueDigits: 3,
      }),
      outcomes: new Map<CallerOutcome, number>(),
    };
    this.operations.set(operation, entry);
    entry.outcomes.set(end.outcome, (entry.outcomes.get(end.outcome) ?? 0) + 1);
    if (end.outcome === "done") {
      entry.histogram.recordValue(Math.max(1, Math.round(end.tookMs * 1_000)));
    }
    if (end.server !== undefined) {
      this.servers.set(end.server, (this.servers.get(end.server) ?? 0) + 1);
    }
  }

  /** The report, before the comparison with the ledgers. */
  finish(
    seconds: number,
  ): Omit<LoadReport, "doubled" | "lost" | "falselyNotRun"> {
    const operations = [...this.operations].map((
      [operation, { histogram, outcomes }],
    ) => ({
      operation,
      outcomes: Object.fromEntries(outcomes),
      p50: histogram.getValueAtPercentile(50) / 1_000,
      p99: histogram.getValueAtPercentile(99) / 1_000,
      p999: histogram.getValueAtPercentile(99.9) / 1_000,
      max: histogram.maxValue / 1_000,
    }));
    const totals = operations
      .flatMap(({ outcomes }) =>
        Object.entries(outcomes) as [CallerOutcome, number][]
      )
      .reduce(
        (sums, [outcome, count]) => ({
          ...sums,
          [outcome]: (sums[outcome] ?? 0) + count,
        }),
        {} as Partial<Record<CallerOutcome, number>>,
      );
    const sent = Object.values(totals).reduce((sum, count) => sum + count, 0);
    return {
      sent,
      seconds,
      operations,
      totals,
      servers: Object.fromEntries([...this.servers].sort()),
    };
  }
}

/** Writes a report for people. */
export function formatReport(report: LoadReport): string[] {
  const rows = report.operations.map((
    { operation, outcomes, p50, p99, p999, max },
  ) =>
    [
      operation.padEnd(28),
      String(outcomes.done ?? 0).padStart(8),
      ...[p50, p99, p999, max].map((value) => value.toFixed(2).padStart(9)),
    ].join(" ")
  );
  const totals = Object.entries(report.totals).map(([outcome, count]) =>
    `${outcome} ${count}`
  ).join(", ");
  const servers = Object.entries(report.servers).map(([server, count]) =>
    `${server} ${count}`
  ).join(", ");
  return [
    `sent ${report.sent} in ${report.seconds.toFixed(1)} s: ${totals}`,
    `${"operation".padEnd(28)} ${"done".padStart(8)} ${
      ["p50 ms", "p99 ms", "p99.9 ms", "max ms"].map((name) => name.padStart(9))
        .join(" ")
    }`,
    ...rows,
    `answers by server: ${servers}`,
    `doubled ${report.doubled}, lost ${report.lost}, falsely called not run ${report.falselyNotRun}, cut ${
      report.totals.cut ?? 0
    }, crossed ${report.totals.crossed ?? 0}`,
  ];
}
