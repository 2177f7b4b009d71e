/**
 * Tests of one end of a link when it ends.
 *
 * @module
 */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { expect } from "chai";
import { FrameSocket } from "./frame_socket.ts";
import { encodeFrame, FRAME_KINDS } from "./link_codec.ts";

/** More than the buffers of both ends of a loopback connection hold, in bytes. */
const LARGE_BYTES = 16_000_000;
const { piece: kind } = FRAME_KINDS;

describe("frame socket", () => {
  describe("that is ended while an answer waits in it", () => {
    // A daemon's grace period passed while a large answer waited in a link and another request of the same link was still
    // being run. The link was ended in good order; then the second answer came and was written to it. Node.js takes a
    // write after the end for an error and destroys the connection, with all that waits: none of 16 MB of the
    // first answer came, and its caller was told that its request may have run.
    it("writes nothing more, and cuts nothing", async () => {
      const server = createServer();
      const accepted = new Promise<Socket>((resolve) =>
        server.once("connection", resolve)
      );
      await new Promise<void>((resolve) =>
        server.listen(0, "127.0.0.1", resolve)
      );
      const { port } = server.address() as AddressInfo;
      const reader = connect(port, "127.0.0.1");
      const socket = await accepted;
      const frames = FrameSocket.create(socket, "peer", {
        onFrame: () => undefined,
        onEnd: () => undefined,
      });
      const large = encodeFrame({
        kind,
        id: 1,
        body: Buffer.alloc(LARGE_BYTES),
      });
      frames.write(large);
      const finished = frames.finish();
      frames.write(encodeFrame({ kind, id: 2, body: Buffer.alloc(1) }));
      reader.resume();
      reader.on("error", () => undefined);
      await finished;
      server.close();
      reader.destroy();
      // The bytes that came are not counted: a busy machine may not read them within the pause that a stop allows.
      expect(socket.errored).to.equal(null);
    });
  });
});
