/**
 * One run of load against a fleet.
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
import { KeyChooser, type KeyShape } from "./key_chooser.ts";
import {
  type CallerOutcome,
  LoadRecorder,
  type LoadReport,
} from "./load_report.ts";

/** What a run does. */
export interface LoadPlan {
  readonly arrivals: ArrivalShape;
  readonly keys: KeyShape;
  /** The configuration in force; its operations are called, in equal parts. */
  readonly document: ConfigurationDocument;
  /** Daemons to call, `address:port`. */
  readonly targets: readonly string[];
  /** Backend server stand-ins whose ledgers are compared, `address:port`. */
  readonly ledgers: readonly string[];
  /** Whether callers go to the owner that an earlier answer named. */
  readonly followHints: boolean;
  /** Connections to each daemon. */
  readonly connections: number;
  /** Gives numbers from 0 up to 1. */
  readonly random: () => number;
}

interface LedgerEntry {
  readonly requestId: string;
  readonly method: string;
}

/** At most so many requests wait at a time; arrivals beyond are counted as unreachable. */
const MAXIMUM_OPEN = 20_000;
const MAXIMUM_HINTS = 100_000;

/** A run of load. */
export class LoadRun {
  private readonly recorder = LoadRecorder.create();
  private readonly agent: Agent;
  private readonly operations: readonly Operation[];
  private readonly hints = new Map<string, string>();
  /** What callers were told, by identity of the request. */
  private readonly told = new Map<
    string,
    { outcome: CallerOutcome; idempotent: boolean }
  >();
  private open = 0;

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

  /** Creates a run that has not begun. */
  static create(plan: LoadPlan): LoadRun {
    return new LoadRun(plan);
  }

  /** Runs to the end, compares the ledgers and reports. */
  async run(): Promise<LoadReport> {
    const startMs = performance.now();
    const chooser = KeyChooser.create(this.plan.keys, this.plan.random);
    const pending = new Set<Promise<void>>();
    for (
      const atMs of ArrivalSchedule.create(this.plan.arrivals, this.plan.random)
        .times()
    ) {
      const waitMs = startMs + atMs - performance.now();
      if (waitMs > 1) {
        await sleep(waitMs);
      }
      const call = this.call(chooser.choose(atMs), startMs + atMs).finally(() =>
        pending.delete(call)
      );
      pending.add(call);
    }
    await Promise.all(pending);
    const seconds = (performance.now() - startMs) / 1_000;
    const checks = await this.compareLedgers();
    await this.agent.destroy();
    return { ...this.recorder.finish(seconds), ...checks };
  }

  private async call(key: string, plannedMs: number): Promise<void> {
    const operation = this.pick(this.operations);
    const requestId = v4();
    const end = this.open >= MAXIMUM_OPEN
      ? { outcome: "unreachable" as const, server: undefined }
      : await this.send(operation, { key, requestId });
    this.told.set(requestId, {
      outcome: end.outcome,
      idempotent: operation.idempotent,
    });
    this.recorder.note(operation.name, {
      ...end,
      tookMs: performance.now() - plannedMs,
    });
  }

  private async send(
    operation: Operation,
    call: { key: string; requestId: string },
  ): Promise<{ outcome: CallerOutcome; server: string | undefined }> {
    const hintName = `${operation.path}\n${call.key}`;
    const hint = this.plan.followHints ? this.hints.get(hintName) : undefined;
    const target = hint ?? this.pick(this.plan.targets);
    this.open += 1;
    try {
      const response = await this.agent.request({
        origin: `http://${target}`,
        ...buildRequest(operation, call),
      });
      const text = await response.body.text();
      this.noteHint(hintName, response.headers[HEADERS.owner]);
      return readEnd(response, { text, requestId: call.requestId });
    } catch (cause) {
      const code = (cause as NodeJS.ErrnoException).code;
      return {
        outcome: code === "ECONNREFUSED" ? "unreachable" : "cut",
        server: undefined,
      };
    } finally {
      this.open -= 1;
    }
  }

  private noteHint(name: string, owner: string | string[] | undefined): void {
    if (
      this.plan.followHints && typeof owner === "string" &&
      this.hints.size < MAXIMUM_HINTS
    ) {
      this.hints.set(name, owner);
    }
  }

  private async compareLedgers(): Promise<
    { doubled: number; lost: number; falselyNotRun: number }
  > {
    const ledgers = await Promise.all(this.plan.ledgers.map(readLedger));
    const runs = ledgers.flat().reduce(
      (counts, entry) =>
        counts.set(entry.requestId, (counts.get(entry.requestId) ?? 0) + 1),
      new Map<string, number>(),
    );
    const told = [...this.told];
    const count = (
      predicate: (
        entry: { outcome: CallerOutcome; idempotent: boolean },
        runs: number,
      ) => boolean,
    ) =>
      told.filter(([id, entry]) => predicate(entry, runs.get(id) ?? 0)).length;
    const compared = this.plan.ledgers.length > 0;
    return {
      doubled: count((entry, times) => !entry.idempotent && times > 1),
      lost: compared
        ? count((entry, times) => entry.outcome === "done" && times === 0)
        : 0,
      falselyNotRun: count((entry, times) =>
        entry.outcome === "not_run" && times > 0
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

/** Checks that the answer is whole and belongs to this very request. */
function readEnd(
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
    const own = body.request_id === call.requestId &&
      response.headers[HEADERS.requestId] === call.requestId;
    return { outcome: own ? "done" : "crossed", server: body.served_by };
  } catch {
    return { outcome: "cut", server: undefined };
  }
}

async function readLedger(address: string): Promise<LedgerEntry[]> {
  const response = await request(`http://${address}/standin/ledger`);
  return await response.body.json() as LedgerEntry[];
}
