/**
 * Tests of the links between daemons: frames are decoded as they were encoded, in whatever chunks they arrive, and
 * requests that may have run are distinguished from those that certainly have not.
 *
 * @module
 */
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import fc from "fast-check";
import { Logger } from "@bamboolink/logger";
import { Cancellation } from "../attempts/cancellation.ts";
import { Forwarder } from "../attempts/forwarder.ts";
import {
  decodeOutcome,
  decodeRequest,
  encodeFrame,
  encodeOutcome,
  encodeRequest,
  type Frame,
  FRAME_KINDS,
  FrameReader,
  LINK_FORMAT,
  OutcomeHead,
  RequestHead,
} from "./link_codec.ts";
import { LinkClient } from "./link_client.ts";
import { SAMPLE_REQUEST } from "../testing/sample_request.ts";
import {
  notRun,
  type Outcome,
  type RoutedRequest,
  unknown,
} from "../attempts/routed_request.ts";

const LOAD = {
  waitMs: 12,
  utilization: 0.75,
  serviceMs: 34,
  failureShare: 0.25,
};
const SEED = 20_261_202;

const anyRequest: fc.Arbitrary<RoutedRequest> = fc.record({
  id: fc.string(),
  service: fc.string(),
  route: fc.string(),
  rank: fc.nat(9),
  isIdempotent: fc.boolean(),
  key: fc.option(fc.nat(65_535), { nil: undefined }),
  callerService: fc.string(),
  objectiveAtMs: fc.integer({ min: -5_000, max: 5_000 }),
  deadlineAtMs: fc.integer({ min: 0, max: 60_000 }),
  blocksOthers: fc.boolean(),
  brokenConnections: fc.nat(3),
  method: fc.constantFrom("GET", "POST"),
  target: fc.string({ unit: "binary" }),
  headers: fc.array(fc.tuple(fc.string(), fc.string({ unit: "binary" })))
    .map((pairs) => pairs.flat()),
  body: fc.option(fc.uint8Array().map((bytes) => Buffer.from(bytes)), {
    nil: undefined,
  }),
});

const anyOutcome: fc.Arbitrary<Outcome> = fc.oneof(
  fc.record({
    kind: fc.constant("answer" as const),
    status: fc.integer({ min: 200, max: 599 }),
    headers: fc.dictionary(
      fc.string(),
      fc.oneof(fc.string(), fc.array(fc.string())),
      { noNullPrototype: true },
    ),
    body: fc.uint8Array().map((bytes) => Buffer.from(bytes)),
    isComplete: fc.boolean(),
  }),
  fc.record({ waitMs: fc.nat(5_000), hasArrived: fc.boolean() })
    .map((options) => notRun("overloaded", options)),
  fc.constant(unknown("connection_lost")),
);

/** Splits bytes into chunks of the given sizes, used in rotation. */
function split(bytes: Buffer, sizes: readonly number[]): Buffer[] {
  const chunks: Buffer[] = [];
  let offset = 0;
  for (let index = 0; offset < bytes.length; index += 1) {
    const end = offset + sizes[index % sizes.length]!;
    chunks.push(bytes.subarray(offset, end));
    offset = end;
  }
  return chunks;
}

function decodeAll(chunks: readonly Buffer[]): Frame[] {
  const reader = FrameReader.create();
  return chunks.flatMap((chunk) => reader.push(chunk));
}

/** The server side of a link, with behaviour that the test controls. */
class FakePeer {
  readonly sockets: Socket[] = [];
  readonly frames: Frame[] = [];
  private readonly server = createServer((socket) => {
    this.sockets.push(socket);
    socket.on("error", () => undefined);
    socket.write(
      encodeFrame({ kind: FRAME_KINDS.handshake, id: 0, head: [LINK_FORMAT] }),
    );
    const reader = FrameReader.create();
    socket.on("data", (bytes: Buffer) =>
      this.frames.push(
        ...reader.push(bytes).filter(({ kind }) =>
          kind !== FRAME_KINDS.handshake
        ),
      ));
  });

  static async create(): Promise<FakePeer> {
    const peer = new FakePeer();
    await new Promise<void>((resolve) =>
      peer.server.listen(0, "127.0.0.1", resolve)
    );
    return peer;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  async awaitFrames(count: number): Promise<void> {
    while (this.frames.length < count) {
      await sleep(2);
    }
  }

  close(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }
}

/** Sends one request; resolves with its outcome, or with whether it may have been sent if it is lost. */
function sendOne(link: LinkClient): Promise<"sent" | "unsent" | Outcome> {
  return new Promise((resolve) => {
    link.send(SAMPLE_REQUEST, {
      onAcknowledged: () => undefined,
      onUnresponsive: () => undefined,
      onOutcome: (outcome) => resolve(outcome),
      onLost: (isSent) => resolve(isSent ? "sent" : "unsent"),
    });
  });
}

describe("link", () => {
  describe("with a response in chunks without end", () => {
    // Guards against a daemon that takes all memory of another one: its chunks were kept until the request's deadline.
    it("is closed, and its request may have run", async () => {
      const peer = await FakePeer.create();
      const link = LinkClient.create(peer.address, () => 0);
      const outcome = sendOne(link);
      await peer.awaitFrames(1);
      const [socket] = peer.sockets;
      const { chunk: kind } = FRAME_KINDS;
      const body = Buffer.alloc(1_048_576);
      const frame = encodeFrame({ kind, id: peer.frames[0]!.id, body });
      const send = () => socket!.destroyed || socket!.write(frame, send);
      send();
      expect(await outcome).to.equal("sent");
      expect(link.isUsable).to.equal(false);
      peer.close();
    });
  });

  describe("frames", () => {
    it("preserve every request, in whatever chunks they arrive", () => {
      fc.assert(
        fc.property(
          fc.array(anyRequest, { minLength: 1, maxLength: 4 }),
          fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }),
          (requests, sizes) => {
            const bytes = Buffer.concat(
              requests.map((request, index) =>
                encodeRequest(index, request, 0)
              ),
            );
            const frames = decodeAll(split(bytes, sizes));
            expect(frames.map((frame) => decodeRequest(frame, 0)))
              .to.deep.equal(requests);
            frames.forEach(({ head }) => RequestHead.parse(head));
          },
        ),
        { seed: SEED },
      );
    });

    it("preserve every outcome", () => {
      fc.assert(
        fc.property(anyOutcome, (outcome) => {
          const [frame] = decodeAll([encodeOutcome(1, outcome, LOAD)]);
          expect(decodeOutcome(frame!)).to.deep.equal({ outcome, load: LOAD });
          OutcomeHead.parse(frame!.head);
        }),
        { seed: SEED },
      );
    });

    // Guards against daemons of two versions that can't read each other's outcomes during a rolling upgrade: an earlier
    // one may send lists of waits behind the four values of load, which it also reads without them.
    it("are decoded from an earlier version, without the values that it adds", () => {
      const [frame] = decodeAll([encodeOutcome(1, notRun("overloaded"), LOAD)]);
      const head = frame!.head as unknown[];
      const loadHead = head[6] as unknown[];
      expect(loadHead).to.deep.equal(Object.values(LOAD));
      [
        [[5, 40], [5, 900]],
        [[0, 40]],
        [3],
        [[-1]],
        [[1], [null]],
        [Array.from({ length: 9 }, () => 0)],
      ].forEach((added) => {
        const changed = head.with(6, [...loadHead, ...added]);
        OutcomeHead.parse(changed);
        expect(decodeOutcome({ ...frame!, head: changed }).load)
          .to.deep.equal(LOAD);
      });
    });

    it("that are malformed raise an error", () => {
      const bytes = Buffer.from("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
      expect(() => decodeAll([bytes])).to.throw("received a frame of");
    });
  });

  describe("a peer that closes its link", () => {
    let peer: FakePeer;
    let link: LinkClient;
    beforeEach(async () => {
      peer = await FakePeer.create();
      link = LinkClient.create(peer.address, () => performance.now());
    });
    afterEach(() => {
      link.close();
      peer.close();
    });

    it("without a goAway frame may have run what was sent", async () => {
      const lost = sendOne(link);
      await peer.awaitFrames(1);
      peer.sockets[0]!.destroy();
      expect(await lost).to.equal("sent");
    });

    // Guards against a request that fails as "may have run" during a restart although no daemon has read it: the daemon
    // reads its last request and closes the link while another one is being sent to it, and a closed connection does
    // not show which requests were read before.
    it("with a goAway frame has certainly not run what it has not read", async () => {
      const read = sendOne(link);
      await peer.awaitFrames(1);
      const { id } = peer.frames[0]!;
      const unread = sendOne(link);
      const kind = FRAME_KINDS.goAway;
      peer.sockets[0]!.end(encodeFrame({ kind, id }));
      expect(await unread).to.equal("unsent");
      expect(await read).to.equal("sent");
      expect(link.isUsable).to.equal(false);
    });
  });

  describe("the bytes of a link", () => {
    // Guards against a metric of billed bytes that leaves out heads, handshakes or responses.
    it("are reported as they were transferred, in both directions", async () => {
      const peer = await FakePeer.create();
      const counted = { sent: 0, received: 0 };
      const link = LinkClient.create(
        peer.address,
        () => performance.now(),
        (direction, bytes) => counted[direction] += bytes,
      );
      const outcome = sendOne(link);
      await peer.awaitFrames(1);
      const { id } = peer.frames[0]!;
      const [socket] = peer.sockets;
      socket!.write(encodeOutcome(id, notRun("overloaded"), LOAD));
      await outcome;
      expect(counted).to.deep.equal({
        sent: socket!.bytesRead,
        received: socket!.bytesWritten,
      });
      link.close();
      peer.close();
    });
  });

  describe("an unreachable peer", () => {
    it("has certainly not run anything", async () => {
      const peer = await FakePeer.create();
      const { address } = peer;
      peer.close();
      const link = LinkClient.create(address, () => performance.now());
      expect(await sendOne(link)).to.equal("unsent");
    });
  });

  describe("a link that has become unresponsive", () => {
    // Guards against all requests to one daemon waiting for their deadlines while it answers other daemons: a
    // connection breaks without a reset, and later requests are sent on it as well. Many requests share a connection,
    // so they must not each wait for it to time out.
    it("is replaced: retryable requests are given up, the others still get their outcomes, and later ones use a new link", async () => {
      const peer = await FakePeer.create();
      const unreachable: string[] = [];
      const forwarder = Forwarder.create({
        logger: Logger.createRateLimited("test", { level: "error" }),
        onLoad: () => undefined,
        onUnreachable: (daemon) => unreachable.push(daemon),
      });
      const forward = (mayGiveUp: boolean) =>
        forwarder.forward(SAMPLE_REQUEST, {
          daemon: peer.address,
          cancellation: Cancellation.create(),
          mayGiveUp: () => mayGiveUp,
        });
      const retryable = forward(true);
      const nonRetryable = forward(false);
      await peer.awaitFrames(2);
      while (unreachable.length === 0) {
        await sleep(20);
        forwarder.tick();
      }
      expect(await retryable).to.deep.equal(unknown("connection_lost"));
      void forward(true);
      await peer.awaitFrames(4);
      expect(peer.sockets.length).to.equal(2);
      const lateOutcome = encodeOutcome(2, notRun("overloaded"), LOAD);
      peer.sockets[0]!.write(lateOutcome);
      expect(await nonRetryable).to.deep.equal(notRun("overloaded"));
      forwarder.close();
      peer.close();
    });
  });
});
