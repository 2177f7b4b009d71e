/**
 * Receives the large bodies of other daemons' requests in parts, at the rate of the host's network link.
 *
 * @module
 */
import { BodyScheduler, type OfferedBody } from "@bamboolink/admission";
import type { Cancellation } from "../attempts/cancellation.ts";
import { notRun, type Outcome } from "../attempts/routed_request.ts";
import type { FrameSocket } from "./frame_socket.ts";
import { encodeFrame, FRAME_KINDS } from "./link_codec.ts";

/** Bodies that the network link carries within this time need not be offered, in milliseconds. */
const UNOFFERED_MS = 12;

/** A body, or the outcome of its request if it was refused. */
export type ReceivedBody =
  | { readonly kind: "body"; readonly body: Buffer }
  | { readonly kind: "refused"; readonly outcome: Outcome };

/** Where a body comes from, and what is needed of it. */
export interface BodyOffer extends OfferedBody {
  readonly frames: FrameSocket;
  /** Id of the request on its link. */
  readonly id: number;
  readonly cancellation: Cancellation;
}

interface ReceivingBody {
  readonly offer: BodyOffer;
  readonly parts: Buffer[];
  receivedBytes: number;
  readonly finish: (received: ReceivedBody) => void;
}

/** The bodies that other daemons are sending to this host. */
export class BodyReceiver {
  private readonly scheduler: BodyScheduler<ReceivingBody>;
  private readonly bodies = new Map<FrameSocket, Map<number, ReceivingBody>>();
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly linkBytesPerSecond: number,
    private readonly nowMs: () => number,
  ) {
    this.scheduler = BodyScheduler.create(linkBytesPerSecond);
  }

  /**
   * Creates a receiver without bodies.
   *
   * @param linkBytesPerSecond bandwidth of the host's network link; `Infinity` if unknown, then no body is scheduled.
   */
  static create(linkBytesPerSecond: number, nowMs: () => number): BodyReceiver {
    return new BodyReceiver(linkBytesPerSecond, nowMs);
  }

  /** Size from which bodies must be offered, in bytes; 0 for none. */
  get offeredBytes(): number {
    return Number.isFinite(this.linkBytesPerSecond)
      ? Math.max(1, Math.round(this.linkBytesPerSecond * UNOFFERED_MS / 1_000))
      : 0;
  }

  /** Bytes of bodies that have been accepted and have not arrived. */
  get pendingBytes(): number {
    return this.scheduler.pendingBytes;
  }

  /** Recent average time until a body that is offered begins to arrive, in milliseconds. */
  get meanWaitMs(): number {
    return this.scheduler.meanWaitMs;
  }

  /** Receives a body; resolves when it is complete, refused or no longer needed. */
  receive(offer: BodyOffer): Promise<ReceivedBody> {
    return new Promise((resolve) => {
      const { frames, id, cancellation } = offer;
      const receiving: ReceivingBody = {
        offer,
        parts: [],
        receivedBytes: 0,
        finish: (received) => {
          this.remove(receiving);
          cancellation.remove(cancel);
          resolve(received);
          this.sendGrants();
        },
      };
      const cancel = () =>
        receiving.finish(
          refuse(cancellation.reason === "deadline" ? "too_late" : "cancelled"),
        );
      const decision = this.scheduler.offer(receiving, offer, this.nowMs());
      if (decision.kind === "refuse") {
        resolve(refuse("link_busy", decision.waitMs));
        return;
      }
      const bodies = this.bodies.get(frames) ?? new Map();
      this.bodies.set(frames, bodies.set(id, receiving));
      cancellation.onCancel(cancel);
      this.sendGrants();
    });
  }

  /** Adds a part that has arrived. */
  addPart(frames: FrameSocket, id: number, part: Buffer): void {
    const receiving = this.bodies.get(frames)?.get(id);
    if (receiving === undefined) {
      return;
    }
    receiving.parts.push(part);
    receiving.receivedBytes += part.length;
    this.scheduler.recordArrival(receiving, part.length, this.nowMs());
    if (receiving.receivedBytes >= receiving.offer.bytes) {
      receiving.finish({ kind: "body", body: Buffer.concat(receiving.parts) });
      return;
    }
    this.sendGrants();
  }

  /** Drops the bodies of a link that has ended. */
  drop(frames: FrameSocket): void {
    this.bodies.get(frames)?.forEach((body) =>
      body.finish(refuse("cancelled"))
    );
  }

  /** Refuses the bodies that can no longer arrive in time; must be called periodically. */
  tick(): void {
    const nowMs = this.nowMs();
    this.scheduler.recordWait(nowMs);
    this.scheduler.takeHopeless(nowMs).forEach((body) =>
      body.finish(refuse("link_busy", this.scheduler.estimateDelayMs(0)))
    );
    this.sendGrants();
  }

  private remove(receiving: ReceivingBody): void {
    const { frames, id } = receiving.offer;
    const bodies = this.bodies.get(frames);
    bodies?.delete(id);
    if (bodies?.size === 0) {
      this.bodies.delete(frames);
    }
    this.scheduler.remove(receiving);
  }

  private sendGrants(): void {
    clearTimeout(this.timer);
    const nowMs = this.nowMs();
    this.scheduler.takeGrants(nowMs).forEach(({ id: { offer }, bytes }) =>
      offer.frames.write(
        encodeFrame({ kind: FRAME_KINDS.grant, id: offer.id, head: [bytes] }),
      )
    );
    const delayMs = this.scheduler.grantDelayMs(nowMs);
    if (this.scheduler.size > 0 && Number.isFinite(delayMs)) {
      this.timer = setTimeout(
        () => this.sendGrants(),
        Math.max(1, Math.ceil(delayMs)),
      );
    }
  }
}

function refuse(
  reason: "cancelled" | "too_late" | "link_busy",
  waitMs = 0,
): ReceivedBody {
  return { kind: "refused", outcome: notRun(reason, { waitMs }) };
}
