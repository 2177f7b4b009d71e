/**
 * The receiving end of the links from other daemons: runs their requests at the backend server here.
 *
 * @module
 */
import { createServer, type Server, type Socket } from "node:net";
import type { LinkDelay } from "@bamboolink/admission";
import type { Logger } from "@bamboolink/logger";
import type { ResponseSender } from "./response_sender.ts";
import { Cancellation } from "./cancellation.ts";
import { FrameSocket } from "./frame_socket.ts";
import {
  decodeRequest,
  encodeFrame,
  type Frame,
  FRAME_KINDS,
} from "./link_codec.ts";
import type { LocalBackend } from "./local_backend.ts";
import type { LoopLag } from "./loop_lag.ts";
import { notRun, type Outcome, type RoutedRequest } from "./routed_request.ts";

/**
 * A request that is not answered by then is acknowledged, in milliseconds. Many are answered sooner, and
 * the answer says the same without another packet.
 */
const ACKNOWLEDGE_AFTER_MS = 60;

/**
 * A late answer is expected to wait for so many times what is before it: answers that are in time and come later go
 * first, too. Without it one download in six of a busy host was made and not delivered by its deadline.
 */
const LATE_ALLOWANCE = 2;

/** What the server needs. */
export interface LinkServerContext {
  readonly logger: Logger;
  readonly backend: Pick<LocalBackend, "attempt" | "loadReportFor">;
  readonly responses: ResponseSender;
  readonly lag: LoopLag;
  readonly nowMs: () => number;
}

/** One request of another daemon. */
interface Running {
  readonly work: RoutedRequest;
  readonly cancellation: Cancellation;
  readonly arrivedMs: number;
  isAcknowledged: boolean;
}

/** One link. */
interface Link {
  readonly frames: FrameSocket;
  readonly running: Map<number, Running>;
  lastReadId: number;
}

/** Serves links. */
export class LinkServer {
  /** Takes the other daemons' connections. */
  readonly server: Server;
  private readonly links = new Set<Link>();
  private isStopping = false;
  private hasSaidFarewell = false;

  private constructor(private readonly context: LinkServerContext) {
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Creates a server that does not listen yet. */
  static create(context: LinkServerContext): LinkServer {
    return new LinkServer(context);
  }

  /**
   * How many requests are under way, and links with unsent bytes: answers that wait in the process would be lost with
   * it, and their callers told that their requests may have run.
   */
  get activeCount(): number {
    const underWay = [...this.links].reduce(
      (sum, { running, frames }) =>
        sum + running.size + (frames.hasUnsent ? 1 : 0),
      0,
    );
    return underWay + this.context.responses.waitingCount;
  }

  /** From now on no request is taken any more. */
  beginStop(): void {
    this.isStopping = true;
  }

  /** Ends all links in good order; resolves when the other daemons have ended them, too. */
  async close(): Promise<void> {
    this.hasSaidFarewell = true;
    this.server.close();
    const ended = [...this.links].map(({ frames, lastReadId: id }) => {
      frames.write(encodeFrame({ kind: FRAME_KINDS.farewell, id }));
      return frames.finish();
    });
    this.links.clear();
    await Promise.all(ended);
  }

  /** Acknowledges what takes long, and gives up what nobody waits for any more. */
  tick(): void {
    const nowMs = this.context.nowMs();
    this.links.forEach((link) =>
      link.running.forEach((running, id) =>
        this.review(link, { running, id, nowMs })
      )
    );
  }

  private review(
    link: Link,
    entry: { running: Running; id: number; nowMs: number },
  ): void {
    const { running, id, nowMs } = entry;
    if (nowMs >= running.work.deadlineAtMs) {
      // The sender cancels at the deadline; one that is cut off can't, and a slot would stay taken.
      running.cancellation.cancel("deadline");
      return;
    }
    if (
      !running.isAcknowledged &&
      nowMs - running.arrivedMs >= ACKNOWLEDGE_AFTER_MS
    ) {
      running.isAcknowledged = true;
      link.frames.write(encodeFrame({ kind: FRAME_KINDS.acknowledgement, id }));
    }
  }

  private accept(socket: Socket): void {
    const peer = `${socket.remoteAddress}:${socket.remotePort}`;
    const running = new Map<number, Running>();
    const frames = FrameSocket.create(socket, peer, {
      onFrame: (frame) => this.take(link, frame),
      onEnd: (cause) => {
        this.links.delete(link);
        this.context.responses.drop(frames);
        running.forEach(({ cancellation }) => cancellation.cancel("cancelled"));
        running.clear();
        this.context.logger.log("link_ended", { peer, cause });
      },
    });
    const link: Link = { frames, running, lastReadId: 0 };
    this.links.add(link);
  }

  private take(link: Link, frame: Frame): void {
    if (frame.kind === FRAME_KINDS.cancellation) {
      link.running.get(frame.id)?.cancellation.cancel("cancelled");
      this.context.responses.cancel(link.frames, frame.id);
      return;
    }
    if (frame.kind !== FRAME_KINDS.request || this.hasSaidFarewell) {
      return;
    }
    const { nowMs, lag } = this.context;
    const arrivedMs = nowMs();
    const work = decodeRequest(frame, arrivedMs - lag.currentMs);
    const cancellation = Cancellation.create();
    const running = { work, cancellation, arrivedMs, isAcknowledged: false };
    link.running.set(frame.id, running);
    link.lastReadId = frame.id;
    void this.serve(link, frame.id, running);
  }

  private async serve(
    link: Link,
    id: number,
    { work, cancellation }: Running,
  ): Promise<void> {
    const { backend, responses, lag, logger } = this.context;
    const { route, objectiveAtMs } = work;
    await lag.awaitPendingReads({ isFirst: false });
    const leaving = leaveTime(work, responses.estimateDelay(route), {
      nowMs: this.context.nowMs(),
      serviceMs: backend.loadReportFor(route).serviceMs,
    });
    responses.adjustRunning(route, 1);
    const outcome = await this.run(leaving, cancellation)
      .catch((cause) => {
        logger.log("unexpected_error", { step: "link_server", cause });
        return { kind: "unknown", reason: "connection_lost" } as const;
      });
    responses.adjustRunning(route, -1);
    if (link.running.delete(id) && cancellation.reason !== "cancelled") {
      const { frames } = link;
      const load = backend.loadReportFor(route);
      // Whoever chooses among servers chooses among the links to them, too.
      const serviceMs = load.serviceMs +
        responses.estimateDelay(route).onTimeMs;
      responses.send(
        { frames, id, route, objectiveAtMs },
        outcome,
        { ...load, serviceMs },
      );
    }
  }

  private run(
    work: RoutedRequest,
    cancellation: Cancellation,
  ): Promise<Outcome> {
    const { backend, lag } = this.context;
    if (this.isStopping) {
      return Promise.resolve(notRun("stopping"));
    }
    if (lag.isOverloaded(work.rank)) {
      return Promise.resolve(notRun("overloaded", { waitMs: lag.currentMs }));
    }
    return backend.attempt(work, cancellation);
  }
}

/**
 * A request whose answer will wait for the link has so much less time to be made. Without this, servers run requests
 * whose answers can't arrive in time, at the cost of those that could.
 */
function leaveTime(
  work: RoutedRequest,
  { onTimeMs, lateMs }: LinkDelay,
  now: { nowMs: number; serviceMs: number },
): RoutedRequest {
  if (lateMs === 0) {
    return work;
  }
  const objectiveAtMs = work.objectiveAtMs - onTimeMs;
  const isInTime = now.nowMs + now.serviceMs <= objectiveAtMs;
  const leftMs = isInTime ? onTimeMs : lateMs * LATE_ALLOWANCE;
  const deadlineAtMs = work.deadlineAtMs - leftMs;
  return { ...work, objectiveAtMs, deadlineAtMs };
}
