/**
 * Keeps the order of requests on callers' connections, and learns on which routes callers send further requests
 * before the first is answered.
 *
 * @module
 */

/** Weight of the latest request in a route's share. */
const LEARNING_RATE = 0.05;
/** A route is followed from this share of its requests on. */
const FOLLOWED_SHARE = 0.1;

/** What is known of one connection. */
interface ConnectionEntry {
  underWay: number;
  /** How many requests have come on it. */
  begun: number;
}

/** The requests on each connection. */
export class PipelineTracker<Connection extends object> {
  private readonly connections = new WeakMap<Connection, ConnectionEntry>();
  private readonly followed = new Map<string, number>();

  private constructor() {}

  /** Creates one that has seen no request. */
  static create<Connection extends object>(): PipelineTracker<Connection> {
    return new PipelineTracker();
  }

  /** A request has come on a connection; returns its place there. */
  beginRequest(connection: Connection): number {
    const entry = this.entryOf(connection);
    entry.underWay += 1;
    entry.begun += 1;
    return entry.begun;
  }

  /** Whether no request has come behind the one at a place. */
  isLast(connection: Connection, place: number): boolean {
    return this.entryOf(connection).begun === place;
  }

  /** A request of a route has ended; without a route it is not learned from. */
  endRequest(connection: Connection, route: string | undefined): void {
    const entry = this.entryOf(connection);
    entry.underWay -= 1;
    if (route !== undefined) {
      const share = this.followed.get(route) ?? 0;
      const isFollowed = entry.underWay > 0 ? 1 : 0;
      this.followed.set(route, share + LEARNING_RATE * (isFollowed - share));
    }
  }

  /**
   * Whether others are likely to wait behind a request of a route: answers go out in the order of the requests,
   * so what makes this one late makes them late, too.
   */
  isLikelyPipelined(connection: Connection, route: string): boolean {
    return this.entryOf(connection).underWay > 1 ||
      (this.followed.get(route) ?? 0) >= FOLLOWED_SHARE;
  }

  private entryOf(connection: Connection): ConnectionEntry {
    const known = this.connections.get(connection);
    if (known !== undefined) {
      return known;
    }
    const entry = { underWay: 0, begun: 0 };
    this.connections.set(connection, entry);
    return entry;
  }
}
