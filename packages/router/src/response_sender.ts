/**
 * Sends outcomes back over links: small ones at once, large answers in pieces at the pace of the host's network link.
 *
 * @module
 */
import {
  type LinkDelay,
  LinkPacer,
  type WaitingResponse,
} from "@bamboolink/admission";
import type { FrameSocket } from "./frame_socket.ts";
import {
  encodeFrame,
  encodeOutcome,
  FRAME_KINDS,
  type LoadReport,
} from "./link_codec.ts";
import type { Outcome } from "./routed_request.ts";

/** Answers up to this size leave at once, in bytes: about 12 ms of a link of 10 Mbit/s. */
const SMALL_BYTES = 16_384;
/** How much of a large answer is written at a time, in bytes: small messages wait for one piece at most. */
const PIECE_BYTES = 32_768;
/** Weight of the latest answer in the average size of a route's answers. */
const SIZE_RATE = 0.1;
/** Share of the link for large answers; the rest is for small ones, requests and gossip. */
const LINK_SHARE = 0.9;

const NO_DELAY: LinkDelay = { onTimeMs: 0, lateMs: 0 };

/** Where an outcome goes, and until when it is wanted. */
export interface ResponseTarget {
  readonly frames: FrameSocket;
  /** The number of the request on its link. */
  readonly id: number;
  readonly route: string;
  readonly objectiveAtMs: number;
}

interface LargeAnswer extends WaitingResponse, ResponseTarget {
  readonly answer: Extract<Outcome, { kind: "answer" }>;
  readonly load: LoadReport;
}

/** Sends the outcomes of one daemon. */
export class ResponseSender {
  private readonly pacer: LinkPacer<LargeAnswer>;
  private readonly sizes = new Map<string, number>();
  /** Requests of each route that are being run for other daemons. */
  private readonly running = new Map<string, number>();
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    linkBytesPerSecond: number,
    private readonly nowMs: () => number,
  ) {
    this.pacer = LinkPacer.create(linkBytesPerSecond * LINK_SHARE);
  }

  /**
   * Creates a sender.
   *
   * @param linkBytesPerSecond speed of the host's network link; infinite if not known.
   */
  static create(
    linkBytesPerSecond: number,
    nowMs: () => number,
  ): ResponseSender {
    return new ResponseSender(linkBytesPerSecond, nowMs);
  }

  /** How many answers have not left yet. */
  get waitingCount(): number {
    return this.pacer.waitingCount;
  }

  /** A request of a route is run for another daemon from now on, or not any more. */
  adjustRunning(route: string, change: 1 | -1): void {
    this.running.set(route, (this.running.get(route) ?? 0) + change);
  }

  /** Until the answer to a request of a route would have left, beside the time to make it. */
  estimateDelay(route: string): LinkDelay {
    const size = this.sizes.get(route) ?? 0;
    if (size <= SMALL_BYTES) {
      return NO_DELAY;
    }
    const made = [...this.running].reduce((sum, [other, count]) => {
      const each = this.sizes.get(other) ?? 0;
      return each <= SMALL_BYTES ? sum : sum + each * count;
    }, 0);
    return this.pacer.estimateDelay(size + made, this.nowMs());
  }

  /** Sends an outcome, now or when its turn comes. */
  send(target: ResponseTarget, outcome: Outcome, load: LoadReport): void {
    const { frames, id, route } = target;
    const size = outcome.kind === "answer" ? outcome.body.length : 0;
    if (outcome.kind === "answer") {
      const known = this.sizes.get(route) ?? size;
      this.sizes.set(route, known + SIZE_RATE * (size - known));
    }
    if (outcome.kind !== "answer" || size <= SMALL_BYTES) {
      this.write(frames, encodeOutcome(id, outcome, load));
      return;
    }
    this.pacer.add({ ...target, answer: outcome, load, remainingBytes: size });
    this.pump();
  }

  /** Nobody waits for an answer any more. */
  cancel(frames: FrameSocket, id: number): void {
    this.pacer.remove((answer) => answer.frames === frames && answer.id === id);
  }

  /** A link has ended, and all answers on it. */
  drop(frames: FrameSocket): void {
    this.pacer.remove((answer) => answer.frames === frames);
  }

  private pump(): void {
    clearTimeout(this.timer);
    let next = this.pacer.next(this.nowMs());
    while (next !== undefined) {
      this.sendPiece(next);
      next = this.pacer.next(this.nowMs());
    }
    if (this.pacer.waitingCount > 0) {
      const delayMs = Math.ceil(this.pacer.delayMs(this.nowMs()));
      this.timer = setTimeout(() => this.pump(), Math.max(1, delayMs));
    }
  }

  private sendPiece(waiting: LargeAnswer): void {
    const { frames, id, answer, load } = waiting;
    const from = answer.body.length - waiting.remainingBytes;
    const body = answer.body.subarray(from, from + PIECE_BYTES);
    waiting.remainingBytes -= body.length;
    if (waiting.remainingBytes > 0) {
      const { piece: kind } = FRAME_KINDS;
      this.write(frames, encodeFrame({ kind, id, body }));
      return;
    }
    this.cancel(frames, id);
    this.write(frames, encodeOutcome(id, { ...answer, body }, load));
  }

  private write(frames: FrameSocket, bytes: Buffer): void {
    this.pacer.recordWritten(bytes.length, this.nowMs());
    frames.write(bytes);
  }
}
