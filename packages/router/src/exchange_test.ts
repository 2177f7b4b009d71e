/**
 * Tests of what is taken for a whole answer, against servers that write raw bytes.
 *
 * @module
 */
import { type AddressInfo, createServer, type Socket } from "node:net";
import { expect } from "chai";
import { Cancellation } from "./cancellation.ts";
import { Connection, type ExchangeResult } from "./exchange.ts";

const HEAD = "HTTP/1.1 200 OK\r\n";

/** Sends one request to a server that treats its socket as told. */
async function exchangeWith(
  treat: (socket: Socket) => void,
  options: { acknowledgeMs?: number } = {},
): Promise<ExchangeResult> {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => treat(socket));
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
  describe("when an answer has no length", () => {
    it("takes it for whole when the connection ends in good order", async () => {
      const result = await exchangeWith((socket) =>
        socket.end(`${HEAD}connection: close\r\n\r\nwhole`)
      );
      expect(result.kind === "answer" && result.body.toString()).to.equal(
        "whole",
      );
      expect(result.kind === "answer" && result.isFramed).to.equal(false);
    });

    // Symptom: a caller gets a success whose body is cut short.
    // Sequence: the backend server writes part of an answer without a length and crashes.
    // Cause: the client took a reset for the end of the answer.
    it("takes it for lost when the connection is reset", async () => {
      const result = await exchangeWith((socket) => {
        socket.write(`${HEAD}connection: close\r\n\r\npart`);
        setTimeout(() => socket.resetAndDestroy(), 20);
      });
      expect(result.kind).to.equal("lost");
    });
  });

  describe("when an answer comes in chunks", () => {
    it("takes it for lost when the connection ends before the last chunk", async () => {
      const result = await exchangeWith((socket) =>
        socket.end(
          `${HEAD}connection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n`,
        )
      );
      expect(result.kind).to.equal("lost");
    });

    it("takes it for whole when the last chunk is there", async () => {
      const result = await exchangeWith((socket) =>
        socket.end(
          `${HEAD}connection: close\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n`,
        )
      );
      expect(result.kind === "answer" && result.body.toString()).to.equal(
        "whole",
      );
    });
  });

  describe("when an answer is shorter than it says", () => {
    it("takes it for lost", async () => {
      const result = await exchangeWith((socket) =>
        socket.end(`${HEAD}content-length: 9\r\n\r\npart`)
      );
      expect(result.kind).to.equal("lost");
    });
  });

  describe("when the bytes are no answer", () => {
    it("takes it for lost", async () => {
      const result = await exchangeWith((socket) => socket.end("garbage\r\n"));
      expect(result.kind).to.equal("lost");
    });
  });

  describe("when nobody listens", () => {
    it("knows that nothing was sent, and that the connection was refused", async () => {
      const connection = Connection.create("127.0.0.1:1");
      const result = await connection.exchange(
        { method: "GET", target: "/", headers: [], body: undefined },
        { cancellation: Cancellation.createWithTimeout(2_000), nowMs: () => 0 },
      );
      await connection.destroy();
      expect(result).to.deep.include({ kind: "unsent", isRefused: true });
    });
  });

  describe("when the peer says nothing", () => {
    it("gives up after the time in which it should have said that it has the request", async () => {
      const result = await exchangeWith(() => undefined, { acknowledgeMs: 30 });
      expect(result.kind).to.equal("lost");
    });

    it("goes on waiting once it has said so", async () => {
      const result = await exchangeWith((socket) => {
        socket.write("HTTP/1.1 102 Processing\r\n\r\n");
        setTimeout(
          () => socket.write(`${HEAD}content-length: 5\r\n\r\nwhole`),
          80,
        );
      }, { acknowledgeMs: 30 });
      expect(result.kind === "answer" && result.body.toString()).to.equal(
        "whole",
      );
    });
  });
});
