/**
 * Tracks since when the backend server on a daemon's host is draining, whichever way it has announced that.
 *
 * @module
 */
import { type Incarnation, isSameIncarnation } from "./incarnation_tracker.ts";

/**
 * Time after which a server whose departure doesn't state its process may be probed for its return, in milliseconds: the
 * departure may be a delayed one of an earlier process with the same id, but heartbeats of this one may be delayed, too.
 */
const UNPROVEN_DEPARTURE_MS = 5_000;

/** How an incarnation has announced its departure other than by a heartbeat. */
export interface DepartureAnnouncement {
  readonly nowMs: number;
  /** Whether the announcement is certainly of this process, and not of an earlier one with the same id. */
  readonly isProven: boolean;
  /** Whether the departure has just begun; its drain time may be over otherwise. */
  readonly isRecent: boolean;
}

interface Departure {
  readonly incarnation: Incarnation;
  readonly sinceMs: number;
  /** From when on a probe may show that it is back. */
  readonly revocableAtMs: number;
}

/** The drain of one backend server; times are in milliseconds on the daemon's clock. */
export class DrainTracker {
  private departure: Departure | undefined;
  private drainStartedAtMs = Infinity;

  private constructor() {}

  /** Creates a tracker of a server that is not draining. */
  static create(): DrainTracker {
    return new DrainTracker();
  }

  /** When the drain began; `Infinity` if the server is not draining, `-Infinity` if it began at an unknown time. */
  get startedAtMs(): number {
    return this.drainStartedAtMs;
  }

  /** Records a departure; no heartbeat that reports the incarnation ready takes it back. */
  recordDeparture(
    incarnation: Incarnation,
    { nowMs, isProven, isRecent }: DepartureAnnouncement,
  ): void {
    const known = this.isLeaving(incarnation) ? this.departure : undefined;
    const sinceMs = isRecent ? nowMs : -Infinity;
    const revocableAtMs = isProven ? Infinity : nowMs + UNPROVEN_DEPARTURE_MS;
    this.departure = {
      incarnation,
      sinceMs: Math.min(sinceMs, known?.sinceMs ?? Infinity),
      revocableAtMs: Math.max(revocableAtMs, known?.revocableAtMs ?? -Infinity),
    };
  }

  /** Whether an incarnation has announced its departure. A departure without a start time is of any process of its id. */
  isLeaving(incarnation: Incarnation): boolean {
    const { departure } = this;
    return departure !== undefined &&
      (isSameIncarnation(incarnation, departure.incarnation) ||
        departure.incarnation.born === undefined &&
          incarnation.instance === departure.incarnation.instance);
  }

  /**
   * Whether a heartbeat that reports a leaving incarnation ready is to be verified by a probe. A server that states no
   * start time has another id at each start, so its departure is final.
   */
  mayHaveReturned(incarnation: Incarnation, nowMs: number): boolean {
    return incarnation.born !== undefined && this.isLeaving(incarnation) &&
      nowMs >= this.departure!.revocableAtMs;
  }

  /** Records that a probe has found an incarnation ready whose departure is not proven. */
  recordReturn(incarnation: Incarnation, nowMs: number): void {
    if (this.mayHaveReturned(incarnation, nowMs)) {
      this.departure = undefined;
    }
  }

  /** Begins a drain whose start is unknown, so that no drain time is left. */
  beginUnknown(): void {
    this.drainStartedAtMs = -Infinity;
  }

  /** Begins the drain of an incarnation, or continues it: it counts from the first announcement. */
  begin(incarnation: Incarnation | undefined, nowMs: number): void {
    const isKnown = incarnation !== undefined &&
      this.isLeaving(incarnation);
    const leavingSinceMs = isKnown ? this.departure!.sinceMs : Infinity;
    this.drainStartedAtMs = Math.min(
      this.drainStartedAtMs,
      leavingSinceMs,
      nowMs,
    );
  }

  /** Ends the drain, because the server is ready or absent. */
  end(): void {
    this.drainStartedAtMs = Infinity;
  }
}
