/**
 * A backend server that may reject requests and may repeat its responses late, as a script says, and that records what
 * it has run.
 *
 * @module
 */
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** What the server does with one request. */
export interface ScriptedResponse {
  /** Whether it rejects the request without running it. */
  readonly isRejected: boolean;
  /** Time until it responds, in milliseconds. */
  readonly workMs: number;
  /**
   * When it sends the response again on the same connection: not at all, at once, after some milliseconds, when the next
   * request arrives there, or when the one after that does.
   */
  readonly repeat: "never" | "at_once" | "soon" | "with_next" | "with_second";
  /** Whether it closes the connection after the response. */
  readonly closes: boolean;
}

/** Time after which a response is repeated `soon`, in milliseconds. */
const SOON_MS = 2;

/** A response that is repeated when `remaining` further requests have arrived. */
interface Repetition {
  remaining: number;
  readonly text: string;
}

/** Responds to each request by the script's entry whose index is the request's path, such as `/3`. */
export class RepeatingServer {
  /** Indexes of the requests that it has run. */
  readonly runs: number[] = [];
  /** Number of connections that it has accepted. */
  connectionCount = 0;
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  private constructor(private readonly script: readonly ScriptedResponse[]) {
    this.server = createServer((socket) => this.serve(socket));
  }

  /** Starts a server on loopback. */
  static async create(
    script: readonly ScriptedResponse[],
  ): Promise<RepeatingServer> {
    const created = new RepeatingServer(script);
    await new Promise<void>((resolve) =>
      created.server.listen(0, "127.0.0.1", resolve)
    );
    return created;
  }

  /** Its address as `HOST:PORT`. */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private serve(socket: Socket): void {
    this.connectionCount += 1;
    this.sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => this.sockets.delete(socket));
    const repetitions: Repetition[] = [];
    let text = "";
    socket.on("data", (chunk) => {
      text += String(chunk);
      const end = text.indexOf("\r\n\r\n");
      if (end < 0) {
        return;
      }
      const head = text.slice(0, end);
      text = text.slice(end + 4);
      repetitions.forEach((repetition) => {
        repetition.remaining -= 1;
        if (repetition.remaining === 0) {
          socket.write(repetition.text);
        }
      });
      void this.respond(socket, { head, repetitions });
    });
  }

  private async respond(
    socket: Socket,
    request: { head: string; repetitions: Repetition[] },
  ): Promise<void> {
    const { head, repetitions } = request;
    const index = Number(/^GET \/(\d+) /.exec(head)![1]);
    const id = /x-id: (\S+)/i.exec(head)![1]!;
    const { isRejected, workMs, repeat, closes } = this.script[index]!;
    if (!isRejected) {
      this.runs.push(index);
    }
    await sleep(workMs);
    const body = isRejected ? "" : `ran ${index}`;
    const response = [
      `HTTP/1.1 ${isRejected ? "503 Rejected" : "200 OK"}`,
      `x-id: ${id}`,
      `content-length: ${body.length}`,
      "",
      body,
    ].join("\r\n");
    socket.write(response);
    switch (repeat) {
      case "never":
        break;
      case "at_once":
        socket.write(response);
        break;
      case "soon":
        setTimeout(() => socket.writable && socket.write(response), SOON_MS);
        break;
      case "with_next":
        repetitions.push({ remaining: 1, text: response });
        break;
      case "with_second":
        repetitions.push({ remaining: 2, text: response });
        break;
    }
    if (closes) {
      socket.end();
    }
  }
}
