/**
 * The sending end of the link to one other daemon.
 *
 * @module
 */
import { connect } from "node:net";
import { BamboolinkError } from "@bamboolink/errors";
import { FrameSocket } from "./frame_socket.ts";
import {
  decodeOutcome,
  encodeFrame,
  encodeRequest,
  type Frame,
  FRAME_KINDS,
  type LoadReport,
} from "./link_codec.ts";
import type { Outcome, RoutedRequest } from "./routed_request.ts";

/** How long a new connection may take, in milliseconds. All peers are within a few milliseconds. */
const CONNECT_TIMEOUT_MS = 400;

/** Whoever waits for the outcome of one request. */
export interface LinkListener {
  /** The other daemon has said for the first time that it has the request. */
  readonly onAcknowledged: () => void;
  readonly onOutcome: (outcome: Outcome, load: LoadReport) => void;
  /** The other daemon has said nothing for longer than is usual. */
  readonly onUnresponsive: () => void;
  /** No outcome will come. `isSent`: the other daemon may have the request. */
  readonly onLost: (isSent: boolean, cause: BamboolinkError) => void;
}

/** One request that is under way. */
export interface LinkRequest {
  readonly id: number;
  readonly sentAtMs: number;
  readonly listener: LinkListener;
  isAcknowledged: boolean;
  /** What has come of a large answer. */
  readonly chunks: Buffer[];
}

/** A connection that carries many requests at a time. */
export class LinkClient {
  private readonly requests = new Map<number, LinkRequest>();
  /** Frames that wait for the connection; their requests are surely not sent. */
  private readonly unsent = new Map<number, Buffer>();
  private isOpen = false;
  private end: BamboolinkError | undefined;
  private lastId = 0;
  private usedAtMs: number;
  private heardMs = -Infinity;
  private readonly frames: FrameSocket;
  private readonly connecting: NodeJS.Timeout;

  private constructor(peer: string, private readonly nowMs: () => number) {
    const colon = peer.lastIndexOf(":");
    const socket = connect({
      host: peer.slice(0, colon),
      port: Number(peer.slice(colon + 1)),
    });
    this.usedAtMs = nowMs();
    this.frames = FrameSocket.create(socket, peer, {
      onFrame: (frame) => this.take(frame),
      onEnd: (cause) => this.lose(cause),
    });
    socket.once("connect", () => this.open());
    this.connecting = setTimeout(() => {
      this.frames.destroy();
      this.lose(BamboolinkError.create("unreachable", "no connection came up", {
        step: "link.connect",
        peer,
      }));
    }, CONNECT_TIMEOUT_MS);
  }

  /** Begins to connect. */
  static create(peer: string, nowMs: () => number): LinkClient {
    return new LinkClient(peer, nowMs);
  }

  /** Whether requests can still be sent on it. */
  get isUsable(): boolean {
    return this.end === undefined;
  }

  /** Whether nothing is under way on it. */
  get isIdle(): boolean {
    return this.requests.size === 0;
  }

  /** When a request was last sent. */
  get lastUsedAtMs(): number {
    return this.usedAtMs;
  }

  /** When anything last came from the other daemon. */
  get lastReceivedAtMs(): number {
    return this.heardMs;
  }

  /** Requests of which the other daemon has said nothing yet. */
  findUnacknowledged(): LinkRequest[] {
    return [...this.requests.values()].filter(({ isAcknowledged }) =>
      !isAcknowledged
    );
  }

  /** Sends a request; its number names it from now on. */
  send(work: RoutedRequest, listener: LinkListener): number {
    this.lastId += 1;
    const id = this.lastId;
    const sentAtMs = this.nowMs();
    this.usedAtMs = sentAtMs;
    this.requests.set(id, {
      id,
      sentAtMs,
      listener,
      isAcknowledged: false,
      chunks: [],
    });
    const bytes = encodeRequest(id, work, sentAtMs);
    if (this.isOpen) {
      this.frames.write(bytes);
    } else {
      this.unsent.set(id, bytes);
    }
    return id;
  }

  /** Gives up on a request; returns whether the other daemon may have it. */
  cancel(id: number): boolean {
    if (!this.requests.delete(id)) {
      return false;
    }
    if (this.unsent.delete(id)) {
      return false;
    }
    this.frames.write(encodeFrame({ kind: FRAME_KINDS.cancellation, id }));
    return true;
  }

  /** Ends the connection; whatever is under way is lost. */
  close(): void {
    this.frames.destroy();
    this.lose(BamboolinkError.create("unreachable", "the link is closed", {
      step: "link.close",
    }));
  }

  private open(): void {
    clearTimeout(this.connecting);
    this.isOpen = true;
    this.unsent.forEach((bytes) => this.frames.write(bytes));
    this.unsent.clear();
  }

  private take(frame: Frame): void {
    this.heardMs = this.nowMs();
    if (frame.kind === FRAME_KINDS.farewell) {
      this.takeFarewell(frame.id);
      return;
    }
    const request = this.requests.get(frame.id);
    if (request === undefined) {
      return;
    }
    if (!request.isAcknowledged) {
      request.isAcknowledged = true;
      request.listener.onAcknowledged();
    }
    if (frame.kind === FRAME_KINDS.piece) {
      request.chunks.push(frame.body);
    }
    if (frame.kind === FRAME_KINDS.outcome) {
      this.requests.delete(frame.id);
      const body = request.chunks.length === 0
        ? frame.body
        : Buffer.concat([...request.chunks, frame.body]);
      const { outcome, load } = decodeOutcome({ ...frame, body });
      request.listener.onOutcome(outcome, load);
    }
  }

  /**
   * The other daemon reads nothing any more. What goes wrong without it: a request that crosses the end
   * of the connection looks as if it may have run, and one that may run once only fails for nothing.
   */
  private takeFarewell(lastReadId: number): void {
    this.end ??= BamboolinkError.create("unreachable", "the peer has stopped", {
      step: "link.farewell",
    });
    const { end } = this;
    this.drop([...this.requests.values()].filter(({ id }) => id > lastReadId), {
      isSent: false,
      cause: end,
    });
  }

  private lose(cause: BamboolinkError): void {
    clearTimeout(this.connecting);
    this.end ??= cause;
    this.drop([...this.requests.values()], { isSent: this.isOpen, cause });
  }

  private drop(
    requests: readonly LinkRequest[],
    loss: { isSent: boolean; cause: BamboolinkError },
  ): void {
    requests.forEach(({ id }) => this.requests.delete(id));
    requests.forEach(({ listener }) =>
      listener.onLost(loss.isSent, loss.cause)
    );
  }
}
