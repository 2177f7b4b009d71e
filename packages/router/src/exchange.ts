/**
 * One request and its whole answer on one connection.
 *
 * @module
 */
import { BamboolinkError } from "@bamboolink/errors";
import { buildConnector, Client, type Dispatcher } from "undici";
import type { Cancellation } from "./cancellation.ts";

/** How long a new connection may take, in milliseconds. All peers are within a few milliseconds. */
const CONNECT_TIMEOUT_MS = 400;
/** Statuses below this are informational: the answer is still to come. */
const FIRST_FINAL_STATUS = 200;
/** Answers up to this size are taken, in bytes; they are kept whole so that none is passed on in part. */
const MAXIMUM_ANSWER_BYTES = 67_108_864;

/** A request as it goes over a connection. */
export interface ExchangeRequest {
  readonly method: string;
  readonly target: string;
  /** Names and values in turn. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
}

/** Headers of an answer, names in lower case. */
export type ResponseHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** What became of a request. */
export type ExchangeResult =
  | {
    readonly kind: "answer";
    readonly status: number;
    readonly headers: ResponseHeaders;
    readonly body: Buffer;
    /**
     * Whether the answer itself said where it ends. One that ends with its connection may have been cut
     * without a trace, so it must be passed on in the same way and not as one that is known to be whole.
     */
    readonly isFramed: boolean;
  }
  /** No byte of it was sent. `isRefused`: the address is there and nobody listens. */
  | {
    readonly kind: "unsent";
    readonly isRefused: boolean;
    readonly error: BamboolinkError;
  }
  /** It was sent, and no whole answer came. */
  | { readonly kind: "lost"; readonly error: BamboolinkError };

/** How an exchange may end early. */
export interface ExchangeOptions {
  /** Ends the exchange and its connection. */
  readonly cancellation: Cancellation;
  readonly nowMs: () => number;
}

/** How the present connection of a client ended, if it did. */
interface ConnectionEnd {
  state: "open" | "ended" | "reset";
}

type Controller = Dispatcher.DispatchController;

/** One connection that carries one request at a time; it connects anew by itself. */
export class Connection {
  private usedAtMs = -Infinity;

  private constructor(
    private readonly client: Client,
    private readonly peer: string,
    private readonly end: ConnectionEnd,
  ) {}

  /** Creates a connection that connects with its first request. */
  static create(peer: string): Connection {
    const end: ConnectionEnd = { state: "open" };
    const client = new Client(`http://${peer}`, {
      pipelining: 1,
      connect: createConnector(end),
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: MAXIMUM_ANSWER_BYTES,
    });
    return new Connection(client, peer, end);
  }

  /** When the last request ended. */
  get lastUsedAtMs(): number {
    return this.usedAtMs;
  }

  /** Sends a request. It never throws. */
  exchange(
    request: ExchangeRequest,
    options: ExchangeOptions,
  ): Promise<ExchangeResult> {
    return new Promise((resolve) => {
      const { peer, end } = this;
      const { cancellation, nowMs } = options;
      const handler = ExchangeHandler.create({ peer, end }, (result) => {
        cancellation.remove(cancel);
        this.usedAtMs = nowMs();
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
  readonly end: ConnectionEnd;
}

/** Collects one answer. */
class ExchangeHandler {
  private isSent = false;
  private isDone = false;
  private status = 0;
  private headers: ResponseHeaders = {};
  private readonly chunks: Buffer[] = [];

  private constructor(
    private readonly connection: HandlerContext,
    private readonly settle: (result: ExchangeResult) => void,
  ) {}

  static create(
    connection: HandlerContext,
    settle: (result: ExchangeResult) => void,
  ): ExchangeHandler {
    return new ExchangeHandler(connection, settle);
  }

  /** Called just before the first byte is written, never when no connection could be made. */
  onRequestStart(_controller: Controller): void {
    this.isSent = true;
  }

  onResponseStart(
    _controller: Controller,
    status: number,
    headers: ResponseHeaders,
  ): void {
    if (status >= FIRST_FINAL_STATUS) {
      this.status = status;
      this.headers = headers;
    }
  }

  onResponseData(_controller: Controller, chunk: Buffer): void {
    this.chunks.push(chunk);
  }

  onResponseEnd(): void {
    const { status, headers } = this;
    if (!isWhole(headers, this.connection.end)) {
      this.fail(new Error("the connection ended within the answer"));
      return;
    }
    const body = this.chunks.length === 1
      ? this.chunks[0]!
      : Buffer.concat(this.chunks);
    const isFramed = this.connection.end.state === "open";
    this.finish({ kind: "answer", status, headers, body, isFramed });
  }

  onResponseError(_controller: Controller, cause: Error): void {
    this.fail(cause);
  }

  /** The caller has left or the time is up. */
  cancel(): void {
    this.fail(new Error("cancelled"));
  }

  fail(cause: unknown): void {
    const details = { step: "exchange", peer: this.connection.peer, cause };
    if (this.isSent) {
      const message = "the connection ended before the answer was whole";
      this.finish({
        kind: "lost",
        error: BamboolinkError.create("unknown_effect", message, details),
      });
      return;
    }
    const message = "no connection could be made";
    this.finish({
      kind: "unsent",
      isRefused: codeOf(cause) === "ECONNREFUSED",
      error: BamboolinkError.create("unreachable", message, details),
    });
  }

  private finish(result: ExchangeResult): void {
    if (!this.isDone) {
      this.isDone = true;
      this.settle(result);
    }
  }
}

/**
 * Whether an answer that the client takes for whole is so.
 *
 * What goes wrong without it: the client takes what came before a reset, or before the end of the
 * connection, for the whole answer, and a caller gets half an answer that looks complete. Only an answer
 * without any framing ends with its connection, and only in good order.
 */
function isWhole(headers: ResponseHeaders, end: ConnectionEnd): boolean {
  switch (end.state) {
    case "open":
      return true;
    case "ended":
      return headers["transfer-encoding"] === undefined;
    case "reset":
      return false;
  }
}

/** Connects, and notes how the connection ends before the client hears of it. */
function createConnector(end: ConnectionEnd): buildConnector.connector {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  return (options, callback) =>
    connect(options, (...[error, socket]) => {
      if (error !== null || !socket) {
        callback(error ?? new Error("no connection"), null);
        return;
      }
      end.state = "open";
      socket.on("end", () => {
        end.state = "ended";
      });
      socket.on("error", () => {
        end.state = "reset";
      });
      callback(null, socket);
    });
}

function codeOf(cause: unknown): string | undefined {
  return cause instanceof Error
    ? (cause as NodeJS.ErrnoException).code
    : undefined;
}
