/**
 * Tests of large responses over a link: they arrive complete, and do not delay small ones.
 *
 * @module
 */
import { type AddressInfo, connect, createServer } from "node:net";
import { expect } from "chai";
import { ResponseSender } from "./response_sender.ts";
import { FrameSocket } from "./frame_socket.ts";
import { LinkClient } from "./link_client.ts";
import { encodeFrame, type Frame, FRAME_KINDS } from "./link_codec.ts";
import { SAMPLE_REQUEST } from "../testing/sample_request.ts";
import { notRun, type Outcome } from "../attempts/routed_request.ts";

const LOAD = { waitMs: 0, utilization: 0, serviceMs: 1, failureShare: 0 };
/** Bandwidth of the network link, so low that a large response takes several turns of the event loop. */
const LINK_BYTES_PER_SECOND = 4_000_000;

function createLarge(size: number): Extract<Outcome, { kind: "answer" }> {
  const body = Buffer.from(
    Array.from({ length: size }, (_, index) => index % 251),
  );
  return { kind: "answer", status: 200, headers: {}, body, isComplete: true };
}

/** Sends one outcome per request of one link, in the order of the requests; returns them in order of arrival. */
async function exchange(outcomes: readonly Outcome[]): Promise<Outcome[]> {
  const nowMs = () => performance.now();
  const sender = ResponseSender.create(LINK_BYTES_PER_SECOND, nowMs);
  const server = createServer((socket) => {
    const frames = FrameSocket.create(socket, "peer", {
      onFrame: ({ kind, id }: Frame) => {
        if (kind === FRAME_KINDS.request) {
          const target = { frames, id, route: "download", deadlineAtMs: id };
          sender.send(target, outcomes[id - 1]!, LOAD);
        }
      },
      onEnd: () => sender.drop(frames),
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const link = LinkClient.create(`127.0.0.1:${port}`, nowMs);
  const received: Outcome[] = [];
  await Promise.all(
    outcomes.map(() =>
      new Promise<void>((resolve, reject) =>
        link.send(SAMPLE_REQUEST, {
          onAcknowledged: () => undefined,
          onOutcome: (outcome) => {
            received.push(outcome);
            resolve();
          },
          onUnresponsive: () => undefined,
          onLost: (_isSent, cause) => reject(cause),
        })
      )
    ),
  );
  link.close();
  server.close();
  return received;
}

describe("ResponseSender", () => {
  describe("with a large response", () => {
    it("delivers it complete, in chunks", async () => {
      const large = createLarge(300_000);
      const [received] = await exchange([large]);
      expect(received).to.deep.equal(large);
    });

    // Guards against small responses that take as long as large ones of the same server: a large response is written to
    // a slow link and a refusal right after it, and a link sends everything in the order in which it is written.
    it("sends small outcomes before the rest of it", async () => {
      const large = createLarge(300_000);
      const received = await exchange([large, notRun("overloaded")]);
      expect(received.map(({ kind }) => kind)).to.deep.equal([
        "not_run",
        "answer",
      ]);
    });
  });

  describe("when a large response is cancelled", () => {
    it("sends no more of it", async () => {
      const sender = ResponseSender.create(1_000, () => 0);
      const server = createServer();
      await new Promise<void>((resolve) =>
        server.listen(0, "127.0.0.1", resolve)
      );
      const { port } = server.address() as AddressInfo;
      const frames = FrameSocket.create(connect(port, "127.0.0.1"), "peer", {
        onFrame: () => undefined,
        onEnd: () => undefined,
      });
      const target = { frames, id: 1, route: "download", deadlineAtMs: 1 };
      sender.send(target, createLarge(300_000), LOAD);
      expect(sender.waitingCount).to.equal(1);
      sender.cancel(frames, 1);
      expect(sender.waitingCount).to.equal(0);
      frames.write(encodeFrame({ kind: FRAME_KINDS.goAway, id: 0 }));
      frames.destroy();
      server.close();
    });
  });
});
