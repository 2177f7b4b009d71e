/**
 * Distinguishes the incarnations of the backend server on the daemon's host.
 *
 * @module
 */

/**
 * One process of a backend server. A server that restarts may keep its id, so the id alone does not identify a process.
 */
export interface Incarnation {
  readonly instance: string;
  /**
   * When the process started, in Unix milliseconds by the clock of its host; `undefined` where servers don't report it.
   * That clock may step, so the value identifies a process but does not order two of them.
   */
  readonly born: number | undefined;
}

/** What a heartbeat reports about its sender. */
export interface Heartbeat extends Incarnation {
  /** Increases with each heartbeat of one incarnation. */
  readonly sequence: number;
}

/** How a heartbeat is classified. */
export type HeartbeatStatus =
  /** From the current incarnation. */
  | { readonly kind: "current" }
  /** Overtaken by a later one, or from an incarnation that has certainly ended. */
  | { readonly kind: "late" }
  /** From another incarnation; to be verified by a probe of the address. */
  | { readonly kind: "unverified" };

/** Which process responds at the backend server's address. */
export type ProbeResult =
  | ({
    readonly kind: "answered";
    /** Whether it is healthy and not leaving. */
    readonly isReady: boolean;
  } & Incarnation)
  /** The connection was refused. */
  | { readonly kind: "refused" }
  /** No response was received within the timeout. */
  | { readonly kind: "silent" };

/** Whether the sender of a heartbeat has replaced the current incarnation. */
export type Succession =
  /** It has, and the previous process has certainly ended. */
  | "proved"
  /** It probably has, but the previous process may still run. */
  | "assumed"
  | "rejected";

/** How long the current incarnation must have sent no heartbeat before another one is accepted without proof. */
export interface SuccessionTimeouts {
  /**
   * Where a process with the same id responds, in milliseconds. A running server sends its next heartbeat sooner, so a
   * delayed heartbeat of an earlier process does not displace it.
   */
  readonly overdueMs: number;
  /** Where no process responds, in milliseconds. */
  readonly unresponsiveMs: number;
}

/** Number of ended incarnations that are kept; heartbeats are delayed for seconds, and restarts take as long. */
const MAX_ENDED_INCARNATIONS = 8;

/**
 * Tracks the current incarnation.
 *
 * Without it, a heartbeat that a network partition delayed could arrive after its sender has crashed and a new
 * incarnation has registered at the same address. Accepted without a check, it would displace the running process:
 * keys would be granted to a process that has ended, and requests for them refused by the one that runs. Or the new
 * process has the id of the old one: its heartbeats would be dropped as late until its sequence number has passed the
 * old one's, and from then on it would be assumed to hold keys that it has lost.
 */
export class IncarnationTracker {
  private lastHeartbeat: Heartbeat | undefined;
  private receivedAtMs = -Infinity;
  private ended: readonly Incarnation[] = [];

  private constructor() {}

  /** Creates a tracker without a current incarnation. */
  static create(): IncarnationTracker {
    return new IncarnationTracker();
  }

  /** The incarnation that is assumed to run. */
  get current(): Incarnation | undefined {
    return this.lastHeartbeat;
  }

  /** When its last heartbeat was received, on the daemon's clock. */
  get lastHeartbeatAtMs(): number {
    return this.receivedAtMs;
  }

  /** Whether an incarnation is the current one. */
  isCurrent(incarnation: Incarnation): boolean {
    return this.lastHeartbeat !== undefined &&
      isSameIncarnation(incarnation, this.lastHeartbeat);
  }

  /** Classifies a heartbeat. The first one is always current, since there is no incarnation that it could displace. */
  classify(heartbeat: Heartbeat): HeartbeatStatus {
    if (this.lastHeartbeat === undefined) {
      return { kind: "current" };
    }
    if (
      this.ended.some((incarnation) =>
        isSameIncarnation(incarnation, heartbeat)
      )
    ) {
      return { kind: "late" };
    }
    if (!isSameIncarnation(heartbeat, this.lastHeartbeat)) {
      return { kind: "unverified" };
    }
    return heartbeat.sequence > this.lastHeartbeat.sequence
      ? { kind: "current" }
      : { kind: "late" };
  }

  /**
   * Classifies an unverified heartbeat by the result of a probe of the address.
   *
   * @param limits `arrivedAtMs`: when the heartbeat arrived, on the daemon's clock.
   */
  classifySuccession(
    heartbeat: Heartbeat,
    probed: ProbeResult,
    limits: SuccessionTimeouts & { readonly arrivedAtMs: number },
  ): Succession {
    const sinceHeartbeatMs = limits.arrivedAtMs - this.receivedAtMs;
    const isUnresponsive = sinceHeartbeatMs > limits.unresponsiveMs;
    if (probed.kind === "refused") {
      return isUnresponsive ? "proved" : "rejected";
    }
    if (probed.kind === "silent") {
      return isUnresponsive ? "assumed" : "rejected";
    }
    if (probed.instance !== heartbeat.instance) {
      return "rejected";
    }
    if (probed.born !== undefined && heartbeat.born !== undefined) {
      return probed.born === heartbeat.born ? "proved" : "rejected";
    }
    if (heartbeat.instance !== this.lastHeartbeat?.instance) {
      return "proved";
    }
    return sinceHeartbeatMs > limits.overdueMs ? "assumed" : "rejected";
  }

  /** Records a heartbeat that was classified as current. */
  accept(heartbeat: Heartbeat, nowMs: number): void {
    this.lastHeartbeat = heartbeat;
    this.receivedAtMs = nowMs;
  }

  /** Records a heartbeat of an incarnation that has replaced the current one. */
  acceptSuccessor(
    heartbeat: Heartbeat,
    change: { readonly succession: Succession; readonly nowMs: number },
  ): void {
    if (this.lastHeartbeat !== undefined && change.succession === "proved") {
      this.ended = [this.lastHeartbeat, ...this.ended].slice(
        0,
        MAX_ENDED_INCARNATIONS,
      );
    }
    this.accept(heartbeat, change.nowMs);
  }
}

/** Whether two identities are those of one process. */
export function isSameIncarnation(
  left: Incarnation,
  right: Incarnation,
): boolean {
  return left.instance === right.instance && left.born === right.born;
}
