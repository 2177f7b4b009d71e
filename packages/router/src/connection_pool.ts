/**
 * The connections to one peer.
 *
 * @module
 */
import { Connection } from "./exchange.ts";

/**
 * Reuses the connection that was used last: those that are not needed grow old and are left out, and
 * the one in use is the least likely to have been forgotten by the other side.
 */
export class ConnectionPool {
  private idle: Connection[] = [];
  private readonly busy = new Set<Connection>();

  private constructor(private readonly peer: string) {}

  /** Creates a pool without connections. */
  static create(peer: string): ConnectionPool {
    return new ConnectionPool(peer);
  }

  /**
   * Takes a connection.
   *
   * @param reuse how long a connection may have been idle; older ones are closed.
   */
  acquire(reuse: { nowMs: number; maxIdleMs: number }): Connection {
    const isFresh = (connection: Connection) =>
      reuse.nowMs - connection.lastUsedAtMs <= reuse.maxIdleMs;
    const last = this.idle.at(-1);
    if (last !== undefined && isFresh(last)) {
      this.idle.pop();
      this.busy.add(last);
      return last;
    }
    const created = Connection.create(this.peer);
    this.busy.add(created);
    return created;
  }

  /** Gives a connection back for reuse. */
  release(connection: Connection): void {
    this.busy.delete(connection);
    this.idle.push(connection);
  }

  /** Closes a connection that can't be trusted any more. */
  discard(connection: Connection): void {
    this.busy.delete(connection);
    void connection.destroy();
  }

  /** Closes connections that were idle for longer than is reused. */
  prune(reuse: { nowMs: number; maxIdleMs: number }): void {
    const old = this.idle.filter((connection) =>
      reuse.nowMs - connection.lastUsedAtMs > reuse.maxIdleMs
    );
    this.idle = this.idle.filter((connection) => !old.includes(connection));
    old.forEach((connection) => void connection.destroy());
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
