/**
 * Tests of how connections of an HTTP server are closed when callers read slowly.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import {
  CallerConnections,
  type MalformedInput,
} from "./caller_connections.ts";
import type { StartTimer } from "./caller_connection.ts";

/** More than is received for a caller that does not read, and less than the operating system buffers, in bytes. */
const RESPONSE_BYTES = 1_000_000;
/** More than the operating system buffers for a caller that does not read, in bytes. */
const UNSENT_BYTES = 32_000_000;
/** More than Node.js reads of a body that has no reader, in bytes. */
const BODY_BYTES = 300_000;

const SHORT_IDLE_TIMEOUT_MS = 100;
const LONG_IDLE_TIMEOUT_MS = 60_000;
/** How much longer than its timeout Node.js keeps an idle connection, in milliseconds. */
const NODE_IDLE_MARGIN_MS = 1_000;

/** Duration of a request, in milliseconds: longer than callers are probed. */
const RUN_MS = 600;
/** Within this time work for callers that have left must stop, in milliseconds. */
const CANCELLATION_BOUND_MS = 500;

/** Time that 100 kB take on a network link of 10 Mbit/s, in milliseconds: closing any sooner truncates responses. */
const SLOW_LINK_MS = 80;

/** Longer than the first bytes of a new connection are waited for, in milliseconds. */
const IDLE_AFTER_MS = 1_000;

/** Time for the headers of a request, in milliseconds: shorter than a request runs. */
const HEADERS_TIMEOUT_MS = 200;

/** How much of the received text a caller keeps, in characters. */
const TEXT_LENGTH = 500;
const MALFORMED_BYTES = "\u0001 no request\r\n\r\n";

type Handle = (incoming: IncomingMessage, response: ServerResponse) => void;

/** A caller that reads only when the test calls one of its methods. */
class Caller {
  bytes = 0;
  /** The first bytes received, as text. */
  text = "";
  isEnded = false;

  private constructor(private readonly socket: Socket) {
    socket.pause();
    socket.on("error", () => undefined);
    socket.on("close", () => {
      this.isEnded = true;
    });
    socket.on("data", (chunk) => {
      this.bytes += chunk.length;
      this.text = `${this.text}${chunk}`.slice(0, TEXT_LENGTH);
    });
  }

  static async create(server: Server): Promise<Caller> {
    const { port } = server.address() as AddressInfo;
    const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    socket.on("end", () => socket.end());
    await new Promise<void>((resolve) => socket.once("connect", resolve));
    return new Caller(socket);
  }

  /** Sends the headers of a request, or bytes of a body. */
  async send(bytes: string | Buffer): Promise<void> {
    await new Promise<void>((resolve) =>
      this.socket.write(bytes, () => resolve())
    );
  }

  /** Reads until the connection has ended. */
  async readToEnd(): Promise<void> {
    this.socket.resume();
    await until(() => this.isEnded);
  }

  /** Reads until at least `bytes` bytes have been received. */
  async read(bytes: number): Promise<void> {
    this.socket.resume();
    await until(() => this.isEnded || this.bytes >= bytes);
  }

  /** Closes the sending side; responses can still be received. */
  end(): void {
    this.socket.end();
  }

  close(): void {
    this.socket.destroy();
  }
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await sleep(5);
  }
}

function createHeaders(method: string, path: string, bytes: number): string {
  return `${method} ${path} HTTP/1.1\r\nhost: shop.example\r\ncontent-length: ${bytes}\r\n\r\n`;
}

describe("CallerConnections", function () {
  this.timeout(10_000);
  let server: Server;
  let connections: CallerConnections;
  let handle: Handle;
  let startLingerTimer: StartTimer;
  let caller: Caller;
  let malformedInputs: MalformedInput[];

  beforeEach(async () => {
    malformedInputs = [];
    startLingerTimer = setTimeout;
    server = createServer((incoming, response) => handle(incoming, response));
    connections = CallerConnections.create(
      server,
      { onMalformedInput: (input) => malformedInputs.push(input) },
      () => performance.now(),
      (callback, delayMs) => startLingerTimer(callback, delayMs),
    );
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const accepted = new Promise((resolve) =>
      server.once("connection", resolve)
    );
    caller = await Caller.create(server);
    await accepted;
  });

  afterEach(() => {
    caller.close();
    server.closeAllConnections();
    server.close();
  });

  describe("with a request that has a body after the last response", () => {
    // Guards against a truncated response: the body of a request after the last response is not read, and Node.js stops
    // reading after 16 kB of an unread body. That the caller has ended the connection is not detected, the connection
    // is closed 1 s later with the rest of the body unread, and that reset discards 804 of 1,000 kB of the response.
    it("delivers the complete response", async () => {
      handle = (incoming, response) => {
        if (connections.discardAfterLastResponse(incoming)) {
          return;
        }
        connections.closeAfterNextResponse(incoming.socket);
        response.writeHead(200, {
          "content-length": RESPONSE_BYTES,
          connection: "close",
        });
        response.end(Buffer.alloc(RESPONSE_BYTES));
      };
      await caller.send(createHeaders("GET", "/large", 0));
      await until(() =>
        connections.busyCount === 1 && connections.unsentBytes === 0
      );
      await caller.send(createHeaders("POST", "/behind", BODY_BYTES));
      await caller.send(Buffer.alloc(BODY_BYTES));
      await until(() => connections.busyCount === 0);
      await caller.readToEnd();
      expect(caller.bytes).to.be.greaterThan(RESPONSE_BYTES);
    });
  });

  describe("with a response that was sent before the body of its request arrived", () => {
    // Guards against a connection that stays busy forever: a request rejected by its headers is answered while its body
    // is still being sent. The body is counted as a partial further request, and a stopping daemon waits for the
    // connection until its grace period expires.
    it("has nothing in flight once the body has arrived", async () => {
      let hasBodyArrived = false;
      handle = (incoming, response) => {
        incoming.once("end", () => {
          hasBodyArrived = true;
        });
        response.writeHead(503, { "content-length": "0" });
        response.end();
      };
      await caller.send(createHeaders("POST", "/refused", BODY_BYTES));
      await caller.read(1);
      await caller.send(Buffer.alloc(BODY_BYTES));
      await until(() => hasBodyArrived);
      // The request closes in the turn after its end.
      await sleep(20);
      expect(connections.busyCount).to.equal(0);
    });
  });

  describe("with an idle connection whose caller sends again", () => {
    // Guards against a truncated response: an idle connection is closed at once while a slow caller is still receiving
    // its response. The caller's next, pipelined request reaches a closed connection, and the reset discards 804 of
    // 1,000 kB of the response. The timer is held: this process may not be run for longer than the connection lingers.
    it("delivers the complete response, and closes after a timeout", async () => {
      const lingerTimers: { closeNow: () => void; delayMs: number }[] = [];
      startLingerTimer = (closeNow, delayMs) => {
        lingerTimers.push({ closeNow, delayMs });
        return setTimeout(() => undefined, 0);
      };
      handle = (_incoming, response) => {
        response.writeHead(200, { "content-length": RESPONSE_BYTES });
        response.end(Buffer.alloc(RESPONSE_BYTES));
      };
      let hasResponseClosed = false;
      server.on("request", (_incoming, response) => {
        response.once("close", () => {
          hasResponseClosed = true;
        });
      });
      await caller.send(createHeaders("GET", "/large", 0));
      await until(() => hasResponseClosed && connections.busyCount === 0);
      connections.closeIdle();
      await caller.send(createHeaders("GET", "/ahead", 0));
      await sleep(50);
      await caller.readToEnd();
      expect(caller.bytes).to.be.greaterThan(RESPONSE_BYTES);
      expect(connections.openCount).to.equal(1);
      expect(lingerTimers).to.have.lengthOf(1);
      expect(lingerTimers[0]!.delayMs).to.be.at.least(SLOW_LINK_MS);
      lingerTimers[0]!.closeNow();
      await until(() => connections.openCount === 0);
    });
  });

  describe("with an idle connection when the idle timeout is raised", () => {
    // Guards against closing a connection that its caller may reuse by the limit in force.
    it("keeps it open", async () => {
      handle = (_incoming, response) => response.end("done");
      connections.setIdleTimeout(SHORT_IDLE_TIMEOUT_MS);
      await caller.send(createHeaders("GET", "/first", 0));
      await caller.read(1);
      await until(() => connections.busyCount === 0);
      connections.setIdleTimeout(LONG_IDLE_TIMEOUT_MS);
      await sleep(SHORT_IDLE_TIMEOUT_MS + NODE_IDLE_MARGIN_MS * 2);
      expect(caller.isEnded).to.equal(false);
    });
  });

  describe("with a request after one that ends the connection", () => {
    // Guards against running a request that its caller must assume unread: a stopping daemon marks the response of each
    // request as the last one of its connection, and still runs requests that arrive before that response is sent.
    it("does not run it", async () => {
      const handledResponses: ServerResponse[] = [];
      handle = (incoming, response) => {
        if (connections.discardAfterLastResponse(incoming)) {
          return;
        }
        handledResponses.push(response);
        response.shouldKeepAlive = false;
      };
      let read = 0;
      server.on("request", () => {
        read += 1;
      });
      await caller.send(createHeaders("GET", "/last", 0));
      await until(() => read === 1);
      await caller.send(createHeaders("POST", "/behind", 0));
      await until(() => read === 2);
      handledResponses[0]!.end();
      await caller.readToEnd();
      expect(handledResponses.map(({ req }) => req.url)).to.deep.equal([
        "/last",
      ]);
    });
  });

  describe("with a connection accepted just before the listener closes", () => {
    // Guards against a request that is never answered: idle connections are ended in the same turn of the event loop in
    // which the listener closes. A connection accepted in that turn, immediately followed by its request, is ended,
    // too, so the request is read on an ended connection. Node.js itself treats a connection as idle only after its
    // first request.
    it("answers its request", async () => {
      handle = (incoming, response) => {
        if (!connections.discardAfterLastResponse(incoming)) {
          response.end("done");
        }
      };
      server.once("connection", () => {
        connections.stopListening();
        connections.closeIdle();
      });
      const lateCaller = await Caller.create(server);
      await lateCaller.send(createHeaders("GET", "/first", 0));
      await lateCaller.read(1);
      expect(lateCaller.bytes).to.be.greaterThan(0);
      lateCaller.close();
    });

    it("closes it soon if no request arrives", async () => {
      server.once("connection", () => connections.stopListening());
      const lateCaller = await Caller.create(server);
      await until(() => {
        connections.closeIdle();
        return connections.openCount === 0;
      });
      await lateCaller.readToEnd();
      expect(lateCaller.bytes).to.equal(0);
    });
  });

  describe("with malformed bytes after a request", () => {
    // Guards against a valid request that is aborted by the 400 for the bytes after it.
    it("answers that request, and closes after its response", async () => {
      const handledResponses: ServerResponse[] = [];
      handle = (_incoming, response) => void handledResponses.push(response);
      await caller.send(createHeaders("GET", "/proper", 0));
      await until(() => handledResponses.length === 1);
      await caller.send(MALFORMED_BYTES);
      await caller.send(MALFORMED_BYTES);
      await until(() => malformedInputs.length > 0);
      handledResponses[0]!.end("done");
      await caller.readToEnd();
      expect(caller.text).to.match(/^HTTP\/1\.1 200 OK\r\n/)
        .and.to.match(/\r\nConnection: close\r\n/)
        .and.to.match(/\r\n\r\ndone$/);
    });

    // Guards against a response that is truncated because of the bytes after its request.
    it("delivers all of a response that has begun", async () => {
      handle = (_incoming, response) => {
        response.writeHead(200, { "content-length": UNSENT_BYTES });
        response.end(Buffer.alloc(UNSENT_BYTES));
      };
      await caller.send(createHeaders("GET", "/large", 0));
      await until(() => connections.busyCount === 1);
      await caller.send(MALFORMED_BYTES);
      await until(() => malformedInputs.length > 0);
      await caller.readToEnd();
      expect(caller.bytes).to.be.greaterThan(UNSENT_BYTES);
    });
  });

  describe("with a caller that closes its sending side within a further request", () => {
    // Guards against a valid request that is answered with the 400 for the bytes after it.
    it("treats the caller as disconnected, and writes nothing", async () => {
      let hasClosed = false;
      handle = (_incoming, response) => {
        response.once("close", () => {
          hasClosed = true;
        });
      };
      await caller.send(createHeaders("GET", "/proper", 0) + "GET /part HT");
      caller.end();
      await caller.readToEnd();
      await until(() => hasClosed);
      expect(caller.text).to.equal("");
    });
  });

  describe("with a caller that closes its sending side after its request", () => {
    // Guards against a proper request that gets no response: a caller may announce so that it sends no more.
    it("delivers the response", async () => {
      handle = (_incoming, response) =>
        void setTimeout(() => response.end("done"), RUN_MS);
      await caller.send(createHeaders("GET", "/half", 0));
      caller.end();
      await caller.readToEnd();
      expect(caller.text).to.match(/\r\n\r\nHTTP\/1\.1 200 OK\r\n[^]*done$/);
    });

    it("sends few interim responses, and none in HTTP/1.0", async () => {
      handle = () => undefined;
      await caller.send(createHeaders("GET", "/half", 0));
      caller.end();
      setTimeout(() => server.closeAllConnections(), RUN_MS * 2);
      await caller.readToEnd();
      expect(caller.text.match(/100 Continue/g)).to.have.length.within(1, 5);
      const oldCaller = await Caller.create(server);
      await oldCaller.send("GET /half HTTP/1.0\r\n\r\n");
      oldCaller.end();
      await oldCaller.readToEnd();
      expect(oldCaller.text).to.equal("");
    });
  });

  describe("with a caller that leaves after its request", () => {
    // Guards against work for a caller that has left: at first, its leaving looks like a closed sending side.
    it("cancels the response", async () => {
      let closedAtMs = Infinity;
      let response: ServerResponse | undefined;
      handle = (_incoming, received) => {
        response = received;
        received.once("close", () => {
          closedAtMs = performance.now();
        });
      };
      await caller.send(createHeaders("GET", "/left", 0));
      await until(() => response !== undefined);
      const leftAtMs = performance.now();
      caller.close();
      await until(() => closedAtMs < Infinity);
      expect(response?.writableFinished).to.equal(false);
      expect(closedAtMs - leftAtMs).to.be.below(CANCELLATION_BOUND_MS);
    });
  });

  describe("with malformed bytes and no request before them", () => {
    it("answers 400 and closes", async () => {
      await caller.send(MALFORMED_BYTES);
      await caller.readToEnd();
      expect(caller.text).to.match(/^HTTP\/1\.1 400 Bad Request\r\n/);
    });
  });

  describe("with a request whose body is malformed", () => {
    const headers =
      "POST /cut HTTP/1.1\r\nhost: shop.example\r\ntransfer-encoding: chunked\r\n\r\n";

    beforeEach(() => {
      handle = (incoming, response) => {
        const chunks: Buffer[] = [];
        incoming.on("data", (chunk: Buffer) => chunks.push(chunk));
        incoming.on("end", () => response.end(Buffer.concat(chunks)));
      };
    });

    // Guards against a request that is never answered because the end of its body can no longer arrive.
    it("answers 400 and closes", async () => {
      await caller.send(`${headers}no size\r\n`);
      await until(() => malformedInputs.length > 0);
      await caller.readToEnd();
      expect(caller.text).to.match(/^HTTP\/1\.1 400 Bad Request\r\n/);
    });

    // Guards against a stopping daemon that waits for such a connection until its grace period expires.
    it("has nothing in flight afterwards", async () => {
      await caller.send(`${headers}no size\r\n`);
      await until(() => malformedInputs.length > 0);
      await until(() => connections.busyCount === 0);
    });

    // Guards against a valid request that is answered as if its connection could be reused.
    it("answers the request before it as the last one", async () => {
      await caller.send(createHeaders("GET", "/proper", 0));
      await caller.send(`${headers}no size\r\n`);
      await until(() => malformedInputs.length > 0);
      await caller.readToEnd();
      expect(caller.text).to.match(/^HTTP\/1\.1 200 OK\r\n/);
    });
  });

  describe("with a request that was answered before its body arrived", () => {
    const headers =
      "POST /early HTTP/1.1\r\nhost: shop.example\r\ntransfer-encoding: chunked\r\n\r\n";

    beforeEach(async () => {
      handle = (_incoming, response) => response.end("early");
      await caller.send(`${headers}5\r\nbo`);
      await until(() => connections.busyCount === 0);
    });

    // Guards against a second response to one request.
    it("writes nothing more if its caller closes its sending side", async () => {
      caller.end();
      await caller.readToEnd();
      expect(caller.text).to.match(/^HTTP\/1\.1 200 OK\r\n[^]*early$/);
    });

    // Guards against the same for a body that is malformed.
    it("writes nothing more if its body is malformed", async () => {
      await caller.send("dy no end\r\n");
      await caller.readToEnd();
      expect(caller.text).to.match(/^HTTP\/1\.1 200 OK\r\n[^]*early$/);
    });
  });

  describe("with a caller that continues to send malformed bytes", () => {
    // Guards against counting one request once per chunk of the bytes after it.
    it("reports them once", async () => {
      handle = () => undefined;
      await caller.send(createHeaders("GET", "/proper", 0));
      await caller.send(MALFORMED_BYTES);
      await until(() => malformedInputs.length > 0);
      await caller.send(MALFORMED_BYTES);
      await sleep(50);
      expect(malformedInputs.map(({ code }) => code)).to.deep.equal([
        "HPE_INVALID_METHOD",
      ]);
    });
  });

  describe("with a partial request of which no more arrives", () => {
    // Guards against a stopping daemon that is held up until its grace period expires by one caller that stopped in the
    // middle of its headers: partial headers, or a stray line break after a request, keep a connection busy until its
    // next response.
    it("closes it after a timeout", async () => {
      await caller.send("GET /part HTT");
      await until(() => connections.busyCount === 1);
      await until(() => {
        connections.closeIdle();
        return connections.openCount === 0;
      });
      await caller.readToEnd();
      expect(caller.bytes).to.equal(0);
    });
  });

  describe("with a connection that falls idle right after idle ones were closed", () => {
    // Guards against a stopping process that exits although a connection is neither busy nor closed.
    it("counts it as open until it is closed", async () => {
      let nowMs = 0;
      const timedServer = createServer();
      const timedConnections = CallerConnections.create(
        timedServer,
        {},
        () => nowMs,
      );
      await new Promise<void>((resolve) =>
        timedServer.listen(0, "127.0.0.1", resolve)
      );
      const timedCaller = await Caller.create(timedServer);
      await until(() => timedConnections.openCount === 1);
      timedConnections.closeIdle();
      nowMs = IDLE_AFTER_MS;
      const counts = [timedConnections.busyCount, timedConnections.openCount];
      expect(counts).to.deep.equal([0, 1]);
      timedConnections.closeIdle();
      await timedCaller.readToEnd();
      await until(() => timedConnections.openCount === 0);
      timedServer.close();
    });
  });

  describe("with a request whose headers take too long", () => {
    const part = "POST /late HTTP/1.1\r\nhost: shop.example\r\n";
    let timedServer: Server;
    let timedCaller: Caller;
    let handledTargets: (string | undefined)[];

    beforeEach(async () => {
      handledTargets = [];
      timedServer = createServer({
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: 0,
        connectionsCheckingInterval: HEADERS_TIMEOUT_MS / 4,
      }, (incoming, response) => {
        if (timedConnections.discardAfterLastResponse(incoming)) {
          return;
        }
        handledTargets.push(incoming.url);
        setTimeout(() => response.end("done"), RUN_MS);
      });
      const timedConnections = CallerConnections.create(timedServer, {
        onMalformedInput: (input) => malformedInputs.push(input),
      });
      await new Promise<void>((resolve) =>
        timedServer.listen(0, "127.0.0.1", resolve)
      );
      timedCaller = await Caller.create(timedServer);
    });

    afterEach(() => {
      timedCaller.close();
      timedServer.closeAllConnections();
      timedServer.close();
    });

    // Guards against 408, which promises that the request never runs, for one that runs after all.
    it("answers 408, logs it, and does not run it when the rest arrives", async () => {
      await timedCaller.send(part);
      await timedCaller.read(1);
      await timedCaller.send("content-length: 0\r\n\r\n");
      await timedCaller.readToEnd();
      expect(timedCaller.text).to.match(/^HTTP\/1\.1 408 /);
      expect(malformedInputs.map(({ code }) => code)).to.deep.equal([
        "ERR_HTTP_REQUEST_TIMEOUT",
      ]);
      expect(handledTargets).to.deep.equal([]);
    });

    // Guards against a 408 that a caller takes for the response to an earlier request, which runs.
    it("answers only the request before it", async () => {
      await timedCaller.send(createHeaders("GET", "/proper", 0) + part);
      await timedCaller.readToEnd();
      expect(timedCaller.text).to.match(/^HTTP\/1\.1 200 OK\r\n[^]*done$/);
      expect(handledTargets).to.deep.equal(["/proper"]);
    });
  });
});
