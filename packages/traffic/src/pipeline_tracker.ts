/**
 * Tracks the order of requests on callers' connections, and on which routes callers pipeline requests: send further
 * ones before the response to the first.
 *
 * @module
 */

/**
 * Weight of the latest request in the moving average (EWMA) of the share of a route's requests with others behind them.
 */
const PIPELINED_EWMA_WEIGHT = 0.05;
/** Minimum value of that share from which the route counts as pipelined. */
const PIPELINED_SHARE = 0.1;

interface ConnectionEntry {
  inFlight: number;
  /** Number of requests that the connection has received. */
  receivedCount: number;
}

/** Tracks the requests on each connection. */
export class PipelineTracker<Connection extends object> {
  private readonly connections = new WeakMap<Connection, ConnectionEntry>();
  private readonly pipelinedShares = new Map<string, number>();

  private constructor() {}

  /** Creates a tracker without history. */
  static create<Connection extends object>(): PipelineTracker<Connection> {
    return new PipelineTracker();
  }

  /** Records a request on a connection; returns its sequence number there, counted from 1. */
  beginRequest(connection: Connection): number {
    const entry = this.entryOf(connection);
    entry.inFlight += 1;
    entry.receivedCount += 1;
    return entry.receivedCount;
  }

  /** Whether no request has been received after the one with the given sequence number. */
  isLast(connection: Connection, sequenceNumber: number): boolean {
    return this.entryOf(connection).receivedCount === sequenceNumber;
  }

  /** Records the end of a request; without a route it does not count towards the share of any route. */
  endRequest(connection: Connection, route: string | undefined): void {
    const entry = this.entryOf(connection);
    entry.inFlight -= 1;
    if (route !== undefined) {
      const share = this.pipelinedShares.get(route) ?? 0;
      const hasFollower = entry.inFlight > 0 ? 1 : 0;
      this.pipelinedShares.set(
        route,
        share + PIPELINED_EWMA_WEIGHT * (hasFollower - share),
      );
    }
  }

  /**
   * Whether other requests probably wait behind a request of a route. Responses are sent in the order of the requests,
   * so a late one delays those behind it, too.
   */
  isLikelyPipelined(connection: Connection, route: string): boolean {
    return this.entryOf(connection).inFlight > 1 ||
      (this.pipelinedShares.get(route) ?? 0) >= PIPELINED_SHARE;
  }

  private entryOf(connection: Connection): ConnectionEntry {
    const known = this.connections.get(connection);
    if (known !== undefined) {
      return known;
    }
    const entry = { inFlight: 0, receivedCount: 0 };
    this.connections.set(connection, entry);
    return entry;
  }
}
