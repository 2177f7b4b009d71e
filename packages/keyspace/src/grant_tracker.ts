/**
 * What the backend server beside a daemon holds, may hold and has given back.
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

/**
 * Fencing tokens are a revision of the store times this, plus how many incarnations of the backend
 * server came since: a revision that a daemon has seen is higher than all tokens of earlier owners, and
 * a new incarnation needs no call to the store, so it is granted keys in an outage too.
 */
const INCARNATIONS_PER_REVISION = 1_024;

/**
 * The usual hold, in milliseconds: long enough to outlast a restart of the daemon (about 2 s) and a late
 * heartbeat; short enough that the keys of a silent backend server are free within seconds.
 */
export const DEFAULT_HOLD_MS = 5_000;

/** A range and the fencing token under which it is held. */
export interface HeldRange extends KeyRange {
  readonly token: number;
}

/** A range that the backend server has given back, with its proof of the handover. */
export interface FreedRange extends KeyRange {
  readonly handover: string;
}

/** A range that is granted. */
export interface GrantedRange extends HeldRange {
  readonly handover: string;
}

/** What a heartbeat is answered with. */
export interface Grant {
  readonly ranges: readonly GrantedRange[];
  /** How long the grant holds from when the heartbeat was sent, in milliseconds. */
  readonly holdMs: number;
}

interface Token {
  readonly token: number;
  readonly handover: string;
}

/** The keys of one backend server, as the daemon beside it keeps them. */
export class GrantTracker {
  /** Ranges that belong to the backend server by the store, with the token of each. */
  private readonly tokens = RangeMap.create<Token>((left, right) =>
    left.token === right.token && left.handover === right.handover
  );
  /** Until when the backend server may still hold a range, on the daemon's clock, at the longest. */
  private readonly mayHoldUntil = RangeMap.create<number>();
  /** Until when the backend server surely holds a range, as far as heartbeats show. */
  private readonly holdsUntil = RangeMap.create<number>();
  /** Ranges that are being given up; they are not granted until the store gives them back. */
  private readonly releasing = RangeMap.create<true>();
  /** Whether a grant went out to the present incarnation. */
  private hasGranted = false;
  private incarnations = 0;
  /** Whether a record has shown a seal on the daemon since its right was last confirmed. */
  private wasSealed = false;

  private constructor() {}

  /**
   * Creates a book without keys.
   *
   * An earlier process of this daemon may have granted any keys until just before; without a word from
   * the backend server they count as held until such a grant has run out.
   */
  static create(nowMs: number): GrantTracker {
    const book = new GrantTracker();
    book.extend(
      { from: 0, to: KEY_COUNT - 1 },
      nowMs + DEFAULT_HOLD_MS * (1 + CLOCK_DRIFT),
    );
    return book;
  }

  /**
   * Takes over what a record says of the daemon's own ranges.
   *
   * @param revision a revision of the store that is at least the record's and higher than any that an
   *   earlier process of this daemon can have used for tokens.
   */
  applyRecord(
    record: OwnershipRecord,
    own: { daemon: string; revision: number },
  ): void {
    this.wasSealed ||= record.isSealed(own.daemon);
    const mine = RangeMap.create<string>();
    record.rangesOf(own.daemon).forEach((segment) =>
      mine.set(segment, segment.value.handover)
    );
    this.tokens.segments
      .flatMap((segment) => mine.gaps(segment))
      .forEach((range) => {
        this.tokens.delete(range);
        this.releasing.delete(range);
        this.holdsUntil.delete(range);
      });
    if (record.isRestored) {
      // Whoever had the other ranges by what the store has lost may still hold them.
      return;
    }
    const token = own.revision * INCARNATIONS_PER_REVISION + this.incarnations;
    mine.segments.forEach((segment) =>
      this.tokens.gaps(segment).forEach((range) =>
        this.tokens.set(range, { token, handover: segment.value })
      )
    );
  }

  /**
   * A read of the record has confirmed the daemon's right. If it had lapsed before, or the daemon was sealed, its keys
   * may have been another owner's for a while, in records that it has missed. They get tokens above those: with
   * its former ones, the backend server would take keys with tokens below the other owner's.
   *
   * @param read the revision that was read, and whether the right had lapsed by then.
   */
  recordConfirmation(read: { revision: number; hasExpired: boolean }): void {
    const { revision, hasExpired } = read;
    const mayBeStale = hasExpired || this.wasSealed;
    this.wasSealed = false;
    if (!mayBeStale) {
      return;
    }
    const token = revision * INCARNATIONS_PER_REVISION + this.incarnations;
    this.tokens.replace((known) =>
      known.token < token ? { token, handover: "" } : known
    );
  }

  /**
   * A new incarnation of the backend server is there.
   *
   * @param isProved whether the earlier one has certainly ended, and with it all that it held. Without proof its
   *   grants count until they have run out: if it lived on, another owner would hold the same keys.
   */
  recordNewIncarnation(isProved: boolean): void {
    this.incarnations += 1;
    this.hasGranted = false;
    if (isProved) {
      this.mayHoldUntil.clear();
    }
    this.holdsUntil.clear();
    this.tokens.replace(({ token }) => ({ token: token + 1, handover: "" }));
  }

  /** A backend server of another service is at the address: no key is its own. */
  clearKeys(): void {
    this.tokens.clear();
    this.releasing.clear();
    this.recordProcessEnd();
  }

  /** The backend server's process has certainly ended, and with it all that it held. */
  recordProcessEnd(): void {
    this.mayHoldUntil.clear();
    this.holdsUntil.clear();
  }

  /**
   * Takes over the tokens that a backend server reports after a restart of this daemon: the same
   * incarnation goes on holding the same keys, which a new token would make it take anew.
   */
  adoptTokens(held: readonly HeldRange[], nowMs: number): void {
    if (this.hasGranted) {
      return;
    }
    held.forEach((range) => {
      this.extend(range, nowMs + DEFAULT_HOLD_MS * (1 + CLOCK_DRIFT));
      this.tokens.within(range).forEach((mine) =>
        this.tokens.set(mine, { token: range.token, handover: "" })
      );
    });
  }

  /**
   * Takes over higher tokens than the own ones that the believed incarnation reports. It was granted them by an
   * earlier process of this daemon of which a held-back heartbeat told an older state, and would refuse each
   * grant with a lower one for good.
   */
  raiseTokens(held: readonly HeldRange[]): void {
    held.forEach((range) =>
      this.tokens.within(range)
        .filter(({ value }) => value.token < range.token)
        .forEach((mine) =>
          this.tokens.set(mine, { token: range.token, handover: "" })
        )
    );
  }

  /**
   * Decides what a heartbeat is answered with.
   *
   * @param limits `longestHoldMs`: how long the daemon's own right lasts, on the backend server's clock
   *   from the heartbeat's arrival; `spentMs`: for how long the answer was held back since.
   */
  createGrant(
    limits: { maxHoldMs: number; nowMs: number; processingMs: number },
  ): Grant {
    const { maxHoldMs, nowMs, processingMs } = limits;
    const holdMs = Math.min(DEFAULT_HOLD_MS, maxHoldMs);
    const ranges = holdMs <= 0 ? [] : this.grantable();
    ranges.forEach((range) => {
      this.extend(range, nowMs + holdMs * (1 + CLOCK_DRIFT));
      this.holdsUntil.set(range, nowMs + holdMs - processingMs);
    });
    this.hasGranted ||= ranges.length > 0;
    return { ranges, holdMs };
  }

  /**
   * Notes ranges that the backend server says it has given back; returns those that were asked for and
   * may be given to another owner now.
   */
  recordFreed(freed: readonly FreedRange[]): FreedRange[] {
    return freed.flatMap((range) => {
      this.mayHoldUntil.delete(range);
      this.holdsUntil.delete(range);
      return this.releasing.within(range).map(({ from, to }) => ({
        from,
        to,
        handover: range.handover,
      }));
    });
  }

  /** Gives ranges up: they are left out of all grants until the store says they are the daemon's anew. */
  beginRelease(ranges: readonly KeyRange[]): void {
    ranges.forEach((range) => {
      this.releasing.set(range, true);
      this.holdsUntil.delete(range);
    });
  }

  /** A release was confirmed not to have happened: the ranges are granted again. */
  cancelRelease(ranges: readonly KeyRange[]): void {
    ranges.forEach((range) => this.releasing.delete(range));
  }

  /** Ranges that are being given up and that the backend server can't hold any more. */
  findReleased(nowMs: number): KeyRange[] {
    return this.releasing.segments.flatMap((segment) =>
      this.freeParts(segment, nowMs)
    );
  }

  /** Own ranges that the backend server can't hold any more without a new grant. */
  findExpired(nowMs: number): KeyRange[] {
    return this.tokens.segments.flatMap((segment) =>
      this.freeParts(segment, nowMs)
    );
  }

  /** Whether a key is the backend server's own and not being given up. */
  owns(key: number): boolean {
    return this.tokens.get(key) !== undefined &&
      this.releasing.get(key) === undefined;
  }

  /** Whether the backend server holds a key now, as far as the daemon knows. */
  holds(key: number, nowMs: number): boolean {
    return (this.holdsUntil.get(key) ?? -Infinity) > nowMs;
  }

  /** For how long the backend server surely holds something, in milliseconds; 0 where it may hold nothing. */
  remainingHoldMs(nowMs: number): number {
    const ends = this.holdsUntil.segments.map(({ value }) => value - nowMs);
    return Math.max(0, ...ends);
  }

  /** Whether anything is being given up. */
  get isReleasing(): boolean {
    return this.releasing.segments.length > 0;
  }

  /** The ranges that are the backend server's own and not being given up. */
  get ownRanges(): KeyRange[] {
    return this.grantable().map(({ from, to }) => ({ from, to }));
  }

  /** How many keys are the backend server's own. */
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

  private freeParts(range: KeyRange, nowMs: number): KeyRange[] {
    const held = RangeMap.create<true>();
    this.mayHoldUntil.within(range)
      .filter(({ value }) => value > nowMs)
      .forEach((segment) => held.set(segment, true));
    return held.gaps(range);
  }

  /** The backend server may hold a range until then, or longer by an earlier grant. */
  private extend(range: KeyRange, untilMs: number): void {
    const earlier = this.mayHoldUntil.within(range);
    this.mayHoldUntil.set(range, untilMs);
    earlier
      .filter(({ value }) => value > untilMs)
      .forEach((segment) => this.mayHoldUntil.set(segment, segment.value));
  }
}
