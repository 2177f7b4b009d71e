/**
 * State of one session of this daemon, discarded when the session ends.
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

/** How long records of non-idempotent requests are retained, in milliseconds. */
const IDEMPOTENCY_RETENTION_MS = 600_000;
const MAX_IDEMPOTENCY_ENTRIES = 100_000;
/** Maximum difference between the wall clocks of callers and hosts, in milliseconds. */
export const MAX_CLOCK_SKEW_MS = 1_000;

/** One session of this daemon. */
export class LocalSession {
  /** Promises that witnesses made to this session. */
  readonly lease: LeaseHolder;
  /** Promises that this session made to other sessions, as their witness. */
  readonly ledger: WitnessLedger;
  /** Assignments that this session released. */
  readonly releases = ReleaseLedger.create();
  /** Non-idempotent requests that this session ran, with their responses. */
  readonly idempotency = IdempotencyLedger.create({
    retentionMs: IDEMPOTENCY_RETENTION_MS,
    entries: MAX_IDEMPOTENCY_ENTRIES,
    clockSkewMs: MAX_CLOCK_SKEW_MS,
  });
  private readonly assignmentLeases = new Map<
    string,
    { token: number; startedAtMs: number }
  >();
  /** Proposed sets of witnesses whose writes may or may not have reached the store. */
  private proposedWitnessSets: (readonly string[])[] = [];
  private currentState = SESSION_CHART.next(SESSION_CHART.initial, "ANNOUNCED");

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

  /** The record as last confirmed by a write or read. */
  get record(): SessionRecord {
    return this.confirmedRecord;
  }

  /** The store's revision of the record; 0 until it is written. */
  get revision(): number {
    return this.confirmedRevision;
  }

  /**
   * Records that a change of witnesses is about to be written. Until `confirmRecord`, a takeover may query
   * any of the sets, so a quorum of each is required.
   */
  proposeWitnesses(witnesses: readonly string[]): void {
    this.proposedWitnessSets.push(witnesses);
    this.lease.setWitnesses(
      this.confirmedRecord.witnesses,
      ...this.proposedWitnessSets,
    );
  }

  /** Records which record is certainly in the store, at a newer revision than before. */
  confirmRecord(record: SessionRecord, revision: number): void {
    this.confirmedRecord = record;
    this.confirmedRevision = revision;
    this.proposedWitnessSets = [];
    this.lease.setWitnesses(record.witnesses);
  }

  /** Id of the session. */
  get id(): string {
    return this.record.id;
  }

  /** State in the session state chart. */
  get state(): string {
    return this.currentState;
  }

  /** Applies an event to the session state chart; returns whether the state changed. */
  applyEvent(
    event: "OPENED" | "QUORUM_HELD" | "QUORUM_LOST" | "SEALED",
  ): boolean {
    const before = this.currentState;
    this.currentState = SESSION_CHART.next(before, event);
    return this.currentState !== before;
  }

  /**
   * End of the time in which the session may serve, in milliseconds on the monotonic clock; `-Infinity`
   * if it may not serve.
   */
  get validUntilMs(): number {
    const isOpen = this.currentState === "suspended" ||
      this.currentState === "serving";
    return isOpen ? this.lease.validUntil : -Infinity;
  }

  /**
   * Whether a request may be dispatched to the backend server under an assignment. Check this immediately
   * before dispatching.
   */
  mayServe(
    assignment: AssignmentId & { session: string },
    nowMs: number,
  ): boolean {
    return assignment.session === this.id &&
      nowMs < this.validUntilMs &&
      this.releases.mayAdmit(assignment);
  }

  /**
   * Whether a request may run for the given time. A takeover from a backend server that does not check
   * fencing tokens waits for the record's `longest_work_ms`; a longer request could still be running while
   * the next owner serves the same keys.
   */
  mayRunFor(durationMs: number): boolean {
    const { checks_fencing: checks, longest_work_ms: maxDurationMs } =
      this.record;
    return checks || durationMs <= maxDurationMs;
  }

  /** Records when this session first held each of its assignments, in milliseconds on the wall clock. */
  recordAssignments(shards: readonly TableShard[], wallClockMs: number): void {
    shards.forEach((shard) => {
      const ownIndex = shard.sessions.indexOf(this.id);
      if (ownIndex < 0) {
        return;
      }
      shard.owners.forEach((owner, index) => {
        if (owner === ownIndex) {
          const name = `${shard.service}/${shard.first + index}`;
          this.recordLeaseStart(name, {
            token: shard.tokens[index] ?? 0,
            startedAtMs: wallClockMs,
          });
        }
      });
    });
  }

  /**
   * When this session first held an assignment, in milliseconds on the wall clock; `Infinity` if it does not
   * hold it.
   */
  leaseStartedAtMs(assignment: AssignmentId): number {
    const known = this.assignmentLeases.get(
      `${assignment.service}/${assignment.partition}`,
    );
    return known !== undefined && known.token === assignment.token
      ? known.startedAtMs
      : Infinity;
  }

  private recordLeaseStart(
    name: string,
    lease: { token: number; startedAtMs: number },
  ): void {
    if (this.assignmentLeases.get(name)?.token !== lease.token) {
      this.assignmentLeases.set(name, lease);
    }
  }
}
