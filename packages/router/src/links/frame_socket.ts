/**
 * One end of a link between two daemons: sends and receives frames over a connection.
 *
 * @module
 */
import type { Socket } from "node:net";
import { BamboolinkError } from "@bamboolink/errors";
import { monotonicMs } from "../clock.ts";
import {
  encodeFrame,
  type Frame,
  FRAME_KINDS,
  FrameReader,
  HandshakeHead,
  LINK_FORMAT,
} from "./link_codec.ts";

/**
 * How long the other side may take to close a link that was ended, in milliseconds. It closes the link after it has
 * read everything; a stopping daemon allows 700 ms for closing.
 */
const LINGER_TIMEOUT_MS = 400;

/**
 * Idle time after which a link is probed, in milliseconds; Node.js then sends up to ten probes, one each second. The
 * receiving end of a link sends nothing without a request, so it would keep the links of lost hosts open for good.
 */
const PROBE_IDLE_MS = 10_000;

/** Callbacks of one end of a link. */
export interface FrameSocketEvents {
  /** `receiveMs`: from the first to the last byte of the frame, in milliseconds. */
  readonly onFrame: (frame: Frame, receiveMs: number) => void;
  /** Called with the size from which the other side wants bodies to be offered, in bytes; 0 if it does not. */
  readonly onHandshake?: (offeredBytes: number) => void;
  /** Called once, when no further frames will be received. */
  readonly onEnd: (cause: BamboolinkError) => void;
  /** Called with the number of bytes that are written or have been read. */
  readonly onBytes?: (direction: "sent" | "received", bytes: number) => void;
}

/** Writes frames in batches, and reads frames. */
export class FrameSocket {
  private readonly reader = FrameReader.create();
  private isHandshakeDone = false;
  private isEnded = false;
  /** When the first byte of the incomplete frame was received, on the monotonic clock. */
  private frameStartedAtMs = 0;
  /** Frames to be written at the end of this turn of the event loop. */
  private pending: Buffer[] = [];

  private constructor(
    private readonly socket: Socket,
    private readonly peer: string,
    private readonly events: FrameSocketEvents,
  ) {}

  /**
   * Manages a connection that is open or being opened; sends the handshake.
   *
   * @param offeredBytes size from which the other side must offer bodies, in bytes; 0 for none.
   */
  static create(
    socket: Socket,
    peer: string,
    events: FrameSocketEvents,
    offeredBytes = 0,
  ): FrameSocket {
    const frames = new FrameSocket(socket, peer, events);
    socket.setNoDelay(true);
    socket.setKeepAlive(true, PROBE_IDLE_MS);
    socket.on("data", (bytes: Buffer) => frames.read(bytes));
    socket.on(
      "error",
      (cause) => frames.end("connection error on the link", cause),
    );
    socket.on("end", () => frames.end("the peer ended the link"));
    socket.on("close", () => frames.end("the link was closed"));
    frames.write(encodeFrame({
      kind: FRAME_KINDS.handshake,
      id: offeredBytes,
      head: [LINK_FORMAT],
    }));
    return frames;
  }

  /**
   * Queues a frame. All frames of one turn of the event loop are sent in one write, because system calls are a
   * considerable part of the cost of a request. Frames written after the link was ended are dropped: writing them would
   * destroy the connection, and with it the responses that are still buffered.
   */
  write(bytes: Buffer): void {
    if (this.isEnded) {
      return;
    }
    if (this.pending.length === 0) {
      process.nextTick(() => this.flush());
    }
    this.pending.push(bytes);
  }

  /** Whether bytes are still buffered in the process. */
  get hasUnsent(): boolean {
    return this.pending.length > 0 || this.socket.writableLength > 0;
  }

  /** Number of bytes that the system has not taken yet. */
  get unsentBytes(): number {
    return this.socket.writableLength;
  }

  /**
   * Writes the remaining frames and ends the connection; resolves when it is closed. A process that exits earlier loses
   * the bytes that it has buffered, and resets the connection if the other side has just sent something.
   */
  finish(): Promise<void> {
    this.isEnded = true;
    this.flush();
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.socket.destroy(), LINGER_TIMEOUT_MS);
      this.socket.once("close", () => {
        clearTimeout(timer);
        resolve();
      });
      this.socket.end();
    });
  }

  /** Closes the connection at once, without calling `onEnd`. */
  destroy(): void {
    this.isEnded = true;
    this.socket.destroy();
  }

  private flush(): void {
    const { pending } = this;
    this.pending = [];
    if (pending.length > 0 && !this.socket.destroyed) {
      const bytes = pending.length === 1 ? pending[0]! : Buffer.concat(pending);
      this.socket.write(bytes);
      this.events.onBytes?.("sent", bytes.length);
    }
  }

  private read(bytes: Buffer): void {
    if (this.isEnded) {
      return;
    }
    this.events.onBytes?.("received", bytes.length);
    const nowMs = monotonicMs();
    if (!this.reader.hasPartialFrame) {
      this.frameStartedAtMs = nowMs;
    }
    try {
      this.reader.push(bytes).forEach((frame) => {
        this.receive(frame, nowMs - this.frameStartedAtMs);
        this.frameStartedAtMs = nowMs;
      });
    } catch (cause) {
      this.end("received malformed frames on the link", cause);
    }
  }

  private receive(frame: Frame, receiveMs: number): void {
    if (this.isHandshakeDone) {
      this.events.onFrame(frame, receiveMs);
      return;
    }
    HandshakeHead.parse(frame.head);
    this.isHandshakeDone = true;
    this.events.onHandshake?.(frame.id);
  }

  private end(message: string, cause?: unknown): void {
    if (this.isEnded) {
      return;
    }
    this.isEnded = true;
    this.socket.destroy();
    this.events.onEnd(BamboolinkError.create("unreachable", message, {
      step: "link",
      peer: this.peer,
      cause,
    }));
  }
}
