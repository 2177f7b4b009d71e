/**
 * Tests of requests that the ingress must decide about by their headers.
 *
 * @module
 */
import { spawnSync } from "node:child_process";
import { once } from "node:events";
import { type AddressInfo, connect, type Socket } from "node:net";
import {
  setImmediate as nextTurn,
  setTimeout as sleep,
} from "node:timers/promises";
import { expect } from "chai";
import type { EventName, Logger } from "@bamboolink/logger";
import { PrefixRouter } from "@bamboolink/traffic";
import type { CallerLimits, TrafficRoute } from "@bamboolink/types";
import type { ConfigurationChecker } from "../configuration/configuration_checker.ts";
import type { ConfigurationManager } from "../configuration/configuration_manager.ts";
import type { Ingress } from "./ingress.ts";
import { createSampleIngress, TICK_MS } from "../testing/sample_ingress.ts";
import type { RoutedRequest } from "../attempts/routed_request.ts";

/** A program that sends a request and leaves. */
const LEAVING_CALLER = `
  const { PORT, REQUEST_TEXT } = process.env;
  const socket = require("node:net").connect(Number(PORT), "127.0.0.1");
  socket.end(REQUEST_TEXT, () => socket.destroy());
`;

const LIMITS: CallerLimits = {
  headerBytes: 1_000,
  bodyBytes: 1_000,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 10_000,
};
const ROUTE: TrafficRoute = {
  name: "route",
  host: "shop.example",
  prefix: "/known/",
  idempotent: true,
  timeoutMs: 2_000,
  objectiveMs: 500,
  maximumAttempts: 1,
  rank: 1,
  targets: [{ service: "one", weight: 1 }],
};

/** An ingress with an echo in place of backend servers; it is the ingress' configuration and its checker, too. */
class Fixture {
  readonly version = 1;
  readonly evidenceAgeMs = 0;
  limits = LIMITS;
  /** The limits of a newer configuration, which a check finds. */
  newerLimits: CallerLimits | undefined;
  isConfirmed = true;
  /** Whether the responses of the echo are known to be complete. */
  isResponseComplete = true;
  /** How long a check takes, in milliseconds. */
  checkMs = 0;
  /** Names of the events that were logged. */
  readonly logged: EventName[] = [];
  readonly ran: RoutedRequest[] = [];
  readonly ingress = this.createIngress();
  private readonly router = PrefixRouter.create([ROUTE]);

  /** The configuration in force. */
  get inForce(): unknown {
    const { router, limits } = this;
    const unreadable = {
      coversRequest: () => false,
      hidesService: () => false,
    };
    return {
      router,
      services: new Map(),
      unreadable,
      configuration: { limits },
    };
  }

  /** How long it is in force, in milliseconds. */
  ageMs(): number {
    return 0;
  }

  /** Checks whether the configuration is current. */
  async confirm(): Promise<boolean> {
    await sleep(this.checkMs);
    this.limits = this.newerLimits ?? this.limits;
    return this.isConfirmed;
  }

  async listen(): Promise<void> {
    const { server } = this.ingress;
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
  }

  close(): void {
    this.ingress.server.closeAllConnections();
    this.ingress.server.close();
  }

  get port(): number {
    return (this.ingress.server.address() as AddressInfo).port;
  }

  /** Opens a connection on which the caller may close its sending side only. */
  connect(): Socket {
    const { port } = this;
    return connect({ port, host: "127.0.0.1", allowHalfOpen: true });
  }

  /** Sends parts of a request, each after the bytes received so far satisfy its condition; returns all bytes received. */
  async exchange(
    parts: readonly { text: string; after?: RegExp }[],
    end: RegExp,
  ): Promise<string> {
    const socket = this.connect();
    const pending = [...parts];
    let received = "";
    const sendNext = () => {
      while (pending.length > 0 && (pending[0]!.after ?? / */).test(received)) {
        socket.write(pending.shift()!.text);
      }
    };
    await new Promise<void>((resolve) => {
      socket.on("close", () => resolve());
      socket.on("error", () => undefined);
      socket.on("end", () => socket.end());
      socket.on("data", (chunk) => {
        received += String(chunk);
        sendNext();
        if (pending.length === 0 && end.test(received)) {
          socket.destroy();
        }
      });
      sendNext();
    });
    return received;
  }

  /**
   * Sends bytes in two parts.
   *
   * @param sent.count how many final responses are awaited; without them the end of the connection.
   * @returns the statuses of the final responses.
   */
  async sendInParts(
    sent: { text: string; splitAt: number; isEnded: boolean; count: number },
  ): Promise<number[]> {
    const { text, splitAt, isEnded, count } = sent;
    const socket = this.connect();
    let received = "";
    const completed = new Promise<void>((resolve) => {
      socket.on("close", () => resolve());
      socket.on("error", () => undefined);
      socket.on("end", () => socket.end());
      socket.on("data", (chunk) => {
        received += String(chunk);
        if (findStatuses(received).length >= count) {
          socket.destroy();
        }
      });
    });
    await once(socket, "connect");
    socket.write(text.slice(0, splitAt));
    await awaitRead();
    socket.write(text.slice(splitAt));
    if (isEnded) {
      socket.end();
    }
    await completed;
    return findStatuses(received);
  }

  private createIngress(): Ingress {
    return createSampleIngress(
      (request) => {
        this.ran.push(request);
        return Promise.resolve({
          kind: "answer",
          status: 200,
          headers: {},
          body: request.body ?? Buffer.from("none"),
          isComplete: this.isResponseComplete,
        });
      },
      {
        logger: {
          log: (event: EventName) => void this.logged.push(event),
        } as Partial<Logger> as Logger,
        configuration: this as unknown as ConfigurationManager,
        configurationChecker: this as unknown as ConfigurationChecker,
      },
    );
  }
}

/** A request whose body, if it has one, is the word `body`. */
interface SentForm {
  readonly name: string;
  readonly headers: string;
  readonly body: string;
}

const SENT_FORMS: readonly SentForm[] = [
  { name: "without a body", headers: "", body: "" },
  {
    name: "with a length",
    headers: "Content-Length: 4\r\n",
    body: "body",
  },
  {
    name: "with chunks and trailers",
    headers: "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n",
    body: "1;a=b\r\nb\r\n003\r\nody\r\n0\r\nX-Sum: 1\r\n\r\n",
  },
];

/** Lets the other end of a connection read what was sent. */
async function awaitRead(): Promise<void> {
  await nextTurn();
  await nextTurn();
}

/** Final statuses among bytes received. */
function findStatuses(received: string): number[] {
  return [...received.matchAll(/HTTP\/1\.1 ([2-5]\d\d)/g)]
    .map(([, status]) => Number(status));
}

function createHead(target: string, headers: string): string {
  return `POST ${target} HTTP/1.1\r\nHost: shop.example\r\n${headers}\r\n`;
}

describe("Ingress", () => {
  let fixture: Fixture;

  beforeEach(async () => {
    fixture = new Fixture();
    await fixture.listen();
  });

  afterEach(() => fixture.close());

  describe("with a request whose Host header is missing or repeated", () => {
    // Guards against a rejection by Node.js itself, without a log line, and against forwarding two headers.
    [
      "POST /known/x HTTP/1.1\r\n\r\n",
      "POST http://shop.example/known/x HTTP/1.1\r\n\r\n",
      createHead("/known/x", "Host: shop.example\r\n"),
    ].forEach((text) => {
      it(`answers 400 to ${JSON.stringify(text)}, and logs it`, async () => {
        const received = await fixture.exchange([{ text }], /malformed$/);
        expect(received).to.match(/^HTTP\/1\.1 400 /);
        expect(fixture.logged).to.deep.equal(["request_rejected"]);
        expect(fixture.ran).to.deep.equal([]);
      });
    });
  });

  describe("with a response that may be incomplete", () => {
    // Guards against a truncated response that looks complete while daemons are upgraded: an earlier version forwards
    // what it received before the connection of a crashed backend server ended.
    it("states no length and closes the connection behind it", async () => {
      fixture.isResponseComplete = false;
      const text = createHead("/known/x", "Content-Length: 0\r\n");
      const received = await fixture.exchange([{ text }], /^$/);
      expect(received).to.match(/connection: close/i);
      expect(received).not.to.match(/content-length|transfer-encoding/i);
    });

    // Guards against running an order twice: its head is pipelined behind the response, and its body arrives after the
    // end of the connection. Its caller takes the order for unread and sends it again.
    it("does not run a request behind it", async () => {
      fixture.isResponseComplete = false;
      const ahead = createHead("/known/ahead", "Content-Length: 0\r\n");
      const behind = createHead("/known/behind", "Content-Length: 4\r\n");
      await fixture.exchange([
        { text: `${ahead}${behind}` },
        { text: "body", after: /none$/ },
      ], /^$/);
      expect(fixture.ran.map(({ target }) => target)).to.deep.equal([
        "/known/ahead",
      ]);
    });
  });

  describe("with a request that expects 100-continue", () => {
    const expectation = "Expect: 100-continue\r\nContent-Length: 4\r\n";

    it("accepts the body once it is known that the request is served", async () => {
      const received = await fixture.exchange([
        { text: createHead("/known/x", expectation) },
        { text: "body", after: /^HTTP\/1\.1 100 Continue\r\n\r\n/ },
      ], /body$/);
      expect(received).to.match(/\r\n\r\nHTTP\/1\.1 200 OK\r\n[^]*body$/);
    });

    // Guards against accepting a body only to reject its request: its caller has sent all of it in vain, and bytes that
    // it does not send after the rejection would be read from its next request.
    [
      { target: "/unknown/x", headers: expectation, status: 404 },
      {
        target: "/known/x",
        headers: "Expect: 100-continue\r\nContent-Length: 5000\r\n",
        status: 413,
      },
    ].forEach(({ target, headers, status }) => {
      it(`answers ${status} at once, and closes the connection`, async () => {
        const received = await fixture.exchange(
          [{ text: createHead(target, headers) }],
          /never/,
        );
        expect(received).to.match(new RegExp(`^HTTP/1\\.1 ${status} `));
        expect(received).to.match(/\r\nconnection: close\r\n/i);
      });
    });

    // Guards against a request that runs although the response before it, which closes the connection, is the last one.
    [0, TICK_MS].forEach((checkMs) => {
      it(`answers each request behind a refused one that it runs, after a check of ${checkMs} ms`, async () => {
        fixture.isConfirmed = false;
        fixture.checkMs = checkMs;
        const head = createHead("/unknown/1", expectation);
        await Promise.all(
          Array.from({ length: head.length }, async (_, splitAt) => {
            const target = `/known/${splitAt}`;
            const text = `${head}body${createHead(target, "")}`;
            const sent = { text, splitAt, isEnded: false, count: 2 };
            const [first, ...others] = await fixture.sendInParts(sent);
            expect(first).to.equal(503);
            const ran = fixture.ran.filter((each) => each.target === target);
            expect(others).to.have.length(ran.length);
          }),
        );
      });
    });
  });

  describe("with a request that expects something unknown", () => {
    // Guards against 417 for a proper request: expectations that are not known may be ignored.
    it("serves it", async () => {
      const received = await fixture.exchange([
        {
          text: createHead(
            "/known/x",
            "Expect: later\r\nContent-Length: 4\r\n",
          ) + "body",
        },
      ], /body$/);
      expect(received).to.match(/^HTTP\/1\.1 200 OK\r\n/);
    });
  });

  describe("with headers of a size", () => {
    const createText = (bytes: number) =>
      createHead("/known/x", `X-Long: ${"x".repeat(bytes)}\r\n`);
    const raisedLimits = { ...LIMITS, headerBytes: 200_000 };

    it("beyond the limit, answers 431, and logs it", async () => {
      const received = await fixture.exchange(
        [{ text: createText(2_000) }],
        /headers_too_large$/,
      );
      expect(received).to.match(/^HTTP\/1\.1 431 /);
      expect(fixture.logged).to.deep.equal(["request_rejected"]);
      expect(fixture.ran).to.deep.equal([]);
    });

    // Guards against 431 for a proper request: a fixed limit lies below the one that operators have set.
    it("within a limit that is high, serves it", async () => {
      fixture.limits = raisedLimits;
      const received = await fixture.exchange(
        [{ text: createText(190_000) }],
        /none$/,
      );
      expect(received).to.match(/^HTTP\/1\.1 200 /);
    });

    // Guards against 431 from a limit that operators have raised meanwhile.
    it("within a limit that was raised and is not known yet, serves it", async () => {
      fixture.newerLimits = raisedLimits;
      const received = await fixture.exchange(
        [{ text: createText(2_000) }],
        /none$/,
      );
      expect(received).to.match(/^HTTP\/1\.1 200 /);
    });

    it("beyond a limit that can't be confirmed, refuses it as not run", async () => {
      fixture.isConfirmed = false;
      const received = await fixture.exchange(
        [{ text: createText(2_000) }],
        /not_run$/,
      );
      expect(received).to.match(/^HTTP\/1\.1 503 /);
      expect(fixture.ran).to.deep.equal([]);
    });

    // Guards against headers that Node.js drops silently, the request's id among them.
    it("of a few bytes but in many lines, forwards all of them", async () => {
      fixture.limits = raisedLimits;
      const lines = Array.from({ length: 3_000 }, (_, index) => `A${index}:`);
      const text = createHead("/known/x", `${lines.join("\r\n")}\r\n`);
      await fixture.exchange([{ text }], /none$/);
      expect(fixture.ran[0]?.headers).to.include("A2999");
    });
  });

  describe("with two pipelined requests that arrive split at any byte", function () {
    this.timeout(30_000);
    const SECOND = `${createHead("/known/2", "Content-Length: 4\r\n")}body`;

    async function sendAtEachSplit(text: string): Promise<number[][]> {
      const sent = Array.from({ length: text.length }, (_, splitAt) => splitAt)
        .flatMap((splitAt) =>
          [false, true].map((isEnded) => ({ text, splitAt, isEnded, count: 2 }))
        );
      return await Promise.all(sent.map((each) => fixture.sendInParts(each)));
    }

    SENT_FORMS.forEach(({ name, headers, body }) => {
      // Guards against 400 for proper requests because of how their bytes, or the end of the connection, arrive.
      it(`serves both if the first is ${name}`, async () => {
        const text = `${createHead("/known/1", headers)}${body}${SECOND}`;
        const statuses = await sendAtEachSplit(text);
        statuses.forEach((each) => expect(each).to.deep.equal([200, 200]));
        expect(fixture.ran).to.have.length(2 * statuses.length);
        const bodies = fixture.ran.filter(({ target }) => target === "/known/1")
          .map((request) => String(request.body ?? ""));
        expect([...new Set(bodies)]).to.deep.equal([body && "body"]);
      });

      // Guards against a refused request whose body is read as the next request.
      it(`refuses the first ${name}, and serves the second`, async () => {
        fixture.isConfirmed = false;
        fixture.checkMs = TICK_MS;
        const text = `${createHead("/unknown/1", headers)}${body}${SECOND}`;
        const statuses = await sendAtEachSplit(text);
        statuses.forEach((each) => expect(each).to.deep.equal([503, 200]));
        expect(fixture.ran).to.have.length(statuses.length);
      });

      // Guards against the same after a rejection.
      it(`rejects the first ${name}, and serves the second`, async () => {
        fixture.checkMs = TICK_MS;
        const text = `${createHead("/unknown/1", headers)}${body}${SECOND}`;
        const statuses = await sendAtEachSplit(text);
        statuses.forEach((each) => expect(each).to.deep.equal([404, 200]));
        expect(fixture.ran).to.have.length(statuses.length);
      });
    });

    // Guards against the rest of a body that is too large, read as the next request.
    SENT_FORMS.filter(({ body }) => body !== "").forEach((form) => {
      const { name, headers, body } = form;
      it(`rejects the first ${name} beyond the limit, and serves the second`, async () => {
        fixture.limits = { ...LIMITS, bodyBytes: 3 };
        fixture.checkMs = TICK_MS;
        const text = `${createHead("/known/1", headers)}${body}`;
        const statuses = await sendAtEachSplit(
          `${text}${createHead("/known/2", "")}`,
        );
        statuses.forEach((each) => expect(each).to.deep.equal([413, 200]));
        expect(fixture.ran).to.have.length(statuses.length);
      });
    });
  });

  describe("with a request and the end of its connection in one read", () => {
    const text = createHead("/known/x", "Content-Length: 4\r\n") + "body";

    // Guards against a proper request that gets no response because its caller sends no more.
    it("serves it if its caller waits for the response", async () => {
      const socket = fixture.connect();
      let received = "";
      socket.on("data", (chunk) => {
        received += String(chunk);
      });
      socket.end(text);
      await once(socket, "close");
      expect(received).to.match(/HTTP\/1\.1 200 OK\r\n[^]*body$/);
    });

    // Guards against running requests of callers that left while they were not read.
    it("does not run it if its caller has left", async () => {
      const closed = new Promise((resolve) =>
        fixture.ingress.server.once(
          "connection",
          (accepted) => accepted.once("close", resolve),
        )
      );
      // Nothing is read here before the other process has ended.
      spawnSync(process.execPath, ["-e", LEAVING_CALLER], {
        env: {
          ...process.env,
          PORT: String(fixture.port),
          REQUEST_TEXT: text,
        },
      });
      await closed;
      expect(fixture.ran).to.deep.equal([]);
    });
  });
});
