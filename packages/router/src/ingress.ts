/**
 * The entrance for callers: finds the route of a request, runs it, and gives the caller one answer.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import {
  createRetryAfterSampler,
  ElapsedWaitEstimator,
} from "@bamboolink/admission";
import {
  ServerConnections,
  type UnreadableInput,
} from "@bamboolink/connections";
import type { Logger } from "@bamboolink/logger";
import type { Metrics } from "@bamboolink/metrics";
import { fingerprintRequest } from "@bamboolink/quarantine";
import { PipelineTracker, TrafficSplit } from "@bamboolink/traffic";
import type { CallerLimits, TrafficRoute } from "@bamboolink/types";
import type { Ending } from "./attempt_history.ts";
import { Cancellation } from "./cancellation.ts";
import { steadyMs } from "./clock.ts";
import type {
  ConfigurationInForce,
  ConfigurationKeeper,
} from "./configuration_keeper.ts";
import { hasLeft, readBody } from "./http_body.ts";
import { selectRequestHeaders } from "./http_headers.ts";
import type {
  CallerProtocol,
  CallerRequest,
  RouterOutcome,
  RouterRejection,
} from "./ports/caller_protocol.ts";
import type { LoopLag } from "./loop_lag.ts";
import type { RequestRunner } from "./request_runner.ts";
import type {
  Outcome,
  RefusalReason,
  RoutedRequest,
} from "./routed_request.ts";

/** What the answer's way back to the caller takes, in milliseconds: the deadline is met there. */
const WAY_BACK_MS = 8;
/** What a request usually takes of its objective; operators set objectives at about three times it. */
const USUAL_SERVICE_SHARE = 0.35;
/** Headers above this are refused while no configuration is in force, in bytes. */
const MAXIMUM_HEADER_BYTES = 65_536;
/** Limits until a configuration is in force. */
const FIRST_LIMITS: CallerLimits = {
  headerBytes: MAXIMUM_HEADER_BYTES,
  bodyBytes: 1_048_576,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
};
/** Statuses from this one to the next say that a request is wrong, or belongs elsewhere. */
const FIRST_UNUSUAL_STATUS = 300;
const FIRST_FAILURE_STATUS = 500;
/** When callers may come back to a daemon that has no configuration yet, in milliseconds. */
const NO_CONFIGURATION_MS = 200;

/** Refusals whose cause passes within a moment: keys that are handed over have a holder again soon. */
const PASSING_REASONS: ReadonlySet<RefusalReason> = new Set([
  "not_owner",
  "not_executed",
]);

/** What the ingress needs. */
export interface IngressContext {
  readonly protocol: CallerProtocol;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly configuration: ConfigurationKeeper;
  readonly runner: RequestRunner;
  readonly lag: LoopLag;
  readonly random: () => number;
  /** The service on this host, in whose name callers here send. */
  readonly callerService: () => string;
}

/** Work as its entrance sees it. */
interface CallerWork extends RoutedRequest {
  /** Until when the request must start to meet its objective, as a rule. */
  readonly latestStartMs: number;
  /** When the caller gives up, whatever its route allows. */
  readonly callerLeavesAtMs: number;
}

/** The entrance for callers of one daemon. */
export class Ingress {
  /** Takes the callers' connections. */
  readonly server: Server;
  private readonly patience = ElapsedWaitEstimator.create();
  private readonly split: TrafficSplit;
  private readonly spread: ReturnType<typeof createRetryAfterSampler>;
  private readonly order = PipelineTracker.create<Socket>();
  /** The place of each request on its connection. */
  private readonly places = new WeakMap<ServerResponse, number>();
  /** The place of the answer with which a connection ends, though others may have come behind it. */
  private readonly endings = new WeakMap<Socket, number>();
  /** Connections that have brought a request before. */
  private readonly served = new WeakSet<Socket>();
  private readonly connections: ServerConnections;
  private active = 0;
  private isStopping = false;

  private constructor(private readonly context: IngressContext) {
    this.split = TrafficSplit.create(context.random);
    this.spread = createRetryAfterSampler(context.random);
    this.server = createServer({
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      keepAliveTimeout: FIRST_LIMITS.idleTimeoutMs,
      requestTimeout: 0,
    }, (incoming, response) => void this.serve(incoming, response));
    this.connections = ServerConnections.create(this.server, {
      onUnreadable: (input) => this.noteUnreadable(input),
    });
  }

  /** Creates an ingress that does not listen yet. */
  static create(context: IngressContext): Ingress {
    return new Ingress(context);
  }

  /** How many requests are under way. */
  get activeCount(): number {
    return this.active;
  }

  /** How many connections have a request or an answer under way. */
  get busyCount(): number {
    return this.connections.busyCount;
  }

  /** Bytes of answers that wait in the process. */
  get unsentBytes(): number {
    return this.connections.unsentBytes;
  }

  /** Takes over the bounds on callers. */
  setLimits(limits: CallerLimits): void {
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
  }

  /** From now on every answer ends its connection. */
  beginStop(): void {
    this.isStopping = true;
  }

  /** From now on no new connections are taken. */
  stopListening(): void {
    this.connections.stopListening();
  }

  /** Closes the connections on which nothing is under way. */
  closeIdle(): void {
    this.connections.closeIdle();
  }

  private async serve(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { socket } = incoming;
    if (this.connections.discardAfterLastResponse(incoming)) {
      return;
    }
    let route: string | undefined;
    this.active += 1;
    this.places.set(response, this.order.beginRequest(socket));
    try {
      route = await this.serveOne(incoming, response);
    } catch (cause) {
      this.context.logger.log("unexpected_error", { step: "ingress", cause });
      response.destroy();
    } finally {
      this.active -= 1;
      this.order.endRequest(socket, route);
    }
  }

  /** Serves a request; returns the name of its route if it was sent on. */
  private async serveOne(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<string | undefined> {
    const { protocol, configuration, metrics, lag } = this.context;
    const arrivedMs = steadyMs() - lag.currentMs;
    response.sendDate = false;
    await lag.awaitPendingReads({ isFirst: this.isFirst(incoming.socket) });
    if (hasLeft(incoming)) {
      response.destroy();
      return undefined;
    }
    const request = protocol.read(incoming.headers);
    if (request === undefined) {
      const reason = "the request's own headers are malformed";
      this.reject(response, { kind: "malformed", reason });
      return undefined;
    }
    const inForce = configuration.inForce;
    if (inForce === undefined) {
      this.refuse(response, {
        kind: "not_run",
        reason: "no_configuration",
        retryAfterMs: this.spread({
          waitMs: NO_CONFIGURATION_MS,
          objectiveRemainingMs: 0,
          remainingMs: request.deadlineMs ?? Infinity,
          isTransient: true,
        }),
      }, request);
      return undefined;
    }
    const route = inForce.router.find(
      incoming.headers.host ?? "",
      incoming.url ?? "",
    );
    if (route === undefined) {
      this.reject(response, { kind: "no_route" }, request);
      return undefined;
    }
    if (lag.isOverloaded(route.rank)) {
      this.refuseBehind(response, { request, route });
      return undefined;
    }
    const ended = await this.run(
      { incoming, response, request, arrivedMs },
      { inForce, route },
    );
    metrics.count("bamboolink_requests", { route: route.name, ended });
    metrics.recordLatency(
      "bamboolink_request_seconds",
      steadyMs() - arrivedMs,
      { route: route.name },
    );
    return route.name;
  }

  /** Tells a caller that its request can't be served as it is. */
  private reject(
    response: ServerResponse,
    outcome: RouterRejection,
    request?: Pick<CallerRequest, "id">,
  ): void {
    const { logger, metrics, configuration } = this.context;
    const { headers, url = "" } = response.req;
    logger.log("request_rejected", {
      request_id: request?.id,
      reason: outcome.kind,
      host: headers.host,
      path: withoutQuery(url),
      version: configuration.version,
      version_age_ms: Math.round(configuration.ageMs(steadyMs())),
    });
    metrics.count("bamboolink_rejected_requests", { reason: outcome.kind });
    this.refuse(response, outcome, request);
  }

  private noteUnreadable({ code, pendingResponses }: UnreadableInput): void {
    const { logger, metrics } = this.context;
    logger.log("caller_bytes_unreadable", {
      code,
      pending_answers: pendingResponses,
    });
    metrics.count("bamboolink_rejected_requests", { reason: "unreadable" });
  }

  /** The process itself is short of time: whatever it does for this request comes too late. */
  private refuseBehind(
    response: ServerResponse,
    arrival: { request: CallerRequest; route: TrafficRoute },
  ): void {
    const { logger, metrics, lag } = this.context;
    const { request, route } = arrival;
    const reason = "process_behind";
    const lagMs = lag.currentMs;
    const retryAfterMs = this.spread({
      waitMs: lagMs,
      objectiveRemainingMs: 0,
      remainingMs: request.deadlineMs ?? route.timeoutMs,
      isTransient: false,
    });
    logger.log("request_not_run", {
      request_id: request.id,
      route: route.name,
      reason,
      lag_ms: Math.round(lagMs),
      retry_after_ms: Math.round(retryAfterMs),
    });
    metrics.count("bamboolink_requests", {
      route: route.name,
      ended: `not_run_${reason}`,
    });
    this.refuse(response, { kind: "not_run", reason, retryAfterMs }, request);
  }

  private isFirst(socket: Socket): boolean {
    const isFirst = !this.served.has(socket);
    this.served.add(socket);
    return isFirst;
  }

  private async run(
    arrival: {
      incoming: IncomingMessage;
      response: ServerResponse;
      request: CallerRequest;
      arrivedMs: number;
    },
    match: { inForce: ConfigurationInForce; route: TrafficRoute },
  ): Promise<string> {
    const { incoming, response, request, arrivedMs } = arrival;
    const { limits } = match.inForce.configuration;
    const read = await readBody(incoming, { bytes: limits.bodyBytes });
    if (read.kind === "cut") {
      return "cut";
    }
    if (read.kind === "too_large") {
      this.reject(response, { kind: "too_large" }, request);
      return "too_large";
    }
    if (this.isBehindEnd(response)) {
      return "unread";
    }
    const work = this.createWork(
      { incoming, request, arrivedMs, body: read.body },
      match,
    );
    const ending = await this.runUntilDeadline(work, response, match.route);
    return this.answer(response, { ending, work });
  }

  /** Whether the connection has ended before a request was whole: run now, its caller would take it for unread. */
  private isBehindEnd(response: ServerResponse): boolean {
    const place = this.places.get(response) ?? 0;
    return place > (this.endings.get(response.req.socket) ?? Infinity);
  }

  private createWork(
    arrival: {
      incoming: IncomingMessage;
      request: CallerRequest;
      arrivedMs: number;
      body: Buffer | undefined;
    },
    match: { inForce: ConfigurationInForce; route: TrafficRoute },
  ): CallerWork {
    const { incoming, request, arrivedMs, body } = arrival;
    const { route } = match;
    const { protocol, callerService } = this.context;
    const patienceMs = Math.min(
      (request.deadlineMs ?? Infinity) - WAY_BACK_MS,
      route.timeoutMs,
    );
    const waitedMs = request.deadlineMs === undefined
      ? 0
      : this.patience.recordDeadline(route.name, request.deadlineMs);
    const service = this.split.choose(route);
    const isKeyed = match.inForce.services.get(service)?.keyed === true;
    return {
      id: request.id,
      service,
      route: route.name,
      rank: route.rank,
      isIdempotent: route.idempotent,
      key: isKeyed ? request.key : undefined,
      callerService: callerService(),
      objectiveAtMs: arrivedMs +
        Math.min(route.objectiveMs - waitedMs, patienceMs),
      latestStartMs: arrivedMs +
        (route.objectiveMs - waitedMs) * (1 - USUAL_SERVICE_SHARE),
      deadlineAtMs: arrivedMs + patienceMs,
      brokenConnections: 0,
      mayEndLate: !this.order.isLikelyPipelined(incoming.socket, route.name),
      callerLeavesAtMs: arrivedMs + (request.deadlineMs ?? route.timeoutMs),
      method: incoming.method ?? "GET",
      target: incoming.url ?? "/",
      headers: selectRequestHeaders(
        incoming.rawHeaders,
        protocol.reservedHeaders,
      ),
      body,
    };
  }

  /** Runs a request until it has an outcome, its deadline passes or its caller leaves. */
  private async runUntilDeadline(
    work: RoutedRequest,
    response: ServerResponse,
    route: TrafficRoute,
  ): Promise<Ending> {
    const cancellation = Cancellation.create();
    const timer = setTimeout(
      () => cancellation.cancel("deadline"),
      Math.max(0, work.deadlineAtMs - steadyMs()),
    );
    const leave = () => cancellation.cancel("cancelled");
    response.once("close", leave);
    try {
      return await this.context.runner.run(work, {
        maximumAttempts: route.maximumAttempts,
        cancellation,
      });
    } finally {
      clearTimeout(timer);
      response.removeListener("close", leave);
    }
  }

  private answer(
    response: ServerResponse,
    end: { ending: Ending; work: CallerWork },
  ): string {
    const { work } = end;
    const { outcome, peer, attempts } = end.ending;
    if (response.destroyed) {
      return "caller_left";
    }
    if (outcome.kind === "answer") {
      this.noteUnusual(work, { outcome, peer });
      this.watchDelivery(response, { work, bytes: outcome.body.length });
      this.passOn(response, outcome);
      return "answered";
    }
    const { logger } = this.context;
    const request = { id: work.id };
    if (outcome.kind === "not_run") {
      const isQuarantined = outcome.reason === "quarantined";
      // Nobody runs it before its quarantine is over, so a caller that comes back sooner comes in vain.
      const retryAfterMs = isQuarantined ? outcome.waitMs : this.spread({
        waitMs: outcome.waitMs,
        objectiveRemainingMs: work.latestStartMs - steadyMs(),
        remainingMs: work.callerLeavesAtMs - steadyMs(),
        isTransient: PASSING_REASONS.has(outcome.reason),
      });
      logger.log("request_not_run", {
        request_id: work.id,
        route: work.route,
        service: work.service,
        key: work.key,
        reason: outcome.reason,
        fingerprint: isQuarantined ? fingerprintRequest(work) : undefined,
        peer,
        attempts,
        wait_ms: Math.round(outcome.waitMs),
        retry_after_ms: Math.round(retryAfterMs),
        version: this.context.configuration.version,
      });
      const { reason } = outcome;
      this.refuse(response, { kind: "not_run", reason, retryAfterMs }, request);
      return `not_run_${reason}`;
    }
    logger.log("request_unknown", {
      request_id: work.id,
      route: work.route,
      service: work.service,
      key: work.key,
      reason: outcome.reason,
      peer,
      attempts,
    });
    const { reason } = outcome;
    const isDeadline = reason === "deadline";
    this.refuse(response, { kind: "unknown", reason, isDeadline }, request);
    return `unknown_${reason}`;
  }

  /** Tells of an answer by which the backend server itself found the request wrong. */
  private noteUnusual(
    work: RoutedRequest,
    end: {
      outcome: Extract<Outcome, { kind: "answer" }>;
      peer: string | undefined;
    },
  ): void {
    const { status, headers } = end.outcome;
    if (status < FIRST_UNUSUAL_STATUS || status >= FIRST_FAILURE_STATUS) {
      return;
    }
    this.context.logger.log("unusual_answer", {
      request_id: work.id,
      route: work.route,
      service: work.service,
      peer: end.peer,
      status,
      headers: Object.keys(headers),
    });
  }

  /** Tells of an answer that is cut: the request counts as served here, and its caller has half of it. */
  private watchDelivery(
    response: ServerResponse,
    answer: { work: CallerWork; bytes: number },
  ): void {
    const { work, bytes } = answer;
    const { socket } = response.req;
    let hasLeft = false;
    response.once("finish", () => {
      // Also emitted when a connection is destroyed with the answer in its buffer.
      hasLeft = !socket.destroyed;
    });
    response.once("close", () => {
      if (hasLeft) {
        return;
      }
      const isCallers = socket.readableEnded || socket.errored !== null;
      this.context.logger.log("answer_undelivered", {
        request_id: work.id,
        route: work.route,
        ended_by: isCallers ? "caller" : "daemon",
        bytes,
        is_stopping: this.isStopping,
      });
    });
  }

  private passOn(
    response: ServerResponse,
    answer: Extract<Outcome, { kind: "answer" }>,
  ): void {
    const { headers } = answer;
    const hasNoBody = response.req.method === "HEAD" ||
      answer.status === 204 || answer.status === 304;
    const length = hasNoBody
      ? answer.headers["content-length"]?.toString()
      : String(answer.body.length);
    if (!answer.isFramed) {
      // The caller must not take for whole what may have been cut: it ends with the connection here, too.
      const { socket } = response.req;
      this.connections.closeAfterNextResponse(socket);
      this.endings.set(socket, this.places.get(response) ?? 0);
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
      response.writeHead(answer.status, { ...headers, connection: "close" });
      response.end(answer.body);
      return;
    }
    response.writeHead(answer.status, {
      ...headers,
      ...(length === undefined ? {} : { "content-length": length }),
      ...this.connectionHeader(response),
    });
    response.end(answer.body);
  }

  private refuse(
    response: ServerResponse,
    outcome: RouterOutcome,
    request?: Pick<CallerRequest, "id">,
  ): void {
    // A body that can't be read is answered with its connection.
    if (response.destroyed || response.headersSent) {
      return;
    }
    const own = this.context.protocol.write(outcome, request?.id);
    response.writeHead(own.status, {
      ...own.headers,
      "content-length": Buffer.byteLength(own.body),
      ...this.connectionHeader(response),
    });
    response.end(own.body);
  }

  /**
   * While the daemon stops, an answer ends its connection, unless others wait behind it: they may have been passed
   * on already, and would be cut.
   */
  private connectionHeader(response: ServerResponse): Record<string, string> {
    const { socket } = response.req;
    const place = this.places.get(response) ?? 0;
    if (!this.isStopping || !this.order.isLast(socket, place)) {
      return {};
    }
    this.connections.closeAfterNextResponse(socket);
    return { connection: "close" };
  }
}

/** Queries may hold what callers don't want in logs. */
function withoutQuery(target: string): string {
  return target.split("?", 1)[0]!;
}
