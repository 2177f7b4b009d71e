/**
 * The connections of one HTTP server, and how they end.
 *
 * An answer is not delivered when `response.end` has been called: its bytes may wait in the process, in the system or on
 * the network. Node.js takes a connection for idle from that call on, and destroys a connection right after its last byte
 * was handed to the system. Both cut answers that leave slowly, which callers notice as bodies that end too soon.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as ConnectionServer, type Socket } from "node:net";
import { CallerConnection } from "./caller_connection.ts";

/** Statuses for input that the parser rejects, by its code; others are `400 Bad Request`. */
const UNREADABLE_STATUSES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};
const BAD_REQUEST = "400 Bad Request";

/** Bytes that are no request, or a request that ended before it was whole. */
export interface UnreadableInput {
  /** What the parser found wrong. */
  readonly code: string;
  /** How many requests before it on its connection are under way. */
  readonly pendingResponses: number;
}

/** What is told of connections. */
export interface ConnectionListeners {
  readonly onUnreadable?: (input: UnreadableInput) => void;
}

/** The connections of one HTTP server. */
export class ServerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();

  private constructor(
    private readonly server: Server,
    private readonly listeners: ConnectionListeners,
  ) {
    server.on("connection", (socket: Socket) => this.accept(socket));
    server.on(
      "request",
      (incoming, response) => this.noteRequest(incoming, response),
    );
    server.on(
      "clientError",
      (error, socket) => this.rejectUnreadable(error, socket as Socket),
    );
  }

  /** Watches the connections of a server from now on, after the listener that takes its requests was added. */
  static create(
    server: Server,
    listeners: ConnectionListeners = {},
  ): ServerConnections {
    return new ServerConnections(server, listeners);
  }

  /** How many connections have a request, an answer or bytes under way. */
  get busyCount(): number {
    const nowMs = performance.now();
    return this.all.filter((connection) => connection.isBusy(nowMs)).length;
  }

  /** Bytes of answers that wait in the process. */
  get unsentBytes(): number {
    return this.all.reduce((sum, { unsentBytes }) => sum + unsentBytes, 0);
  }

  /**
   * Whether a request came behind the last answer of its connection, so that it must not be run: nobody could be told.
   * Its body is read and dropped: with unread bytes the connection would be reset, and the last answer cut.
   */
  discardAfterLastResponse(incoming: IncomingMessage): boolean {
    const isEnding = this.connections.get(incoming.socket)?.isEnding === true;
    if (isEnding) {
      incoming.resume();
    }
    return isEnding;
  }

  /** The answer that is written next on a connection is its last. */
  closeAfterNextResponse(socket: Socket): void {
    this.connections.get(socket)?.closeAfterNextResponse();
  }

  /** Takes no new connections; `close` of an HTTP server would cut those whose answers have not left. */
  stopListening(): void {
    ConnectionServer.prototype.close.call(this.server);
  }

  /**
   * Ends the connections on which nothing is under way. They stay for a moment: the system may still hold bytes of an
   * answer, which a request sent ahead to a closed connection would cut.
   */
  closeIdle(): void {
    const nowMs = performance.now();
    this.all
      .filter((connection) => !connection.isBusy(nowMs))
      .forEach((connection) => connection.endUnread());
  }

  private get all(): CallerConnection[] {
    return [...this.connections.values()];
  }

  private accept(socket: Socket): void {
    const connection = CallerConnection.create(socket, performance.now());
    this.connections.set(socket, connection);
    socket.once("close", () => this.connections.delete(socket));
  }

  private rejectUnreadable(error: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.connections.get(socket);
    if (connection === undefined || socket.destroyed) {
      return;
    }
    const { code = error.message } = error;
    const { pendingResponses } = connection;
    const status = UNREADABLE_STATUSES[code] ?? BAD_REQUEST;
    if (connection.rejectUnreadable(status)) {
      this.listeners.onUnreadable?.({ code, pendingResponses });
    }
  }

  private noteRequest(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): void {
    const connection = this.connections.get(incoming.socket);
    if (connection?.isEnding === false) {
      connection.trackRequest(incoming, response);
    }
  }
}
