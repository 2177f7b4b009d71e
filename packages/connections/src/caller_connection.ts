/**
 * One connection of an HTTP server, and how it ends.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * How long a connection is kept after its last byte was handed to the system, in milliseconds, unless the caller closes
 * it: four times what 100 kB take on a link of 10 Mbit/s. Many callers leave the closing to the server, and a daemon that
 * stops is away for so much longer.
 */
const LINGER_MS = 300;

/** Whoever connects sends within this time, as a rule, in milliseconds; callers are within a few milliseconds. */
const FRESH_MS = 100;

/** A head of which nothing more comes is waited for so long, in milliseconds: a lost packet is sent again by then. */
const STALLED_MS = 1_000;

/** One connection. */
export class CallerConnection {
  /** Answers that the system has not taken whole yet, in the order of their requests. */
  private readonly pending = new Set<ServerResponse>();
  private isLast = false;
  private hasRejected = false;
  /** Bytes that had been read when the last answer had left, or the last request had come whole. */
  private readBytes = 0;
  /** Bytes that had been read at the latest look, and since when they are as many. */
  private looked: { bytes: number; sinceMs: number };

  private constructor(private readonly socket: Socket, nowMs: number) {
    this.looked = { bytes: 0, sinceMs: nowMs };
    // The HTTP server calls this after the last answer of a connection.
    socket.destroySoon = () => this.end();
  }

  /** Takes over a connection that has just come. */
  static create(socket: Socket, nowMs: number): CallerConnection {
    return new CallerConnection(socket, nowMs);
  }

  /** Whether nothing that comes from now on is answered. */
  get isEnding(): boolean {
    return this.isLast;
  }

  /** Bytes of answers that wait in the process. */
  get unsentBytes(): number {
    return this.socket.writableLength;
  }

  /** How many requests have not been answered whole yet. */
  get pendingResponses(): number {
    return this.pending.size;
  }

  /** The answer that is written next is the last. */
  closeAfterNextResponse(): void {
    this.isLast = true;
  }

  /** A request has come, and is going to be answered. */
  trackRequest(incoming: IncomingMessage, response: ServerResponse): void {
    const noteRead = () => {
      this.readBytes = this.socket.bytesRead;
    };
    this.pending.add(response);
    // A response may be marked as the last while its request is taken; what comes behind it then could not be answered.
    this.isLast = !response.shouldKeepAlive;
    // A body may come after its answer; taken for a further request, it would keep the connection busy for good.
    incoming.once("close", noteRead);
    response.once("close", () => {
      this.pending.delete(response);
      noteRead();
    });
  }

  /**
   * Whether a request, an answer or bytes are under way, also where a request has come in part or may be on its way, and
   * where the caller has yet to close. Has to be asked again and again: it notices by that when bytes stop coming.
   */
  isBusy(nowMs: number): boolean {
    return this.pending.size > 0 || this.isLast || this.unsentBytes > 0 ||
      this.isExpected(nowMs);
  }

  /**
   * Says that nothing more comes and leaves the closing to the caller for a while. A connection that is closed with
   * unread bytes, as of a request sent ahead, is reset, and a reset drops what the caller has not received yet.
   */
  end(): void {
    const { socket } = this;
    this.isLast = true;
    socket.end(() => {
      const timer = setTimeout(() => socket.destroy(), LINGER_MS);
      socket.once("close", () => clearTimeout(timer));
    });
  }

  /** The same, and what comes from now on stays unread: its caller may send it elsewhere, even if it may run once only. */
  endUnread(): void {
    this.socket.pause();
    this.end();
  }

  /**
   * Ends the connection because of bytes that can't be read. Requests before them are answered first, and the status is
   * left out then: their callers would take it for the answer to the first of them.
   *
   * @returns whether they are the first such bytes; the parser tells of each further piece.
   */
  rejectUnreadable(status: string): boolean {
    const isFirst = !this.hasRejected;
    this.hasRejected = true;
    if (isFirst) {
      this.endUnreadable(status);
    }
    return isFirst;
  }

  private endUnreadable(status: string): void {
    const { socket } = this;
    const last = [...this.pending].at(-1);
    if (last === undefined) {
      this.writeRejection(status);
    } else if (socket.readableEnded) {
      socket.destroy();
    } else if (last.req.complete || last.headersSent) {
      this.endAfter(last);
    } else {
      this.answerRejected(last, status);
    }
  }

  /** The body of this request can't be read, so nobody else answers it. */
  private answerRejected(response: ServerResponse, status: string): void {
    this.isLast = true;
    response.shouldKeepAlive = false;
    response.writeHead(Number.parseInt(status), { "content-length": "0" });
    response.end();
  }

  private writeRejection(status: string): void {
    if (this.isLast) {
      return;
    }
    const headers = "Connection: close\r\nContent-Length: 0";
    this.socket.write(`HTTP/1.1 ${status}\r\n${headers}\r\n\r\n`);
    this.end();
  }

  private endAfter(response: ServerResponse): void {
    this.isLast = true;
    if (response.headersSent) {
      // Its head has not said that the connection ends with it.
      response.once("close", () => this.end());
    } else {
      response.shouldKeepAlive = false;
    }
  }

  /** Whether the rest of a request may come soon. The request of a new connection lies right behind its opening. */
  private isExpected(nowMs: number): boolean {
    const { bytesRead } = this.socket;
    if (bytesRead !== this.looked.bytes) {
      this.looked = { bytes: bytesRead, sinceMs: nowMs };
    }
    const quietMs = nowMs - this.looked.sinceMs;
    return bytesRead === 0
      ? quietMs < FRESH_MS
      : bytesRead > this.readBytes && quietMs < STALLED_MS;
  }
}
