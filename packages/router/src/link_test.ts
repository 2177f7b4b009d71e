/**
 * Tests of the links between daemons: what is written is read, whatever the pieces in which it comes, and
 * what may have run is told apart from what surely has not.
 *
 * @module
 */
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import fc from "fast-check";
import { Logger } from "@bamboolink/logger";
import { Cancellation } from "./cancellation.ts";
import { Forwarder } from "./forwarder.ts";
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
import { SAMPLE_REQUEST } from "./testing/sample_request.ts";
import {
  notRun,
  type Outcome,
  type RoutedRequest,
  unknown,
} from "./routed_request.ts";

const LOAD = {
  waitMs: 12,
  utilization: 0.75,
  serviceMs: 34,
  failureShare: 0.25,
};
const SEED = 20_261_202;

const anyWork: fc.Arbitrary<RoutedRequest> = fc.record({
  id: fc.string(),
  service: fc.string(),
  route: fc.string(),
  rank: fc.nat(9),
  isIdempotent: fc.boolean(),
  key: fc.option(fc.nat(65_535), { nil: undefined }),
  callerService: fc.string(),
  objectiveAtMs: fc.integer({ min: -5_000, max: 5_000 }),
  deadlineAtMs: fc.integer({ min: 0, max: 60_000 }),
  mayEndLate: fc.boolean(),
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
    isFramed: fc.boolean(),
  }),
  fc.record({ waitMs: fc.nat(5_000), hasArrived: fc.boolean() })
    .map((options) => notRun("overloaded", options)),
  fc.constant(unknown("connection_lost")),
);

/** Cuts bytes into pieces of the given sizes, over and over. */
function cut(bytes: Buffer, sizes: readonly number[]): Buffer[] {
  const pieces: Buffer[] = [];
  let at = 0;
  for (let turn = 0; at < bytes.length; turn += 1) {
    const end = at + sizes[turn % sizes.length]!;
    pieces.push(bytes.subarray(at, end));
    at = end;
  }
  return pieces;
}

function readAll(pieces: readonly Buffer[]): Frame[] {
  const reader = FrameReader.create();
  return pieces.flatMap((piece) => reader.push(piece));
}

/** A daemon's end of a link whose behaviour the test decides. */
class PeerStandin {
  readonly sockets: Socket[] = [];
  readonly frames: Frame[] = [];
  private readonly server = createServer((socket) => {
    this.sockets.push(socket);
    socket.on("error", () => undefined);
    socket.write(
      encodeFrame({ kind: FRAME_KINDS.greeting, id: 0, head: [LINK_FORMAT] }),
    );
    const reader = FrameReader.create();
    socket.on("data", (bytes: Buffer) =>
      this.frames.push(
        ...reader.push(bytes).filter(({ kind }) =>
          kind !== FRAME_KINDS.greeting
        ),
      ));
  });

  static async create(): Promise<PeerStandin> {
    const standin = new PeerStandin();
    await new Promise<void>((resolve) =>
      standin.server.listen(0, "127.0.0.1", resolve)
    );
    return standin;
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

/** Sends one request; resolves with what its listener hears first. */
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
  describe("frames", () => {
    it("bring every request as it was, in whatever pieces", () => {
      fc.assert(
        fc.property(
          fc.array(anyWork, { minLength: 1, maxLength: 4 }),
          fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }),
          (works, sizes) => {
            const bytes = Buffer.concat(
              works.map((each, index) => encodeRequest(index, each, 0)),
            );
            const frames = readAll(cut(bytes, sizes));
            expect(frames.map((frame) => decodeRequest(frame, 0)))
              .to.deep.equal(works);
            frames.forEach(({ head }) => RequestHead.parse(head));
          },
        ),
        { seed: SEED },
      );
    });

    it("bring every outcome as it was", () => {
      fc.assert(
        fc.property(anyOutcome, (outcome) => {
          const [frame] = readAll([encodeOutcome(1, outcome, LOAD)]);
          expect(decodeOutcome(frame!)).to.deep.equal({ outcome, load: LOAD });
          OutcomeHead.parse(frame!.head);
        }),
        { seed: SEED },
      );
    });

    it("that are none end the reading with an error", () => {
      const bytes = Buffer.from("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
      expect(() => readAll([bytes])).to.throw("a link brought a frame of");
    });
  });

  describe("a peer that ends its link", () => {
    let peer: PeerStandin;
    let link: LinkClient;
    beforeEach(async () => {
      peer = await PeerStandin.create();
      link = LinkClient.create(peer.address, () => performance.now());
    });
    afterEach(() => {
      link.close();
      peer.close();
    });

    it("without a word may have run what was sent", async () => {
      const ended = sendOne(link);
      await peer.awaitFrames(1);
      peer.sockets[0]!.destroy();
      expect(await ended).to.equal("sent");
    });

    // Symptom: an order fails as "may have run" while a daemon restarts, though nobody has read it.
    // Sequence: the daemon reads its last request and closes; another order is on its way to it.
    // Cause: an ended connection doesn't tell which requests were read before it ended.
    it("with a farewell has surely not run what it has not read", async () => {
      const read = sendOne(link);
      await peer.awaitFrames(1);
      const { id } = peer.frames[0]!;
      const crossing = sendOne(link);
      const kind = FRAME_KINDS.farewell;
      peer.sockets[0]!.end(encodeFrame({ kind, id }));
      expect(await crossing).to.equal("unsent");
      expect(await read).to.equal("sent");
      expect(link.isUsable).to.equal(false);
    });
  });

  describe("a peer that can't be reached", () => {
    it("has surely not run anything", async () => {
      const peer = await PeerStandin.create();
      const { address } = peer;
      peer.close();
      const link = LinkClient.create(address, () => performance.now());
      expect(await sendOne(link)).to.equal("unsent");
    });
  });

  describe("a link that has gone silent", () => {
    // Symptom: all requests to one daemon wait for their deadlines, while it answers others.
    // Sequence: the connection goes dead without a reset; later requests are sent on it, too.
    // Cause: many requests share a connection, so its silence must not be waited out by each of them.
    it("is left: what may be repeated goes elsewhere, the rest by a new link", async () => {
      const peer = await PeerStandin.create();
      const unreachable: string[] = [];
      const forwarder = Forwarder.create({
        logger: Logger.createBounded("test", { level: "error" }),
        onLoad: () => undefined,
        onUnreachable: (daemon) => unreachable.push(daemon),
      });
      const forward = (mayGiveUp: boolean) =>
        forwarder.forward(SAMPLE_REQUEST, {
          daemon: peer.address,
          cancellation: Cancellation.create(),
          mayGiveUp: () => mayGiveUp,
        });
      const repeatable = forward(true);
      const once = forward(false);
      await peer.awaitFrames(2);
      while (unreachable.length === 0) {
        await sleep(20);
        forwarder.tick();
      }
      expect(await repeatable).to.deep.equal(unknown("connection_lost"));
      void forward(true);
      await peer.awaitFrames(4);
      expect(peer.sockets.length).to.equal(2);
      const late = encodeOutcome(2, notRun("overloaded"), LOAD);
      peer.sockets[0]!.write(late);
      expect(await once).to.deep.equal(notRun("overloaded"));
      forwarder.close();
      peer.close();
    });
  });
});
