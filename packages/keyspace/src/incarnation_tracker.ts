/**
 * Tells apart the incarnations of the backend server beside a daemon.
 *
 * @module
 */

/**
 * One process of a backend server. A server that starts again may keep its id, so the id alone names none.
 */
export interface Incarnation {
  readonly instance: string;
  /**
   * When the process started, in Unix milliseconds by the clock of its host; `undefined` where servers don't tell.
   * That clock steps, so the figure names a process and does not order two of them.
   */
  readonly born: number | undefined;
}

/** What a heartbeat says of its sender. */
export interface Heartbeat extends Incarnation {
  /** Grows with each heartbeat of one incarnation. */
  readonly sequence: number;
}

/** How a heartbeat is to be taken. */
export type HeartbeatStatus =
  /** From the known incarnation. */
  | { readonly kind: "current" }
  /** Overtaken by a later one, or from an incarnation that has certainly ended. */
  | { readonly kind: "late" }
  /** From another incarnation; ask at the address who is there. */
  | { readonly kind: "unverified" };

/** Who answers at the backend server's address. */
export type ProbeResult =
  | ({ readonly kind: "answered" } & Incarnation)
  /** Nobody listens there. */
  | { readonly kind: "refused" }
  /** No word came in time. */
  | { readonly kind: "silent" };

/** Whether the sender of a heartbeat has taken the place of the known incarnation. */
export type Succession =
  /** It has, and the former process has certainly ended. */
  | "proved"
  /** It is the better guess, and the former process may still run. */
  | "assumed"
  | "rejected";

/** How long the known incarnation must have been silent before another one is believed without proof. */
export interface SuccessionTimeouts {
  /**
   * Where somebody with the same id answers, in milliseconds. A living server sends its next heartbeat sooner, so a
   * heartbeat of an earlier process that was held back displaces nobody.
   */
  readonly overdueMs: number;
  /** Where nobody answers, in milliseconds. */
  readonly unresponsiveMs: number;
}

/** So many ended incarnations are remembered; heartbeats are held back for seconds, restarts take as long. */
const ENDED_COUNT = 8;

/**
 * The incarnation that is believed to run.
 *
 * What goes wrong without it: a heartbeat that a network cut held back arrives after its sender has
 * crashed and a new incarnation has registered at the same address. Taken at face value it would
 * displace the living one: keys would be granted to a process that is gone, and the requests for them
 * refused by the one that is there. Or the new process has the id of the old one: its heartbeats would be dropped as
 * late until its count has passed the old one's, and from then on it would be believed to hold what it has lost.
 */
export class IncarnationTracker {
  private known: Heartbeat | undefined;
  private heardAtMs = -Infinity;
  private ended: readonly Incarnation[] = [];

  private constructor() {}

  /** Creates a book that knows no incarnation. */
  static create(): IncarnationTracker {
    return new IncarnationTracker();
  }

  /** The incarnation that is believed to run. */
  get current(): Incarnation | undefined {
    return this.known;
  }

  /** When it was last heard, on the daemon's clock. */
  get lastHeartbeatMs(): number {
    return this.heardAtMs;
  }

  /** Whether an incarnation is the one that is believed to run. */
  isCurrent(incarnation: Incarnation): boolean {
    return this.known !== undefined &&
      isSameIncarnation(incarnation, this.known);
  }

  /** Judges a heartbeat. The first one ever is believed: there is nobody it could displace. */
  classify(heartbeat: Heartbeat): HeartbeatStatus {
    if (this.known === undefined) {
      return { kind: "current" };
    }
    if (
      this.ended.some((incarnation) =>
        isSameIncarnation(incarnation, heartbeat)
      )
    ) {
      return { kind: "late" };
    }
    if (!isSameIncarnation(heartbeat, this.known)) {
      return { kind: "unverified" };
    }
    return heartbeat.sequence > this.known.sequence
      ? { kind: "current" }
      : { kind: "late" };
  }

  /**
   * Judges an unverified heartbeat by who answers at the address.
   *
   * @param arrivedMs when the heartbeat arrived, on the daemon's clock.
   */
  classifySuccession(
    heartbeat: Heartbeat,
    found: ProbeResult,
    limits: SuccessionTimeouts & { readonly arrivedMs: number },
  ): Succession {
    const quietMs = limits.arrivedMs - this.heardAtMs;
    const isQuiet = quietMs > limits.unresponsiveMs;
    if (found.kind === "refused") {
      return isQuiet ? "proved" : "rejected";
    }
    if (found.kind === "silent") {
      return isQuiet ? "assumed" : "rejected";
    }
    if (found.instance !== heartbeat.instance) {
      return "rejected";
    }
    if (found.born !== undefined && heartbeat.born !== undefined) {
      return found.born === heartbeat.born ? "proved" : "rejected";
    }
    if (heartbeat.instance !== this.known?.instance) {
      return "proved";
    }
    return quietMs > limits.overdueMs ? "assumed" : "rejected";
  }

  /** Notes a heartbeat that was judged current. */
  accept(heartbeat: Heartbeat, nowMs: number): void {
    this.known = heartbeat;
    this.heardAtMs = nowMs;
  }

  /** Notes a heartbeat of another incarnation than the known one. */
  acceptSuccessor(
    heartbeat: Heartbeat,
    end: { readonly succession: Succession; readonly nowMs: number },
  ): void {
    if (this.known !== undefined && end.succession === "proved") {
      this.ended = [this.known, ...this.ended].slice(0, ENDED_COUNT);
    }
    this.accept(heartbeat, end.nowMs);
  }
}

/** Whether two names are those of one process. */
export function isSameIncarnation(
  left: Incarnation,
  right: Incarnation,
): boolean {
  return left.instance === right.instance && left.born === right.born;
}
