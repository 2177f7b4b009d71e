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

/**
 * How long a connection is kept after its last byte was handed to the system, in milliseconds. A caller that is told of
 * the end closes as soon as it has read that far; 1 s is ten times what 100 kB take on a link of 10 Mbit/s.
 */
const LINGER_MS = 1_000;

/** Whoever connects sends within this time, as a rule, in milliseconds; callers are within a few milliseconds. */
const FRESH_MS = 100;

/** A head of which nothing more comes is waited for so long, in milliseconds: a lost packet is sent again by then. */
const STALLED_MS = 1_000;

/** What is known of one connection. */
interface Entry {
  /** Bytes that had been read at the latest look, and since when they are as many. */
  lookedBytes: number;
  changedAtMs: number;
  /** Requests whose answers the system has not taken whole yet. */
  unanswered: number;
  /** Nothing that comes from now on is answered. */
  isEnding: boolean;
  /** Bytes that had been read when the last answer had left, or the last request had come whole. */
  readBytes: number;
}

/** The connections of one HTTP server. */
export class ServerConnections {
  private readonly entries = new Map<Socket, Entry>();

  private constructor(private readonly server: Server) {
    server.on("connection", (socket: Socket) => this.accept(socket));
    server.on(
      "request",
      (incoming, response) => this.noteRequest(incoming, response),
    );
  }

  /** Watches the connections of a server from now on, after the listener that takes its requests was added. */
  static create(server: Server): ServerConnections {
    return new ServerConnections(server);
  }

  /** How many connections have a request, an answer or bytes under way. */
  get busyCount(): number {
    return [...this.entries].filter(([socket, entry]) => isBusy(socket, entry))
      .length;
  }

  /** Bytes of answers that wait in the process. */
  get unsentBytes(): number {
    return [...this.entries.keys()]
      .reduce((sum, { writableLength }) => sum + writableLength, 0);
  }

  /**
   * Whether a request came behind the last answer of its connection, so that it must not be run. Its body is read and
   * dropped: with unread bytes the connection would be reset, and the last answer cut.
   */
  passesOver(incoming: IncomingMessage): boolean {
    const isEnding = this.entries.get(incoming.socket)?.isEnding === true;
    if (isEnding) {
      incoming.resume();
    }
    return isEnding;
  }

  /**
   * The answer that is written next on a connection is its last. Requests that come behind it must not be run: nobody
   * could be told of them.
   */
  announceEnd(socket: Socket): void {
    const entry = this.entries.get(socket);
    if (entry !== undefined) {
      entry.isEnding = true;
    }
  }

  /** Takes no new connections; `close` of an HTTP server would cut those whose answers have not left. */
  stopListening(): void {
    ConnectionServer.prototype.close.call(this.server);
  }

  /**
   * Ends the connections on which nothing is under way. They stay until their callers have closed them: the system may
   * still hold bytes of an answer, which a request sent ahead to a closed connection would cut.
   */
  closeIdle(): void {
    [...this.entries]
      .filter(([socket, entry]) => !isBusy(socket, entry))
      .forEach(([socket]) => this.end(socket));
  }

  private accept(socket: Socket): void {
    this.entries.set(socket, {
      lookedBytes: 0,
      changedAtMs: performance.now(),
      unanswered: 0,
      isEnding: false,
      readBytes: 0,
    });
    socket.once("close", () => this.entries.delete(socket));
    // The HTTP server calls this after the last answer of a connection.
    socket.destroySoon = () => this.end(socket);
  }

  private noteRequest(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): void {
    const { socket } = incoming;
    const entry = this.entries.get(socket);
    if (entry === undefined || entry.isEnding) {
      return;
    }
    entry.unanswered += 1;
    // A response may be marked as the last while its request is taken; what comes behind it then could not be answered.
    entry.isEnding = !response.shouldKeepAlive;
    const noteRead = () => {
      entry.readBytes = socket.bytesRead;
    };
    // A body may come after its answer; taken for a further request, it would keep the connection busy for good.
    incoming.once("close", noteRead);
    response.once("close", () => {
      entry.unanswered -= 1;
      noteRead();
    });
  }

  /**
   * Says that nothing more comes and leaves the closing to the caller for a while. A connection that is closed with
   * unread bytes, as of a request sent ahead, is reset, and a reset drops what the caller has not received yet.
   */
  private end(socket: Socket): void {
    this.announceEnd(socket);
    socket.end(() => {
      const timer = setTimeout(() => socket.destroy(), LINGER_MS);
      socket.once("close", () => clearTimeout(timer));
    });
  }
}

/** Also where a request has come in part or may be on its way, and where the caller has yet to close. */
function isBusy(socket: Socket, entry: Entry): boolean {
  return entry.unanswered > 0 || entry.isEnding ||
    socket.writableLength > 0 || isExpected(socket, entry);
}

/** Whether the rest of a request may come soon. The request of a new connection lies right behind its opening. */
function isExpected({ bytesRead }: Socket, entry: Entry): boolean {
  const nowMs = performance.now();
  if (bytesRead !== entry.lookedBytes) {
    entry.lookedBytes = bytesRead;
    entry.changedAtMs = nowMs;
  }
  const quietMs = nowMs - entry.changedAtMs;
  return bytesRead === 0
    ? quietMs < FRESH_MS
    : bytesRead > entry.readBytes && quietMs < STALLED_MS;
}
