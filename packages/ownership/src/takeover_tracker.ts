/**
 * The planner's notes on sessions that are being taken over.
 *
 * @module
 */
import type { SessionRecord } from "@bamboolink/types";
import { TAKEOVER_CHART } from "./chart.ts";
import { findEndTimes, type SealedSession } from "./end_evidence.ts";
import { type LeaseTiming, waiterDurationMs } from "./timing.ts";

interface Takeover {
  readonly record: SessionRecord;
  readonly sealedAtMs: number;
  readonly promiseEndsAtMs: Map<string, number>;
  endConfirmedAtMs: number | undefined;
  state: string;
}

/** Takeovers of one planner. All times are on its monotonic clock. */
export class TakeoverTracker {
  private readonly cases = new Map<string, Takeover>();
  private readonly endedAtMs = new Map<string, number>();

  private constructor(private readonly timing: LeaseTiming) {}

  /** Creates a book without takeovers. */
  static create(timing: LeaseTiming): TakeoverTracker {
    return new TakeoverTracker(timing);
  }

  /** Takes note of the session records: sealed ones become cases, ended ones become evidence. */
  observe(sessions: readonly SessionRecord[], nowMs: number): void {
    const replaced = new Set(sessions.flatMap((session) => session.replaces));
    sessions.filter((session) =>
      session.state === "ended" && !this.endedAtMs.has(session.id)
    )
      .forEach((session) => this.endedAtMs.set(session.id, nowMs));
    sessions.filter((session) => session.state === "sealed").forEach(
      (record) => {
        const known = this.cases.get(record.id);
        const entry = known ?? {
          record,
          sealedAtMs: nowMs,
          promiseEndsAtMs: new Map(),
          endConfirmedAtMs: undefined,
          state: TAKEOVER_CHART.next(TAKEOVER_CHART.initial, "SEALED"),
        };
        if (replaced.has(record.id) || record.declared_lost) {
          entry.endConfirmedAtMs ??= nowMs;
        }
        this.cases.set(record.id, entry);
      },
    );
    const present = new Set(sessions.map((session) => session.id));
    [...this.cases.keys()].filter((id) => !present.has(id)).forEach((id) =>
      this.cases.delete(id)
    );
    [...this.endedAtMs.keys()].filter((id) => !present.has(id)).forEach((id) =>
      this.endedAtMs.delete(id)
    );
  }

  /** Whether there are takeovers that have not finished. */
  get isBusy(): boolean {
    return [...this.cases.values()].some((entry) => entry.state !== "finished");
  }

  /** Witnesses that still have to refuse, with the sessions that each of them should refuse. */
  pendingRefusals(): Map<string, string[]> {
    const open = [...this.cases.values()].filter((entry) =>
      entry.state === "refusing" || entry.state === "stuck"
    );
    const pairs = open.flatMap(({ record, promiseEndsAtMs }) =>
      record.witnesses
        .filter((witness) => !promiseEndsAtMs.has(witness))
        .map((witness) => ({ witness, session: record.id }))
    );
    return pairs.reduce(
      (byWitness, { witness, session }) =>
        byWitness.set(witness, [...(byWitness.get(witness) ?? []), session]),
      new Map<string, string[]>(),
    );
  }

  /** Notes a refusal: from `remainingMs` after now on the witness's promise has certainly ended. */
  recordRefusal(
    session: string,
    refusal: { witness: string; remainingMs: number; nowMs: number },
  ): void {
    const promiseEndsAtMs = refusal.nowMs +
      waiterDurationMs(this.timing, refusal.remainingMs);
    this.cases.get(session)?.promiseEndsAtMs.set(
      refusal.witness,
      promiseEndsAtMs,
    );
  }

  /** Steps all takeovers by the evidence so far. */
  advance(nowMs: number): void {
    const sealed: SealedSession[] = [...this.cases.entries()].map((
      [id, entry],
    ) => ({
      id,
      witnesses: entry.record.witnesses,
      sealedAtMs: entry.sealedAtMs,
      promiseEndsAtMs: entry.promiseEndsAtMs,
      endConfirmedAtMs: entry.endConfirmedAtMs,
    }));
    const ended = [...this.endedAtMs].map(([id, observedAtMs]) => ({
      id,
      observedAtMs,
    }));
    const ends = findEndTimes(sealed, { ended, timing: this.timing });
    this.cases.forEach((entry, id) => {
      const end = ends.get(id);
      entry.state = TAKEOVER_CHART.next(
        entry.state,
        end === undefined ? "EVIDENCE_LACKING" : "EVIDENCE_COMPLETE",
      );
      if (end !== undefined && nowMs >= end + workAllowanceMs(entry.record)) {
        entry.state = TAKEOVER_CHART.next(entry.state, "RUN_OUT");
      }
    });
  }

  /** Whether the partitions of a session may be given to others. */
  mayReplace(session: string): boolean {
    const state = this.cases.get(session)?.state;
    return this.endedAtMs.has(session) || state === "assigning" ||
      state === "finished";
  }

  /** Sessions whose partitions may be given to others and whose records still say sealed. */
  replaceable(): string[] {
    return [...this.cases].filter(([, entry]) => entry.state === "assigning")
      .map(([id]) => id);
  }

  /** Notes that all partitions of a session have new owners. */
  finish(session: string): void {
    const entry = this.cases.get(session);
    if (entry !== undefined) {
      entry.state = TAKEOVER_CHART.next(entry.state, "ASSIGNED");
    }
  }

  /** Sessions whose takeover lacks evidence. */
  findStuck(): string[] {
    return [...this.cases].filter(([, entry]) => entry.state === "stuck").map((
      [id],
    ) => id);
  }
}

/**
 * How long work that was handed over may still run after the session ended.
 *
 * A backend server that checks its grant stops with it. One that doesn't runs on, up to the longest
 * timeout, and a new owner before that would be a second one.
 */
function workAllowanceMs(record: SessionRecord): number {
  return record.checks_fencing ? 0 : record.longest_work_ms;
}
