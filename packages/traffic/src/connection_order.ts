/**
 * Learns on which routes callers send further requests before the first is answered.
 *
 * @module
 */

/** Weight of the latest request in a route's share. */
const LEARNING_RATE = 0.05;
/** A route is followed from this share of its requests on. */
const FOLLOWED_SHARE = 0.1;

/** Counts requests under way on each connection. */
export class ConnectionOrder<Connection extends object> {
  private readonly underWay = new WeakMap<Connection, number>();
  private readonly followed = new Map<string, number>();

  private constructor() {}

  /** Creates one that has seen no request. */
  static create<Connection extends object>(): ConnectionOrder<Connection> {
    return new ConnectionOrder();
  }

  /** A request has come on a connection. */
  begin(connection: Connection): void {
    this.underWay.set(connection, this.countOn(connection) + 1);
  }

  /** A request of a route has ended; without a route it is not learned from. */
  end(connection: Connection, route: string | undefined): void {
    const left = Math.max(0, this.countOn(connection) - 1);
    this.underWay.set(connection, left);
    if (route !== undefined) {
      const share = this.followed.get(route) ?? 0;
      const isFollowed = left > 0 ? 1 : 0;
      this.followed.set(route, share + LEARNING_RATE * (isFollowed - share));
    }
  }

  /**
   * Whether others are likely to wait behind a request of a route: answers go out in the order of the requests,
   * so what makes this one late makes them late, too.
   */
  isFollowed(connection: Connection, route: string): boolean {
    return this.countOn(connection) > 1 ||
      (this.followed.get(route) ?? 0) >= FOLLOWED_SHARE;
  }

  private countOn(connection: Connection): number {
    return this.underWay.get(connection) ?? 0;
  }
}
