/**
 * A pool of connections to one peer.
 *
 * @module
 */
import { Connection } from "./exchange.ts";
import type { ResponseMemory } from "./response_memory.ts";

/**
 * Reuses the most recently used connection first: surplus connections become idle long enough to be closed, and the
 * most recently used one is the least likely to have been closed by the peer.
 */
export class ConnectionPool {
  private idle: Connection[] = [];
  private readonly busy = new Set<Connection>();
  private isDestroyed = false;

  private constructor(
    private readonly peer: string,
    private readonly memory: ResponseMemory,
  ) {}

  /**
   * Creates an empty pool.
   *
   * @param memory bounds the bodies of responses.
   */
  static create(peer: string, memory: ResponseMemory): ConnectionPool {
    return new ConnectionPool(peer, memory);
  }

  /**
   * Returns an idle connection, or a new one if none may be reused.
   *
   * A request that a connection has carried before gets another one. Otherwise a rejection that the peer repeats late
   * would be taken for the response to the second attempt, which then runs although it counts as rejected.
   *
   * @param reuse the current time, how long a connection may have been idle, in milliseconds, and the request's id.
   */
  acquire(
    reuse: { nowMs: number; maxIdleMs: number; requestId: string },
  ): Connection {
    const reusable = this.idle.findLast((connection) =>
      reuse.nowMs - connection.lastUsedAtMs <= reuse.maxIdleMs &&
      !connection.hasCarried(reuse.requestId)
    );
    const connection = reusable ??
      Connection.create(this.peer, this.memory);
    this.idle = this.idle.filter((idle) => idle !== connection);
    this.busy.add(connection);
    return connection;
  }

  /** Returns a connection to the pool for reuse. */
  release(connection: Connection): void {
    if (connection.isExhausted) {
      this.discard(connection);
      return;
    }
    this.busy.delete(connection);
    this.idle.push(connection);
  }

  /**
   * Opens a connection for later requests.
   *
   * @returns whether the peer accepted it; `refused` if no process listens there.
   */
  async openIdle(
    nowMs: () => number,
  ): Promise<"opened" | "refused" | "unavailable"> {
    const connection = await Connection.open(
      this.peer,
      this.memory,
      nowMs,
    );
    if (typeof connection === "string") {
      return connection;
    }
    if (this.isDestroyed) {
      void connection.destroy();
    } else {
      this.idle.push(connection);
    }
    return "opened";
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
    this.isDestroyed = true;
    const all = [...this.idle, ...this.busy];
    await Promise.all(all.map((connection) => connection.destroy()));
  }
}
