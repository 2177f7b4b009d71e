/**
 * Answers the questions of other daemons.
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
import type { ConfigurationKeeper } from "./configuration_keeper.ts";
import { readBody } from "./http_body.ts";
import type { OwnershipDirectory } from "./ownership_directory.ts";
import {
  CONFIGURATION_PATH,
  GetQuestion,
  OWNERSHIP_PATH,
  STORE_GET_PATH,
  STORE_WRITE_PATH,
  WriteQuestion,
} from "./peer_questions.ts";

/** The largest question, in bytes: the largest record of the store, and room beside it. */
const MAXIMUM_QUESTION_BYTES = 2_097_152;

/** What the server needs. */
export interface PeerServerContext {
  readonly logger: Logger;
  readonly configuration: ConfigurationKeeper;
  readonly directory: OwnershipDirectory;
  /** The store as this daemon itself reaches it. */
  readonly store: Store;
}

/** The server for other daemons. */
export class PeerServer {
  /** Takes the other daemons' connections. */
  readonly server: Server;

  private constructor(private readonly context: PeerServerContext) {
    this.server = createServer((incoming, response) =>
      void this.serve(incoming, response)
    );
  }

  /** Creates a server that does not listen yet. */
  static create(context: PeerServerContext): PeerServer {
    return new PeerServer(context);
  }

  private async serve(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      const read = await readBody(incoming, { bytes: MAXIMUM_QUESTION_BYTES });
      if (read.kind !== "body") {
        response.destroy();
        return;
      }
      await this.serveQuestion(incoming, response, read.body);
    } catch (cause) {
      this.context.logger.log("unexpected_error", {
        step: "peer_server",
        cause,
      });
      response.destroy();
    }
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
        return JSON.stringify(this.context.directory.encodedRecords);
      case STORE_GET_PATH: {
        const { key } = GetQuestion.parse(readJson(body));
        const found = await store.get(key);
        return found.match(
          (record) =>
            JSON.stringify({ record: record ?? null, era: store.era }),
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
          (revision) => JSON.stringify({ revision, era: store.era }),
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
