/**
 * Puts the parts of the daemon together.
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
import { ServerConnections } from "@bamboolink/connections";
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
import { Entrance } from "./entrance.ts";
import { Fleet } from "./fleet.ts";
import { chooseNeighbours } from "./neighbours.ts";
import { OwnerForwarder } from "./owner_forwarder.ts";
import { PeerClients } from "./peer_clients.ts";
import { createPeerRoutes } from "./peer_service.ts";
import { Planner } from "./planner.ts";
import { Randomness } from "./randomness.ts";
import { RecordSpreader } from "./record_spreader.ts";
import { Reporter } from "./reporter.ts";
import { SessionKeeper } from "./session_keeper.ts";
import { SlotGate } from "./slot_gate.ts";
import { StoreFollower } from "./store_follower.ts";

/** Length of one step of the control loop, in milliseconds. */
const TICK_MS = 50;
/** A control loop that is late by more than this is logged, in milliseconds. */
const STALL_MS = 200;
/** Slots assumed before the backend server announces how many it has. */
const NO_SLOTS = { slots: 0, length: 0 };
const MAXIMUM_HEADER_BYTES = 16_384;
/** How long a caller may take to send its headers, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Longer than common clients keep idle connections, so that they close first, in milliseconds. */
const KEEP_ALIVE_MS = 65_000;

/**
 * After its keys are gone, a daemon that stops takes requests until none has come for so long, in milliseconds.
 * Other daemons hear of the new owners a moment later, the slowest by the length of one delayed turn.
 */
const QUIET_MS = 400;

/** The process beside one backend server. */
export class Daemon {
  private readonly logger: Logger;
  private readonly metrics = Metrics.create();
  private readonly randomness = Randomness.create();
  private readonly store: EtcdStore;
  private readonly fleet: Fleet;
  private readonly clients = PeerClients.create();
  private readonly backend = BackendConnection.create();
  private readonly gate = SlotGate.create(NO_SLOTS);
  private readonly keeper: SessionKeeper;
  private readonly follower: StoreFollower;
  private readonly spreader: RecordSpreader;
  private readonly planner: Planner;
  private readonly reporter: Reporter;
  private readonly forwarder: OwnerForwarder;
  private readonly entrance: Entrance;
  private readonly admin: AdminServer;
  private readonly dataServer: Server;
  private readonly connections: ServerConnections;
  private readonly controlServer: Http2Server;
  private readonly controlSessions = new Set<ServerHttp2Session>();
  private loop: NodeJS.Timeout | undefined;
  private stopping = false;
  private lastRequestMs = -Infinity;
  private lastTickMs = Infinity;
  private lastProcessor = process.cpuUsage();
  private announcementMissing = false;

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
    const sessionId = () => this.keeper.current?.id ?? "";
    this.keeper = SessionKeeper.create({
      store,
      fleet,
      clients,
      logger,
      randomness,
      timing: DEFAULT_TIMING,
      place: {
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
    this.spreader = RecordSpreader.create({
      fleet,
      clients,
      logger,
      randomness,
      sessionId,
      neighbours: () =>
        chooseNeighbours(this.keeper.current?.id, {
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
      condition: () => this.gate.counts,
    });
    this.forwarder = OwnerForwarder.create({ fleet, sessionId });
    const local = BackendDispatcher.create({
      session: () => this.keeper.current,
      backend: this.backend,
      gate: this.gate,
    });
    this.entrance = Entrance.create({
      fleet,
      local,
      remote: this.forwarder,
      logger,
      metrics: this.metrics,
      randomness,
      sessionId,
      maximumBodyBytes: settings.maximum_body_bytes,
      maximumWaiting: settings.maximum_waiting,
    });
    this.admin = AdminServer.create({
      logger,
      metrics: this.metrics,
      onAnnouncement: (announcement) => this.noteAnnouncement(announcement),
      isReady: () => !this.stopping && fleet.configuration !== undefined,
      status: () => this.describe(),
    });
    this.dataServer = createServer({
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
    }, (incoming, response) => {
      if (this.connections.discardAfterLastResponse(incoming)) {
        return;
      }
      this.lastRequestMs = monotonicMs();
      // Whoever keeps this connection is told that it ends, and sends nothing more on it.
      response.shouldKeepAlive &&= !this.stopping;
      void this.entrance.serve(incoming, response);
    });
    this.connections = ServerConnections.create(this.dataServer);
    this.controlServer = createHttp2Server(connectNodeAdapter({
      routes: createPeerRoutes({
        fleet,
        keeper: this.keeper,
        spreader: this.spreader,
        planner: this.planner,
      }),
    }));
    this.controlServer.on("session", (session) => {
      this.controlSessions.add(session);
      session.on("close", () => this.controlSessions.delete(session));
    });
  }

  /** Creates a daemon that does not run yet. */
  static create(settings: DaemonSettings): Daemon {
    const daemon = new Daemon(settings);
    daemon.connectParts();
    return daemon;
  }

  /** Opens the ports and starts the control loop. */
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
    this.loop = setInterval(() => this.tick(), TICK_MS);
    const { address, data_port, control_port, admin_port } = settings;
    this.logger.log("process_started", {
      address,
      data_port,
      control_port,
      admin_port,
    });
  }

  /**
   * Stops without cutting anything: keys move away, requests under way finish, then the ports close.
   */
  async stop(): Promise<void> {
    if (this.stopping) {
      return;
    }
    this.stopping = true;
    this.logger.log("process_stopping");
    const until = monotonicMs() + this.settings.drain_ms;
    while (monotonicMs() < until && this.ownsAnything()) {
      await sleep(TICK_MS);
    }
    this.lastRequestMs = Math.max(this.lastRequestMs, monotonicMs());
    while (monotonicMs() < until && !this.isQuiet()) {
      await sleep(TICK_MS);
    }
    this.connections.stopListening();
    this.connections.closeIdle();
    while (monotonicMs() < until && this.connections.busyCount > 0) {
      await sleep(TICK_MS);
      this.connections.closeIdle();
    }
    await this.close();
    this.logger.log("process_stopped");
  }

  /**
   * Whether nothing is under way and nothing has come for a while. A connection that is closed as soon as it is
   * idle may bring a request in the same moment, which then may have run as far as its sender knows.
   */
  private isQuiet(): boolean {
    return this.entrance.activeCount === 0 &&
      monotonicMs() - this.lastRequestMs >= QUIET_MS;
  }

  private async close(): Promise<void> {
    clearInterval(this.loop);
    await this.planner.close();
    await this.keeper.close(this.entrance.activeCount === 0);
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

  private connectParts(): void {
    this.fleet.onChange(() => {
      this.spreader.push();
      const shards = this.fleet.state.shards.map((shard) => shard.record);
      this.keeper.current?.noteAssignments(shards, wallClockMs());
      this.clients.retain(
        new Set(this.fleet.sessions.map((session) => session.control_address)),
      );
    });
    this.metrics.gauge(
      "bamboolink_requests_running",
      () => this.gate.counts.running,
    );
    this.metrics.gauge(
      "bamboolink_requests_queued",
      () => this.gate.counts.waiting,
    );
    this.metrics.gauge(
      "bamboolink_requests_waiting_for_owner",
      () => this.entrance.waitingCount,
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
      () => this.keeper.current?.state === "serving" ? 1 : 0,
    );
    this.metrics.gauge(
      "bamboolink_planner",
      () => this.planner.isPlanner ? 1 : 0,
    );
  }

  private tick(): void {
    const nowMs = monotonicMs();
    this.noteStall(nowMs);
    const session = this.keeper.current;
    const serving = session?.state === "serving" ? session.id : undefined;
    this.follower.tick(nowMs, this.shouldFollow(session?.id));
    this.keeper.tick(nowMs);
    this.spreader.tick(nowMs);
    this.planner.tick(nowMs, this.stopping ? undefined : serving);
    this.reporter.tick(nowMs, session);
    this.gate.tick(nowMs);
    this.noteMissingAnnouncement(nowMs);
  }

  private noteStall(nowMs: number): void {
    const lateMs = Math.round(nowMs - this.lastTickMs - TICK_MS);
    const { user, system } = process.cpuUsage(this.lastProcessor);
    this.lastTickMs = nowMs;
    this.lastProcessor = process.cpuUsage();
    if (lateMs > STALL_MS) {
      this.logger.log("process_stalled", {
        late_ms: lateMs,
        processor_ms: Math.round((user + system) / 1_000),
      });
    }
  }

  private noteMissingAnnouncement(nowMs: number): void {
    const isMissing = this.backend.isSilent(nowMs);
    if (isMissing && !this.announcementMissing) {
      this.logger.log("announcement_missing");
    }
    this.announcementMissing = isMissing;
  }

  /** Daemons without a session follow the store themselves until they have one. */
  private shouldFollow(session: string | undefined): boolean {
    return session === undefined || this.planner.isPlanner ||
      this.fleet.watchers.some(({ id }) => id === session);
  }

  private noteAnnouncement(announcement: Announcement): readonly string[] {
    const conflicts = this.backend.findConflicts(announcement);
    if (conflicts.length > 0) {
      this.backend.disconnect();
      return conflicts;
    }
    const isNew = this.backend.note(announcement, monotonicMs());
    const service = this.fleet.configuration?.services.get(
      announcement.service,
    );
    this.gate.setLimits({
      slots: announcement.slots,
      length: service?.queue.length ?? 0,
    });
    if (isNew) {
      this.logger.log("announcement_accepted", { ...announcement });
    }
    return [];
  }

  private describe(): unknown {
    const { settings, fleet, keeper, planner, follower, gate, entrance } = this;
    return describeStatus({
      settings,
      fleet,
      keeper,
      planner,
      follower,
      gate,
      entrance,
      nowMs: monotonicMs(),
    });
  }

  private ownsAnything(): boolean {
    const id = this.keeper.current?.id;
    return id !== undefined &&
      this.fleet.state.shards.some(({ record }) =>
        record.sessions.includes(id)
      );
  }
}

function listen(
  server: Server | Http2Server,
  at: { port: number; address: string; setting: string },
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", (cause) => {
      const peer = `${at.address}:${at.port}`;
      const message =
        `setting ${at.setting}: can't listen at ${peer}: ${cause.message}`;
      reject(
        BamboolinkError.create("invalid", message, {
          step: "daemon.listen",
          peer,
          cause,
        }),
      );
    });
    server.listen(at.port, at.address, () => resolve());
  });
}
