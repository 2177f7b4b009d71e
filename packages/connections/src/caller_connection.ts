/**
 * A caller's connection to an HTTP server, and how it is closed.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * How long a connection is kept open after its last byte was handed to the operating system, in milliseconds, unless
 * the caller closes it first: four times the time that 100 kB take on a network link of 10 Mbit/s. Many callers wait
 * for the server to close the connection, so a stopping daemon is unavailable for this much longer.
 */
const LINGER_TIMEOUT_MS = 300;

/**
 * How long the first bytes of a new connection are waited for, in milliseconds. Callers are a few milliseconds away and
 * usually send within this time.
 */
const FIRST_BYTE_TIMEOUT_MS = 100;

/** How long the rest of a partial request is waited for, in milliseconds: a lost packet is retransmitted by then. */
const STALL_TIMEOUT_MS = 1_000;

/**
 * When a caller that has closed its sending side is probed, in milliseconds after that. The first probe makes the host
 * of a caller that is gone reset the connection, and a later one finds that out. HTTP clients accept a few interim
 * responses at most.
 */
const PROBE_DELAYS_MS = [0, 30, 120, 400];
/** How long after its end of the connection a caller is taken for gone at the latest if it is near, in milliseconds. */
const PROBE_RESULT_MS = 60;

/** Calls back once after a time in milliseconds, as `setTimeout` does. */
export type StartTimer = (
  callback: () => void,
  delayMs: number,
) => NodeJS.Timeout;

/** Tracks the requests and responses of one connection, and closes it without truncating a response. */
export class CallerConnection {
  /** Responses not yet handed completely to the operating system, in the order of their requests. */
  private readonly openResponses = new Set<ServerResponse>();
  /** The last request that was received, until all of its body was read. */
  private lastRequest: IncomingMessage | undefined;
  private hasLastResponse = false;
  private hasRejected = false;
  /** Bytes read when the last response was sent, or when the last request was complete. */
  private handledBytes = 0;
  /** Bytes read at the last check, and when that number last changed. */
  private lastCheck: { bytes: number; changedAtMs: number };

  private constructor(
    private readonly socket: Socket,
    nowMs: number,
    private readonly startLingerTimer: StartTimer,
  ) {
    this.lastCheck = { bytes: 0, changedAtMs: nowMs };
    socket.once("end", () => this.probeCaller());
    // The HTTP server calls this after the last response of a connection.
    socket.destroySoon = () => this.end();
  }

  /**
   * Manages a connection that was accepted at `nowMs`, in milliseconds on the clock of the other methods.
   *
   * @param startLingerTimer starts the timer that closes the connection after its end.
   */
  static create(
    socket: Socket,
    nowMs: number,
    startLingerTimer: StartTimer,
  ): CallerConnection {
    return new CallerConnection(socket, nowMs, startLingerTimer);
  }

  /** Whether requests that are received from now on get no response. */
  get isEnding(): boolean {
    return this.hasLastResponse;
  }

  /** Bytes of responses that are buffered in the process. */
  get unsentBytes(): number {
    return this.socket.writableLength;
  }

  /** How many requests do not have a complete response yet. */
  get pendingResponses(): number {
    return this.openResponses.size;
  }

  /**
   * Whether the caller can still receive responses. Of one that has closed its sending side it is known only after
   * probes.
   */
  async isCallerPresent(): Promise<boolean> {
    const { socket } = this;
    if (socket.readableEnded && !socket.destroyed) {
      await new Promise((resolve) => setTimeout(resolve, PROBE_RESULT_MS));
    }
    return !socket.destroyed && !socket.writableEnded;
  }

  /** Makes the response that is written next the last one of the connection. */
  closeAfterNextResponse(): void {
    this.hasLastResponse = true;
  }

  /** Lets the connection stay idle for longer if it is idle now; it never shortens the timeout that was announced. */
  extendIdleTimeout(idleTimeoutMs: number): void {
    const { timeout = 0 } = this.socket;
    if (timeout > 0 && timeout < idleTimeoutMs) {
      this.socket.setTimeout(idleTimeoutMs);
    }
  }

  /** Tracks a request that was received and is going to be answered. */
  trackRequest(incoming: IncomingMessage, response: ServerResponse): void {
    const updateHandledBytes = () => {
      this.handledBytes = this.socket.bytesRead;
    };
    this.openResponses.add(response);
    this.lastRequest = incoming;
    // Handling a request may mark its response as the last one; requests after it could then not be answered.
    this.hasLastResponse = !response.shouldKeepAlive;
    // A body may arrive after the response; counted as a further request, it would keep the connection busy forever.
    incoming.once("close", () => {
      updateHandledBytes();
      if (this.lastRequest === incoming) {
        this.lastRequest = undefined;
      }
    });
    response.once("close", () => {
      this.openResponses.delete(response);
      updateHandledBytes();
    });
  }

  /**
   * Whether a request, a response or bytes are in flight. A partial or expected request counts, and so does a
   * connection that the caller has yet to close. Must be called periodically: that is how it detects that no more bytes
   * arrive.
   */
  isBusy(nowMs: number): boolean {
    return this.openResponses.size > 0 || this.hasLastResponse ||
      this.unsentBytes > 0 ||
      this.isRequestExpected(nowMs);
  }

  /**
   * Closes the sending side, and closes the connection if the caller does not do so within the linger timeout. A
   * connection that is closed with unread bytes, such as those of a pipelined request, is reset, and a reset discards
   * what the caller has not received yet.
   */
  end(): void {
    const { socket } = this;
    this.hasLastResponse = true;
    socket.end(() => {
      const timer = this.startLingerTimer(
        () => socket.destroy(),
        LINGER_TIMEOUT_MS,
      );
      socket.once("close", () => clearTimeout(timer));
    });
  }

  /**
   * Like `end`, but does not read what arrives from now on: the caller may then send it elsewhere, even if it must not
   * run twice.
   */
  endWithoutReading(): void {
    this.socket.pause();
    this.end();
  }

  /**
   * Closes the connection because of bytes that the parser rejected. Requests before them are answered first. The error
   * status is not sent in that case: the caller would match it to the first of these requests.
   *
   * @param status status code and reason phrase, such as `400 Bad Request`.
   * @returns whether these are the first such bytes; the parser reports each further chunk again.
   */
  rejectMalformedInput(status: string): boolean {
    const isFirst = !this.hasRejected;
    this.hasRejected = true;
    if (isFirst) {
      this.endAfterMalformedInput(status);
    }
    return isFirst;
  }

  /**
   * Finds out whether a caller that has closed its sending side has left or waits for responses (RFC 9112, section 9.6):
   * interim responses to one that has left fail, which closes the connection.
   */
  private probeCaller(): void {
    const [first] = this.openResponses;
    if (first === undefined || this.socket.destroyed) {
      return;
    }
    if (first.req.httpVersion !== "1.1") {
      // Interim responses must not be sent to it.
      this.socket.destroy();
      return;
    }
    const timers = PROBE_DELAYS_MS.map((delayMs) =>
      setTimeout(() => this.sendProbe(), delayMs)
    );
    this.socket.once("close", () => timers.forEach(clearTimeout));
  }

  private sendProbe(): void {
    const [first] = this.openResponses;
    if (first?.headersSent === false) {
      first.writeContinue();
    }
  }

  private endAfterMalformedInput(status: string): void {
    const { socket } = this;
    const last = [...this.openResponses].at(-1);
    if (last === undefined && this.lastRequest?.complete === false) {
      // The bytes belong to its body, and it was answered before they arrived.
      this.end();
    } else if (last === undefined) {
      this.writeRejection(status);
    } else if (socket.readableEnded) {
      socket.destroy();
    } else if (last.req.complete || last.headersSent) {
      this.endAfter(last);
    } else {
      this.answerRejected(last, status);
    }
  }

  /**
   * Answers a request whose body is malformed. Its handler never reaches the end of the body, so it does not answer.
   */
  private answerRejected(response: ServerResponse, status: string): void {
    this.hasLastResponse = true;
    response.shouldKeepAlive = false;
    response.writeHead(Number.parseInt(status), { "content-length": "0" });
    response.end();
  }

  private writeRejection(status: string): void {
    if (this.hasLastResponse) {
      return;
    }
    const headers = "Connection: close\r\nContent-Length: 0";
    this.socket.write(`HTTP/1.1 ${status}\r\n${headers}\r\n\r\n`);
    this.end();
  }

  private endAfter(response: ServerResponse): void {
    this.hasLastResponse = true;
    if (response.headersSent) {
      // Its headers are already sent, without `connection: close`.
      response.once("close", () => this.end());
    } else {
      response.shouldKeepAlive = false;
    }
  }

  /**
   * Whether more bytes of a request are likely to arrive soon. A new connection is followed immediately by a request.
   */
  private isRequestExpected(nowMs: number): boolean {
    const { bytesRead } = this.socket;
    if (bytesRead !== this.lastCheck.bytes) {
      this.lastCheck = { bytes: bytesRead, changedAtMs: nowMs };
    }
    const idleMs = nowMs - this.lastCheck.changedAtMs;
    return bytesRead === 0
      ? idleMs < FIRST_BYTE_TIMEOUT_MS
      : bytesRead > this.handledBytes && idleMs < STALL_TIMEOUT_MS;
  }
}
