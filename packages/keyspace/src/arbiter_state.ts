/**
 * When an arbiter may promise an owner not to take it over for some time.
 *
 * @module
 */
import type { OwnershipRecord } from "./ownership_record.ts";
import { TAKEOVER_WAIT_MS } from "./ownership_lease.ts";

/** An owner's request for a promise. */
export interface PromiseRequest {
  /** The requesting daemon. */
  readonly owner: string;
  /** Revision of the record by which it last confirmed its lease. */
  readonly confirmedRevision: number;
}

/**
 * The seals of one service that an arbiter has observed.
 *
 * An owner that can't read the store may be sealed and taken over, after which the record shows no seal on it any
 * more. A promise would then extend its lease for keys that belong to another owner, and two backend servers would
 * hold the same keys for some seconds. So an arbiter promises only to an owner that has read the record since the
 * arbiter last observed a seal on the owner.
 */
export class ArbiterState {
  /** The newest revision at which each daemon was sealed. */
  private readonly sealedAtRevision = new Map<string, number>();
  private hasRecord = false;
  private startRevision = Infinity;

  private constructor(private readonly startedAtMs: number) {}

  /** Creates the state of a daemon that started at the given time on its own clock, in milliseconds. */
  static create(startedAtMs: number): ArbiterState {
    return new ArbiterState(startedAtMs);
  }

  /** Records a revision that this process has written to the store: higher revisions are later than its start. */
  recordStartRevision(revision: number): void {
    this.startRevision = revision;
  }

  /** Records which owners are sealed in a record of the store. */
  observe(record: Pick<OwnershipRecord, "sealedOwners" | "revision">): void {
    this.hasRecord ||= record.revision > 0;
    record.sealedOwners.forEach(({ daemon }) => {
      const previous = this.sealedAtRevision.get(daemon) ?? 0;
      this.sealedAtRevision.set(daemon, Math.max(previous, record.revision));
    });
  }

  /**
   * Whether the promise may be made. An earlier process of this daemon may have taken the owner over just before it
   * ended. That is excluded if the owner's record is newer than this process, or once the maximum lease has passed
   * since the start of this process: then no owner holds keys by what it read before.
   */
  mayPromise(request: PromiseRequest, nowMs: number): boolean {
    const sealedAt = this.sealedAtRevision.get(request.owner) ?? -Infinity;
    const excludesEarlierTakeover =
      request.confirmedRevision > this.startRevision ||
      nowMs - this.startedAtMs > TAKEOVER_WAIT_MS;
    return this.hasRecord && excludesEarlierTakeover &&
      request.confirmedRevision > sealedAt;
  }
}
