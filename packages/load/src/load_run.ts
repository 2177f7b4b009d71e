/**
 * Runs load against a fleet and checks every response.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
  type ConfigurationDocument,
  HEADERS,
  type Operation,
} from "@bamboolink/types";
import { Agent, type Dispatcher, request } from "undici";
import { v4, v7 } from "uuid";
import { ArrivalSchedule, type ArrivalShape } from "./arrival_schedule.ts";
import { KeyChooser, type KeyDistribution } from "./key_chooser.ts";
import {
  type CallerOutcome,
  LoadRecorder,
  type LoadReport,
} from "./load_report.ts";

/** Parameters of a run. */
export interface LoadPlan {
  readonly arrivals: ArrivalShape;
  readonly keys: KeyDistribution;
  /** The configuration in force; each request calls one of its operations, chosen uniformly. */
  readonly document: ConfigurationDocument;
  /** Daemons that requests are sent to, as `address:port`. */
  readonly targets: readonly string[];
  /** Backend server stand-ins whose ledgers are compared with the responses, as `address:port`. */
  readonly ledgers: readonly string[];
  /** Whether requests are sent to the owner that an earlier response for the key named. */
  readonly followHints: boolean;
  /** Maximum number of connections to each daemon. */
  readonly connections: number;
  /** Returns uniformly distributed numbers from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number;
}

interface LedgerEntry {
  readonly requestId: string;
  readonly method: string;
}

/** Maximum number of requests in flight; further arrivals are not sent and count as unreachable. */
const MAX_IN_FLIGHT = 20_000;
const MAX_OWNER_HINTS = 100_000;

/** One run of load. */
export class LoadRun {
  private readonly recorder = LoadRecorder.create();
  private readonly agent: Agent;
  private readonly operations: readonly Operation[];
  private readonly ownerHints = new Map<string, string>();
  /** Outcomes as reported to callers, by request id. */
  private readonly reportedOutcomes = new Map<
    string,
    { outcome: CallerOutcome; idempotent: boolean }
  >();
  private inFlight = 0;

  private constructor(private readonly plan: LoadPlan) {
    this.agent = new Agent({
      connections: plan.connections,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.operations = plan.document.services.flatMap((service) =>
      service.operations
    );
  }

  /** Creates a run without starting it. */
  static create(plan: LoadPlan): LoadRun {
    return new LoadRun(plan);
  }

  /**
   * Sends all requests, waits for their responses, compares them with the ledgers and returns the report. Throws
   * if a ledger can't be read.
   */
  async run(): Promise<LoadReport> {
    const startMs = performance.now();
    const chooser = KeyChooser.create(this.plan.keys, this.plan.random);
    const pending = new Set<Promise<void>>();
    for (
      const arrivalMs of ArrivalSchedule.create(
        this.plan.arrivals,
        this.plan.random,
      )
        .arrivalTimesMs()
    ) {
      const waitMs = startMs + arrivalMs - performance.now();
      if (waitMs > 1) {
        await sleep(waitMs);
      }
      const call = this.callOperation(
        chooser.choose(arrivalMs),
        startMs + arrivalMs,
      ).finally(() => pending.delete(call));
      pending.add(call);
    }
    await Promise.all(pending);
    const seconds = (performance.now() - startMs) / 1_000;
    const ledgerChecks = await this.compareLedgers();
    await this.agent.destroy();
    return { ...this.recorder.summarize(seconds), ...ledgerChecks };
  }

  private async callOperation(
    key: string,
    scheduledAtMs: number,
  ): Promise<void> {
    const operation = this.pick(this.operations);
    const requestId = v4();
    const result = this.inFlight >= MAX_IN_FLIGHT
      ? { outcome: "unreachable" as const, server: undefined }
      : await this.send(operation, { key, requestId });
    this.reportedOutcomes.set(requestId, {
      outcome: result.outcome,
      idempotent: operation.idempotent,
    });
    this.recorder.record(operation.name, {
      ...result,
      latencyMs: performance.now() - scheduledAtMs,
    });
  }

  private async send(
    operation: Operation,
    call: { key: string; requestId: string },
  ): Promise<{ outcome: CallerOutcome; server: string | undefined }> {
    const hintKey = `${operation.path}\n${call.key}`;
    const hint = this.plan.followHints
      ? this.ownerHints.get(hintKey)
      : undefined;
    const target = hint ?? this.pick(this.plan.targets);
    this.inFlight += 1;
    try {
      const response = await this.agent.request({
        origin: `http://${target}`,
        ...buildRequest(operation, call),
      });
      const text = await response.body.text();
      this.recordOwnerHint(hintKey, response.headers[HEADERS.owner]);
      return classifyResponse(response, { text, requestId: call.requestId });
    } catch (cause) {
      const code = (cause as NodeJS.ErrnoException).code;
      return {
        outcome: code === "ECONNREFUSED" ? "unreachable" : "cut",
        server: undefined,
      };
    } finally {
      this.inFlight -= 1;
    }
  }

  private recordOwnerHint(
    hintKey: string,
    owner: string | string[] | undefined,
  ): void {
    if (
      this.plan.followHints && typeof owner === "string" &&
      this.ownerHints.size < MAX_OWNER_HINTS
    ) {
      this.ownerHints.set(hintKey, owner);
    }
  }

  private async compareLedgers(): Promise<
    { doubled: number; lost: number; falselyNotRun: number }
  > {
    const ledgers = await Promise.all(this.plan.ledgers.map(readLedger));
    const executions = ledgers.flat().reduce(
      (counts, entry) =>
        counts.set(entry.requestId, (counts.get(entry.requestId) ?? 0) + 1),
      new Map<string, number>(),
    );
    const reported = [...this.reportedOutcomes];
    const count = (
      predicate: (
        entry: { outcome: CallerOutcome; idempotent: boolean },
        executionCount: number,
      ) => boolean,
    ) =>
      reported.filter(([id, entry]) =>
        predicate(entry, executions.get(id) ?? 0)
      ).length;
    const hasLedgers = this.plan.ledgers.length > 0;
    return {
      doubled: count((entry, executionCount) =>
        !entry.idempotent && executionCount > 1
      ),
      lost: hasLedgers
        ? count((entry, executionCount) =>
          entry.outcome === "done" && executionCount === 0
        )
        : 0,
      falselyNotRun: count((entry, executionCount) =>
        entry.outcome === "not_run" && executionCount > 0
      ),
    };
  }

  private pick<T>(list: readonly T[]): T {
    return list[Math.floor(this.plan.random() * list.length)] as T;
  }
}

function buildRequest(
  operation: Operation,
  call: { key: string; requestId: string },
): Omit<Dispatcher.RequestOptions, "origin"> {
  const { key } = operation;
  const path = key.from === "path"
    ? operation.path.replace(`:${key.parameter}`, call.key)
    : operation.path;
  const query = key.from === "query" ? `?${key.parameter}=${call.key}` : "";
  const hasBody = operation.method !== "GET" && operation.method !== "HEAD" &&
    operation.method !== "DELETE";
  return {
    path: path + query,
    method: operation.method as Dispatcher.HttpMethod,
    headers: {
      [HEADERS.requestId]: call.requestId,
      ...(key.from === "header" ? { [key.header]: call.key } : {}),
      ...(hasBody ? { "content-type": "application/json" } : {}),
      ...(operation.idempotent
        ? {}
        : { [HEADERS.idempotencyKey]: v7(), [HEADERS.firstAttempt]: "1" }),
    },
    body: hasBody
      ? JSON.stringify({ key: call.key, request: call.requestId })
      : null,
  };
}

/**
 * Classifies a response: `cut` if its body is incomplete, `crossed` if it belongs to another request,
 * `refused` for any other status of 400 or above.
 */
function classifyResponse(
  response: Dispatcher.ResponseData,
  call: { text: string; requestId: string },
): { outcome: CallerOutcome; server: string | undefined } {
  const outcome = response.headers[HEADERS.outcome];
  if (outcome === "not_run" || outcome === "unknown") {
    return { outcome, server: undefined };
  }
  if (response.statusCode >= 400) {
    return { outcome: "refused", server: undefined };
  }
  try {
    const body = JSON.parse(call.text) as {
      request_id?: string;
      served_by?: string;
    };
    const matchesRequest = body.request_id === call.requestId &&
      response.headers[HEADERS.requestId] === call.requestId;
    return {
      outcome: matchesRequest ? "done" : "crossed",
      server: body.served_by,
    };
  } catch {
    return { outcome: "cut", server: undefined };
  }
}

async function readLedger(address: string): Promise<LedgerEntry[]> {
  const response = await request(`http://${address}/standin/ledger`);
  return await response.body.json() as LedgerEntry[];
}
