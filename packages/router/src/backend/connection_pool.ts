/**
 * A pool of connections to one peer.
 *
 * @module
 */
import { Connection } from "./exchange.ts";

/**
 * Reuses the most recently used connection first: surplus connections become idle long enough to be closed, and the
 * most recently used one is the least likely to have been closed by the peer.
 */
export class ConnectionPool {
  private idle: Connection[] = [];
  private readonly busy = new Set<Connection>();

  private constructor(private readonly peer: string) {}

  /** Creates an empty pool. */
  static create(peer: string): ConnectionPool {
    return new ConnectionPool(peer);
  }

  /**
   * Returns an idle connection, or a new one if none may be reused.
   *
   * @param reuse the current time, and how long a connection may have been idle, in milliseconds.
   */
  acquire(reuse: { nowMs: number; maxIdleMs: number }): Connection {
    const isReusable = (connection: Connection) =>
      reuse.nowMs - connection.lastUsedAtMs <= reuse.maxIdleMs;
    const mostRecent = this.idle.at(-1);
    if (mostRecent !== undefined && isReusable(mostRecent)) {
      this.idle.pop();
      this.busy.add(mostRecent);
      return mostRecent;
    }
    const created = Connection.create(this.peer);
    this.busy.add(created);
    return created;
  }

  /** Returns a connection to the pool for reuse. */
  release(connection: Connection): void {
    this.busy.delete(connection);
    this.idle.push(connection);
  }

  /** Closes a connection whose state is unknown, such as after a failed exchange. */
  discard(connection: Connection): void {
    this.busy.delete(connection);
    void connection.destroy();
  }

  /** Closes connections that have been idle for longer than `maxIdleMs`. */
  prune(reuse: { nowMs: number; maxIdleMs: number }): void {
    const expired = this.idle.filter((connection) =>
      reuse.nowMs - connection.lastUsedAtMs > reuse.maxIdleMs
    );
    this.idle = this.idle.filter((connection) => !expired.includes(connection));
    expired.forEach((connection) => void connection.destroy());
  }

  /** Closes the idle connections. */
  closeIdle(): void {
    this.idle.forEach((connection) => void connection.destroy());
    this.idle = [];
  }

  /** Closes all connections. */
  async destroy(): Promise<void> {
    const all = [...this.idle, ...this.busy];
    await Promise.all(all.map((connection) => connection.destroy()));
  }
}
