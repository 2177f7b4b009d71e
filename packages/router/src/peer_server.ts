/**
 * What a daemon does for other daemons: runs requests at its backend server, and answers questions.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Logger } from "@bamboolink/logger";
import type { Store } from "@bamboolink/store";
import { steadyMs } from "./clock.ts";
import type { ConfigurationKeeper } from "./configuration_keeper.ts";
import {
  decodeWork,
  encodeLoad,
  encodeOutcome,
  LOAD_HEADER,
  OUTCOME_HEADER,
  WORK_HEADER,
} from "./forward_codec.ts";
import { hasLeft, readBody } from "./http_body.ts";
import { selectAnswerHeaders, selectRequestHeaders } from "./http_headers.ts";
import type { LocalBackend } from "./local_backend.ts";
import type { LoopLag } from "./loop_lag.ts";
import type { OwnershipDirectory } from "./ownership_directory.ts";
import {
  CONFIGURATION_PATH,
  GetQuestion,
  OWNERSHIP_PATH,
  STORE_GET_PATH,
  STORE_WRITE_PATH,
  WriteQuestion,
} from "./peer_questions.ts";
import { notRun, type Outcome, type Work } from "./work.ts";

/** Longer than other daemons reuse idle connections, in milliseconds, so that none closes under a request. */
const KEEP_ALIVE_MS = 60_000;
/**
 * A request that is not answered by then is acknowledged, in milliseconds. Many are answered sooner, and
 * the answer says the same without another packet.
 */
const ACKNOWLEDGE_AFTER_MS = 80;
const MAXIMUM_HEADER_BYTES = 98_304;
const MAXIMUM_BODY_BYTES = 67_108_864;
const NOTHING_RESERVED: ReadonlySet<string> = new Set();

/** What the server needs. */
export interface PeerServerContext {
  readonly logger: Logger;
  readonly backend: LocalBackend;
  readonly configuration: ConfigurationKeeper;
  readonly directory: OwnershipDirectory;
  readonly lag: LoopLag;
  /** The store as this daemon itself reaches it. */
  readonly store: Store;
}

/** The server for other daemons. */
export class PeerServer {
  /** Takes the other daemons' connections. */
  readonly server: Server;
  private active = 0;
  private isStopping = false;

  private constructor(private readonly context: PeerServerContext) {
    this.server = createServer({
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      keepAliveTimeout: KEEP_ALIVE_MS,
      requestTimeout: 0,
    }, (incoming, response) => void this.serve(incoming, response));
  }

  /** Creates a server that does not listen yet. */
  static create(context: PeerServerContext): PeerServer {
    return new PeerServer(context);
  }

  /** How many requests are under way. */
  get activeCount(): number {
    return this.active;
  }

  /** From now on no request is taken any more. */
  beginStop(): void {
    this.isStopping = true;
  }

  private async serve(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.active += 1;
    response.sendDate = false;
    try {
      const read = await readBody(incoming, { bytes: MAXIMUM_BODY_BYTES });
      if (read.kind !== "body") {
        response.destroy();
        return;
      }
      const header = incoming.headers[WORK_HEADER];
      if (typeof header === "string") {
        await this.serveWork(incoming, response, { header, body: read.body });
      } else {
        await this.serveQuestion(incoming, response, read.body);
      }
    } catch (cause) {
      this.context.logger.log("unexpected_error", {
        step: "peer_server",
        cause,
      });
      response.destroy();
    } finally {
      this.active -= 1;
    }
  }

  private async serveWork(
    incoming: IncomingMessage,
    response: ServerResponse,
    given: { header: string; body: Buffer | undefined },
  ): Promise<void> {
    const work = decodeWork({
      ...given,
      method: incoming.method ?? "GET",
      target: incoming.url ?? "/",
      headers: selectRequestHeaders(incoming.rawHeaders, NOTHING_RESERVED),
    }, steadyMs() - this.context.lag.currentMs);
    if (work.isErr()) {
      this.context.logger.log("peer_request_malformed", { cause: work.error });
      response.writeHead(400).end();
      return;
    }
    await this.context.lag.catchUp({ isFirst: false });
    if (hasLeft(incoming)) {
      response.destroy();
      return;
    }
    const acknowledging = setTimeout(
      () => {
        if (!response.destroyed) {
          response.writeProcessing();
        }
      },
      ACKNOWLEDGE_AFTER_MS,
    );
    const outcome = this.isStopping
      ? notRun("stopping")
      : this.context.lag.isOverloaded(work.value.rank)
      ? notRun("overloaded", { waitMs: this.context.lag.currentMs })
      : await this.runUntilDeadline(work.value, response);
    clearTimeout(acknowledging);
    this.answer(response, outcome);
  }

  private async runUntilDeadline(
    work: Work,
    response: ServerResponse,
  ): Promise<Outcome> {
    const controller = new AbortController();
    const timer = setTimeout(
      () => controller.abort("deadline"),
      Math.max(0, work.deadlineAtMs - steadyMs()),
    );
    const leave = () => controller.abort("cancelled");
    response.once("close", leave);
    try {
      return await this.context.backend.attempt(work, controller.signal);
    } finally {
      clearTimeout(timer);
      response.removeListener("close", leave);
    }
  }

  private answer(response: ServerResponse, outcome: Outcome): void {
    if (response.destroyed) {
      return;
    }
    const own = {
      [OUTCOME_HEADER]: encodeOutcome(outcome),
      [LOAD_HEADER]: encodeLoad(this.context.backend.report()),
    };
    if (outcome.kind !== "answer") {
      response.writeHead(503, { ...own, "content-length": "0" });
      response.end();
      return;
    }
    response.writeHead(outcome.status, {
      ...selectAnswerHeaders(outcome.headers),
      ...own,
      "content-length": String(outcome.body.length),
    });
    response.end(outcome.body);
  }

  private async serveQuestion(
    incoming: IncomingMessage,
    response: ServerResponse,
    body: Buffer | undefined,
  ): Promise<void> {
    const text = await this.answerQuestion(incoming.url ?? "", body);
    response.writeHead(text === undefined ? 404 : 200, {
      "content-length": Buffer.byteLength(text ?? ""),
    });
    response.end(text);
  }

  private async answerQuestion(
    target: string,
    body: Buffer | undefined,
  ): Promise<string | undefined> {
    const { configuration, store } = this.context;
    switch (target) {
      case CONFIGURATION_PATH:
        return configuration.inForce?.text;
      case OWNERSHIP_PATH:
        return JSON.stringify(this.context.directory.all);
      case STORE_GET_PATH: {
        const { key } = GetQuestion.parse(readJson(body));
        const found = await store.get(key);
        return found.match(
          (record) => JSON.stringify({ record: record ?? null }),
          () => undefined,
        );
      }
      case STORE_WRITE_PATH: {
        const question = WriteQuestion.parse(readJson(body));
        const written = await store.compareAndSwap({
          ...question,
          value: question.value,
        });
        return written.match(
          (revision) => JSON.stringify({ revision }),
          ({ code }) => JSON.stringify({ code }),
        );
      }
      default:
        return undefined;
    }
  }
}

function readJson(body: Buffer | undefined): unknown {
  return JSON.parse((body ?? "null").toString());
}
