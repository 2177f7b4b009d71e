/**
 * The server side of the links from other daemons: runs their requests at the local backend server.
 *
 * @module
 */
import { createServer, type Server, type Socket } from "node:net";
import type { Logger } from "@bamboolink/logger";
import type { BodyReceiver } from "./body_receiver.ts";
import type { ResponseSender } from "./response_sender.ts";
import { Cancellation } from "../attempts/cancellation.ts";
import { FrameSocket } from "./frame_socket.ts";
import {
  decodeOffer,
  decodeRequest,
  encodeFrame,
  type Frame,
  FRAME_KINDS,
} from "./link_codec.ts";
import type { LocalBackend } from "../backend/local_backend.ts";
import type { LoopLag } from "../loop_lag.ts";
import {
  notRun,
  type Outcome,
  type RoutedRequest,
} from "../attempts/routed_request.ts";

/**
 * Delay after which an unfinished request is acknowledged, in milliseconds. Many requests are answered sooner, and
 * their outcome serves as the acknowledgement without another packet.
 */
const ACKNOWLEDGE_DELAY_MS = 60;

/** A body that arrives for longer than this is logged, in milliseconds. */
const SLOW_BODY_MS = 250;

/** Dependencies of the server. */
export interface LinkServerContext {
  readonly logger: Logger;
  readonly backend: Pick<LocalBackend, "attempt" | "loadReportFor">;
  readonly responses: ResponseSender;
  readonly bodies: BodyReceiver;
  readonly lag: LoopLag;
  readonly nowMs: () => number;
}

/** A request of another daemon that is being run. */
interface RunningRequest {
  readonly request: RoutedRequest;
  readonly cancellation: Cancellation;
  readonly arrivedAtMs: number;
  isAcknowledged: boolean;
}

interface Link {
  /** Address of the other end. */
  readonly peer: string;
  readonly frames: FrameSocket;
  readonly running: Map<number, RunningRequest>;
  lastReadId: number;
}

/** Serves the links from other daemons. */
export class LinkServer {
  /** Accepts the connections of the other daemons. */
  readonly server: Server;
  private readonly links = new Set<Link>();
  private isStopping = false;
  private hasSentGoAway = false;

  private constructor(private readonly context: LinkServerContext) {
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Creates a server that does not listen yet. */
  static create(context: LinkServerContext): LinkServer {
    return new LinkServer(context);
  }

  /**
   * How many requests are in flight or have a response that waits to be sent, plus the number of links with unsent
   * bytes: responses that are buffered when the process exits would be lost, and their callers would receive the
   * response that their requests may have run.
   */
  get activeCount(): number {
    const inFlight = [...this.links].reduce(
      (sum, { running, frames }) =>
        sum + running.size + (frames.hasUnsent ? 1 : 0),
      0,
    );
    return inFlight + this.context.responses.waitingCount;
  }

  /** Refuses all further requests. */
  beginStop(): void {
    this.isStopping = true;
  }

  /** Notifies the other daemons which requests were read last, and ends all links; resolves when all are closed. */
  async close(): Promise<void> {
    this.hasSentGoAway = true;
    this.server.close();
    const ended = [...this.links].map(({ frames, lastReadId: id }) => {
      frames.write(encodeFrame({ kind: FRAME_KINDS.goAway, id }));
      return frames.finish();
    });
    this.links.clear();
    await Promise.all(ended);
  }

  /** Acknowledges requests that take long, and cancels those past their deadline; must be called periodically. */
  tick(): void {
    const nowMs = this.context.nowMs();
    this.context.bodies.tick();
    this.links.forEach((link) =>
      link.running.forEach((running, id) =>
        this.checkRequest(link, { running, id, nowMs })
      )
    );
  }

  private checkRequest(
    link: Link,
    entry: { running: RunningRequest; id: number; nowMs: number },
  ): void {
    const { running, id, nowMs } = entry;
    if (nowMs >= running.request.deadlineAtMs) {
      // The sender cancels at the deadline, but a disconnected sender cannot, and a slot would stay occupied.
      running.cancellation.cancel("deadline");
      return;
    }
    if (
      !running.isAcknowledged &&
      nowMs - running.arrivedAtMs >= ACKNOWLEDGE_DELAY_MS
    ) {
      running.isAcknowledged = true;
      link.frames.write(encodeFrame({ kind: FRAME_KINDS.acknowledgement, id }));
    }
  }

  private accept(socket: Socket): void {
    const peer = `${socket.remoteAddress}:${socket.remotePort}`;
    const running = new Map<number, RunningRequest>();
    const frames = FrameSocket.create(socket, peer, {
      onFrame: (frame, receiveMs) => this.receive(link, frame, receiveMs),
      onEnd: (cause) => {
        this.links.delete(link);
        this.context.responses.drop(frames);
        this.context.bodies.drop(frames);
        running.forEach(({ cancellation }) => cancellation.cancel("cancelled"));
        running.clear();
        this.context.logger.log("link_ended", { peer, cause });
      },
    }, this.context.bodies.offeredBytes);
    const link: Link = { peer, frames, running, lastReadId: 0 };
    this.links.add(link);
  }

  private receive(link: Link, frame: Frame, receiveMs: number): void {
    if (frame.kind === FRAME_KINDS.cancellation) {
      link.running.get(frame.id)?.cancellation.cancel("cancelled");
      this.context.responses.cancel(link.frames, frame.id);
      return;
    }
    if (frame.kind === FRAME_KINDS.bodyPart) {
      this.context.bodies.addPart(link.frames, frame.id, frame.body);
      return;
    }
    const isOffer = frame.kind === FRAME_KINDS.offer;
    if (!isOffer && frame.kind !== FRAME_KINDS.request || this.hasSentGoAway) {
      return;
    }
    const { nowMs, lag } = this.context;
    const arrivedAtMs = nowMs();
    const sentAtMs = arrivedAtMs - lag.currentMs;
    const { request, bytes } = isOffer
      ? decodeOffer(frame, sentAtMs)
      : { request: decodeRequest(frame, sentAtMs), bytes: 0 };
    const cancellation = Cancellation.create();
    const running = {
      request,
      cancellation,
      arrivedAtMs,
      isAcknowledged: false,
    };
    link.running.set(frame.id, running);
    link.lastReadId = frame.id;
    if (isOffer) {
      void this.serveOffered(link, { id: frame.id, running, bytes });
      return;
    }
    this.logSlowBody(link, request, receiveMs);
    void this.serve(link, frame.id, running);
  }

  /** Receives the body of an offered request, and serves the request. */
  private async serveOffered(
    link: Link,
    offered: { id: number; running: RunningRequest; bytes: number },
  ): Promise<void> {
    const { id, running, bytes } = offered;
    const { request, cancellation, arrivedAtMs } = running;
    const { backend, bodies, nowMs } = this.context;
    const load = backend.loadReportFor(request.route);
    const refused = this.refuse(request);
    const received = refused === undefined
      ? await bodies.receive({
        frames: link.frames,
        id,
        cancellation,
        bytes,
        serviceMs: load.serviceMs,
        slotWaitMs: load.waitMs,
        objectiveAtMs: request.objectiveAtMs,
        deadlineAtMs: request.deadlineAtMs,
        mayEndLate: !request.blocksOthers,
      })
      : { kind: "refused" as const, outcome: refused };
    if (received.kind === "refused") {
      this.respond(link, { id, running, outcome: received.outcome });
      return;
    }
    const complete = { ...request, body: received.body };
    this.logSlowBody(link, complete, nowMs() - arrivedAtMs);
    await this.serve(link, id, { ...running, request: complete });
  }

  private logSlowBody(
    link: Link,
    request: RoutedRequest,
    receiveMs: number,
  ): void {
    if (receiveMs > SLOW_BODY_MS) {
      const { logger, nowMs, bodies } = this.context;
      logger.log("request_body_slow", {
        request_id: request.id,
        route: request.route,
        peer: link.peer,
        bytes: request.body?.length ?? 0,
        receive_ms: Math.round(receiveMs),
        left_ms: Math.round(request.deadlineAtMs - nowMs()),
        pending_bytes: bodies.pendingBytes,
      });
    }
  }

  private async serve(
    link: Link,
    id: number,
    running: RunningRequest,
  ): Promise<void> {
    const { request, cancellation } = running;
    const { responses, lag, logger } = this.context;
    const { route } = request;
    await lag.awaitPendingReads({ isFirst: false });
    // Otherwise servers would run requests whose responses can't arrive before their deadline, at the cost of those that
    // could.
    const deadlineAtMs = request.deadlineAtMs -
      responses.estimateDelayMs(route);
    const adjusted = { ...request, deadlineAtMs };
    responses.adjustRunning(route, 1);
    const outcome = await this.run(adjusted, cancellation)
      .catch((cause) => {
        logger.log("unexpected_error", { step: "link_server", cause });
        return { kind: "unknown", reason: "connection_lost" } as const;
      });
    responses.adjustRunning(route, -1);
    this.respond(link, { id, running, outcome });
  }

  private respond(
    link: Link,
    ended: { id: number; running: RunningRequest; outcome: Outcome },
  ): void {
    const { id, running, outcome } = ended;
    const { cancellation, request } = running;
    const { backend, responses } = this.context;
    const { route, deadlineAtMs } = request;
    if (link.running.delete(id) && cancellation.reason !== "cancelled") {
      const { frames } = link;
      const load = backend.loadReportFor(route);
      // A daemon that chooses among backend servers must also take the delay of their network links into account.
      const serviceMs = load.serviceMs + responses.estimateDelayMs(route);
      responses.send(
        { frames, id, route, deadlineAtMs },
        outcome,
        { ...load, serviceMs },
      );
    }
  }

  private run(
    request: RoutedRequest,
    cancellation: Cancellation,
  ): Promise<Outcome> {
    const refused = this.refuse(request);
    return refused === undefined
      ? this.context.backend.attempt(request, cancellation)
      : Promise.resolve(refused);
  }

  /** Returns the outcome of a request that this daemon can't serve, whatever its backend server could. */
  private refuse(request: RoutedRequest): Outcome | undefined {
    const { lag, nowMs } = this.context;
    if (this.isStopping) {
      return notRun("stopping");
    }
    // The deadline counts from when the request was sent, before the lag.
    const timeMs = request.deadlineAtMs - nowMs() + lag.currentMs;
    return lag.isOverloaded({ rank: request.rank, timeMs })
      ? notRun("overloaded")
      : undefined;
  }
}
