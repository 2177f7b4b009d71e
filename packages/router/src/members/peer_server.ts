/**
 * HTTP server for requests of other daemons.
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
import type { CasRequest, Store } from "@bamboolink/store";
import type { ConfigurationManager } from "../configuration/configuration_manager.ts";
import { readBody } from "../ingress/http_body.ts";
import type { OwnershipDirectory } from "../keys/ownership_directory.ts";
import {
  CONFIGURATION_PATH,
  GuardedWriteRecordRequest,
  OWNERSHIP_PATH,
  ReadRecordRequest,
  STORE_GET_PATH,
  STORE_GUARDED_WRITE_PATH,
  STORE_WRITE_PATH,
  WriteRecordRequest,
} from "./peer_client.ts";

/** Maximum size of a request's body, in bytes: the largest record of the store, with some headroom. */
const MAX_REQUEST_BYTES = 2_097_152;

/** Dependencies of the server. */
export interface PeerServerContext {
  readonly logger: Logger;
  readonly configuration: ConfigurationManager;
  readonly directory: OwnershipDirectory;
  /** The store as reached by this daemon directly, without a relay. */
  readonly store: Store;
}

/** Serves the configuration, ownership records and store calls to other daemons. */
export class PeerServer {
  /** Accepts the connections of other daemons. */
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
      const bodyResult = await readBody(incoming, { bytes: MAX_REQUEST_BYTES });
      if (bodyResult.kind !== "body") {
        response.destroy();
        return;
      }
      await this.respond(incoming, response, bodyResult.body);
    } catch (cause) {
      this.context.logger.log("unexpected_error", {
        step: "peer_server",
        cause,
      });
      response.destroy();
    }
  }

  private async respond(
    incoming: IncomingMessage,
    response: ServerResponse,
    body: Buffer | undefined,
  ): Promise<void> {
    const text = await this.handleRequest(incoming.url ?? "", body);
    response.writeHead(text === undefined ? 404 : 200, {
      "content-length": Buffer.byteLength(text ?? ""),
    });
    response.end(text);
  }

  private async handleRequest(
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
        const { key } = ReadRecordRequest.parse(readJson(body));
        const found = await store.get(key);
        return found.match(
          (record) =>
            JSON.stringify({ record: record ?? null, era: store.era }),
          () => undefined,
        );
      }
      case STORE_WRITE_PATH:
        return await this.write(WriteRecordRequest.parse(readJson(body)));
      case STORE_GUARDED_WRITE_PATH:
        return await this.write(
          GuardedWriteRecordRequest.parse(readJson(body)),
        );
      default:
        return undefined;
    }
  }

  private async write(
    request: Omit<CasRequest, "value"> & { value?: string | undefined },
  ): Promise<string> {
    const { store } = this.context;
    const written = await store.compareAndSwap({
      ...request,
      value: request.value,
    });
    return written.match(
      (revision) => JSON.stringify({ revision, era: store.era }),
      ({ code }) => JSON.stringify({ code }),
    );
  }
}

function readJson(body: Buffer | undefined): unknown {
  return JSON.parse((body ?? "null").toString());
}
