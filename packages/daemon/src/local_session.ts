/**
 * Everything that belongs to one session of this daemon and ends with it.
 *
 * @module
 */
import { IdempotencyLedger } from "@bamboolink/admission";
import {
  type AssignmentId,
  LeaseHolder,
  type LeaseTiming,
  ReleaseLedger,
  SESSION_CHART,
  WitnessLedger,
} from "@bamboolink/ownership";
import type { SessionRecord, TableShard } from "@bamboolink/types";

/** How long non-idempotent requests are remembered, in milliseconds. */
const IDEMPOTENCY_MEMORY_MS = 600_000;
const IDEMPOTENCY_ENTRIES = 100_000;
/** The most by which the wall clocks of callers and hosts may differ, in milliseconds. */
export const MAX_CLOCK_SKEW_MS = 1_000;

/** One session of this daemon. */
export class LocalSession {
  /** Promises that others gave this session. */
  readonly lease: LeaseHolder;
  /** Promises that this session gave others. */
  readonly ledger: WitnessLedger;
  /** What this session gave up. */
  readonly releases = ReleaseLedger.create();
  /** Non-idempotent requests that this session ran. */
  readonly idempotency = IdempotencyLedger.create({
    memoryMs: IDEMPOTENCY_MEMORY_MS,
    entries: IDEMPOTENCY_ENTRIES,
    clockSkewMs: MAX_CLOCK_SKEW_MS,
  });
  private readonly tenures = new Map<
    string,
    { token: number; sinceMs: number }
  >();
  /** Sets of witnesses that were proposed and may or may not be in the store. */
  private proposed: (readonly string[])[] = [];
  private chartState = SESSION_CHART.next(SESSION_CHART.initial, "ANNOUNCED");

  private constructor(
    private confirmedRecord: SessionRecord,
    private confirmedRevision: number,
    timing: LeaseTiming,
  ) {
    this.lease = LeaseHolder.create(timing);
    this.ledger = WitnessLedger.create(timing);
    this.lease.setWitnesses(confirmedRecord.witnesses);
  }

  /** Creates a session whose record is not in the store yet. */
  static create(record: SessionRecord, timing: LeaseTiming): LocalSession {
    return new LocalSession(record, 0, timing);
  }

  /** The record as last written or read. */
  get record(): SessionRecord {
    return this.confirmedRecord;
  }

  /** The store's revision of the record; 0 while it is not written. */
  get revision(): number {
    return this.confirmedRevision;
  }

  /**
   * Notes that a change of witnesses is about to be sent. Until it is settled, any of the sets may be
   * the one that a takeover asks, so a quorum of each is needed.
   */
  proposeWitnesses(witnesses: readonly string[]): void {
    this.proposed.push(witnesses);
    this.lease.setWitnesses(this.confirmedRecord.witnesses, ...this.proposed);
  }

  /** Notes the record that is certainly in the store, at a newer revision than before. */
  confirmRecord(record: SessionRecord, revision: number): void {
    this.confirmedRecord = record;
    this.confirmedRevision = revision;
    this.proposed = [];
    this.lease.setWitnesses(record.witnesses);
  }

  /** Identity of the session. */
  get id(): string {
    return this.record.id;
  }

  /** State in the session chart. */
  get state(): string {
    return this.chartState;
  }

  /** Steps the session chart; returns whether the state changed. */
  applyEvent(
    event: "OPENED" | "QUORUM_HELD" | "QUORUM_LOST" | "SEALED",
  ): boolean {
    const before = this.chartState;
    this.chartState = SESSION_CHART.next(before, event);
    return this.chartState !== before;
  }

  /** Until when the session may serve, on the monotonic clock; in the past where it may not. */
  get validUntilMs(): number {
    const isOpen = this.chartState === "suspended" ||
      this.chartState === "serving";
    return isOpen ? this.lease.validUntil : -Infinity;
  }

  /** Whether a request may be handed over under an assignment, checked at the moment of doing so. */
  mayServe(
    assignment: AssignmentId & { session: string },
    nowMs: number,
  ): boolean {
    return assignment.session === this.id &&
      nowMs < this.validUntilMs &&
      this.releases.mayAdmit(assignment);
  }

  /**
   * Whether work may run for so long. A takeover from a backend server that does not check its grants
   * waits as long as the record says; longer work would run on beside the next owner's.
   */
  mayRunFor(milliseconds: number): boolean {
    const { checks_fencing: checks, longest_work_ms: longestMs } = this.record;
    return checks || milliseconds <= longestMs;
  }

  /** Notes since when, on the wall clock, this session has held each of its assignments. */
  recordAssignments(shards: readonly TableShard[], wallClockMs: number): void {
    shards.forEach((shard) => {
      const own = shard.sessions.indexOf(this.id);
      if (own < 0) {
        return;
      }
      shard.owners.forEach((owner, index) => {
        if (owner === own) {
          const name = `${shard.service}/${shard.first + index}`;
          this.noteTenure(name, {
            token: shard.tokens[index] ?? 0,
            sinceMs: wallClockMs,
          });
        }
      });
    });
  }

  /** Since when, on the wall clock, this session has held an assignment. */
  leaseStartedAtMs(assignment: AssignmentId): number {
    const known = this.tenures.get(
      `${assignment.service}/${assignment.partition}`,
    );
    return known !== undefined && known.token === assignment.token
      ? known.sinceMs
      : Infinity;
  }

  private noteTenure(
    name: string,
    tenure: { token: number; sinceMs: number },
  ): void {
    if (this.tenures.get(name)?.token !== tenure.token) {
      this.tenures.set(name, tenure);
    }
  }
}
