/**
 * Collection and output of the results of a run.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";

/**
 * Outcome of a request as seen by the caller: `cut` for an incomplete response or a failed connection, `crossed` for the
 * response of another request, `unreachable` for a refused connection or a request that was not sent because too many
 * were in flight.
 */
export type CallerOutcome =
  | "done"
  | "not_run"
  | "unknown"
  | "cut"
  | "crossed"
  | "unreachable"
  | "refused";

/** Latencies and outcomes of one operation. */
export interface OperationReport {
  readonly operation: string;
  readonly outcomes: Readonly<Partial<Record<CallerOutcome, number>>>;
  /** Latency in milliseconds from the scheduled arrival to the complete response, of `done` requests only. */
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** The result of one run. */
export interface LoadReport {
  readonly sent: number;
  /** Elapsed time of the run in seconds. */
  readonly seconds: number;
  readonly operations: readonly OperationReport[];
  readonly totals: Readonly<Partial<Record<CallerOutcome, number>>>;
  /** Number of responses by host of the backend server. */
  readonly servers: Readonly<Record<string, number>>;
  /** Non-idempotent requests that the backend servers' ledgers list more than once. */
  readonly doubled: number;
  /** Requests with the outcome `done` that no ledger lists. */
  readonly lost: number;
  /** Requests with the outcome `not_run` that a ledger lists. */
  readonly falselyNotRun: number;
}

/** Collects the results of a run. */
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

  /** Records the result of one request; only `done` requests count towards the latencies. */
  record(
    operation: string,
    result: {
      outcome: CallerOutcome;
      latencyMs: number;
      server: string | undefined;
    },
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
    entry.outcomes.set(
      result.outcome,
      (entry.outcomes.get(result.outcome) ?? 0) + 1,
    );
    if (result.outcome === "done") {
      entry.histogram.recordValue(
        Math.max(1, Math.round(result.latencyMs * 1_000)),
      );
    }
    if (result.server !== undefined) {
      this.servers.set(
        result.server,
        (this.servers.get(result.server) ?? 0) + 1,
      );
    }
  }

  /** Returns the report without the results of the comparison with the ledgers. */
  summarize(
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

/** Formats a report as lines of text. */
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
    `responses by server: ${servers}`,
    `doubled ${report.doubled}, lost ${report.lost}, falsely reported as not run ${report.falselyNotRun}, cut ${
      report.totals.cut ?? 0
    }, crossed ${report.totals.crossed ?? 0}`,
  ];
}
