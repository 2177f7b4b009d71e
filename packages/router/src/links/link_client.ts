/**
 * The client side of the link to one other daemon: sends requests and receives their outcomes.
 *
 * @module
 */
import { connect } from "node:net";
import { BamboolinkError } from "@bamboolink/errors";
import { FrameSocket, type FrameSocketEvents } from "./frame_socket.ts";
import {
  decodeGrant,
  decodeOutcome,
  encodeFrame,
  encodeOffer,
  encodeRequest,
  type Frame,
  FRAME_KINDS,
  type LoadReport,
  MAX_BODY_BYTES,
} from "./link_codec.ts";
import type { Outcome, RoutedRequest } from "../attempts/routed_request.ts";

/** How long connecting may take, in milliseconds. All peers are a few milliseconds away. */
const CONNECT_TIMEOUT_MS = 400;

/** Bodies up to this size are sent without an offer, in bytes, so they need not wait for the other side's handshake. */
const MAX_UNOFFERED_BYTES = 8_192;

/** Callbacks for one request. */
export interface LinkListener {
  /** The other daemon has confirmed for the first time that it has received the request. */
  readonly onAcknowledged: () => void;
  readonly onOutcome: (outcome: Outcome, load: LoadReport) => void;
  /** The other daemon has not acknowledged the request within the timeout; called again at each check. */
  readonly onUnresponsive: () => void;
  /** No outcome will be received. `isSent`: the other daemon may have received the request. */
  readonly onLost: (isSent: boolean, cause: BamboolinkError) => void;
}

/** A request in flight, with what has been received for it so far. */
export interface LinkRequest {
  readonly id: number;
  readonly sentAtMs: number;
  readonly listener: LinkListener;
  isAcknowledged: boolean;
  /** The chunks of a large response received so far, and their size in bytes. */
  readonly chunks: Buffer[];
  chunkBytes: number;
}

/** A body that the other daemon takes in parts. */
interface PendingBody {
  readonly body: Buffer;
  sentBytes: number;
}

/** A connection that carries many requests concurrently. */
export class LinkClient {
  private readonly requests = new Map<number, LinkRequest>();
  /**
   * Requests that wait for the connection to open or, with a large body, for the handshake of the other side; they have
   * certainly not been sent.
   */
  private readonly unsent = new Map<number, RoutedRequest>();
  /** Bodies that have not been sent completely, by request id; their requests have certainly not run. */
  private readonly offered = new Map<number, PendingBody>();
  private isOpen = false;
  /** Size from which bodies are offered, in bytes, 0 for none; `undefined` before the handshake of the other side. */
  private offeredBytes: number | undefined;
  private endCause: BamboolinkError | undefined;
  private lastId = 0;
  private requestSentAtMs: number;
  private frameReceivedAtMs = -Infinity;
  private readonly frames: FrameSocket;
  private readonly connectTimer: NodeJS.Timeout;

  private constructor(
    private readonly peer: string,
    private readonly nowMs: () => number,
    onBytes: FrameSocketEvents["onBytes"],
  ) {
    const colon = peer.lastIndexOf(":");
    const socket = connect({
      host: peer.slice(0, colon),
      port: Number(peer.slice(colon + 1)),
    });
    this.requestSentAtMs = nowMs();
    this.frames = FrameSocket.create(socket, peer, {
      onFrame: (frame) => this.receive(frame),
      onHandshake: (offeredBytes) => {
        this.offeredBytes = offeredBytes;
        this.sendUnsent();
      },
      onEnd: (cause) => this.fail(cause),
      ...(onBytes === undefined ? {} : { onBytes }),
    });
    socket.once("connect", () => this.open());
    this.connectTimer = setTimeout(() => {
      this.frames.destroy();
      this.fail(
        BamboolinkError.create("unreachable", "timed out while connecting", {
          step: "link.connect",
          peer,
        }),
      );
    }, CONNECT_TIMEOUT_MS);
  }

  /**
   * Creates a client and starts connecting to `peer`, an address of the form `host:port`.
   *
   * @param onBytes called with the number of bytes that are written or have been read.
   */
  static create(
    peer: string,
    nowMs: () => number,
    onBytes?: FrameSocketEvents["onBytes"],
  ): LinkClient {
    return new LinkClient(peer, nowMs, onBytes);
  }

  /** Whether further requests can be sent on the link. */
  get isUsable(): boolean {
    return this.endCause === undefined;
  }

  /** Whether no request is in flight. */
  get isIdle(): boolean {
    return this.requests.size === 0;
  }

  /** When a request was last sent, on the client's clock. */
  get lastUsedAtMs(): number {
    return this.requestSentAtMs;
  }

  /** When a frame was last received from the other daemon, on the client's clock. */
  get lastReceivedAtMs(): number {
    return this.frameReceivedAtMs;
  }

  /** Bytes of requests that wait in the process for the connection. */
  get unsentBytes(): number {
    return this.frames.unsentBytes;
  }

  /** Returns the requests that the other daemon has not acknowledged yet. */
  findUnacknowledged(): LinkRequest[] {
    return [...this.requests.values()].filter(({ isAcknowledged }) =>
      !isAcknowledged
    );
  }

  /** Sends a request; returns its id on this link. */
  send(request: RoutedRequest, listener: LinkListener): number {
    this.lastId += 1;
    const id = this.lastId;
    const sentAtMs = this.nowMs();
    this.requestSentAtMs = sentAtMs;
    this.requests.set(id, {
      id,
      sentAtMs,
      listener,
      isAcknowledged: false,
      chunks: [],
      chunkBytes: 0,
    });
    this.unsent.set(id, request);
    this.sendUnsent();
    return id;
  }

  /** Cancels a request; returns whether the other daemon may have received it completely. */
  cancel(id: number): boolean {
    if (!this.requests.delete(id)) {
      return false;
    }
    if (this.unsent.delete(id)) {
      return false;
    }
    const isIncomplete = this.offered.delete(id);
    this.frames.write(encodeFrame({ kind: FRAME_KINDS.cancellation, id }));
    return !isIncomplete;
  }

  /** Closes the connection; requests in flight are lost. */
  close(): void {
    this.frames.destroy();
    this.fail(BamboolinkError.create("unreachable", "the link is closed", {
      step: "link.close",
    }));
  }

  private open(): void {
    clearTimeout(this.connectTimer);
    this.isOpen = true;
    this.sendUnsent();
  }

  /** Sends the requests that wait for nothing more. */
  private sendUnsent(): void {
    if (!this.isOpen) {
      return;
    }
    const { offeredBytes } = this;
    this.unsent.forEach((request, id) => {
      const { body } = request;
      const bodyBytes = body?.length ?? 0;
      if (offeredBytes === undefined && bodyBytes > MAX_UNOFFERED_BYTES) {
        return;
      }
      this.unsent.delete(id);
      if (
        body === undefined || bodyBytes <= MAX_UNOFFERED_BYTES ||
        !offeredBytes || bodyBytes < offeredBytes
      ) {
        this.frames.write(encodeRequest(id, request, this.nowMs()));
        return;
      }
      this.offered.set(id, { body, sentBytes: 0 });
      this.frames.write(encodeOffer(id, { ...request, body }, this.nowMs()));
    });
  }

  /** Sends the part of a body that the other daemon has granted. */
  private sendPart(frame: Frame): void {
    const { id } = frame;
    const offered = this.offered.get(id);
    if (offered === undefined) {
      return;
    }
    const start = offered.sentBytes;
    const part = offered.body.subarray(start, start + decodeGrant(frame));
    offered.sentBytes += part.length;
    if (offered.sentBytes === offered.body.length) {
      this.offered.delete(id);
    }
    const { bodyPart: kind } = FRAME_KINDS;
    this.frames.write(encodeFrame({ kind, id, body: part }));
  }

  private receive(frame: Frame): void {
    this.frameReceivedAtMs = this.nowMs();
    if (frame.kind === FRAME_KINDS.goAway) {
      this.handleGoAway(frame.id);
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
    if (frame.kind === FRAME_KINDS.chunk) {
      this.addChunk(request, frame.body);
    }
    if (frame.kind === FRAME_KINDS.grant) {
      this.sendPart(frame);
    }
    if (frame.kind === FRAME_KINDS.outcome) {
      this.requests.delete(frame.id);
      this.offered.delete(frame.id);
      const body = request.chunks.length === 0
        ? frame.body
        : Buffer.concat([...request.chunks, frame.body]);
      const { outcome, load } = decodeOutcome({ ...frame, body });
      request.listener.onOutcome(outcome, load);
    }
  }

  private addChunk(request: LinkRequest, chunk: Buffer): void {
    request.chunks.push(chunk);
    request.chunkBytes += chunk.length;
    if (request.chunkBytes > MAX_BODY_BYTES) {
      this.frames.destroy();
      this.fail(
        BamboolinkError.create(
          "invalid",
          "the peer sent too large a response",
          {
            step: "link.chunk",
            peer: this.peer,
          },
        ),
      );
    }
  }

  /**
   * The other daemon reads no further requests. Without this frame, a request sent while the connection is being closed
   * would count as one that may have run, and a non-idempotent request would fail although it could be retried.
   */
  private handleGoAway(lastReadId: number): void {
    this.endCause ??= BamboolinkError.create(
      "unreachable",
      "the peer is stopping",
      {
        step: "link.farewell",
      },
    );
    const { endCause } = this;
    this.loseRequests(
      [...this.requests.values()].filter(({ id }) =>
        id > lastReadId || this.offered.has(id)
      ),
      endCause,
      () => false,
    );
  }

  private fail(cause: BamboolinkError): void {
    clearTimeout(this.connectTimer);
    this.endCause ??= cause;
    this.loseRequests(
      [...this.requests.values()],
      cause,
      (id) => this.isOpen && !this.unsent.has(id) && !this.offered.has(id),
    );
  }

  private loseRequests(
    requests: readonly LinkRequest[],
    cause: BamboolinkError,
    isSent: (id: number) => boolean,
  ): void {
    const lost = requests.map(({ id, listener }) => ({
      id,
      listener,
      isSent: isSent(id),
    }));
    lost.forEach(({ id }) => {
      this.requests.delete(id);
      this.unsent.delete(id);
      this.offered.delete(id);
    });
    lost.forEach(({ listener, isSent }) => listener.onLost(isSent, cause));
  }
}
