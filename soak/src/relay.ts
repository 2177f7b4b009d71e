/**
 * A TCP relay on loopback between two processes, for injecting network faults into their connections.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from "node:net";

/** How a relay treats connections and their bytes. */
export type RelayMode =
  | "pass"
  /** Bytes are delayed by `SLOW_DELAY_MS` in each direction. */
  | "slow"
  /** Bytes from the server are dropped, those to the server pass. */
  | "one_way"
  /** Bytes are dropped in both directions, without an error at either end. */
  | "silent"
  /** New connections are reset at once. */
  | "reset";

/** Delay of bytes in the mode `slow`, in milliseconds. */
const SLOW_DELAY_MS = 60;

/** A relay between one listening address and one target. */
export class Relay {
  private mode: RelayMode = "pass";
  private readonly sockets = new Set<Socket>();

  private constructor(
    private readonly server: Server,
    private readonly target: { host: string; port: number },
  ) {}

  /** Starts a relay that listens at `listenAddress` and connects to `target`. */
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

  /** Changes the mode; `reset` also resets connections that are open. */
  setMode(mode: RelayMode): void {
    this.mode = mode;
    if (mode === "reset") {
      this.sockets.forEach((socket) => socket.resetAndDestroy());
    }
  }

  /** Stops listening and closes all connections. */
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

  /** Drops bytes while their direction is cut, as happens when a cut lasts longer than the connection. */
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
