/**
 * A backend server in a process of its own that sends responses without end.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";

/** What the server sends: once for each connection, and then without end. */
export interface EndlessForm {
  readonly start: string;
  readonly repeated: string;
}

/** Time within which a server detects that its connections were closed, in milliseconds. */
const CLOSE_TIMEOUT_MS = 2_000;
const PAUSE_MS = 10;

const CHUNK_TEXT = "x".repeat(65_536);
const STATUS_LINE = "HTTP/1.1 200 OK\r\n";
const CHUNKED = `${STATUS_LINE}transfer-encoding: chunked\r\n\r\n`;

/** Forms of responses without end, by name. */
export const ENDLESS_FORMS: Readonly<Record<string, EndlessForm>> = {
  "a body without a length": {
    start: `${STATUS_LINE}\r\n`,
    repeated: CHUNK_TEXT,
  },
  "a body with a huge length": {
    start: `${STATUS_LINE}content-length: 900000000000\r\n\r\n`,
    repeated: CHUNK_TEXT,
  },
  "a body in chunks of 64 KiB": {
    start: CHUNKED,
    repeated: `10000\r\n${CHUNK_TEXT}\r\n`,
  },
  "a body in chunks of one byte": {
    start: CHUNKED,
    repeated: "1\r\nx\r\n".repeat(4_096),
  },
  "interim responses": {
    start: "",
    repeated: "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(1_024),
  },
  "empty lines before the status line": {
    start: "",
    repeated: "\r\n".repeat(16_384),
  },
  "a reason phrase": { start: "HTTP/1.1 200 ", repeated: CHUNK_TEXT },
  "the extension of a chunk": {
    start: `${CHUNKED}5;name=`,
    repeated: CHUNK_TEXT,
  },
  "many headers": { start: STATUS_LINE, repeated: "a:b\r\n".repeat(8_192) },
  "one header": { start: `${STATUS_LINE}name: `, repeated: CHUNK_TEXT },
  "trailers": {
    start: `${CHUNKED}5\r\nwhole\r\n0\r\n`,
    repeated: "a:b\r\n".repeat(8_192),
  },
};

const PROGRAM = `
  const { createServer } = require("node:net");
  const { start, repeated } = JSON.parse(process.env.ENDLESS_FORM);
  const open = new Set();
  const server = createServer((socket) => {
    open.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => {
      open.delete(socket);
      process.send({ openCount: open.size });
    });
    const send = () => {
      if (!socket.destroyed) {
        socket.write(repeated, () => setImmediate(send));
      }
    };
    socket.once("data", () => {
      socket.write(start);
      send();
    });
  });
  server.listen(0, "127.0.0.1", () => process.send({ port: server.address().port }));
  process.on("disconnect", () => process.exit());
`;

interface Message {
  readonly port?: number;
  readonly openCount?: number;
}

/** A server that sends one form of response to all requests. */
export class EndlessServer {
  /** How many connections are open, as last reported by the server; -1 before its first report. */
  openCount = -1;

  private constructor(
    private readonly child: ChildProcess,
    readonly address: string,
  ) {
    child.on("message", ({ openCount }: Message) => {
      this.openCount = openCount ?? this.openCount;
    });
  }

  /** Starts a server on loopback. */
  static async create(form: EndlessForm): Promise<EndlessServer> {
    const child = spawn(process.execPath, ["-e", PROGRAM], {
      env: { ...process.env, ENDLESS_FORM: JSON.stringify(form) },
      stdio: ["ignore", "inherit", "inherit", "ipc"],
    });
    const [{ port }] = await once(child, "message") as [Message];
    return new EndlessServer(child, `127.0.0.1:${port}`);
  }

  /** Waits until all connections are closed, for at most two seconds. */
  async awaitClosed(): Promise<void> {
    for (let waitedMs = 0; waitedMs < CLOSE_TIMEOUT_MS; waitedMs += PAUSE_MS) {
      if (this.openCount === 0) {
        return;
      }
      await sleep(PAUSE_MS);
    }
  }

  /** Ends the server's process. */
  close(): void {
    this.child.kill();
  }
}
