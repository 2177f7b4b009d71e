/**
 * HTTP server for callers: finds the route of each request, runs the request and sends the caller one response.
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
import { createRetryAfterSampler } from "@bamboolink/admission";
import {
  CallerConnections,
  type MalformedInput,
} from "@bamboolink/connections";
import type { Logger } from "@bamboolink/logger";
import type { Metrics } from "@bamboolink/metrics";
import { fingerprintRequest } from "@bamboolink/quarantine";
import {
  PipelineTracker,
  RequestTarget,
  TrafficSplit,
} from "@bamboolink/traffic";
import type { CallerLimits, TrafficRoute } from "@bamboolink/types";
import type { FinalOutcome } from "../attempts/attempt_history.ts";
import { Cancellation } from "../attempts/cancellation.ts";
import { monotonicMs } from "../clock.ts";
import {
  type ConfigurationChecker,
  toLoggedAge,
} from "../configuration/configuration_checker.ts";
import type {
  ConfigurationInForce,
  ConfigurationManager,
} from "../configuration/configuration_manager.ts";
import { declaredLength, hasDisconnected, readBody } from "./http_body.ts";
import {
  measureHeaderBytes,
  replaceHost,
  selectRequestHeaders,
} from "./http_headers.ts";
import type {
  CallerProtocol,
  CallerRequest,
  RouterOutcome,
  RouterRejection,
} from "../ports/caller_protocol.ts";
import type { LoopLag } from "../loop_lag.ts";
import type { RequestRunner } from "../attempts/request_runner.ts";
import {
  notRun,
  type Outcome,
  type RefusalReason,
  type RoutedRequest,
} from "../attempts/routed_request.ts";

/** Time reserved for delivering the response, in milliseconds: the deadline applies at the caller. */
const RESPONSE_DELIVERY_MS = 8;
/**
 * Header size limit of the HTTP server, in bytes: above all that operators configure, and a bound on the memory that a
 * connection takes. The configured limit is applied to each request.
 */
const MAX_HEADER_BYTES = 1_048_576;
/** Limits until a configuration is in force. */
const INITIAL_LIMITS: CallerLimits = {
  headerBytes: 65_536,
  bodyBytes: 1_048_576,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
};
/** Lowest HTTP status by which a backend server rejects or redirects a request. */
const FIRST_UNUSUAL_STATUS = 300;
/** Lowest HTTP status by which a backend server reports that it failed a request. */
const FIRST_FAILURE_STATUS = 500;
/** An `Expect` header that asks for an interim response before the body. */
const CONTINUE_EXPECTATION = /(?:^|\W)100-continue(?:$|\W)/i;
/** Retry delay for callers of a daemon that has no configuration yet, in milliseconds. */
const NO_CONFIGURATION_RETRY_MS = 200;
/** Retry delays for callers whose requests the configuration in force can neither serve nor reject, in milliseconds. */
const UNCERTAINTY_RETRY_MS = {
  unconfirmed_configuration: 500,
  unreadable_configuration: 1_000,
} as const satisfies Partial<Record<RefusalReason, number>>;
type UncertaintyReason = keyof typeof UNCERTAINTY_RETRY_MS;

/** Refusals by the queue of a backend server, which knows when it has room again. */
const QUEUE_REASONS: ReadonlySet<RefusalReason> = new Set([
  "overloaded",
  "queue_full",
  "too_late",
  "rate_limited",
]);

/** Dependencies of {@link Ingress}. */
export interface IngressContext {
  readonly protocol: CallerProtocol;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly configuration: ConfigurationManager;
  readonly configurationChecker: ConfigurationChecker;
  readonly runner: RequestRunner;
  readonly lag: LoopLag;
  readonly random: () => number;
  /** Returns the service on this host: the sender of all requests that arrive here. */
  readonly callerService: () => string;
}

/** A routed request with the times that only its caller's daemon needs, on the monotonic clock. */
interface CallerRoutedRequest extends RoutedRequest {
  /** When the caller stops waiting, whatever the timeout of its route. */
  readonly callerDeadlineAtMs: number;
}

/** A request's route and the configuration that contains it. */
interface FoundRoute {
  readonly kind: "found";
  readonly inForce: ConfigurationInForce;
  readonly route: TrafficRoute;
}

/** A row of the configuration that can't be read covers the request, or may cover it. */
interface UnreadableMatch {
  readonly kind: "unreadable";
}

/** The result of looking up a request's route; `unconfirmed` if the absence of a route is not certain. */
type RouteMatch =
  | FoundRoute
  | UnreadableMatch
  | { readonly kind: "absent" }
  | { readonly kind: "unconfirmed" };

/** HTTP server for the callers of one daemon. */
export class Ingress {
  /** Accepts the callers' connections. */
  readonly server: Server;
  private readonly trafficSplit: TrafficSplit;
  private readonly sampleRetryAfterMs: ReturnType<
    typeof createRetryAfterSampler
  >;
  private readonly pipelines = PipelineTracker.create<Socket>();
  /** Sequence number of each request on its connection. */
  private readonly sequenceNumbers = new WeakMap<ServerResponse, number>();
  /**
   * Sequence number of a response that is delimited by the end of its connection; requests pipelined behind it get no
   * response.
   */
  private readonly lastSequenceNumbers = new WeakMap<Socket, number>();
  /** Connections on which a request was received before. */
  private readonly usedSockets = new WeakSet<Socket>();
  private readonly connections: CallerConnections;
  private active = 0;
  private isStopping = false;

  private constructor(private readonly context: IngressContext) {
    this.trafficSplit = TrafficSplit.create(context.random);
    this.sampleRetryAfterMs = createRetryAfterSampler(context.random);
    this.server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      keepAliveTimeout: INITIAL_LIMITS.idleTimeoutMs,
      requestTimeout: 0,
      requireHostHeader: false,
    }, (incoming, response) => void this.serve(incoming, response));
    // Node.js drops the headers beyond a number of lines.
    this.server.maxHeadersCount = 0;
    // Without these listeners Node.js accepts a body before anything is known of its request, and rejects expectations
    // that it does not know.
    ["checkContinue", "checkExpectation"].forEach((event) =>
      this.server.on(
        event,
        (incoming, response) => this.server.emit("request", incoming, response),
      )
    );
    this.connections = CallerConnections.create(this.server, {
      onMalformedInput: (input) => this.logMalformedInput(input),
    });
  }

  /** Creates an ingress that does not listen yet. */
  static create(context: IngressContext): Ingress {
    return new Ingress(context);
  }

  /** Number of requests in flight. */
  get activeCount(): number {
    return this.active;
  }

  /** Number of connections that are not closed yet. */
  get openCount(): number {
    return this.connections.openCount;
  }

  /** Bytes of responses buffered in the process. */
  get unsentBytes(): number {
    return this.connections.unsentBytes;
  }

  /** Applies the timeouts for callers' connections. */
  setLimits(limits: CallerLimits): void {
    this.connections.setIdleTimeout(limits.idleTimeoutMs);
    this.server.headersTimeout = limits.headerTimeoutMs;
  }

  /** Makes every further response close its connection, unless others are pipelined behind it. */
  beginStop(): void {
    this.isStopping = true;
  }

  /** Stops accepting connections. */
  stopListening(): void {
    this.connections.stopListening();
  }

  /** Closes the connections without requests in flight. */
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
    this.sequenceNumbers.set(response, this.pipelines.beginRequest(socket));
    try {
      route = await this.serveOne(incoming, response);
    } catch (cause) {
      this.context.logger.log("unexpected_error", { step: "ingress", cause });
      response.destroy();
    } finally {
      this.active -= 1;
      this.pipelines.endRequest(socket, route);
    }
  }

  /** Serves a request; returns the name of its route if it was run. */
  private async serveOne(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<string | undefined> {
    const { protocol, configuration, metrics, lag } = this.context;
    const arrivedAtMs = monotonicMs() - lag.currentMs;
    response.sendDate = false;
    await lag.awaitPendingReads({ isFirst: this.isFirst(incoming.socket) });
    if (
      hasDisconnected(incoming) &&
      !await this.connections.isCallerPresent(incoming)
    ) {
      response.destroy();
      return undefined;
    }
    const request = protocol.read(incoming.headers);
    const reason = findMalformedHost(incoming) ??
      (request === undefined
        ? "the request's own headers are malformed"
        : undefined);
    if (request === undefined || reason !== undefined) {
      this.reject(response, { kind: "malformed", reason: reason ?? "" });
      return undefined;
    }
    if (configuration.inForce === undefined) {
      this.refuse(response, {
        kind: "not_run",
        reason: "no_configuration",
        retryAfterMs: this.sampleRetryAfterMs({
          waitMs: NO_CONFIGURATION_RETRY_MS,
          remainingMs: request.deadlineMs ?? Infinity,
        }),
      }, request);
      return undefined;
    }
    if (await this.rejectsHeaders(incoming, { response, request })) {
      return undefined;
    }
    const match = await this.matchRoute(incoming, request);
    if (match.kind === "absent") {
      this.reject(response, { kind: "no_route" }, request);
      return undefined;
    }
    if (match.kind !== "found") {
      this.refuseUncertain(response, {
        request,
        reason: `${match.kind}_configuration`,
      });
      return undefined;
    }
    const { route } = match;
    const timeMs = request.deadlineMs ?? route.timeoutMs;
    if (lag.isOverloaded({ rank: route.rank, timeMs })) {
      this.refuseOverloaded(response, { request, route });
      return undefined;
    }
    const ended = await this.run(
      { incoming, response, request, arrivedAtMs },
      match,
    );
    metrics.count("bamboolink_requests", { route: route.name, ended });
    metrics.recordLatency(
      "bamboolink_request_seconds",
      monotonicMs() - arrivedAtMs,
      { route: route.name },
    );
    return route.name;
  }

  /** Rejects a request whose headers exceed the limit, confirmed to be current; returns whether it was answered. */
  private async rejectsHeaders(
    incoming: IncomingMessage,
    { response, request }: {
      response: ServerResponse;
      request: CallerRequest;
    },
  ): Promise<boolean> {
    const { configuration, configurationChecker } = this.context;
    const bytes = Math.max(
      measureHeaderBytes(incoming.rawHeaders),
      incoming.url?.length ?? 0,
    );
    const isTooLarge = () =>
      bytes > (configuration.inForce?.configuration.limits.headerBytes ?? 0);
    if (!isTooLarge()) {
      return false;
    }
    const isConfirmed = await configurationChecker.confirm(
      request.deadlineMs ?? Infinity,
    );
    if (!isTooLarge()) {
      return false;
    }
    if (isConfirmed) {
      this.reject(response, { kind: "headers_too_large" }, request);
    } else {
      const reason = "unconfirmed_configuration";
      this.refuseUncertain(response, { request, reason });
    }
    return true;
  }

  /** Finds a request's route; concludes that there is none only from a configuration that is known to be current. */
  private async matchRoute(
    incoming: IncomingMessage,
    request: CallerRequest,
  ): Promise<RouteMatch> {
    const known = this.findRoute(incoming);
    if (known !== undefined) {
      return known;
    }
    const isConfirmed = await this.context.configurationChecker.confirm(
      request.deadlineMs ?? Infinity,
    );
    return this.findRoute(incoming) ??
      { kind: isConfirmed ? "absent" : "unconfirmed" };
  }

  private findRoute(
    incoming: IncomingMessage,
  ): FoundRoute | UnreadableMatch | undefined {
    const { inForce } = this.context.configuration;
    const { host, pathAndQuery: target } = parseTarget(incoming);
    const route = inForce?.router.find(host, target);
    if (inForce?.unreadable.coversRequest({ host, target, route }) === true) {
      return { kind: "unreadable" };
    }
    return inForce === undefined || route === undefined
      ? undefined
      : { kind: "found", inForce, route };
  }

  /** The limit on the request's body, confirmed to be current if the declared length exceeds it, in bytes. */
  private async findBodyLimit(
    incoming: IncomingMessage,
    { request, inForce }: {
      request: CallerRequest;
      inForce: ConfigurationInForce;
    },
  ): Promise<number> {
    const { configuration, configurationChecker } = this.context;
    const { bodyBytes } = inForce.configuration.limits;
    if (declaredLength(incoming) <= bodyBytes) {
      return bodyBytes;
    }
    await configurationChecker.confirm(request.deadlineMs ?? Infinity);
    return configuration.inForce?.configuration.limits.bodyBytes ?? bodyBytes;
  }

  /** Refuses a request whose rejection would rest on a configuration that may be outdated or incomplete. */
  private refuseUncertain(
    response: ServerResponse,
    refusal: { request: CallerRequest; reason: UncertaintyReason },
  ): void {
    const { logger, metrics, configuration, configurationChecker } =
      this.context;
    const { request, reason } = refusal;
    const retryAfterMs = this.sampleRetryAfterMs({
      waitMs: UNCERTAINTY_RETRY_MS[reason],
      remainingMs: request.deadlineMs ?? Infinity,
    });
    logger.log("request_not_run", {
      request_id: request.id,
      reason,
      ...describeTarget(response.req),
      retry_after_ms: Math.round(retryAfterMs),
      version: configuration.version,
      evidence_age_ms: toLoggedAge(configurationChecker.evidenceAgeMs),
    });
    metrics.count("bamboolink_rejected_requests", { reason });
    this.refuse(response, { kind: "not_run", reason, retryAfterMs }, request);
  }

  /** Logs and refuses a request that can't be served as it is. */
  private reject(
    response: ServerResponse,
    outcome: RouterRejection,
    request?: Pick<CallerRequest, "id">,
  ): void {
    const { logger, metrics, configuration, configurationChecker } =
      this.context;
    logger.log("request_rejected", {
      request_id: request?.id,
      reason: outcome.kind,
      ...describeTarget(response.req),
      version: configuration.version,
      version_age_ms: Math.round(configuration.ageMs(monotonicMs())),
      evidence_age_ms: toLoggedAge(configurationChecker.evidenceAgeMs),
    });
    metrics.count("bamboolink_rejected_requests", { reason: outcome.kind });
    this.refuse(response, outcome, request);
  }

  /**
   * Rejects a request whose body exceeded a limit, or refuses it as not run if that limit may be outdated.
   *
   * @param limitBytes the limit that was applied to the body.
   */
  private async rejectTooLarge(
    response: ServerResponse,
    { request, limitBytes }: { request: CallerRequest; limitBytes: number },
  ): Promise<void> {
    const { configuration, configurationChecker } = this.context;
    const isChecked = declaredLength(response.req) > limitBytes;
    const isConfirmed = isChecked
      ? configurationChecker.isConfirmed
      : await configurationChecker.confirm(request.deadlineMs ?? Infinity);
    const newestLimitBytes =
      configuration.inForce?.configuration.limits.bodyBytes ?? limitBytes;
    if (isConfirmed && newestLimitBytes <= limitBytes) {
      this.reject(response, { kind: "too_large" }, request);
    } else {
      const reason = "unconfirmed_configuration";
      this.refuseUncertain(response, { request, reason });
    }
  }

  private logMalformedInput({ code, pendingResponses }: MalformedInput): void {
    const { logger, metrics } = this.context;
    logger.log("caller_bytes_unreadable", {
      code,
      pending_answers: pendingResponses,
    });
    metrics.count("bamboolink_rejected_requests", { reason: "unreadable" });
  }

  /** Refuses a request because the event loop lags so far behind that its response would be late. */
  private refuseOverloaded(
    response: ServerResponse,
    arrival: { request: CallerRequest; route: TrafficRoute },
  ): void {
    const { logger, metrics, lag } = this.context;
    const { request, route } = arrival;
    const reason = "process_behind";
    const lagMs = lag.currentMs;
    const retryAfterMs = this.sampleRetryAfterMs({
      waitMs: lagMs,
      remainingMs: request.deadlineMs ?? route.timeoutMs,
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
    const isFirst = !this.usedSockets.has(socket);
    this.usedSockets.add(socket);
    return isFirst;
  }

  private async run(
    arrival: {
      incoming: IncomingMessage;
      response: ServerResponse;
      request: CallerRequest;
      arrivedAtMs: number;
    },
    match: FoundRoute,
  ): Promise<string> {
    const { incoming, response, request, arrivedAtMs } = arrival;
    const { inForce } = match;
    const limitBytes = await this.findBodyLimit(incoming, { request, inForce });
    if (awaitsContinue(incoming) && declaredLength(incoming) <= limitBytes) {
      response.writeContinue();
    }
    const read = await readBody(incoming, { bytes: limitBytes });
    if (read.kind === "cut") {
      return "cut";
    }
    if (read.kind === "too_large") {
      await this.rejectTooLarge(response, { request, limitBytes });
      return "too_large";
    }
    if (response.destroyed) {
      // Its close event was emitted while the request waited, before anything listened for it.
      return "caller_left";
    }
    if (this.isBehindLastResponse(response)) {
      return "unread";
    }
    const routed = this.createRoutedRequest(
      { incoming, request, arrivedAtMs, body: read.body },
      match,
    );
    const final = inForce.unreadable.hidesService(routed.service)
      ? refuseUnreadable()
      : await this.runUntilDeadline(routed, response, match.route);
    return this.respond(response, { final, routed });
  }

  /**
   * Whether an earlier response on the connection is delimited by the connection's end. The request must not run: its
   * caller assumes that it was never read.
   */
  private isBehindLastResponse(response: ServerResponse): boolean {
    const sequenceNumber = this.sequenceNumbers.get(response) ?? 0;
    return sequenceNumber >
      (this.lastSequenceNumbers.get(response.req.socket) ?? Infinity);
  }

  private createRoutedRequest(
    arrival: {
      incoming: IncomingMessage;
      request: CallerRequest;
      arrivedAtMs: number;
      body: Buffer | undefined;
    },
    match: FoundRoute,
  ): CallerRoutedRequest {
    const { incoming, request, arrivedAtMs, body } = arrival;
    const { route } = match;
    const { protocol, callerService } = this.context;
    const requestTimeoutMs = Math.min(
      (request.deadlineMs ?? Infinity) - RESPONSE_DELIVERY_MS,
      route.timeoutMs,
    );
    const service = this.trafficSplit.choose(route);
    const isKeyed = match.inForce.services.get(service)?.keyed === true;
    const target = parseTarget(incoming);
    const headers = selectRequestHeaders(
      incoming.rawHeaders,
      protocol.reservedHeaders,
    );
    return {
      id: request.id,
      service,
      route: route.name,
      rank: route.rank,
      isIdempotent: route.idempotent,
      key: isKeyed ? request.key : undefined,
      callerService: callerService(),
      objectiveAtMs: arrivedAtMs +
        Math.min(route.objectiveMs, requestTimeoutMs),
      deadlineAtMs: arrivedAtMs + requestTimeoutMs,
      brokenConnections: 0,
      blocksOthers: this.pipelines.isLikelyPipelined(
        incoming.socket,
        route.name,
      ),
      callerDeadlineAtMs: arrivedAtMs + (request.deadlineMs ?? route.timeoutMs),
      method: incoming.method ?? "GET",
      target: target.pathAndQuery,
      headers: target.isAbsolute ? replaceHost(headers, target.host) : headers,
      body,
    };
  }

  /** Runs a request until it has an outcome, its deadline passes or its caller disconnects. */
  private async runUntilDeadline(
    routed: CallerRoutedRequest,
    response: ServerResponse,
    route: TrafficRoute,
  ): Promise<FinalOutcome> {
    const cancellation = Cancellation.create();
    const timer = cancellation.cancelAfter(
      Math.max(0, routed.deadlineAtMs - monotonicMs()),
    );
    const cancelOnClose = () => cancellation.cancel("cancelled");
    response.once("close", cancelOnClose);
    try {
      return await this.context.runner.run(routed, {
        maximumAttempts: route.maximumAttempts,
        cancellation,
      });
    } finally {
      clearTimeout(timer);
      response.removeListener("close", cancelOnClose);
    }
  }

  private respond(
    response: ServerResponse,
    completed: { final: FinalOutcome; routed: CallerRoutedRequest },
  ): string {
    const { routed } = completed;
    const { outcome, peer, attempts } = completed.final;
    if (response.destroyed) {
      return "caller_left";
    }
    if (outcome.kind === "answer") {
      this.logUnusual(routed, { outcome, peer });
      this.watchDelivery(response, { routed, bytes: outcome.body.length });
      this.sendResponse(response, outcome);
      return "answered";
    }
    const { logger } = this.context;
    const request = { id: routed.id };
    if (outcome.kind === "not_run") {
      const isQuarantined = outcome.reason === "quarantined";
      const retryAfterMs = this.chooseRetryAfterMs(routed, outcome);
      logger.log("request_not_run", {
        request_id: routed.id,
        route: routed.route,
        service: routed.service,
        key: routed.key,
        reason: outcome.reason,
        fingerprint: isQuarantined ? fingerprintRequest(routed) : undefined,
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
      request_id: routed.id,
      route: routed.route,
      service: routed.service,
      key: routed.key,
      reason: outcome.reason,
      peer,
      attempts,
    });
    const { reason } = outcome;
    const isDeadline = reason === "deadline";
    this.refuse(response, { kind: "unknown", reason, isDeadline }, request);
    return `unknown_${reason}`;
  }

  /** When the caller of a refused request is to come back, in milliseconds from now. */
  private chooseRetryAfterMs(
    routed: CallerRoutedRequest,
    { reason, waitMs }: Extract<Outcome, { kind: "not_run" }>,
  ): number {
    // No daemon runs a quarantined request until its quarantine expires, so an earlier retry would be refused again.
    const isKnown = reason === "quarantined" ||
      QUEUE_REASONS.has(reason) && waitMs > 0;
    return isKnown ? waitMs : this.sampleRetryAfterMs({
      waitMs,
      remainingMs: routed.callerDeadlineAtMs - monotonicMs(),
    });
  }

  /** Logs a response by which the backend server itself rejected or redirected the request. */
  private logUnusual(
    routed: RoutedRequest,
    completed: {
      outcome: Extract<Outcome, { kind: "answer" }>;
      peer: string | undefined;
    },
  ): void {
    const { status, headers } = completed.outcome;
    if (status < FIRST_UNUSUAL_STATUS || status >= FIRST_FAILURE_STATUS) {
      return;
    }
    this.context.logger.log("unusual_answer", {
      request_id: routed.id,
      route: routed.route,
      service: routed.service,
      peer: completed.peer,
      status,
      headers: Object.keys(headers),
    });
  }

  /**
   * Logs a response that is truncated: the request counts as served here, but its caller received only part of it.
   */
  private watchDelivery(
    response: ServerResponse,
    delivery: { routed: CallerRoutedRequest; bytes: number },
  ): void {
    const { routed, bytes } = delivery;
    const { socket } = response.req;
    let isSent = false;
    response.once("finish", () => {
      // Also emitted when a connection is destroyed with the response in its buffer.
      isSent = !socket.destroyed;
    });
    response.once("close", () => {
      if (isSent) {
        return;
      }
      const isEndedByCaller = socket.readableEnded || socket.errored !== null;
      this.context.logger.log("answer_undelivered", {
        request_id: routed.id,
        route: routed.route,
        ended_by: isEndedByCaller ? "caller" : "daemon",
        bytes,
        is_stopping: this.isStopping,
      });
    });
  }

  private sendResponse(
    response: ServerResponse,
    backendResponse: Extract<Outcome, { kind: "answer" }>,
  ): void {
    const { headers } = backendResponse;
    const hasNoBody = response.req.method === "HEAD" ||
      backendResponse.status === 204 || backendResponse.status === 304;
    const length = hasNoBody
      ? backendResponse.headers["content-length"]?.toString()
      : String(backendResponse.body.length);
    if (!backendResponse.isComplete) {
      // A daemon of an earlier version does not know whether the response is complete, so no length may be stated.
      const { socket } = response.req;
      this.connections.closeAfterNextResponse(socket);
      this.lastSequenceNumbers.set(
        socket,
        this.sequenceNumbers.get(response) ?? 0,
      );
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
      response.writeHead(backendResponse.status, {
        ...headers,
        connection: "close",
      });
      response.end(backendResponse.body);
      return;
    }
    response.writeHead(backendResponse.status, {
      ...headers,
      ...(length === undefined ? {} : { "content-length": length }),
      ...this.connectionHeader(response),
    });
    response.end(backendResponse.body);
  }

  private refuse(
    response: ServerResponse,
    outcome: RouterOutcome,
    request?: Pick<CallerRequest, "id">,
  ): void {
    // A malformed body may have closed the connection already.
    if (response.destroyed || response.headersSent) {
      return;
    }
    const { req } = response;
    if (awaitsContinue(req) && req.complete && !req.readableEnded) {
      // Otherwise Node.js closes the connection, and requests that were pipelined behind would get no response.
      response.writeContinue();
    }
    const routerResponse = this.context.protocol.write(outcome, request?.id);
    response.writeHead(routerResponse.status, {
      ...routerResponse.headers,
      "content-length": Buffer.byteLength(routerResponse.body),
      ...this.connectionHeader(response),
    });
    if (!response.shouldKeepAlive) {
      this.connections.closeAfterNextResponse(req.socket);
    }
    response.end(routerResponse.body);
  }

  /**
   * While the daemon stops, a response closes its connection, unless other requests are pipelined behind it: they may
   * be running already, and their responses would be lost.
   */
  private connectionHeader(response: ServerResponse): Record<string, string> {
    const { socket } = response.req;
    const sequenceNumber = this.sequenceNumbers.get(response) ?? 0;
    if (!this.isStopping || !this.pipelines.isLast(socket, sequenceNumber)) {
      return {};
    }
    this.connections.closeAfterNextResponse(socket);
    return { connection: "close" };
  }
}

/** The outcome of a request to a service of which it is not known whether its keys have owners. */
function refuseUnreadable(): FinalOutcome {
  const reason = "unreadable_configuration";
  return {
    outcome: notRun(reason, { waitMs: UNCERTAINTY_RETRY_MS[reason] }),
    peer: undefined,
    attempts: 0,
  };
}

/** Why the `Host` header makes a request invalid (RFC 9112, section 3.2); `undefined` if it is valid. */
function findMalformedHost(incoming: IncomingMessage): string | undefined {
  const { rawHeaders, httpVersion } = incoming;
  const hostCount =
    rawHeaders.filter((text, index) =>
      index % 2 === 0 && text.toLowerCase() === "host"
    ).length;
  if (hostCount > 1) {
    return "several Host headers";
  }
  return hostCount === 0 && httpVersion === "1.1"
    ? "no Host header"
    : undefined;
}

/** Whether the caller sends the body of a request only after an interim response (RFC 9110, section 10.1.1). */
function awaitsContinue({ headers, httpVersion }: IncomingMessage): boolean {
  return httpVersion === "1.1" &&
    CONTINUE_EXPECTATION.test(headers.expect ?? "");
}

function parseTarget({ headers, url }: IncomingMessage): RequestTarget {
  return RequestTarget.parse(headers.host ?? "", url ?? "/");
}

/** Log fields for the target of a request, without the query, which may contain data that must not be logged. */
function describeTarget(incoming: IncomingMessage) {
  const { host, pathAndQuery } = parseTarget(incoming);
  return { host, path: pathAndQuery.split("?", 1)[0] };
}
