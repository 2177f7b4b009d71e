/**
 * Tracks the sessions that the planner is taking over.
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

/** Takeovers of one planner. All times are in milliseconds of its monotonic clock. */
export class TakeoverTracker {
  private readonly takeovers = new Map<string, Takeover>();
  private readonly endedAtMs = new Map<string, number>();

  private constructor(private readonly timing: LeaseTiming) {}

  /** Creates a tracker without takeovers. */
  static create(timing: LeaseTiming): TakeoverTracker {
    return new TakeoverTracker(timing);
  }

  /**
   * Updates the tracker from all session records: a sealed session starts a takeover, and an ended one is evidence
   * for others. Sessions that are no longer listed are deleted.
   */
  observe(sessions: readonly SessionRecord[], nowMs: number): void {
    const replaced = new Set(sessions.flatMap((session) => session.replaces));
    sessions.filter((session) =>
      session.state === "ended" && !this.endedAtMs.has(session.id)
    )
      .forEach((session) => this.endedAtMs.set(session.id, nowMs));
    sessions.filter((session) => session.state === "sealed").forEach(
      (record) => {
        const existing = this.takeovers.get(record.id);
        const entry = existing ?? {
          record,
          sealedAtMs: nowMs,
          promiseEndsAtMs: new Map(),
          endConfirmedAtMs: undefined,
          state: TAKEOVER_CHART.next(TAKEOVER_CHART.initial, "SEALED"),
        };
        if (replaced.has(record.id) || record.declared_lost) {
          entry.endConfirmedAtMs ??= nowMs;
        }
        this.takeovers.set(record.id, entry);
      },
    );
    const present = new Set(sessions.map((session) => session.id));
    [...this.takeovers.keys()].filter((id) => !present.has(id)).forEach((id) =>
      this.takeovers.delete(id)
    );
    [...this.endedAtMs.keys()].filter((id) => !present.has(id)).forEach((id) =>
      this.endedAtMs.delete(id)
    );
  }

  /** Whether any takeover has not finished. */
  get isBusy(): boolean {
    return [...this.takeovers.values()].some((entry) =>
      entry.state !== "finished"
    );
  }

  /** Returns, for each witness whose refusal is missing, the sessions that it should refuse. */
  pendingRefusals(): Map<string, string[]> {
    const open = [...this.takeovers.values()].filter((entry) =>
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

  /** Records a refusal by a witness whose last promise expires in at most `remainingMs` of the witness's clock. */
  recordRefusal(
    session: string,
    refusal: { witness: string; remainingMs: number; nowMs: number },
  ): void {
    const promiseEndsAtMs = refusal.nowMs +
      waiterDurationMs(this.timing, refusal.remainingMs);
    this.takeovers.get(session)?.promiseEndsAtMs.set(
      refusal.witness,
      promiseEndsAtMs,
    );
  }

  /** Advances the state of all takeovers according to the evidence so far. */
  advance(nowMs: number): void {
    const sealed: SealedSession[] = [...this.takeovers.entries()].map((
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
    this.takeovers.forEach((entry, id) => {
      const end = ends.get(id);
      entry.state = TAKEOVER_CHART.next(
        entry.state,
        end === undefined ? "EVIDENCE_LACKING" : "EVIDENCE_COMPLETE",
      );
      if (
        end !== undefined && nowMs >= end + maxRemainingWorkMs(entry.record)
      ) {
        entry.state = TAKEOVER_CHART.next(entry.state, "RUN_OUT");
      }
    });
  }

  /** Whether the partitions of a session may be assigned to others. */
  mayReplace(session: string): boolean {
    const state = this.takeovers.get(session)?.state;
    return this.endedAtMs.has(session) || state === "assigning" ||
      state === "finished";
  }

  /** Returns the sessions whose partitions may be assigned to others but are not all reassigned yet. */
  replaceable(): string[] {
    return [...this.takeovers].filter(([, entry]) =>
      entry.state === "assigning"
    )
      .map(([id]) => id);
  }

  /** Finishes a takeover, after all partitions of the session have new owners. */
  finish(session: string): void {
    const entry = this.takeovers.get(session);
    if (entry !== undefined) {
      entry.state = TAKEOVER_CHART.next(entry.state, "ASSIGNED");
    }
  }

  /** Returns the sessions whose takeover lacks evidence that they have ended. */
  findStuck(): string[] {
    return [...this.takeovers].filter(([, entry]) => entry.state === "stuck")
      .map((
        [id],
      ) => id);
  }
}

/**
 * How long a dispatched request may still run after the session has ended, in milliseconds.
 *
 * A backend server that checks its grant stops when the grant ends. One that doesn't check may run for up to the
 * longest time-out, and until then a new owner would be a second one.
 */
function maxRemainingWorkMs(record: SessionRecord): number {
  return record.checks_fencing ? 0 : record.longest_work_ms;
}
