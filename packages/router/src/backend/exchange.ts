/**
 * Sends one request over one HTTP connection and reads its complete response.
 *
 * @module
 */
import type { Socket } from "node:net";
import { BamboolinkError } from "@bamboolink/errors";
import { Client, type Dispatcher } from "undici";
import type { Cancellation } from "../attempts/cancellation.ts";
import {
  type ConnectionState,
  createTrackingConnector,
  errorCodeOf,
  openSocket,
} from "./connection_socket.ts";
import { exceedsFramingLimit } from "./framing_limit.ts";
import { ResponseBody } from "./response_body.ts";
import { type ReceivedBody, ResponseMemory } from "./response_memory.ts";

/** Statuses below this are informational (1xx): the final response is still to follow. */
const MIN_FINAL_STATUS = 200;
/**
 * Total length of the request ids that a connection remembers, in UTF-16 code units: some 2,000 usual ids. After that it
 * is not used for further requests.
 */
const MAX_REMEMBERED_ID_LENGTH = 32_768;
/** Maximum size of the names and values of a response's headers, in bytes. */
const MAX_HEADER_BYTES = 16_384;
/**
 * The same limit of the HTTP client, in bytes. It is never reached: the client goes on parsing after it, and creates an
 * error for each further header.
 */
const CLIENT_MAX_HEADER_BYTES = 1_048_576;
/** Statuses of responses that have no body, whatever length they state (RFC 9112, section 6.3). */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** A request as it is sent over a connection. */
export interface ExchangeRequest {
  readonly method: string;
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /** The id by which its response is identified, if it has one. */
  readonly id?: string;
}

/** Headers of a response, with names in lower case. */
export type ResponseHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** The result of sending a request. */
export type ExchangeResult =
  | {
    readonly kind: "answer";
    readonly status: number;
    readonly headers: ResponseHeaders;
    readonly body: Buffer;
    /**
     * Whether the end of the connection marked the end of the body, because it has neither a length nor chunks. The
     * connection of a process that has ended looks the same, so such a body may be truncated.
     */
    readonly isDelimitedByClose: boolean;
  }
  /** No byte of it was sent. `isRefused`: the host is reachable, but no process listens on the port. */
  | {
    readonly kind: "unsent";
    readonly isRefused: boolean;
    readonly error: BamboolinkError;
  }
  /** It was sent, and no complete response was received. `limit`: the limit that the response has exceeded. */
  | {
    readonly kind: "lost";
    readonly error: BamboolinkError;
    readonly limit?: ExceededLimit;
  };

/** A limit on what a peer may send in one response, and how much it had sent. */
export interface ExceededLimit {
  /** `body`: size of one body; `memory`: all bodies in flight; `framing`: bytes that are no part of the body. */
  readonly bound: "body" | "memory" | "framing";
  /** Bytes received for the response, or the length that it declared. */
  readonly bytes: number;
}

/** Options of an exchange. */
export interface ExchangeOptions {
  /** Aborts the exchange and closes its connection. */
  readonly cancellation: Cancellation;
  readonly nowMs: () => number;
}

type Controller = Dispatcher.DispatchController;

/**
 * A connection that carries one request at a time; it reconnects automatically.
 *
 * It remembers the ids of the requests that it has carried. A late repetition of a response can't be distinguished from
 * the response to another request with the same id, so each id may be sent only once on a connection.
 */
export class Connection {
  private lastExchangeAtMs = -Infinity;

  private constructor(
    private readonly client: Client,
    private readonly peer: string,
    private readonly state: ConnectionState,
    private readonly memory: ResponseMemory,
  ) {}

  /**
   * Creates a connection that is opened by its first request.
   *
   * @param memory bounds the bodies of its responses, together with those of other connections.
   */
  static create(
    peer: string,
    memory: ResponseMemory = ResponseMemory.create(),
  ): Connection {
    return Connection.createWithSocket(peer, memory);
  }

  /**
   * Opens a connection ahead of its first request.
   *
   * @returns the connection; `refused` if no process listens on the port; `unavailable` if it could not be opened in time
   *   for another reason.
   */
  static async open(
    peer: string,
    memory: ResponseMemory,
    nowMs: () => number,
  ): Promise<Connection | "refused" | "unavailable"> {
    const socket = await openSocket(peer);
    if (typeof socket === "string") {
      return socket;
    }
    const connection = Connection.createWithSocket(peer, memory, socket);
    connection.lastExchangeAtMs = nowMs();
    return connection;
  }

  private static createWithSocket(
    peer: string,
    memory: ResponseMemory,
    opened?: Socket,
  ): Connection {
    const state: ConnectionState = {
      opened,
      current: "open",
      onParsed: () => undefined,
      readBytes: () => 0,
      carriedIds: new Set(),
      carriedIdLength: 0,
    };
    const client = new Client(`http://${peer}`, {
      pipelining: 1,
      connect: createTrackingConnector(state),
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: CLIENT_MAX_HEADER_BYTES,
      maxResponseSize: -1,
    });
    return new Connection(client, peer, state, memory);
  }

  /** When it was opened ahead of its first request, or the last exchange ended, on the clock of `nowMs`. */
  get lastUsedAtMs(): number {
    return this.lastExchangeAtMs;
  }

  /** Whether a request with this id was sent on this connection. */
  hasCarried(id: string): boolean {
    return this.state.carriedIds.has(id);
  }

  /** Whether it has carried as many requests as it remembers, so that no further one may be sent on it. */
  get isExhausted(): boolean {
    return this.state.carriedIdLength >= MAX_REMEMBERED_ID_LENGTH;
  }

  /** Whether it has carried one request only, so that no response on it can belong to another one. */
  get hasCarriedOne(): boolean {
    return this.state.carriedIds.size === 1;
  }

  /** Sends a request; resolves with its result and never rejects. */
  exchange(
    request: ExchangeRequest,
    options: ExchangeOptions,
  ): Promise<ExchangeResult> {
    return new Promise((resolve) => {
      const { peer, state } = this;
      const { cancellation, nowMs } = options;
      const { id, method } = request;
      const { memory } = this;
      const close = () => void this.destroy();
      const context = { peer, state, id, method, memory, close };
      const handler = ExchangeHandler.create(context, (result) => {
        cancellation.remove(cancel);
        const bytes = state.readBytes();
        // The client ignores empty lines between responses, however many there are.
        state.onParsed = (socket) => {
          if (socket.bytesRead > bytes) {
            socket.destroy();
          }
        };
        this.lastExchangeAtMs = nowMs();
        resolve(result);
      });
      const cancel = () => {
        handler.cancel();
        void this.destroy();
      };
      if (cancellation.isCancelled) {
        handler.cancel();
        return;
      }
      cancellation.onCancel(cancel);
      this.dispatch(request, handler);
    });
  }

  /** Closes the connection at once. */
  destroy(): Promise<void> {
    this.state.opened?.destroy();
    return this.client.destroy();
  }

  private dispatch(request: ExchangeRequest, handler: ExchangeHandler): void {
    try {
      this.client.dispatch({
        method: request.method as Dispatcher.HttpMethod,
        path: request.target,
        headers: request.headers,
        body: request.body ?? null,
      }, handler);
    } catch (cause) {
      handler.fail(cause);
    }
  }
}

interface HandlerContext {
  readonly peer: string;
  readonly state: ConnectionState;
  readonly id: string | undefined;
  readonly method: string;
  readonly memory: ResponseMemory;
  /** Closes the connection for good. The client would open another one if only the exchange was aborted. */
  readonly close: () => void;
}

/** Collects the response of one exchange from the callbacks of the HTTP client. */
class ExchangeHandler implements ReceivedBody {
  private isRequestSent = false;
  private isDone = false;
  private status = 0;
  private headers: ResponseHeaders = {};
  private readonly body = ResponseBody.create();
  /** Bytes received on the connection before this exchange. */
  private earlierBytes = 0;
  declaredBytes: number | undefined;

  private constructor(
    private readonly connection: HandlerContext,
    private readonly resolve: (result: ExchangeResult) => void,
  ) {}

  static create(
    connection: HandlerContext,
    resolve: (result: ExchangeResult) => void,
  ): ExchangeHandler {
    return new ExchangeHandler(connection, resolve);
  }

  /** Called just before the first byte is written; not called if connecting failed. */
  onRequestStart(_controller: Controller): void {
    this.isRequestSent = true;
    const { state, id } = this.connection;
    this.earlierBytes = state.readBytes();
    state.onParsed = (socket) => this.checkFraming(socket);
    if (id !== undefined) {
      state.carriedIds.add(id);
      state.carriedIdLength += id.length;
    }
  }

  onResponseStart(
    _controller: Controller,
    status: number,
    headers: ResponseHeaders,
  ): void {
    if (status < MIN_FINAL_STATUS) {
      return;
    }
    this.status = status;
    this.headers = headers;
    const headerBytes = measureHeaders(headers);
    if (headerBytes >= MAX_HEADER_BYTES) {
      this.exceed({ bound: "framing", bytes: headerBytes });
      return;
    }
    const { method, memory } = this.connection;
    const length = headers["content-length"];
    const hasBody = method !== "HEAD" && !BODILESS_STATUSES.has(status);
    this.declaredBytes = hasBody && length !== undefined
      ? Number(length)
      : undefined;
    if ((this.declaredBytes ?? 0) > memory.maxBodyBytes) {
      this.exceed({ bound: "body", bytes: this.declaredBytes ?? 0 });
    }
  }

  onResponseData(_controller: Controller, chunk: Buffer): void {
    const { memory } = this.connection;
    const bytes = this.body.length + chunk.length;
    if (this.isDone) {
      return;
    }
    if (bytes > memory.maxBodyBytes) {
      this.exceed({ bound: "body", bytes });
      return;
    }
    if (memory.reserve(this, chunk.length)) {
      this.body.append(chunk);
    }
  }

  /** Size of the body received so far, in bytes. */
  get receivedBytes(): number {
    return this.body.length;
  }

  /** Ends the exchange to make room for the bodies of others. */
  onDisplaced(): void {
    this.exceed({ bound: "memory", bytes: this.body.length });
  }

  private checkFraming(socket: Socket): void {
    const totalBytes = socket.bytesRead - this.earlierBytes;
    const bodyBytes = this.body.length;
    if (exceedsFramingLimit({ totalBytes, bodyBytes })) {
      this.exceed({ bound: "framing", bytes: totalBytes });
    }
  }

  /** Ends the exchange and closes the connection because the peer has sent too much. */
  private exceed(limit: ExceededLimit): void {
    const { peer } = this.connection;
    const error = BamboolinkError.create(
      "unknown_effect",
      `the response exceeds the limit on its ${limit.bound}`,
      { step: "exchange", peer },
    );
    this.finish({ kind: "lost", error, limit });
    this.connection.close();
  }

  onResponseEnd(): void {
    const { status, headers } = this;
    if (!isComplete(headers, this.connection.state)) {
      this.fail(
        new Error("the connection was closed within the response body"),
      );
      return;
    }
    const body = this.body.take();
    const isDelimitedByClose = this.connection.state.current !== "open";
    this.finish({ kind: "answer", status, headers, body, isDelimitedByClose });
  }

  onResponseError(_controller: Controller, cause: Error): void {
    this.fail(cause);
  }

  /** Ends the exchange because its caller disconnected or its deadline passed. */
  cancel(): void {
    this.fail(new Error("cancelled"));
  }

  fail(cause: unknown): void {
    const details = { step: "exchange", peer: this.connection.peer, cause };
    if (this.isRequestSent) {
      const message =
        "the connection was closed before the response was complete";
      this.finish({
        kind: "lost",
        error: BamboolinkError.create("unknown_effect", message, details),
      });
      return;
    }
    const message = "could not connect to the peer";
    this.finish({
      kind: "unsent",
      isRefused: errorCodeOf(cause) === "ECONNREFUSED",
      error: BamboolinkError.create("unreachable", message, details),
    });
  }

  private finish(result: ExchangeResult): void {
    if (!this.isDone) {
      this.isDone = true;
      this.connection.memory.release(this);
      this.body.clear();
      this.resolve(result);
    }
  }
}

/**
 * Whether a response that the HTTP client reports as complete really is.
 *
 * The client treats everything received before a reset, or before the end of the connection, as the complete response,
 * so a caller would get a truncated response that looks complete. Only a response without framing may be delimited by
 * the end of its connection, and only if the connection was closed without a reset.
 */
function isComplete(headers: ResponseHeaders, state: ConnectionState): boolean {
  switch (state.current) {
    case "open":
      return true;
    case "ended":
      return headers["transfer-encoding"] === undefined;
    case "reset":
      return false;
  }
}

/** Size of the names and values of headers, in bytes. */
function measureHeaders(headers: ResponseHeaders): number {
  return Object.entries(headers).reduce(
    (sum, [name, value]) =>
      [value ?? []].flat().reduce(
        (bytes, text) => bytes + name.length + text.length,
        sum,
      ),
    0,
  );
}
