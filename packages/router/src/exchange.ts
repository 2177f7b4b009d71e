/**
 * One request and its whole answer on one connection.
 *
 * @module
 */
import { BamboolinkError } from "@bamboolink/errors";
import { Client, type Dispatcher } from "undici";

/** How long a new connection may take, in milliseconds. All peers are within a few milliseconds. */
const CONNECT_TIMEOUT_MS = 400;
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
export type AnswerHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** What became of a request. */
export type ExchangeResult =
  | {
    readonly kind: "answer";
    readonly status: number;
    readonly headers: AnswerHeaders;
    readonly body: Buffer;
  }
  /** No byte of it was sent. `isRefused`: the address is there and nobody listens. */
  | {
    readonly kind: "unsent";
    readonly isRefused: boolean;
    readonly error: BamboolinkError;
  }
  /** It was sent, and no whole answer came. */
  | { readonly kind: "lost"; readonly error: BamboolinkError };

type Controller = Dispatcher.DispatchController;

/** One connection that carries one request at a time; it connects anew by itself. */
export class Connection {
  private usedAtMs = -Infinity;

  private constructor(
    private readonly client: Client,
    private readonly peer: string,
  ) {}

  /** Creates a connection that connects with its first request. */
  static create(peer: string): Connection {
    const client = new Client(`http://${peer}`, {
      pipelining: 1,
      connectTimeout: CONNECT_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: MAXIMUM_ANSWER_BYTES,
    });
    return new Connection(client, peer);
  }

  /** When the last request ended. */
  get lastUsedMs(): number {
    return this.usedAtMs;
  }

  /** Sends a request; `cancel` ends it and its connection. It never throws. */
  exchange(
    request: ExchangeRequest,
    options: { signal: AbortSignal; nowMs: () => number },
  ): Promise<ExchangeResult> {
    return new Promise((resolve) => {
      const handler = ExchangeHandler.create(this.peer, (result) => {
        options.signal.removeEventListener("abort", cancel);
        this.usedAtMs = options.nowMs();
        resolve(result);
      });
      const cancel = () => {
        handler.cancel();
        void this.destroy();
      };
      if (options.signal.aborted) {
        handler.cancel();
        return;
      }
      options.signal.addEventListener("abort", cancel, { once: true });
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

/** Collects one answer. */
class ExchangeHandler {
  private isSent = false;
  private isDone = false;
  private status = 0;
  private headers: AnswerHeaders = {};
  private readonly chunks: Buffer[] = [];

  private constructor(
    private readonly peer: string,
    private readonly settle: (result: ExchangeResult) => void,
  ) {}

  static create(
    peer: string,
    settle: (result: ExchangeResult) => void,
  ): ExchangeHandler {
    return new ExchangeHandler(peer, settle);
  }

  /** Called just before the first byte is written, never when no connection could be made. */
  onRequestStart(_controller: Controller): void {
    this.isSent = true;
  }

  onResponseStart(
    _controller: Controller,
    status: number,
    headers: AnswerHeaders,
  ): void {
    this.status = status;
    this.headers = headers;
  }

  onResponseData(_controller: Controller, chunk: Buffer): void {
    this.chunks.push(chunk);
  }

  onResponseEnd(): void {
    const { status, headers } = this;
    const body = this.chunks.length === 1
      ? this.chunks[0]!
      : Buffer.concat(this.chunks);
    this.finish({ kind: "answer", status, headers, body });
  }

  onResponseError(_controller: Controller, cause: Error): void {
    this.fail(cause);
  }

  /** The caller has left or the time is up. */
  cancel(): void {
    this.fail(new Error("cancelled"));
  }

  fail(cause: unknown): void {
    const details = { step: "exchange", peer: this.peer, cause };
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

function codeOf(cause: unknown): string | undefined {
  return cause instanceof Error
    ? (cause as NodeJS.ErrnoException).code
    : undefined;
}
