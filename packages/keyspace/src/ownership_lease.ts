/**
 * How long a daemon may let its backend server hold the keys that the store assigns to it, and when another daemon can
 * be certain that this time has ended.
 *
 * @module
 */
import type { Arbiter, OwnershipRecord } from "./ownership_record.ts";

/**
 * Maximum duration of an ownership lease, in milliseconds, counted from before the read of the store was sent. If all
 * arbiters have promised, or there are none, no takeover of the owner can finish within it. It is a constant and not a
 * setting, since daemons with different values could both consider themselves owners. It equals the longest hold that
 * backend servers accept: a shorter lease would stop requests with keys in shorter outages of the store, and a longer
 * one could not be used.
 */
export const MAX_LEASE_MS = 10_000;

/**
 * Duration of an ownership lease without promises of the arbiters, in milliseconds. It allows for two failed reads,
 * each with its timeout. The keys of a lost host are unavailable for this time.
 */
export const SHORT_LEASE_MS = 4_000;

/**
 * How long an arbiter's promise extends an ownership lease, in milliseconds. It must not exceed `SHORT_LEASE_MS`, since
 * an arbiter that has just promised waits only for the short lease before a takeover.
 */
export const PROMISE_TTL_MS = 2_500;

/**
 * Maximum relative difference between the rates of any two clocks involved. Backend servers have the slowest clocks and
 * may measure a hold 2 % too long; daemons' clocks differ by less than 1 %.
 */
export const CLOCK_DRIFT = 0.03;

/** Time after a seal at which the owner's lease has certainly ended, in milliseconds. */
export const TAKEOVER_WAIT_MS = Math.ceil(MAX_LEASE_MS * (1 + CLOCK_DRIFT));

/**
 * Time after a seal at which the owner's lease has certainly ended for one of its arbiters, in milliseconds: without
 * that arbiter's promise, the lease does not exceed `SHORT_LEASE_MS`.
 */
export const ARBITER_WAIT_MS = Math.ceil(SHORT_LEASE_MS * (1 + CLOCK_DRIFT));

/**
 * The lease under which a daemon may grant its keys, derived from its reads of the store and the promises of arbiters.
 */
export class OwnershipLease {
  private confirmedAtMs = -Infinity;
  private revision = 0;
  private requiredArbiters: readonly Arbiter[] = [];
  private readonly promiseExpiries = new Map<string, number>();
  /** Reads that were sent earlier confirm nothing. */
  private fencedAtMs = Infinity;

  private constructor(private readonly startedAtMs: number) {}

  /**
   * Creates the lease of a daemon that has not fenced earlier writes yet, see `recordFence`.
   *
   * @param startedAtMs when its process started, on its clock.
   */
  static create(startedAtMs = -Infinity): OwnershipLease {
    return new OwnershipLease(startedAtMs);
  }

  /**
   * Records a fence: no write that was sent earlier, and by which this daemon gives keys away, can take effect any more.
   * A read that was sent before the fence confirms nothing, since such a write may have taken effect after it.
   *
   * @param nowMs the daemon's clock when it learned that the fence is in force.
   */
  recordFence(nowMs: number): void {
    this.fencedAtMs = nowMs;
  }

  /**
   * Records a read of the ownership record that showed no seal on this daemon. Reads older than the latest one, or than
   * the fence, have no effect.
   *
   * @param sentAtMs the daemon's clock before the read was sent, since the result may be that old.
   * @param record the record that was read: its arbiters and its revision.
   */
  confirm(
    sentAtMs: number,
    record: Pick<OwnershipRecord, "arbiters" | "revision">,
  ): void {
    if (sentAtMs >= this.fencedAtMs && sentAtMs >= this.confirmedAtMs) {
      this.confirmedAtMs = sentAtMs;
      this.requiredArbiters = record.arbiters;
      this.revision = record.revision;
    }
  }

  /**
   * Records an arbiter's promise not to take this daemon over for `PROMISE_TTL_MS`.
   *
   * @param requestedAtMs the daemon's clock before it sent the request.
   */
  recordPromise(arbiter: string, requestedAtMs: number): void {
    const expiresAtMs = requestedAtMs + PROMISE_TTL_MS;
    const previousMs = this.promiseExpiries.get(arbiter) ?? -Infinity;
    this.promiseExpiries.set(arbiter, Math.max(previousMs, expiresAtMs));
  }

  /**
   * Discards all reads and promises, and the fence. Called when the backend server at this address belongs to another
   * service: what was read and promised for the previous service does not apply to the keys of the new one.
   */
  reset(): void {
    this.fencedAtMs = Infinity;
    this.confirmedAtMs = -Infinity;
    this.revision = 0;
    this.requiredArbiters = [];
    this.promiseExpiries.clear();
  }

  /** Whether reads that are sent now can confirm the lease. */
  get isFenced(): boolean {
    return this.fencedAtMs < Infinity;
  }

  /** The arbiters whose promises extend the lease beyond `SHORT_LEASE_MS`. */
  get arbiters(): readonly Arbiter[] {
    return this.requiredArbiters;
  }

  /**
   * Whether another daemon may have finished a takeover of this one: the lease has expired, and `SHORT_LEASE_MS` have
   * passed since the process started.
   */
  hasExpired(nowMs: number): boolean {
    const graceEndsAtMs = this.startedAtMs + SHORT_LEASE_MS;
    return Math.max(this.expiresAtMs, graceEndsAtMs) < nowMs;
  }

  /**
   * Whether a read of a record may confirm the lease of a daemon that it lists as an owner. A record that was
   * restored because the store had lost a later one confirms only leases that are still valid: a takeover of another
   * owner may be among the lost changes.
   */
  mayConfirm(
    record: Pick<OwnershipRecord, "isRestored">,
    nowMs: number,
  ): boolean {
    return !record.isRestored || this.expiresAtMs >= nowMs;
  }

  /** Revision of the record in the latest read that confirmed the lease. */
  get confirmedRevision(): number {
    return this.revision;
  }

  /** Age of the latest read that confirmed the lease, in milliseconds; infinite without one. */
  confirmationAgeMs(nowMs: number): number {
    return nowMs - this.confirmedAtMs;
  }

  /** When the daemon must no longer let its backend server hold keys, on the daemon's clock. */
  get expiresAtMs(): number {
    const promisedUntilMs = Math.min(
      ...this.requiredArbiters.map(({ daemon }) =>
        this.promiseExpiries.get(daemon) ?? -Infinity
      ),
    );
    return Math.max(
      this.confirmedAtMs + SHORT_LEASE_MS,
      Math.min(this.confirmedAtMs + MAX_LEASE_MS, promisedUntilMs),
    );
  }

  /**
   * Remaining time of the lease and so the longest hold that may be granted now, in milliseconds on the backend
   * server's clock; 0 if none may be. It allows for clock drift, so that a backend server with a slow clock does not
   * hold keys after the lease has expired.
   */
  remainingMs(nowMs: number): number {
    const remainingMs = (this.expiresAtMs - nowMs) / (1 + CLOCK_DRIFT);
    return Math.max(0, Math.floor(remainingMs));
  }
}

/**
 * Determines when sealed owners may be replaced. Only the clock of the observing daemon counts: it waits for the full
 * time from when it first read the seal, so daemons need no synchronized clocks.
 */
export class TakeoverTimers {
  private readonly sealsSeenAtMs = new Map<number, number>();
  private readonly appointmentsSeenAtMs = new Map<string, number>();

  private constructor() {}

  /** Creates timers for a daemon that has observed no seal. */
  static create(): TakeoverTimers {
    return new TakeoverTimers();
  }

  /** Records which owners are sealed and which daemons are arbiters in a record of the store. */
  observe(
    record: Pick<OwnershipRecord, "sealedOwners" | "arbiters">,
    nowMs: number,
  ): void {
    updateFirstSeen(
      this.sealsSeenAtMs,
      record.sealedOwners.map(({ seal }) => seal),
      nowMs,
    );
    updateFirstSeen(
      this.appointmentsSeenAtMs,
      record.arbiters.map(appointmentKey),
      nowMs,
    );
  }

  /**
   * Whether the lease of the owner under a seal has certainly ended.
   *
   * An arbiter waits only for the short lease: the owner's lease could not have been extended without its promise,
   * and it makes none to an owner that it has observed as sealed. But an owner that read the record before the
   * arbiter was appointed needs no such promise, so the arbiter must have been appointed for longer than the maximum
   * lease.
   *
   * @param appointment the appointment of the calling daemon, if the record lists it as an arbiter.
   */
  hasLeaseEnded(seal: number, nowMs: number, appointment?: Arbiter): boolean {
    const sealedForMs = nowMs - (this.sealsSeenAtMs.get(seal) ?? Infinity);
    if (sealedForMs > TAKEOVER_WAIT_MS) {
      return true;
    }
    const appointedAtMs = appointment === undefined
      ? undefined
      : this.appointmentsSeenAtMs.get(appointmentKey(appointment));
    return appointedAtMs !== undefined &&
      nowMs - appointedAtMs > TAKEOVER_WAIT_MS &&
      sealedForMs > ARBITER_WAIT_MS;
  }
}

/** Keeps the time at which each present key was first seen, and removes keys that are no longer present. */
function updateFirstSeen<Key>(
  firstSeenAtMs: Map<Key, number>,
  present: readonly Key[],
  nowMs: number,
): void {
  const presentKeys = new Set(present);
  [...firstSeenAtMs.keys()]
    .filter((key) => !presentKeys.has(key))
    .forEach((key) => firstSeenAtMs.delete(key));
  present
    .filter((key) => !firstSeenAtMs.has(key))
    .forEach((key) => firstSeenAtMs.set(key, nowMs));
}

function appointmentKey({ daemon, appointmentId }: Arbiter): string {
  return `${appointmentId} ${daemon}`;
}
