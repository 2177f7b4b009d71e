/**
 * Tells apart the incarnations of the backend server beside a daemon.
 *
 * @module
 */

/** What a heartbeat says of its sender. */
export interface Heartbeat {
  readonly instance: string;
  /** Grows with each heartbeat of one incarnation. */
  readonly sequence: number;
}

/** How a heartbeat is to be taken. */
export type HeartbeatVerdict =
  /** From the known incarnation. */
  | { readonly kind: "current" }
  /** From the known incarnation, overtaken by a later one. */
  | { readonly kind: "late" }
  /** From another incarnation; ask at the address who is there. */
  | { readonly kind: "unverified" };

/**
 * The incarnation that is believed to run.
 *
 * What goes wrong without it: a heartbeat that a network cut held back arrives after its sender has
 * crashed and a new incarnation has registered at the same address. Taken at face value it would
 * displace the living one: keys would be granted to a process that is gone, and the requests for them
 * refused by the one that is there.
 */
export class InstanceBook {
  private known: Heartbeat | undefined;
  private heardAtMs = -Infinity;

  private constructor() {}

  /** Creates a book that knows no incarnation. */
  static create(): InstanceBook {
    return new InstanceBook();
  }

  /** The incarnation that is believed to run. */
  get current(): string | undefined {
    return this.known?.instance;
  }

  /** When it was last heard, on the daemon's clock. */
  get lastHeardMs(): number {
    return this.heardAtMs;
  }

  /** Judges a heartbeat. The first one ever is believed: there is nobody it could displace. */
  judge(heartbeat: Heartbeat): HeartbeatVerdict {
    if (this.known === undefined) {
      return { kind: "current" };
    }
    if (heartbeat.instance !== this.known.instance) {
      return { kind: "unverified" };
    }
    return heartbeat.sequence > this.known.sequence
      ? { kind: "current" }
      : { kind: "late" };
  }

  /** Notes a heartbeat that was judged current, or whose sender was found at the address. */
  accept(heartbeat: Heartbeat, nowMs: number): void {
    this.known = heartbeat;
    this.heardAtMs = nowMs;
  }
}
