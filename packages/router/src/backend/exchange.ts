/**
 * Sends one request over one HTTP connection and reads its complete response.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import { BamboolinkError } from "@bamboolink/errors";
import { buildConnector, Client, type Dispatcher } from "undici";
import type { Cancellation } from "../attempts/cancellation.ts";
import { hasUnreportedError } from "./connection_probes.ts";

/** How long connecting may take, in milliseconds. All peers are a few milliseconds away. */
const CONNECT_TIMEOUT_MS = 400;
/** Port of a peer whose address names none. */
const DEFAULT_PORT = 80;
/** Statuses below this are informational (1xx): the final response is still to follow. */
const MIN_FINAL_STATUS = 200;
/**
 * Total length of the request ids that a connection remembers, in UTF-16 code units: some 2,000 usual ids. After that it
 * is not used for further requests.
 */
const MAX_REMEMBERED_ID_LENGTH = 32_768;
/** Maximum accepted response body, in bytes. Responses are buffered completely, so that none is forwarded in part. */
const MAX_RESPONSE_BYTES = 67_108_864;

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
  /** It was sent, and no complete response was received. */
  | { readonly kind: "lost"; readonly error: BamboolinkError };

/** Options of an exchange. */
export interface ExchangeOptions {
  /** Aborts the exchange and closes its connection. */
  readonly cancellation: Cancellation;
  readonly nowMs: () => number;
}

/** The state of a client's current connection. */
interface ConnectionState {
  /** A socket that was opened before the first request and has not carried one yet. */
  opened: Socket | undefined;
  /** Whether it is open, and otherwise how it was closed. */
  current: "open" | "ended" | "reset";
  /** The ids of the requests that were sent on it. */
  carriedIds: Set<string>;
  /** Total length of these ids, in UTF-16 code units. */
  carriedIdLength: number;
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
  ) {}

  /** Creates a connection that is opened by its first request. */
  static create(peer: string): Connection {
    return Connection.createWithSocket(peer);
  }

  /**
   * Opens a connection ahead of its first request.
   *
   * @returns the connection; `refused` if no process listens on the port; `unavailable` if it could not be opened in time
   *   for another reason.
   */
  static async open(
    peer: string,
    nowMs: () => number,
  ): Promise<Connection | "refused" | "unavailable"> {
    const socket = await openSocket(peer);
    if (typeof socket === "string") {
      return socket;
    }
    const connection = Connection.createWithSocket(peer, socket);
    connection.lastExchangeAtMs = nowMs();
    return connection;
  }

  private static createWithSocket(peer: string, opened?: Socket): Connection {
    const state: ConnectionState = {
      opened,
      current: "open",
      carriedIds: new Set(),
      carriedIdLength: 0,
    };
    const client = new Client(`http://${peer}`, {
      pipelining: 1,
      connect: createTrackingConnector(state),
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: MAX_RESPONSE_BYTES,
    });
    return new Connection(client, peer, state);
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
      const context = { peer, state, id: request.id };
      const handler = ExchangeHandler.create(context, (result) => {
        cancellation.remove(cancel);
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
}

/** Collects the response of one exchange from the callbacks of the HTTP client. */
class ExchangeHandler {
  private isRequestSent = false;
  private isDone = false;
  private status = 0;
  private headers: ResponseHeaders = {};
  private readonly chunks: Buffer[] = [];

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
    if (status >= MIN_FINAL_STATUS) {
      this.status = status;
      this.headers = headers;
    }
  }

  onResponseData(_controller: Controller, chunk: Buffer): void {
    this.chunks.push(chunk);
  }

  onResponseEnd(): void {
    const { status, headers } = this;
    if (!isComplete(headers, this.connection.state)) {
      this.fail(
        new Error("the connection was closed within the response body"),
      );
      return;
    }
    const body = this.chunks.length === 1
      ? this.chunks[0]!
      : Buffer.concat(this.chunks);
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

/** Creates a connector that records the state of each connection before the client is notified of it. */
function createTrackingConnector(
  state: ConnectionState,
): buildConnector.connector {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  return (options, callback) => {
    const { opened } = state;
    state.opened = undefined;
    if (opened !== undefined && isIdle(opened)) {
      trackState(opened, state);
      // The client does not expect to be called back synchronously.
      process.nextTick(() => callback(null, opened));
      return;
    }
    opened?.destroy();
    connect(options, (...[error, socket]) => {
      if (error !== null || !socket) {
        callback(error ?? new Error("no socket was created"), null);
        return;
      }
      trackState(socket, state);
      callback(null, socket);
    });
  };
}

function trackState(socket: Socket, state: ConnectionState): void {
  state.current = "open";
  state.carriedIds.clear();
  state.carriedIdLength = 0;
  socket.on("end", () => {
    state.current = hasUnreportedError(socket) ? "reset" : "ended";
  });
  socket.on("error", () => {
    state.current = "reset";
  });
}

/** Whether a socket is open and has received nothing. */
function isIdle(socket: Socket): boolean {
  return !socket.destroyed && !socket.readableEnded && socket.bytesRead === 0;
}

function openSocket(
  peer: string,
): Promise<Socket | "refused" | "unavailable"> {
  const { hostname, port } = new URL(`http://${peer}`);
  return new Promise((resolve) => {
    const socket = connect({
      host: hostname.replace(/^\[|\]$/g, ""),
      port: Number(port || DEFAULT_PORT),
      noDelay: true,
    });
    const timer = setTimeout(() => {
      // A result that arrived while the process was stalled is read before the timeout takes effect.
      setImmediate(() => {
        resolve("unavailable");
        socket.destroy();
      });
    }, CONNECT_TIMEOUT_MS);
    socket.once("connect", () => {
      clearTimeout(timer);
      resolve(socket);
    });
    socket.on("error", (cause) => {
      clearTimeout(timer);
      resolve(
        errorCodeOf(cause) === "ECONNREFUSED" ? "refused" : "unavailable",
      );
    });
    // Without a reader the end of the connection would go unnoticed.
    socket.once("readable", () => socket.read(0));
  });
}

function errorCodeOf(cause: unknown): string | undefined {
  return cause instanceof Error
    ? (cause as NodeJS.ErrnoException).code
    : undefined;
}
