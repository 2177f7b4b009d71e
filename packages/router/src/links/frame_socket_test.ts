/**
 * Tests of one end of a link when it is ended.
 *
 * @module
 */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { expect } from "chai";
import { FrameSocket } from "./frame_socket.ts";
import { encodeFrame, FRAME_KINDS } from "./link_codec.ts";

/** More than the buffers at both ends of a loopback connection hold, in bytes. */
const LARGE_BYTES = 16_000_000;
const { chunk: kind } = FRAME_KINDS;

describe("FrameSocket", () => {
  describe("that is ended while a response is still buffered", () => {
    // Guards against losing a buffered response: a daemon's grace period expires while a large response is buffered for
    // a link and another request of the same link is still running. The link is ended; then the second response is
    // written to it. Node.js treats a write after the end as an error and destroys the connection with everything
    // buffered: none of the 16 MB of the first response arrive, and its caller receives the response that its request
    // may have run.
    it("drops further frames without breaking the connection", async () => {
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
      // The received bytes are not counted: a busy machine may not read all of them within the linger timeout.
      expect(socket.errored).to.equal(null);
    });
  });
});
