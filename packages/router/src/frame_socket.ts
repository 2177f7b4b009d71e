/**
 * One end of a link between two daemons: frames over a connection.
 *
 * @module
 */
import type { Socket } from "node:net";
import { BamboolinkError } from "@bamboolink/errors";
import {
  encodeFrame,
  type Frame,
  FRAME_KINDS,
  FrameReader,
  GreetingHead,
  LINK_FORMAT,
} from "./link_codec.ts";

/**
 * How long the other end may take to close a link that was ended, in milliseconds. It closes when it has read to the
 * end; a daemon that stops keeps 700 ms for closing.
 */
const LINGER_MS = 400;

/** What one end of a link tells of. */
export interface FrameSocketEvents {
  readonly onFrame: (frame: Frame) => void;
  /** Called once: nothing comes any more. */
  readonly onEnd: (cause: BamboolinkError) => void;
}

/** Writes frames in batches, and reads them. */
export class FrameSocket {
  private readonly reader = FrameReader.create();
  private isGreeted = false;
  private isEnded = false;
  /** Frames of this turn of the event loop. */
  private pending: Buffer[] = [];

  private constructor(
    private readonly socket: Socket,
    private readonly peer: string,
    private readonly events: FrameSocketEvents,
  ) {}

  /** Takes over a connection that is open, or about to be. */
  static create(
    socket: Socket,
    peer: string,
    events: FrameSocketEvents,
  ): FrameSocket {
    const frames = new FrameSocket(socket, peer, events);
    socket.setNoDelay(true);
    socket.on("data", (bytes: Buffer) => frames.read(bytes));
    socket.on("error", (cause) => frames.end("the link broke", cause));
    socket.on("end", () => frames.end("the link was ended"));
    socket.on("close", () => frames.end("the link was closed"));
    frames.write(encodeFrame({
      kind: FRAME_KINDS.greeting,
      id: 0,
      head: [LINK_FORMAT],
    }));
    return frames;
  }

  /**
   * Writes a frame. All frames of one turn of the event loop go out in one write: calls to the system
   * are a good part of what a request costs. Nothing is written after the end: that would destroy the connection, and
   * with it the answers that wait.
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

  /** Whether bytes wait in the process. */
  get hasUnsent(): boolean {
    return this.pending.length > 0 || this.socket.writableLength > 0;
  }

  /**
   * Writes what is left and ends the connection; resolves when it is closed. A process that ends sooner loses what
   * waits in it, and resets the connection if the other end has just sent something.
   */
  finish(): Promise<void> {
    this.isEnded = true;
    this.flush();
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.socket.destroy(), LINGER_MS);
      this.socket.once("close", () => {
        clearTimeout(timer);
        resolve();
      });
      this.socket.end();
    });
  }

  /** Ends the connection at once, without a word to the owner. */
  destroy(): void {
    this.isEnded = true;
    this.socket.destroy();
  }

  private flush(): void {
    const { pending } = this;
    this.pending = [];
    if (pending.length > 0 && !this.socket.destroyed) {
      this.socket.write(
        pending.length === 1 ? pending[0]! : Buffer.concat(pending),
      );
    }
  }

  private read(bytes: Buffer): void {
    if (this.isEnded) {
      return;
    }
    try {
      this.reader.push(bytes).forEach((frame) => this.take(frame));
    } catch (cause) {
      this.end("the link brought what can't be read", cause);
    }
  }

  private take(frame: Frame): void {
    if (this.isGreeted) {
      this.events.onFrame(frame);
      return;
    }
    GreetingHead.parse(frame.head);
    this.isGreeted = true;
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
