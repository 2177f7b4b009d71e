/**
 * Tracks which keys the backend server on the daemon's host holds, may hold and has released.
 *
 * @module
 */
import type { OwnershipRecord } from "./ownership_record.ts";
import {
  KEY_COUNT,
  type KeyRange,
  RangeMap,
  type Segment,
  sizeOf,
} from "./range_map.ts";
import { CLOCK_DRIFT } from "./ownership_lease.ts";
import {
  fitRanges,
  type GrantLimit,
  type JoinableRange,
  joinHeldRanges,
} from "./join_ranges.ts";

/**
 * A fencing token is a revision of the store times this, plus the number of incarnations of the backend server since
 * that revision. A revision that a daemon has read is higher than all tokens of earlier owners, and a new incarnation
 * needs no call to the store, so it is granted keys in an outage of the store, too.
 */
const INCARNATIONS_PER_REVISION = 1_024;

/**
 * Maximum hold that is granted, in milliseconds: long enough to outlast a restart of the daemon (about 2 s) and a late
 * heartbeat; short enough that the keys of an unresponsive backend server are free within seconds.
 */
export const MAX_HOLD_MS = 5_000;

/**
 * Neighbouring ranges that the backend server holds are joined while it has more ranges than this. It is well below what
 * a response can hold, so ranges that arrive by a few moves keep the tokens that they arrived with.
 */
const MAX_SEPARATE_RANGES = 24;

/** A range and the fencing token under which it is held. */
export interface HeldRange extends KeyRange {
  readonly token: number;
}

/** A range that the backend server has released, with its proof of the handover. */
export interface ReleasedRange extends KeyRange {
  readonly handover: string;
}

/** A range that is granted. */
export interface GrantedRange extends HeldRange {
  readonly handover: string;
}

/** The keys that the response to a heartbeat grants, and for how long. */
export interface Grant {
  readonly ranges: readonly GrantedRange[];
  /** How long the grant is valid from when the heartbeat was sent, in milliseconds. */
  readonly holdMs: number;
  /** Ranges that the response can't hold; they are being released. */
  readonly excess: readonly KeyRange[];
}

interface Token {
  readonly token: number;
  readonly handover: string;
}

/** When the backend server was first granted a range under a token, without a handover from an earlier owner. */
interface Acquisition {
  readonly token: number;
  /** `undefined` if the range was handed over, or was granted by an earlier process of this daemon. */
  readonly acquiredAtMs: number | undefined;
}

/** The keys of one backend server, as tracked by the daemon on its host. */
export class GrantTracker {
  /** Ranges that the store assigns to the backend server, with the token of each. */
  private readonly tokens = RangeMap.create<Token>((left, right) =>
    left.token === right.token && left.handover === right.handover
  );
  /** Latest time until which the backend server may hold a range, on the daemon's clock. */
  private readonly mayHoldUntil = RangeMap.create<number>();
  /** Time until which the backend server certainly holds a range, according to its heartbeats. */
  private readonly holdsUntil = RangeMap.create<number>();
  /** The ranges that the running incarnation has reported to hold, with their tokens. */
  private readonly reported = RangeMap.create<number>();
  /** Ranges that are being released; they are not granted until the store assigns them again. */
  private readonly releasing = RangeMap.create<true>();
  /** The ranges that the current incarnation has been granted. It is slow for a while on those not handed over. */
  private readonly acquisitions = RangeMap.create<Acquisition>((left, right) =>
    left.token === right.token && left.acquiredAtMs === right.acquiredAtMs
  );
  private lastAcquiredAtMs = -Infinity;
  /** Whether the current incarnation has been granted any range. */
  private hasGranted = false;
  private incarnations = 0;
  /** Whether a record has shown a seal on the daemon since its lease was last confirmed. */
  private wasSealed = false;

  private constructor() {}

  /**
   * Creates a tracker of a backend server without keys.
   *
   * An earlier process of this daemon may have granted keys, unknown to this one, until just before it ended. Unless
   * the backend server reports otherwise, all keys count as held until such a grant has expired.
   */
  static create(nowMs: number): GrantTracker {
    const tracker = new GrantTracker();
    tracker.extend(
      { from: 0, to: KEY_COUNT - 1 },
      nowMs + MAX_HOLD_MS * (1 + CLOCK_DRIFT),
    );
    return tracker;
  }

  /**
   * Applies the daemon's own ranges in a record.
   *
   * @param own `revision`: a revision of the store that is at least the record's and higher than any that an earlier
   *   process of this daemon can have used for tokens.
   */
  applyRecord(
    record: OwnershipRecord,
    own: { daemon: string; revision: number },
  ): void {
    this.wasSealed ||= record.isSealed(own.daemon);
    const assigned = RangeMap.create<string>();
    record.rangesOf(own.daemon).forEach((segment) =>
      assigned.set(segment, segment.value.handover)
    );
    this.tokens.segments
      .flatMap((segment) => assigned.gaps(segment))
      .forEach((range) => {
        this.tokens.delete(range);
        this.releasing.delete(range);
        this.holdsUntil.delete(range);
      });
    if (record.isRestored) {
      // The owners of the other ranges in the lost record may still hold them.
      return;
    }
    const token = own.revision * INCARNATIONS_PER_REVISION + this.incarnations;
    assigned.segments.forEach((segment) =>
      this.tokens.gaps(segment).forEach((range) =>
        this.tokens.set(range, { token, handover: segment.value })
      )
    );
  }

  /**
   * Handles a read of the record that has confirmed the daemon's lease. If the lease had expired before, or the
   * daemon was sealed, its keys may have belonged to another owner for a while, in records that it has not read. They
   * get tokens above those of that owner: otherwise a key would be granted with a lower token than it was held with
   * before.
   *
   * @param read the revision that was read, and whether the lease had expired by then.
   */
  recordConfirmation(read: { revision: number; hasExpired: boolean }): void {
    const { revision, hasExpired } = read;
    const mayBeStale = hasExpired || this.wasSealed;
    this.wasSealed = false;
    if (!mayBeStale) {
      return;
    }
    const token = revision * INCARNATIONS_PER_REVISION + this.incarnations;
    this.tokens.replace((current) =>
      current.token < token ? { token, handover: "" } : current
    );
  }

  /**
   * Handles a new incarnation of the backend server.
   *
   * @param isProved whether the previous one has certainly ended, and with it all its holds. Without proof its grants
   *   count until they have expired: if it still ran, another owner would hold the same keys.
   */
  recordNewIncarnation(isProved: boolean): void {
    this.incarnations += 1;
    this.hasGranted = false;
    this.reported.clear();
    if (isProved) {
      this.mayHoldUntil.clear();
    }
    this.holdsUntil.clear();
    this.tokens.replace(({ token }) => ({ token: token + 1, handover: "" }));
  }

  /** Removes all keys: the backend server at the address belongs to another service. */
  clearKeys(): void {
    this.tokens.clear();
    this.releasing.clear();
    this.recordProcessEnd();
  }

  /** Records that the backend server's process has certainly ended, and with it all its holds. */
  recordProcessEnd(): void {
    this.mayHoldUntil.clear();
    this.holdsUntil.clear();
  }

  /**
   * Adopts the tokens that a backend server reports after a restart of this daemon: the same incarnation continues to
   * hold the same keys, and a new token would make it acquire them again.
   */
  adoptTokens(held: readonly HeldRange[], nowMs: number): void {
    if (this.hasGranted) {
      return;
    }
    held.forEach((range) => {
      this.extend(range, nowMs + MAX_HOLD_MS * (1 + CLOCK_DRIFT));
      this.tokens.within(range).forEach((own) =>
        this.adoptToken(own, range.token)
      );
    });
  }

  /**
   * Adopts tokens that the current incarnation reports and that are higher than the tracked ones. An earlier process of
   * this daemon granted them after the heartbeat by which this tracker was initialized had been sent. The backend
   * server would permanently refuse grants with lower tokens.
   */
  raiseTokens(held: readonly HeldRange[]): void {
    held.forEach((range) =>
      this.tokens.within(range)
        .filter(({ value }) => value.token < range.token)
        .forEach((own) => this.adoptToken(own, range.token))
    );
  }

  /**
   * Records the ranges that the current incarnation reports to hold. The handovers of those that it holds under their
   * tokens are no longer needed, and neighbours among them get a common token if there are many ranges.
   *
   * @returns the number of ranges that were joined with others because there were many.
   */
  recordHeld(
    held: readonly HeldRange[],
    maxSeparate = MAX_SEPARATE_RANGES,
  ): number {
    this.reported.clear();
    held.forEach((range) => this.reported.set(range, range.token));
    this.tokens.segments
      .filter(({ value }) => value.handover !== "")
      .filter((segment) => this.isHeld(segment, segment.value.token))
      .forEach(({ from, to, value: { token } }) =>
        this.tokens.set({ from, to }, { token, handover: "" })
      );
    if (this.tokens.segments.length <= maxSeparate) {
      return 0;
    }
    const separate = this.joinableRanges;
    const joined = joinHeldRanges(separate, maxSeparate);
    if (joined.length < separate.length) {
      this.applyJoined(joined);
    }
    return separate.length - joined.length;
  }

  /** The ranges that would be granted now, and whether the current incarnation holds them already. */
  private get joinableRanges(): JoinableRange[] {
    return this.grantable().map((range) => ({
      ...range,
      isHeld: this.isHeld(range, range.token),
    }));
  }

  /** Whether the current incarnation has reported that it holds a range under a token. */
  private isHeld(range: KeyRange, token: number): boolean {
    return this.reported.gaps(range).length === 0 &&
      this.reported.within(range).every(({ value }) => value === token);
  }

  /** Sets the tokens of joined ranges. Keys that the current incarnation was granted before keep that time. */
  private applyJoined(ranges: readonly JoinableRange[]): void {
    ranges.forEach(({ from, to, token, handover }) => {
      this.tokens.set({ from, to }, { token, handover });
      this.acquisitions.within({ from, to }).forEach((known) =>
        this.acquisitions.set(known, { ...known.value, token })
      );
    });
  }

  private adoptToken({ from, to }: KeyRange, token: number): void {
    this.tokens.set({ from, to }, { token, handover: "" });
    this.acquisitions.set({ from, to }, { token, acquiredAtMs: undefined });
  }

  /**
   * Creates the grant for the response to a heartbeat.
   *
   * @param limits `leaseRemainingMs`: the remaining time of the daemon's lease, on the backend server's clock from the
   *   heartbeat's arrival; `processingMs`: time from the heartbeat's arrival to the response; `size`: what the response
   *   can hold.
   */
  createGrant(
    limits: {
      leaseRemainingMs: number;
      nowMs: number;
      processingMs: number;
      size?: GrantLimit;
    },
  ): Grant {
    const { leaseRemainingMs, nowMs, processingMs, size } = limits;
    const holdMs = Math.min(MAX_HOLD_MS, leaseRemainingMs);
    if (holdMs <= 0) {
      return { ranges: [], holdMs, excess: [] };
    }
    const excess = size === undefined ? [] : this.fitGrant(size);
    const ranges = this.grantable();
    ranges.forEach((range) => {
      this.extend(range, nowMs + holdMs * (1 + CLOCK_DRIFT));
      this.holdsUntil.set(range, nowMs + holdMs - processingMs);
      this.recordAcquisition(range, nowMs);
    });
    this.hasGranted ||= ranges.length > 0;
    return { ranges, holdMs, excess };
  }

  /** Makes the ranges to grant fit a response, and begins to release those that don't fit. */
  private fitGrant(limit: GrantLimit): KeyRange[] {
    if (this.measure(limit) <= limit.bytes) {
      return [];
    }
    const separate = this.joinableRanges;
    const { ranges, excess } = fitRanges(separate, limit);
    this.applyJoined(ranges);
    this.beginRelease(excess);
    return excess.map(({ from, to }) => ({ from, to }));
  }

  /**
   * Records ranges that the backend server has reported as released.
   *
   * @returns the parts that are being released and may be assigned to another owner now.
   */
  recordReleased(released: readonly ReleasedRange[]): ReleasedRange[] {
    return released.flatMap((range) => {
      this.mayHoldUntil.delete(range);
      this.holdsUntil.delete(range);
      return this.releasing.within(range).map(({ from, to }) => ({
        from,
        to,
        handover: range.handover,
      }));
    });
  }

  /** Begins to release ranges: they are left out of all grants until the store assigns them to the daemon again. */
  beginRelease(ranges: readonly KeyRange[]): void {
    ranges.forEach((range) => {
      this.releasing.set(range, true);
      this.holdsUntil.delete(range);
    });
  }

  /** Cancels a release that has certainly not reached the store: the ranges are granted again. */
  cancelRelease(ranges: readonly KeyRange[]): void {
    ranges.forEach((range) => this.releasing.delete(range));
  }

  /** Size of a grant of all ranges, in the unit of a limit. */
  measure(limit: GrantLimit): number {
    return this.grantable().reduce(
      (sum, range) => sum + limit.measure(range),
      0,
    );
  }

  /** Ranges that are being released and that the backend server can no longer hold. */
  findReleased(nowMs: number): KeyRange[] {
    return this.releasing.segments.flatMap((segment) =>
      this.unheldParts(segment, nowMs)
    );
  }

  /** Ranges of the backend server that it can no longer hold without a new grant. */
  findExpired(nowMs: number): KeyRange[] {
    return this.tokens.segments.flatMap((segment) =>
      this.unheldParts(segment, nowMs)
    );
  }

  /** The ranges of the backend server whose handovers are no longer needed. */
  get rangesWithoutHandover(): KeyRange[] {
    return this.tokens.segments
      .filter(({ value }) => value.handover === "")
      .map(({ from, to }) => ({ from, to }));
  }

  /** Whether a key belongs to the backend server and is not being released. */
  owns(key: number): boolean {
    return this.tokens.get(key) !== undefined &&
      this.releasing.get(key) === undefined;
  }

  /** Whether the backend server certainly holds a key now. */
  holds(key: number, nowMs: number): boolean {
    return (this.holdsUntil.get(key) ?? -Infinity) > nowMs;
  }

  /** Whether the backend server certainly holds all its keys until a time, so that no grant is missing. */
  holdsAll(untilMs: number): boolean {
    const held = RangeMap.createFrom(
      this.holdsUntil.segments
        .filter(({ value }) => value > untilMs)
        .map(({ from, to }) => ({ from, to, value: true })),
    );
    return this.ownRanges.every((range) => held.gaps(range).length === 0);
  }

  /**
   * When the backend server was granted a key that no earlier owner has handed over to it; `undefined` for other keys.
   * It is slow on such a key for a while.
   */
  acquiredAtMs(key: number): number | undefined {
    return this.acquisitions.get(key)?.acquiredAtMs;
  }

  /** Share of the backend server's keys that it was granted without a handover since a time, from 0 to 1. */
  acquiredShareSince(sinceMs: number): number {
    if (this.lastAcquiredAtMs <= sinceMs) {
      return 0;
    }
    const { ownRanges, ownKeyCount } = this;
    const acquiredCount = ownRanges
      .flatMap((range) => this.acquisitions.within(range))
      .filter(({ value: { acquiredAtMs = -Infinity } }) =>
        acquiredAtMs > sinceMs
      )
      .reduce((sum, range) => sum + sizeOf(range), 0);
    return ownKeyCount === 0 ? 0 : acquiredCount / ownKeyCount;
  }

  /**
   * How long the backend server will certainly hold at least one key, in milliseconds; 0 if it does not certainly hold
   * one. It may still hold some then: see `findExpired`.
   */
  certainHoldMs(nowMs: number): number {
    const remainingMs = this.holdsUntil.segments.map(({ value }) =>
      value - nowMs
    );
    return Math.max(0, ...remainingMs);
  }

  /** Whether the running incarnation has been granted any range by this process. */
  get hasGrantedKeys(): boolean {
    return this.hasGranted;
  }

  /** Whether any range is being released. */
  get isReleasing(): boolean {
    return this.releasing.segments.length > 0;
  }

  /** The ranges that belong to the backend server and are not being released. */
  get ownRanges(): KeyRange[] {
    return this.grantable().map(({ from, to }) => ({ from, to }));
  }

  /** Number of keys that belong to the backend server and are not being released. */
  get ownKeyCount(): number {
    return this.ownRanges.reduce((sum, range) => sum + sizeOf(range), 0);
  }

  private grantable(): GrantedRange[] {
    return this.tokens.segments.flatMap((segment: Segment<Token>) =>
      this.releasing.gaps(segment).map(({ from, to }) => ({
        from,
        to,
        ...segment.value,
      }))
    );
  }

  private recordAcquisition(granted: GrantedRange, nowMs: number): void {
    const { from, to, token, handover } = granted;
    const first = this.acquisitions.find(from);
    if (first !== undefined && first.to >= to && first.value.token === token) {
      return;
    }
    const known = RangeMap.create<true>();
    this.acquisitions.within({ from, to })
      .filter(({ value }) => value.token === token)
      .forEach((segment) => known.set(segment, true));
    const acquiredAtMs = handover === "" ? nowMs : undefined;
    known.gaps({ from, to }).forEach((range) => {
      this.acquisitions.set(range, { token, acquiredAtMs });
      this.lastAcquiredAtMs = acquiredAtMs ?? this.lastAcquiredAtMs;
    });
  }

  private unheldParts(range: KeyRange, nowMs: number): KeyRange[] {
    const held = RangeMap.create<true>();
    this.mayHoldUntil.within(range)
      .filter(({ value }) => value > nowMs)
      .forEach((segment) => held.set(segment, true));
    return held.gaps(range);
  }

  /** Extends the time until which the backend server may hold a range, without shortening that of an earlier grant. */
  private extend(range: KeyRange, expiresAtMs: number): void {
    const earlier = this.mayHoldUntil.within(range);
    this.mayHoldUntil.set(range, expiresAtMs);
    earlier
      .filter(({ value }) => value > expiresAtMs)
      .forEach((segment) => this.mayHoldUntil.set(segment, segment.value));
  }
}
