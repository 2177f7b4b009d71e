/**
 * A relay on loopback between two processes, through which connections are harmed.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from "node:net";

/** How a relay treats what goes through it. */
export type RelayMode =
  | "pass"
  /** Bytes wait a little each way. */
  | "slow"
  /** Bytes from the server are kept back: one way is cut. */
  | "one_way"
  /** Nothing goes through, and nobody is told. */
  | "silent"
  /** Connections are reset as they come. */
  | "reset";

/** Delay of a slow relay, in milliseconds. */
const SLOW_DELAY_MS = 60;

/** One relay. */
export class Relay {
  private mode: RelayMode = "pass";
  private readonly sockets = new Set<Socket>();

  private constructor(
    private readonly server: Server,
    private readonly target: { host: string; port: number },
  ) {}

  /** Starts a relay at an address in front of another. */
  static async create(
    listenAddress: { host: string; port: number },
    target: { host: string; port: number },
  ): Promise<Relay> {
    const server = createServer();
    const relay = new Relay(server, target);
    server.on("connection", (socket) => relay.accept(socket));
    await new Promise<void>((resolve) =>
      server.listen(listenAddress.port, listenAddress.host, resolve)
    );
    return relay;
  }

  /** Changes how it treats connections; `reset` harms those that are open, too. */
  setMode(mode: RelayMode): void {
    this.mode = mode;
    if (mode === "reset") {
      this.sockets.forEach((socket) => socket.resetAndDestroy());
    }
  }

  /** Stops it. */
  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private accept(incoming: Socket): void {
    if (this.mode === "reset") {
      incoming.resetAndDestroy();
      return;
    }
    const outgoing = connect(this.target);
    this.forward(incoming, { to: outgoing, isFromServer: false });
    this.forward(outgoing, { to: incoming, isFromServer: true });
  }

  private forward(
    from: Socket,
    direction: { to: Socket; isFromServer: boolean },
  ): void {
    const { to, isFromServer } = direction;
    this.sockets.add(from);
    from.on("data", (bytes) => this.forwardBytes(bytes, { to, isFromServer }));
    from.on("end", () => this.isForwarding(isFromServer) && to.end());
    from.on("error", () => to.destroy());
    from.on("close", () => {
      this.sockets.delete(from);
      to.destroy();
    });
  }

  private isForwarding(isFromServer: boolean): boolean {
    return this.mode !== "silent" &&
      !(this.mode === "one_way" && isFromServer);
  }

  /** Bytes that meet a cut are lost, as they are when the cut outlasts the connection. */
  private forwardBytes(
    bytes: Buffer,
    direction: { to: Socket; isFromServer: boolean },
  ): void {
    if (!this.isForwarding(direction.isFromServer)) {
      return;
    }
    if (this.mode === "slow") {
      setTimeout(
        () => direction.to.writable && direction.to.write(bytes),
        SLOW_DELAY_MS,
      );
      return;
    }
    direction.to.write(bytes);
  }
}
