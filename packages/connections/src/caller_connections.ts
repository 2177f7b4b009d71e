/**
 * The connections of one HTTP server, and how they are closed.
 *
 * A response is not delivered yet when `response.end` has been called: its bytes may still be buffered in the process,
 * in the operating system or in the network. Node.js treats a connection as idle from that call on, and destroys a
 * connection right after its last byte was handed to the operating system. Both truncate responses that are sent
 * slowly, and callers receive incomplete bodies.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as ConnectionServer, type Socket } from "node:net";
import { CallerConnection, type StartTimer } from "./caller_connection.ts";

/** Statuses for input that the parser rejects, by error code; others are `400 Bad Request`. */
const MALFORMED_INPUT_STATUSES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};
const BAD_REQUEST = "400 Bad Request";

/** Bytes that are not a valid request, or a request that ended before it was complete. */
export interface MalformedInput {
  /** Error code of the parser. */
  readonly code: string;
  /** How many earlier requests on the same connection are not fully answered yet. */
  readonly pendingResponses: number;
}

/** Callbacks for events of connections. */
export interface ConnectionListeners {
  /** Called at most once per connection. */
  readonly onMalformedInput?: (input: MalformedInput) => void;
}

/** Tracks the connections of one HTTP server. */
export class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();

  private constructor(
    private readonly server: Server,
    private readonly listeners: ConnectionListeners,
    private readonly nowMs: () => number,
    private readonly startLingerTimer: StartTimer,
  ) {
    // Read by Node.js: whether requests of callers that have closed their sending side are still answered.
    Object.assign(server, { httpAllowHalfOpen: true });
    server.on("connection", (socket: Socket) => this.accept(socket));
    server.on(
      "request",
      (incoming, response) => this.trackRequest(incoming, response),
    );
    server.on(
      "clientError",
      (error, socket) => this.rejectMalformedInput(error, socket as Socket),
    );
  }

  /**
   * Starts to track the connections of a server. Must be called after the server's request listener was added.
   *
   * @param nowMs returns the current time in milliseconds on a monotonic clock.
   * @param startLingerTimer starts the timer that closes a connection after its end.
   */
  static create(
    server: Server,
    listeners: ConnectionListeners = {},
    nowMs: () => number = () => performance.now(),
    startLingerTimer: StartTimer = setTimeout,
  ): CallerConnections {
    return new CallerConnections(server, listeners, nowMs, startLingerTimer);
  }

  /** How many connections have a request, a response or bytes in flight. */
  get busyCount(): number {
    const nowMs = this.nowMs();
    return this.all.filter((connection) => connection.isBusy(nowMs)).length;
  }

  /**
   * How many connections are not closed yet. A process that stops must wait for these: a connection may fall idle right
   * after `closeIdle`, so that it is neither busy nor closed.
   */
  get openCount(): number {
    return this.connections.size;
  }

  /** Bytes of responses that are buffered in the process. */
  get unsentBytes(): number {
    return this.all.reduce((sum, { unsentBytes }) => sum + unsentBytes, 0);
  }

  /**
   * Returns whether a request arrived after the last response of its connection. Such a request must not be run,
   * because its response could not be sent. Its body is read and discarded: with unread bytes the connection would be
   * reset, and the last response truncated.
   */
  discardAfterLastResponse(incoming: IncomingMessage): boolean {
    const isEnding = this.connections.get(incoming.socket)?.isEnding === true;
    if (isEnding) {
      incoming.resume();
    }
    return isEnding;
  }

  /** Whether the caller of a request can still receive its response. */
  async isCallerPresent(incoming: IncomingMessage): Promise<boolean> {
    const connection = this.connections.get(incoming.socket);
    return connection !== undefined && await connection.isCallerPresent();
  }

  /** Sets how long connections may stay idle, in milliseconds; a longer time holds for idle connections at once. */
  setIdleTimeout(idleTimeoutMs: number): void {
    this.server.keepAliveTimeout = idleTimeoutMs;
    this.all.forEach((connection) =>
      connection.extendIdleTimeout(idleTimeoutMs)
    );
  }

  /** Makes the response that is written next on a connection its last one. */
  closeAfterNextResponse(socket: Socket): void {
    this.connections.get(socket)?.closeAfterNextResponse();
  }

  /**
   * Stops accepting connections. `close` of an HTTP server would also close connections whose responses have not been
   * sent.
   */
  stopListening(): void {
    ConnectionServer.prototype.close.call(this.server);
  }

  /**
   * Ends the connections that have nothing in flight. They linger for a moment: the operating system may still hold
   * bytes of a response, which a pipelined request to a closed connection would truncate.
   */
  closeIdle(): void {
    const nowMs = this.nowMs();
    this.all
      .filter((connection) => !connection.isBusy(nowMs))
      .forEach((connection) => connection.endWithoutReading());
  }

  private get all(): CallerConnection[] {
    return [...this.connections.values()];
  }

  private accept(socket: Socket): void {
    const connection = CallerConnection.create(
      socket,
      this.nowMs(),
      this.startLingerTimer,
    );
    this.connections.set(socket, connection);
    socket.once("close", () => this.connections.delete(socket));
  }

  private rejectMalformedInput(
    error: NodeJS.ErrnoException,
    socket: Socket,
  ): void {
    const connection = this.connections.get(socket);
    if (connection === undefined || socket.destroyed) {
      return;
    }
    const { code = error.message } = error;
    const { pendingResponses } = connection;
    const status = MALFORMED_INPUT_STATUSES[code] ?? BAD_REQUEST;
    if (connection.rejectMalformedInput(status)) {
      this.listeners.onMalformedInput?.({ code, pendingResponses });
    }
  }

  private trackRequest(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): void {
    const connection = this.connections.get(incoming.socket);
    if (connection?.isEnding === false) {
      connection.trackRequest(incoming, response);
    }
  }
}
