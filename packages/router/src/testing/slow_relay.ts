/**
 * A TCP relay that carries the bytes to its target at the bandwidth of one network link, which all connections share.
 *
 * @module
 */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

const TRANSMIT_INTERVAL_MS = 2;

interface QueuedBytes {
  readonly target: Socket;
  readonly bytes: Buffer;
}

/** Relays connections to one port on loopback; bytes in the other direction are not delayed. */
export class SlowRelay {
  /** Largest number of bytes that have waited for the link at a time. */
  maxQueuedBytes = 0;
  private queue: QueuedBytes[] = [];
  private queuedBytes = 0;
  private creditBytes = 0;
  private lastTransmitMs = performance.now();
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;
  private readonly timer: NodeJS.Timeout;

  private constructor(port: number, private readonly bytesPerMs: number) {
    this.server = createServer((source) => this.accept(source, port));
    this.timer = setInterval(() => this.transmit(), TRANSMIT_INTERVAL_MS);
  }

  /** Creates a relay to a port on loopback that listens on another one. */
  static async create(port: number, bytesPerMs: number): Promise<SlowRelay> {
    const relay = new SlowRelay(port, bytesPerMs);
    await new Promise<void>((resolve) =>
      relay.server.listen(0, "127.0.0.1", resolve)
    );
    return relay;
  }

  /** Address of the relay. */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Closes the relay and its connections. */
  close(): void {
    clearInterval(this.timer);
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private accept(source: Socket, port: number): void {
    const target = connect(port, "127.0.0.1");
    [source, target].forEach((socket) => {
      this.sockets.add(socket);
      socket.on("error", () => undefined);
      socket.on("close", () => {
        source.destroy();
        target.destroy();
      });
    });
    target.pipe(source);
    source.on("data", (bytes: Buffer) => {
      this.queue.push({ target, bytes });
      this.queuedBytes += bytes.length;
      this.maxQueuedBytes = Math.max(this.maxQueuedBytes, this.queuedBytes);
    });
  }

  private transmit(): void {
    const nowMs = performance.now();
    this.creditBytes += (nowMs - this.lastTransmitMs) * this.bytesPerMs;
    this.lastTransmitMs = nowMs;
    while (this.queue.length > 0 && this.creditBytes > 0) {
      const { target, bytes } = this.queue.shift()!;
      const sent = bytes.subarray(0, Math.ceil(this.creditBytes));
      target.write(sent);
      this.creditBytes -= sent.length;
      this.queuedBytes -= sent.length;
      if (sent.length < bytes.length) {
        this.queue.unshift({ target, bytes: bytes.subarray(sent.length) });
      }
    }
    this.creditBytes = Math.min(0, this.creditBytes);
  }
}
