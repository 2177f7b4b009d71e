/**
 * How long a daemon may let its backend server hold the keys that the store says are its own, and when
 * another daemon may be sure that this has ended.
 *
 * @module
 */
import type { Arbiter, OwnershipRecord } from "./ownership_record.ts";

/**
 * The longest tenure, in milliseconds. A read of the store proves for so long, from before it was sent,
 * that no takeover of the owner can have finished, if the arbiters agree or there are none. Daemons that
 * disagreed on it could both be right, so it is no setting. It equals the longest hold that backend servers
 * accept: a shorter one would stop keyed work in shorter outages of the store, a longer one would not be used.
 */
export const MAX_LEASE_MS = 10_000;

/**
 * For how long a read proves that without a word of the arbiters, in milliseconds: two reads may fail, each
 * with its timeout. The keys of a lost host stand still for as long.
 */
export const SHORT_LEASE_MS = 4_000;

/**
 * For how long an arbiter's promise extends a tenure, in milliseconds. It must not be longer than the short
 * tenure: an arbiter that has just promised waits for the latter only.
 */
export const PROMISE_TTL_MS = 2_500;

/**
 * How much faster or slower any two clocks involved may run. The slowest are those of backend servers,
 * which may measure a hold 2 % too long; daemons' clocks differ by less than 1 %.
 */
export const CLOCK_DRIFT = 0.03;

/** After a seal, how long until the owner's tenure has certainly ended, in milliseconds. */
export const TAKEOVER_WAIT_MS = Math.ceil(MAX_LEASE_MS * (1 + CLOCK_DRIFT));

/** The same for an arbiter without whose promise the owner could not go on, in milliseconds. */
export const ARBITER_WAIT_MS = Math.ceil(SHORT_LEASE_MS * (1 + CLOCK_DRIFT));

/** The right of one daemon to grant its keys, from what it read in the store and what arbiters promised. */
export class OwnershipLease {
  private confirmedAtMs = -Infinity;
  private revision = 0;
  private known: readonly Arbiter[] = [];
  private readonly promises = new Map<string, number>();

  private constructor(private readonly startedAtMs: number) {}

  /**
   * Creates the tenure of a daemon that has read nothing yet.
   *
   * @param startedAtMs when its process began, on its clock.
   */
  static create(startedAtMs = -Infinity): OwnershipLease {
    return new OwnershipLease(startedAtMs);
  }

  /**
   * Notes a read of the record that showed no seal on this daemon.
   *
   * @param sentAtMs the daemon's clock before the read was sent: what it shows may be as old.
   * @param record what was read: whom it names as arbiters, and its revision.
   */
  confirm(
    sentAtMs: number,
    record: Pick<OwnershipRecord, "arbiters" | "revision">,
  ): void {
    if (sentAtMs >= this.confirmedAtMs) {
      this.confirmedAtMs = sentAtMs;
      this.known = record.arbiters;
      this.revision = record.revision;
    }
  }

  /**
   * Notes that an arbiter has promised not to take this daemon over for a while.
   *
   * @param askedAtMs the daemon's clock before it asked.
   */
  recordPromise(arbiter: string, askedAtMs: number): void {
    const untilMs = askedAtMs + PROMISE_TTL_MS;
    const knownMs = this.promises.get(arbiter) ?? -Infinity;
    this.promises.set(arbiter, Math.max(knownMs, untilMs));
  }

  /**
   * Forgets everything: the backend server at this address is of another service now, and what was read and promised
   * for the former says nothing of the new one's keys.
   */
  reset(): void {
    this.confirmedAtMs = -Infinity;
    this.revision = 0;
    this.known = [];
    this.promises.clear();
  }

  /** Those without whose promise the tenure ends early. */
  get arbiters(): readonly Arbiter[] {
    return this.known;
  }

  /**
   * Whether a takeover of the daemon may have finished since it knows of its keys: after its right has ended, or so
   * long after its start without one.
   */
  hasExpired(nowMs: number): boolean {
    const graceUntilMs = this.startedAtMs + SHORT_LEASE_MS;
    return Math.max(this.expiresAtMs, graceUntilMs) < nowMs;
  }

  /**
   * Whether a read of a record may confirm the tenure of a daemon that it names as an owner. One that was put back
   * because the store had lost a later one confirms only those who were owners all along: a takeover of another may
   * be among what was lost.
   */
  mayConfirm(
    record: Pick<OwnershipRecord, "isRestored">,
    nowMs: number,
  ): boolean {
    return !record.isRestored || this.expiresAtMs >= nowMs;
  }

  /** Revision of the record by the latest read that confirmed the tenure. */
  get confirmedRevision(): number {
    return this.revision;
  }

  /** How old the latest read that confirmed the tenure is, in milliseconds; infinite without one. */
  confirmationAgeMs(nowMs: number): number {
    return nowMs - this.confirmedAtMs;
  }

  /** Until when the daemon may let its backend server hold keys, on the daemon's clock. */
  get expiresAtMs(): number {
    const promisedMs = Math.min(
      ...this.known.map(({ daemon }) => this.promises.get(daemon) ?? -Infinity),
    );
    return Math.max(
      this.confirmedAtMs + SHORT_LEASE_MS,
      Math.min(this.confirmedAtMs + MAX_LEASE_MS, promisedMs),
    );
  }

  /**
   * The longest hold that may be granted now, in milliseconds on the backend server's clock; 0 where
   * none may. A slow clock of the backend server must not carry the hold beyond the tenure.
   */
  maxHoldMs(nowMs: number): number {
    const left = (this.expiresAtMs - nowMs) / (1 + CLOCK_DRIFT);
    return Math.max(0, Math.floor(left));
  }
}

/**
 * Finds out when sealed owners may be replaced. Only the clock of the observing daemon counts: it waits
 * in full from when it first saw the seal in the store, so daemons need no common time.
 */
export class TakeoverTimers {
  private readonly seals = new Map<number, number>();
  private readonly offices = new Map<string, number>();

  private constructor() {}

  /** Creates one that has seen no seal. */
  static create(): TakeoverTimers {
    return new TakeoverTimers();
  }

  /** Notes which owners a record of the store shows as sealed, and whom as arbiters. */
  observe(
    record: Pick<OwnershipRecord, "sealedOwners" | "arbiters">,
    nowMs: number,
  ): void {
    noteSeen(this.seals, record.sealedOwners.map(({ seal }) => seal), nowMs);
    noteSeen(this.offices, record.arbiters.map(nameOffice), nowMs);
  }

  /**
   * Whether the tenure of the owner under a seal has certainly ended.
   *
   * An arbiter waits for the short tenure only: the owner can't have gone on without its promise, and it makes none
   * to an owner that it has seen sealed. But an owner that read the record before the arbiter was named
   * needs no such promise, so an arbiter must have been one for the longest tenure.
   *
   * @param office the office of the asking daemon, if the record names it as an arbiter.
   */
  hasLeaseEnded(seal: number, nowMs: number, office?: Arbiter): boolean {
    const sealedForMs = nowMs - (this.seals.get(seal) ?? Infinity);
    if (sealedForMs > TAKEOVER_WAIT_MS) {
      return true;
    }
    const inOfficeSinceMs = office === undefined
      ? undefined
      : this.offices.get(nameOffice(office));
    return inOfficeSinceMs !== undefined &&
      nowMs - inOfficeSinceMs > TAKEOVER_WAIT_MS &&
      sealedForMs > ARBITER_WAIT_MS;
  }
}

/** Keeps for what is there since when it has been, and forgets what is gone. */
function noteSeen<Key>(
  seen: Map<Key, number>,
  present: readonly Key[],
  nowMs: number,
): void {
  const there = new Set(present);
  [...seen.keys()]
    .filter((key) => !there.has(key))
    .forEach((key) => seen.delete(key));
  present
    .filter((key) => !seen.has(key))
    .forEach((key) => seen.set(key, nowMs));
}

function nameOffice({ daemon, appointmentId }: Arbiter): string {
  return `${appointmentId} ${daemon}`;
}
