/**
 * Clients for other daemons' control messages, one connection to each peer.
 *
 * @module
 */
import { BamboolinkError } from "@bamboolink/errors";
import { Peer } from "@bamboolink/protocol";
import {
  type Client,
  Code,
  ConnectError,
  createClient,
} from "@connectrpc/connect";
import {
  createConnectTransport,
  Http2SessionManager,
} from "@connectrpc/connect-node";
import { err, ok, type Result } from "neverthrow";

/** How long one control message may take, in milliseconds. */
export const PEER_TIMEOUT_MS = 500;
/** A connection that was cut without a word is found out by pings, in milliseconds. */
const PING_INTERVAL_MS = 1_000;
const PING_TIMEOUT_MS = 500;
const IDLE_TIMEOUT_MS = 60_000;

/** The client of one peer. */
export type PeerClient = Client<typeof Peer>;

const ignore = () => undefined;

/**
 * Connections whose errors never end the process.
 *
 * The library's manager stops listening to a connection as soon as it opens the next one. A connection whose
 * ping timed out tells its error a moment later, and nobody listens if another call came in between, as it
 * does after the process stood still. Each call learns of the error from its own stream.
 */
class GuardedSessionManager extends Http2SessionManager {
  override async request(
    ...given: Parameters<Http2SessionManager["request"]>
  ): ReturnType<Http2SessionManager["request"]> {
    const stream = await super.request(...given);
    const { session } = stream;
    if (session?.listeners("error").includes(ignore) === false) {
      session.on("error", ignore);
    }
    return stream;
  }
}

interface Connection {
  readonly client: PeerClient;
  readonly manager: Http2SessionManager;
}

/** Clients by control address. */
export class PeerClients {
  private readonly connections = new Map<string, Connection>();

  private constructor() {}

  /** Creates a collection without connections. */
  static create(): PeerClients {
    return new PeerClients();
  }

  /** Sends one message and returns its answer; errors carry the step and the peer. */
  async call<T>(
    address: string,
    message: {
      step: string;
      send: (client: PeerClient, options: { timeoutMs: number }) => Promise<T>;
      timeoutMs?: number;
    },
  ): Promise<Result<T, BamboolinkError>> {
    try {
      const options = { timeoutMs: message.timeoutMs ?? PEER_TIMEOUT_MS };
      return ok(await message.send(this.connect(address).client, options));
    } catch (cause) {
      const timedOut = cause instanceof ConnectError &&
        cause.code === Code.DeadlineExceeded;
      const details = { step: message.step, peer: address, cause };
      return err(
        BamboolinkError.create(
          timedOut ? "timeout" : "unreachable",
          "another daemon did not answer",
          details,
        ),
      );
    }
  }

  /** The client of one peer, for streams. */
  clientOf(address: string): PeerClient {
    return this.connect(address).client;
  }

  /** Closes the connections to peers that are no longer in the fleet. */
  retain(addresses: ReadonlySet<string>): void {
    [...this.connections.keys()].filter((address) => !addresses.has(address))
      .forEach((address) => {
        this.connections.get(address)?.manager.abort();
        this.connections.delete(address);
      });
  }

  /** Closes all connections. */
  close(): void {
    this.retain(new Set());
  }

  private connect(address: string): Connection {
    const known = this.connections.get(address);
    if (known !== undefined) {
      return known;
    }
    const baseUrl = `http://${address}`;
    const manager = new GuardedSessionManager(baseUrl, {
      pingIntervalMs: PING_INTERVAL_MS,
      pingTimeoutMs: PING_TIMEOUT_MS,
      idleConnectionTimeoutMs: IDLE_TIMEOUT_MS,
    });
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: "2",
      useBinaryFormat: true,
      sessionManager: manager,
    });
    const connection = { client: createClient(Peer, transport), manager };
    this.connections.set(address, connection);
    return connection;
  }
}
