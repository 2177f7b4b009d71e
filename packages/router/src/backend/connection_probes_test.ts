/**
 * Tests of the probes of idle connections.
 *
 * @module
 */
import { once } from "node:events";
import { createRequire } from "node:module";
import { type AddressInfo, connect, createServer, Socket } from "node:net";
import { expect } from "chai";
import { probeConnection } from "./connection_probes.ts";

const HOST = "127.0.0.1";
const SETTINGS = {
  idleMs: 1_000,
  intervalMs: 1_000,
  count: 2,
  unacknowledgedMs: 2_000,
};
/** `IPPROTO_TCP`, from the Linux headers. */
const PROTOCOL_TCP = 6;
/** `TCP_KEEPIDLE`, `TCP_KEEPINTVL`, `TCP_KEEPCNT` and `TCP_USER_TIMEOUT`. */
const OPTIONS = [4, 5, 6, 18];

function readOptions(socket: Socket): number[] {
  const koffi = createRequire(import.meta.url)("koffi");
  const getsockopt = koffi.load("libc.so.6").func("getsockopt", "int", [
    "int",
    "int",
    "int",
    "void *",
    "void *",
  ]);
  const { _handle: handle } = socket as unknown as { _handle: { fd: number } };
  return OPTIONS.map((option) => {
    const value = new Int32Array(1);
    getsockopt(handle.fd, PROTOCOL_TCP, option, value, Int32Array.of(4));
    return value[0]!;
  });
}

describe("connection probes", () => {
  describe("of an open connection", () => {
    // Guards against connections that stay open after the other end has become unreachable.
    it("apply the given times", async () => {
      const server = createServer();
      server.listen(0, HOST);
      await once(server, "listening");
      const { port } = server.address() as AddressInfo;
      const socket = connect(port, HOST);
      await once(socket, "connect");
      expect(probeConnection(socket, SETTINGS)).to.equal(true);
      expect(readOptions(socket)).to.deep.equal([1, 1, 2, 2_000]);
      socket.destroy();
      server.close();
    });
  });

  describe("of a connection that is not open", () => {
    it("have no effect", () => {
      expect(probeConnection(new Socket(), SETTINGS)).to.equal(false);
    });
  });
});
