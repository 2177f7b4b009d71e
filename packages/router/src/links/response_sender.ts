/**
 * Returns outcomes over links: small ones at once, large responses in chunks at the rate of the host's network link.
 *
 * @module
 */
import { BandwidthPacer, type WaitingResponse } from "@bamboolink/admission";
import type { FrameSocket } from "./frame_socket.ts";
import {
  encodeFrame,
  encodeOutcome,
  FRAME_KINDS,
  type LoadReport,
} from "./link_codec.ts";
import type { Outcome } from "../attempts/routed_request.ts";

/** Responses up to this size are sent at once, in bytes: about 12 ms of a network link of 10 Mbit/s. */
const MAX_SMALL_BYTES = 16_384;
/** How much of a large response is written at a time, in bytes: small messages wait for at most one chunk. */
const CHUNK_BYTES = 32_768;
/** Weight of the latest response in the moving average (EWMA) of a route's response size. */
const SIZE_EWMA_WEIGHT = 0.1;
/** Share of the network link's bandwidth for large responses; the rest is for small ones, requests and gossip. */
const LARGE_RESPONSE_SHARE = 0.9;

/** Where an outcome is sent, and until when it is of use. */
export interface ResponseTarget {
  readonly frames: FrameSocket;
  /** Id of the request on its link. */
  readonly id: number;
  readonly route: string;
  readonly deadlineAtMs: number;
}

interface LargeResponse extends WaitingResponse, ResponseTarget {
  readonly response: Extract<Outcome, { kind: "answer" }>;
  readonly load: LoadReport;
}

/** Sends the outcomes of requests that one daemon runs for others. */
export class ResponseSender {
  private readonly pacer: BandwidthPacer<LargeResponse>;
  private readonly averageSizes = new Map<string, number>();
  /** Number of requests that are being run for other daemons, by route. */
  private readonly running = new Map<string, number>();
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    linkBytesPerSecond: number,
    private readonly nowMs: () => number,
  ) {
    this.pacer = BandwidthPacer.create(
      linkBytesPerSecond * LARGE_RESPONSE_SHARE,
    );
  }

  /**
   * Creates a sender.
   *
   * @param linkBytesPerSecond bandwidth of the host's network link; `Infinity` if unknown.
   */
  static create(
    linkBytesPerSecond: number,
    nowMs: () => number,
  ): ResponseSender {
    return new ResponseSender(linkBytesPerSecond, nowMs);
  }

  /** How many large responses have not been sent completely. */
  get waitingCount(): number {
    return this.pacer.waitingCount;
  }

  /** Adds one to, or subtracts one from, the number of requests of a route that are being run for other daemons. */
  adjustRunning(route: string, change: 1 | -1): void {
    this.running.set(route, (this.running.get(route) ?? 0) + change);
  }

  /** Estimates how long a response of a route would take to be sent, in addition to the service time, in milliseconds. */
  estimateDelayMs(route: string): number {
    const size = this.averageSizes.get(route) ?? 0;
    if (size <= MAX_SMALL_BYTES) {
      return 0;
    }
    const pendingBytes = [...this.running].reduce((sum, [other, count]) => {
      const averageSize = this.averageSizes.get(other) ?? 0;
      return averageSize <= MAX_SMALL_BYTES ? sum : sum + averageSize * count;
    }, 0);
    return this.pacer.estimateDelayMs(size + pendingBytes, this.nowMs());
  }

  /** Sends an outcome: at once, or, for a large response, when the pacer allows it. */
  send(target: ResponseTarget, outcome: Outcome, load: LoadReport): void {
    const { frames, id, route } = target;
    const size = outcome.kind === "answer" ? outcome.body.length : 0;
    if (outcome.kind === "answer") {
      const average = this.averageSizes.get(route) ?? size;
      this.averageSizes.set(
        route,
        average + SIZE_EWMA_WEIGHT * (size - average),
      );
    }
    if (outcome.kind !== "answer" || size <= MAX_SMALL_BYTES) {
      this.write(frames, encodeOutcome(id, outcome, load));
      return;
    }
    this.pacer.add({
      ...target,
      response: outcome,
      load,
      remainingBytes: size,
    });
    this.sendDue();
  }

  /** Drops a response that is no longer needed. */
  cancel(frames: FrameSocket, id: number): void {
    this.pacer.remove((response) =>
      response.frames === frames && response.id === id
    );
  }

  /** Drops all responses of a link that has ended. */
  drop(frames: FrameSocket): void {
    this.pacer.remove((response) => response.frames === frames);
  }

  private sendDue(): void {
    clearTimeout(this.timer);
    let next = this.pacer.next(this.nowMs());
    while (next !== undefined) {
      this.sendChunk(next);
      next = this.pacer.next(this.nowMs());
    }
    if (this.pacer.waitingCount > 0) {
      const delayMs = Math.ceil(this.pacer.delayMs(this.nowMs()));
      this.timer = setTimeout(() => this.sendDue(), Math.max(1, delayMs));
    }
  }

  private sendChunk(waiting: LargeResponse): void {
    const { frames, id, response, load } = waiting;
    const offset = response.body.length - waiting.remainingBytes;
    const body = response.body.subarray(offset, offset + CHUNK_BYTES);
    waiting.remainingBytes -= body.length;
    if (waiting.remainingBytes > 0) {
      const { chunk: kind } = FRAME_KINDS;
      this.write(frames, encodeFrame({ kind, id, body }));
      return;
    }
    this.cancel(frames, id);
    this.write(frames, encodeOutcome(id, { ...response, body }, load));
  }

  private write(frames: FrameSocket, bytes: Buffer): void {
    this.pacer.recordWritten(bytes.length, this.nowMs());
    frames.write(bytes);
  }
}
