/**
 * Tests of which responses are treated as complete, against servers that write raw bytes.
 *
 * @module
 */
import { type AddressInfo, createServer, type Socket } from "node:net";
import { expect } from "chai";
import { Cancellation } from "../attempts/cancellation.ts";
import { Connection, type ExchangeResult } from "./exchange.ts";

const STATUS_LINE = "HTTP/1.1 200 OK\r\n";

/** Sends one request to a server that calls `respond` with its socket when the request arrives. */
async function exchangeWith(
  respond: (socket: Socket) => void,
  options: { acknowledgeMs?: number } = {},
): Promise<ExchangeResult> {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => respond(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const connection = Connection.create(`127.0.0.1:${port}`);
  const result = await connection.exchange(
    { method: "GET", target: "/", headers: ["host", "x"], body: undefined },
    {
      cancellation: Cancellation.createWithTimeout(2_000),
      nowMs: () => 0,
      ...options,
    },
  );
  await connection.destroy();
  server.close();
  return result;
}

describe("exchange", () => {
  describe("when a response has no length", () => {
    it("treats it as complete when the connection is closed without a reset", async () => {
      const result = await exchangeWith((socket) =>
        socket.end(`${STATUS_LINE}connection: close\r\n\r\nwhole`)
      );
      expect(result.kind === "answer" && result.body.toString()).to.equal(
        "whole",
      );
      expect(result.kind === "answer" && result.isDelimitedByClose).to.equal(
        true,
      );
    });

    // Guards against a success with a truncated body: the backend server writes part of a response without a length and
    // crashes, and the client treats the reset as the end of the response.
    it("treats it as lost when the connection is reset", async () => {
      const result = await exchangeWith((socket) => {
        socket.write(`${STATUS_LINE}connection: close\r\n\r\npart`);
        setTimeout(() => socket.resetAndDestroy(), 20);
      });
      expect(result.kind).to.equal("lost");
    });
  });

  describe("when a response without a length is followed by a reset at once", () => {
    // Guards against a success with a truncated body: Node.js reports a reset that arrives together with data as the
    // regular end of the connection.
    it("treats it as lost", async () => {
      const results = await Promise.all(
        Array.from({ length: 10 }, () =>
          exchangeWith((socket) =>
            socket.write(
              `${STATUS_LINE}connection: close\r\n\r\npart`,
              () => socket.resetAndDestroy(),
            )
          )),
      );
      results.forEach(({ kind }) => expect(kind).to.equal("lost"));
    });
  });

  describe("when a response is chunked", () => {
    it("treats it as lost when the connection is closed before the last chunk", async () => {
      const result = await exchangeWith((socket) =>
        socket.end(
          `${STATUS_LINE}connection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n`,
        )
      );
      expect(result.kind).to.equal("lost");
    });

    it("treats it as complete when the last chunk was received", async () => {
      const result = await exchangeWith((socket) =>
        socket.end(
          `${STATUS_LINE}connection: close\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n`,
        )
      );
      expect(result.kind === "answer" && result.body.toString()).to.equal(
        "whole",
      );
    });
  });

  describe("when a response is shorter than its content length", () => {
    it("treats it as lost", async () => {
      const result = await exchangeWith((socket) =>
        socket.end(`${STATUS_LINE}content-length: 9\r\n\r\npart`)
      );
      expect(result.kind).to.equal("lost");
    });
  });

  describe("when the bytes are not a response", () => {
    it("treats it as lost", async () => {
      const result = await exchangeWith((socket) => socket.end("garbage\r\n"));
      expect(result.kind).to.equal("lost");
    });
  });

  describe("when no process listens on the port", () => {
    it("reports that nothing was sent and the connection was refused", async () => {
      const connection = Connection.create("127.0.0.1:1");
      const result = await connection.exchange(
        { method: "GET", target: "/", headers: [], body: undefined },
        { cancellation: Cancellation.createWithTimeout(2_000), nowMs: () => 0 },
      );
      await connection.destroy();
      expect(result).to.deep.include({ kind: "unsent", isRefused: true });
    });
  });

  describe("when the peer does not respond at once", () => {
    it("treats the request as lost if no response arrives before the timeout", async () => {
      const result = await exchangeWith(() => undefined, { acknowledgeMs: 30 });
      expect(result.kind).to.equal("lost");
    });

    it("keeps waiting after an informational response", async () => {
      const result = await exchangeWith((socket) => {
        socket.write("HTTP/1.1 102 Processing\r\n\r\n");
        setTimeout(
          () => socket.write(`${STATUS_LINE}content-length: 5\r\n\r\nwhole`),
          80,
        );
      }, { acknowledgeMs: 30 });
      expect(result.kind === "answer" && result.body.toString()).to.equal(
        "whole",
      );
    });
  });
});
