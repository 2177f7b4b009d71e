/**
 * Creates and connects the components of the daemon, and runs its control loop.
 *
 * @module
 */
import { createServer, type Server } from "node:http";
import {
  createServer as createHttp2Server,
  type Http2Server,
  type ServerHttp2Session,
} from "node:http2";
import { setTimeout as sleep } from "node:timers/promises";
import { CallerConnections } from "@bamboolink/connections";
import { BamboolinkError } from "@bamboolink/errors";
import { Logger } from "@bamboolink/logger";
import { Metrics } from "@bamboolink/metrics";
import { DEFAULT_TIMING } from "@bamboolink/ownership";
import { EtcdStore } from "@bamboolink/store";
import type { Announcement } from "@bamboolink/types";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { AdminServer } from "./admin_server.ts";
import { BackendConnection } from "./backend_connection.ts";
import { BackendDispatcher } from "./backend_dispatcher.ts";
import { monotonicMs, wallClockMs } from "./clock.ts";
import type { DaemonSettings } from "./daemon_settings.ts";
import { describeStatus } from "./daemon_status.ts";
import { RequestRouter } from "./request_router.ts";
import { EventLoopDelay } from "./event_loop_delay.ts";
import { Fleet } from "./fleet.ts";
import { chooseNeighbours } from "./neighbours.ts";
import { OwnerForwarder } from "./owner_forwarder.ts";
import { PeerClients } from "./peer_clients.ts";
import { createPeerRoutes } from "./peer_service.ts";
import { Planner } from "./planner.ts";
import { Randomness } from "./randomness.ts";
import { RecordGossiper } from "./record_gossiper.ts";
import { Reporter } from "./reporter.ts";
import { SessionManager } from "./session_manager.ts";
import { SlotLimiter } from "./slot_limiter.ts";
import { StoreFollower } from "./store_follower.ts";

/** Interval of the control loop. */
const TICK_INTERVAL_MS = 50;
/** A control loop that runs late by more than this is logged. */
const STALL_THRESHOLD_MS = 200;
/** Limits of the slot queue until the backend server announces its slots. */
const INITIAL_QUEUE_LIMITS = { slots: 0, length: 0 };
const MAXIMUM_HEADER_BYTES = 16_384;
/** How long a caller may take to send its headers. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Longer than common clients keep idle connections, so that they close first. */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

/**
 * A stopping daemon that no longer owns keys accepts requests until none has arrived for this time. Other daemons
 * learn of the new owners slightly later, the slowest ones after one delayed turn of their event loop.
 */
const QUIET_PERIOD_MS = 400;

/** The daemon that runs on the host of one backend server. */
export class Daemon {
  private readonly logger: Logger;
  private readonly metrics = Metrics.create();
  private readonly randomness = Randomness.create();
  private readonly store: EtcdStore;
  private readonly fleet: Fleet;
  private readonly clients = PeerClients.create();
  private readonly backend = BackendConnection.create();
  private readonly slotLimiter = SlotLimiter.create(INITIAL_QUEUE_LIMITS);
  private readonly sessionManager: SessionManager;
  private readonly follower: StoreFollower;
  private readonly gossiper: RecordGossiper;
  private readonly planner: Planner;
  private readonly reporter: Reporter;
  private readonly forwarder: OwnerForwarder;
  private readonly router: RequestRouter;
  private readonly admin: AdminServer;
  private readonly dataServer: Server;
  private readonly connections: CallerConnections;
  private readonly controlServer: Http2Server;
  private readonly controlSessions = new Set<ServerHttp2Session>();
  private tickTimer: NodeJS.Timeout | undefined;
  private stopping = false;
  private lastRequestMs = -Infinity;
  private readonly delay = EventLoopDelay.create(TICK_INTERVAL_MS);
  private lastCpuUsage = process.cpuUsage();
  private wasAnnouncementMissing = false;

  private constructor(private readonly settings: DaemonSettings) {
    const format = settings.log_format;
    this.logger = Logger.create(settings.host, {
      format,
      level: settings.log_level,
    });
    this.store = EtcdStore.create({
      url: settings.store,
      timeoutMs: settings.store_timeout_ms,
      callsPerSecond: settings.store_calls_per_second,
      callBurst: settings.store_call_burst,
      random: () => this.randomness.next(),
    });
    this.fleet = Fleet.create(this.logger);
    const { store, fleet, clients, logger, randomness } = this;
    const sessionId = () => this.sessionManager.current?.id ?? "";
    this.sessionManager = SessionManager.create({
      store,
      fleet,
      clients,
      logger,
      randomness,
      timing: DEFAULT_TIMING,
      location: {
        host: settings.host,
        region: settings.region,
        availabilityZone: settings.availability_zone,
        controlAddress: `${settings.address}:${settings.control_port}`,
        dataAddress: `${settings.address}:${settings.data_port}`,
      },
      announcement: () => this.backend.announcement,
      isDraining: () => this.stopping || !this.backend.isReady(monotonicMs()),
    });
    this.follower = StoreFollower.create({ store, fleet, logger, randomness });
    this.gossiper = RecordGossiper.create({
      fleet,
      clients,
      logger,
      randomness,
      sessionId,
      neighbours: () =>
        chooseNeighbours(this.sessionManager.current?.id, {
          sessions: fleet.sessions,
          seeds: settings.seeds,
        }),
    });
    this.planner = Planner.create({
      store,
      fleet,
      clients,
      logger,
      timing: DEFAULT_TIMING,
    });
    this.reporter = Reporter.create({
      fleet,
      clients,
      logger,
      requestCounts: () => this.slotLimiter.counts,
    });
    this.forwarder = OwnerForwarder.create({ fleet, sessionId });
    const local = BackendDispatcher.create({
      session: () => this.sessionManager.current,
      backend: this.backend,
      slotLimiter: this.slotLimiter,
    });
    this.router = RequestRouter.create({
      fleet,
      local,
      remote: this.forwarder,
      logger,
      metrics: this.metrics,
      randomness,
      delay: this.delay,
      sessionId,
      maximumBodyBytes: settings.maximum_body_bytes,
      maximumWaiting: settings.maximum_waiting,
    });
    this.admin = AdminServer.create({
      logger,
      metrics: this.metrics,
      onAnnouncement: (announcement) => this.handleAnnouncement(announcement),
      isReady: () => !this.stopping && fleet.configuration !== undefined,
      status: () => this.createStatus(),
    });
    this.dataServer = createServer({
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    }, (incoming, response) => {
      if (this.connections.discardAfterLastResponse(incoming)) {
        return;
      }
      this.lastRequestMs = monotonicMs();
      // While stopping, the response announces the close of its connection, so that the sender does not reuse it.
      response.shouldKeepAlive &&= !this.stopping;
      void this.router.serve(incoming, response);
    });
    this.connections = CallerConnections.create(this.dataServer);
    this.controlServer = createHttp2Server(connectNodeAdapter({
      routes: createPeerRoutes({
        fleet,
        sessionManager: this.sessionManager,
        gossiper: this.gossiper,
        planner: this.planner,
      }),
    }));
    this.controlServer.on("session", (session) => {
      this.controlSessions.add(session);
      session.on("close", () => this.controlSessions.delete(session));
    });
  }

  /** Creates a daemon that is not started yet. */
  static create(settings: DaemonSettings): Daemon {
    const daemon = new Daemon(settings);
    daemon.connectComponents();
    return daemon;
  }

  /**
   * Opens the ports and starts the control loop. Rejects with error `invalid` if a port can't be opened.
   */
  async start(): Promise<void> {
    const { settings } = this;
    await listen(this.admin.server, {
      port: settings.admin_port,
      address: "127.0.0.1",
      setting: "--admin-port",
    });
    await listen(this.controlServer, {
      port: settings.control_port,
      address: settings.address,
      setting: "--control-port",
    });
    await listen(this.dataServer, {
      port: settings.data_port,
      address: settings.address,
      setting: "--data-port",
    });
    this.tickTimer = setInterval(() => this.tick(), TICK_INTERVAL_MS);
    const { address, data_port, control_port, admin_port } = settings;
    this.logger.log("process_started", {
      address,
      data_port,
      control_port,
      admin_port,
    });
  }

  /**
   * Drains and stops the daemon: its keys move to other owners, requests in flight finish, then the ports close.
   * Waits at most `drain_ms`, after which remaining connections are closed.
   */
  async stop(): Promise<void> {
    if (this.stopping) {
      return;
    }
    this.stopping = true;
    this.logger.log("process_stopping");
    const deadlineMs = monotonicMs() + this.settings.drain_ms;
    while (monotonicMs() < deadlineMs && this.ownsKeys()) {
      await sleep(TICK_INTERVAL_MS);
    }
    this.lastRequestMs = Math.max(this.lastRequestMs, monotonicMs());
    while (monotonicMs() < deadlineMs && !this.isQuiet()) {
      await sleep(TICK_INTERVAL_MS);
    }
    this.connections.stopListening();
    this.connections.closeIdle();
    while (monotonicMs() < deadlineMs && this.connections.openCount > 0) {
      await sleep(TICK_INTERVAL_MS);
      this.connections.closeIdle();
    }
    await this.close();
    this.logger.log("process_stopped");
  }

  /**
   * Whether no request is in flight and none has arrived for `QUIET_PERIOD_MS`. If a connection were closed as soon as
   * it is idle, a request could arrive on it at the same moment, and its sender could not know whether it ran.
   */
  private isQuiet(): boolean {
    return this.router.activeCount === 0 &&
      monotonicMs() - this.lastRequestMs >= QUIET_PERIOD_MS;
  }

  private async close(): Promise<void> {
    clearInterval(this.tickTimer);
    await this.planner.close();
    await this.sessionManager.close(this.router.activeCount === 0);
    this.follower.stop();
    this.clients.close();
    this.admin.server.close();
    this.admin.server.closeAllConnections();
    this.dataServer.closeAllConnections();
    this.controlServer.close();
    this.controlSessions.forEach((session) => session.destroy());
    await Promise.all([
      this.forwarder.close(),
      this.backend.close(),
      this.store.close(),
    ]);
  }

  private connectComponents(): void {
    this.fleet.onChange(() => {
      this.gossiper.push();
      const shards = this.fleet.state.shards.map((shard) => shard.record);
      this.sessionManager.current?.recordAssignments(shards, wallClockMs());
      this.clients.retain(
        new Set(this.fleet.sessions.map((session) => session.control_address)),
      );
    });
    this.metrics.gauge(
      "bamboolink_requests_running",
      () => this.slotLimiter.counts.running,
    );
    this.metrics.gauge(
      "bamboolink_requests_queued",
      () => this.slotLimiter.counts.waiting,
    );
    this.metrics.gauge(
      "bamboolink_requests_waiting_for_owner",
      () => this.router.waitingCount,
    );
    this.metrics.gauge(
      "bamboolink_configuration_version",
      () => this.fleet.configuration?.version.version ?? 0,
    );
    this.metrics.gauge(
      "bamboolink_records_revision",
      () => this.fleet.revision,
    );
    this.metrics.gauge(
      "bamboolink_serving",
      () => this.sessionManager.current?.state === "serving" ? 1 : 0,
    );
    this.metrics.gauge(
      "bamboolink_planner",
      () => this.planner.isPlanner ? 1 : 0,
    );
  }

  private tick(): void {
    const nowMs = monotonicMs();
    this.logStall(nowMs);
    const session = this.sessionManager.current;
    const serving = session?.state === "serving" ? session.id : undefined;
    this.follower.tick(nowMs, this.shouldFollowStore(session?.id));
    this.sessionManager.tick(nowMs);
    this.gossiper.tick(nowMs);
    this.planner.tick(nowMs, this.stopping ? undefined : serving);
    this.reporter.tick(nowMs, session);
    this.slotLimiter.tick(nowMs);
    this.logMissingAnnouncement(nowMs);
  }

  private logStall(nowMs: number): void {
    const lateMs = Math.round(this.delay.recordTurn(nowMs));
    const { user, system } = process.cpuUsage(this.lastCpuUsage);
    this.lastCpuUsage = process.cpuUsage();
    if (lateMs > STALL_THRESHOLD_MS) {
      this.logger.log("process_stalled", {
        late_ms: lateMs,
        processor_ms: Math.round((user + system) / 1_000),
      });
    }
  }

  private logMissingAnnouncement(nowMs: number): void {
    const isMissing = this.backend.isAnnouncementOverdue(nowMs);
    if (isMissing && !this.wasAnnouncementMissing) {
      this.logger.log("announcement_missing");
    }
    this.wasAnnouncementMissing = isMissing;
  }

  /**
   * Whether this daemon reads records from the store: as planner, as one of the fleet's watchers, or while it has no
   * session.
   */
  private shouldFollowStore(session: string | undefined): boolean {
    return session === undefined || this.planner.isPlanner ||
      this.fleet.watchers.some(({ id }) => id === session);
  }

  private handleAnnouncement(announcement: Announcement): readonly string[] {
    const conflicts = this.backend.findConflicts(announcement);
    if (conflicts.length > 0) {
      this.backend.disconnect();
      return conflicts;
    }
    const hasChanged = this.backend.recordAnnouncement(
      announcement,
      monotonicMs(),
    );
    const service = this.fleet.configuration?.services.get(
      announcement.service,
    );
    this.slotLimiter.setLimits({
      slots: announcement.slots,
      length: service?.queue.length ?? 0,
    });
    if (hasChanged) {
      this.logger.log("announcement_accepted", { ...announcement });
    }
    return [];
  }

  private createStatus(): unknown {
    const {
      settings,
      fleet,
      sessionManager,
      planner,
      follower,
      slotLimiter,
      router,
    } = this;
    return describeStatus({
      settings,
      fleet,
      sessionManager,
      planner,
      follower,
      slotLimiter,
      router,
      nowMs: monotonicMs(),
    });
  }

  private ownsKeys(): boolean {
    const id = this.sessionManager.current?.id;
    return id !== undefined &&
      this.fleet.state.shards.some(({ record }) =>
        record.sessions.includes(id)
      );
  }
}

function listen(
  server: Server | Http2Server,
  endpoint: { port: number; address: string; setting: string },
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", (cause) => {
      const peer = `${endpoint.address}:${endpoint.port}`;
      const message =
        `setting ${endpoint.setting}: can't listen at ${peer}: ${cause.message}`;
      reject(
        BamboolinkError.create("invalid", message, {
          step: "daemon.listen",
          peer,
          cause,
        }),
      );
    });
    server.listen(endpoint.port, endpoint.address, () => resolve());
  });
}
