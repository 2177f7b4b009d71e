/**
 * Clients for control messages to other daemons, with one connection to each peer.
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

/** Default timeout of a control message. */
export const PEER_TIMEOUT_MS = 500;
/** Pings detect connections that broke without being closed. */
const PING_INTERVAL_MS = 1_000;
const PING_TIMEOUT_MS = 500;
const CONNECTION_IDLE_TIMEOUT_MS = 60_000;

export type PeerClient = Client<typeof Peer>;

const ignoreError = () => undefined;

/**
 * Session manager whose connection errors never end the process.
 *
 * The library's manager removes its listeners from a connection as soon as it opens the next one. A connection whose
 * ping timed out emits its error slightly later. If another call was made in between, as happens after the process
 * stalled, no listener is left and the error would be uncaught. Ignoring it here is safe, as each call gets the error
 * from its own stream.
 */
class GuardedSessionManager extends Http2SessionManager {
  override async request(
    ...given: Parameters<Http2SessionManager["request"]>
  ): ReturnType<Http2SessionManager["request"]> {
    const stream = await super.request(...given);
    const { session } = stream;
    if (session?.listeners("error").includes(ignoreError) === false) {
      session.on("error", ignoreError);
    }
    return stream;
  }
}

interface Connection {
  readonly client: PeerClient;
  readonly manager: Http2SessionManager;
}

/** Clients of peers, by control address; connections are opened on first use. */
export class PeerClients {
  private readonly connections = new Map<string, Connection>();

  private constructor() {}

  static create(): PeerClients {
    return new PeerClients();
  }

  /** Sends one message and returns its response, or error `timeout` or `unreachable` with the step and the peer. */
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
          "could not get a response from another daemon",
          details,
        ),
      );
    }
  }

  /** Returns the client of one peer, for streams. */
  clientOf(address: string): PeerClient {
    return this.connect(address).client;
  }

  /** Closes the connections to all peers except the given control addresses. */
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
    const existing = this.connections.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const baseUrl = `http://${address}`;
    const manager = new GuardedSessionManager(baseUrl, {
      pingIntervalMs: PING_INTERVAL_MS,
      pingTimeoutMs: PING_TIMEOUT_MS,
      idleConnectionTimeoutMs: CONNECTION_IDLE_TIMEOUT_MS,
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
