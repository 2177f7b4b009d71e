/**
 * When an arbiter may promise an owner not to take it over for a while.
 *
 * @module
 */
import type { OwnershipRecord } from "./ownership_record.ts";
import { TAKEOVER_WAIT_MS } from "./ownership_lease.ts";

/** An owner asks for a promise. */
export interface PromiseRequest {
  /** The daemon that asks. */
  readonly owner: string;
  /** Revision of the record by which it last confirmed its tenure. */
  readonly confirmedRevision: number;
}

/**
 * What an arbiter knows of the seals of one service.
 *
 * What goes wrong without it: an owner that can't read the store is sealed and taken over; the record then shows no seal
 * on it any more, and a promise carries it on with keys that are another's. One would notice two backend servers that
 * hold the same keys for some seconds. So an arbiter promises only to an owner that has read the record since the
 * arbiter last saw it sealed.
 */
export class ArbiterState {
  /** The newest revision at which each daemon was seen sealed. */
  private readonly sealedAt = new Map<string, number>();
  private isInformed = false;
  private startRevision = Infinity;

  private constructor(private readonly startedAtMs: number) {}

  /** Creates the book of a daemon that started at a time of its own clock. */
  static create(startedAtMs: number): ArbiterState {
    return new ArbiterState(startedAtMs);
  }

  /** Notes a revision of the store that was written by this process: what has a higher one came after its start. */
  recordStartRevision(revision: number): void {
    this.startRevision = revision;
  }

  /** Notes whom a record of the store shows as sealed. */
  observe(record: Pick<OwnershipRecord, "sealedOwners" | "revision">): void {
    this.isInformed ||= record.revision > 0;
    record.sealedOwners.forEach(({ daemon }) => {
      const known = this.sealedAt.get(daemon) ?? 0;
      this.sealedAt.set(daemon, Math.max(known, record.revision));
    });
  }

  /**
   * Whether the promise may be given. An earlier process of this daemon may have taken the owner over just before it
   * ended. No owner goes on by what it read before that, if its record is newer than this process, or after the
   * longest tenure.
   */
  mayPromise(question: PromiseRequest, nowMs: number): boolean {
    const sealedAt = this.sealedAt.get(question.owner) ?? -Infinity;
    const knowsAll = question.confirmedRevision > this.startRevision ||
      nowMs - this.startedAtMs > TAKEOVER_WAIT_MS;
    return this.isInformed && knowsAll &&
      question.confirmedRevision > sealedAt;
  }
}
