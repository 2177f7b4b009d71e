/**
 * Composes the router from its parts and runs its lifecycle: start, control loop, settings reload and graceful stop.
 *
 * @module
 */
import type { Server } from "node:http";
import type { Server as ConnectionServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { FleetRetryBudget } from "@bamboolink/admission";
import { CallerConnections } from "@bamboolink/connections";
import { BamboolinkError } from "@bamboolink/errors";
import {
  GrantTracker,
  OwnershipLease,
  type OwnershipRecord,
  type PlannedMove,
} from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import {
  MAX_WAIT_MS,
  type MemberReport,
  MemberView,
} from "@bamboolink/membership";
import { Metrics } from "@bamboolink/metrics";
import type { Store } from "@bamboolink/store";
import { ConfigurationEvidence } from "@bamboolink/traffic";
import { BodyReceiver } from "./links/body_receiver.ts";
import { ResponseSender } from "./links/response_sender.ts";
import { BackendLoadTracker } from "./attempts/backend_load_tracker.ts";
import { BackendManager } from "./backend/backend_manager.ts";
import { coldLimitOf } from "./backend/cold_limit.ts";
import { bootMs, monotonicMs } from "./clock.ts";
import { ConfigurationChecker } from "./configuration/configuration_checker.ts";
import { ConfigurationManager } from "./configuration/configuration_manager.ts";
import type { Datagram } from "./members/datagram_codec.ts";
import { EarlierReportQuery } from "./members/earlier_report_query.ts";
import { EvacuationManager } from "./configuration/evacuation_manager.ts";
import { CrossZoneTraffic } from "./members/cross_zone_traffic.ts";
import { Forwarder } from "./attempts/forwarder.ts";
import {
  GOSSIP_INTERVAL_MS,
  GossipNode,
  splitAddress,
} from "./members/gossip_node.ts";
import { createHeartbeatServer } from "./backend/heartbeat_server.ts";
import { HandoverCoordinator } from "./keys/handover_coordinator.ts";
import { Ingress } from "./ingress/ingress.ts";
import { LinkServer } from "./links/link_server.ts";
import { LocalBackend } from "./backend/local_backend.ts";
import { LoopLag } from "./loop_lag.ts";
import { startMetricsServer } from "./metrics_server.ts";
import { MemberDirectory } from "./members/member_directory.ts";
import { OwnershipDirectory } from "./keys/ownership_directory.ts";
import { OwnershipManager } from "./keys/ownership_manager.ts";
import { PeerClient } from "./members/peer_client.ts";
import { PeerServer } from "./members/peer_server.ts";
import type { BackendProtocol } from "./ports/backend_protocol.ts";
import type { CallerProtocol } from "./ports/caller_protocol.ts";
import type { ConfigurationDocument } from "./ports/configuration_document.ts";
import type {
  RouterSettings,
  SettingsSource,
} from "./ports/router_settings.ts";
import { probeBackend } from "./backend/probe_backend.ts";
import { createReadinessServer } from "./ingress/readiness_server.ts";
import { RelayedStore } from "./members/relayed_store.ts";
import { RecordInspector } from "./keys/record_inspector.ts";
import { RequestQuarantine } from "./backend/request_quarantine.ts";
import { RequestRunner } from "./attempts/request_runner.ts";
import {
  SharedReader,
  type SharedReadRequest,
  type SharedReadResponse,
} from "./keys/shared_reader.ts";
import { StoreWatcher } from "./configuration/store_watcher.ts";
import { WatchPollPlanner } from "./configuration/watch_poll_planner.ts";

/** Interval of the control loop, in milliseconds. */
const TICK_INTERVAL_MS = 50;
/** Interval between log lines on the load of the backend server, in milliseconds. */
const LOAD_LOG_INTERVAL_MS = 2_000;
/** Interval between checks for changed settings, in milliseconds. */
const SETTINGS_CHECK_INTERVAL_MS = 1_000;
/**
 * How long requests are still accepted as before after a stop was requested, in milliseconds. By then, each client that
 * polls readiness has received two responses that the router is not ready.
 */
const PRE_STOP_DELAY_MS = 2_300;
/** Part of the grace period that is reserved for closing, before the process would be killed, in milliseconds. */
const CLOSE_RESERVE_MS = 700;
/**
 * Records up to this size, in bytes, are included in the datagram that announces them. Larger ones are fetched, by all
 * daemons at once. A datagram of a few IP fragments costs less, and if it is lost, the record is fetched, too.
 */
const MAX_INLINE_RECORD_BYTES = 4_096;
/** Path of the health check for services that the configuration does not contain. */
const DEFAULT_HEALTH_PATH = "/healthz";

/** The router's dependencies on its platform. */
export interface RouterPorts {
  readonly settings: SettingsSource;
  readonly createStore: (address: string) => Store;
  readonly document: ConfigurationDocument;
  readonly callers: CallerProtocol;
  readonly backends: BackendProtocol;
  readonly logger: Logger;
  readonly random: () => number;
}

/** The router of one host: routes its callers' requests and manages its backend server. */
export class Router {
  private readonly metrics = Metrics.create();
  private readonly grants = GrantTracker.create(bootMs());
  private readonly lease = OwnershipLease.create(bootMs());
  private readonly loadTracker = BackendLoadTracker.create();
  private readonly peerClient = PeerClient.create();
  private readonly handoverCoordinator = HandoverCoordinator.create();
  private readonly lag = LoopLag.create(TICK_INTERVAL_MS, monotonicMs);
  private readonly logger: Logger;
  private readonly directStore: Store;
  private readonly store: RelayedStore;
  private readonly view: MemberView;
  private readonly traffic: CrossZoneTraffic;
  private readonly directory: OwnershipDirectory;
  private readonly sharedReader: SharedReader;
  private readonly quarantine: RequestQuarantine;
  private readonly evacuation: EvacuationManager;
  private readonly backend: LocalBackend;
  private readonly backendManager: BackendManager;
  private readonly ownership: OwnershipManager;
  private readonly configuration: ConfigurationManager;
  private readonly configurationChecker: ConfigurationChecker;
  private readonly members: MemberDirectory;
  private readonly gossip: GossipNode;
  private readonly earlierReportQuery: EarlierReportQuery;
  private readonly forwarder: Forwarder;
  private readonly retryBudget: FleetRetryBudget;
  private readonly ingress: Ingress;
  private readonly bodies: BodyReceiver;
  private readonly linkServer: LinkServer;
  private readonly peerServer: PeerServer;
  private readonly peerConnections: CallerConnections;
  private readonly heartbeatServer: Server;
  private readonly readinessServer: Server;
  private readonly watchPolls: WatchPollPlanner;
  private readonly watcher: StoreWatcher;
  private readonly timers: NodeJS.Timeout[] = [];
  private settingsVersion: string;
  private isFetchingOwnership = false;
  private isStopRequested = false;
  /** The end of the shutdown, once one has begun. */
  private stopped: Promise<void> | undefined;
  private isStopping = false;

  private constructor(
    private readonly ports: RouterPorts,
    private settings: RouterSettings,
  ) {
    const { logger, random } = ports;
    this.logger = logger;
    this.settingsVersion = ports.settings.readVersion();
    this.directStore = ports.createStore(settings.storeAddress);
    this.view = MemberView.create(createOwnReport(settings));
    this.traffic = CrossZoneTraffic.create(this.view);
    this.store = RelayedStore.create({
      direct: this.directStore,
      peerClient: this.peerClient,
      logger,
      findRelay: () => this.findRelay(),
      onRolledBack: () => this.restoreMembers(),
    });
    this.directory = OwnershipDirectory.create(logger);
    const inspector = RecordInspector.create({
      logger,
      directory: this.directory,
      era: () => this.store.era,
    });
    this.sharedReader = SharedReader.create({
      store: this.directStore,
      logger,
      inspector,
      onResponse: (owner, response) =>
        this.sendSharedReadResponse(owner, response),
    });
    this.quarantine = RequestQuarantine.create({
      address: settings.gossipAddress,
      logger,
      random,
      nowMs: monotonicMs,
      runningMs: () => this.lag.runningMs,
      broadcast: (update) => this.gossip.broadcast(update),
      sendToSome: (update) => this.gossip.sendToSome(update),
      sendTo: (update, address) => this.gossip.sendDatagram(update, address),
    });
    this.evacuation = EvacuationManager.create({
      address: settings.gossipAddress,
      zone: settings.availabilityZone,
      logger,
      nowMs: monotonicMs,
      evacuateMs: () => this.settings.bounds.evacuateMs,
      isKnownZone: (zone) => this.hasMemberIn(zone),
      broadcast: (update) => this.gossip.broadcast(update),
      sendToSome: (update) => this.gossip.sendToSome(update),
      requestUpdate: () => this.requestEvacuationState(),
      onChange: () => this.backendManager.onEvacuationChanged(),
    });
    this.backend = LocalBackend.create({
      address: settings.backendAddress,
      protocol: ports.backends,
      logger,
      grants: this.grants,
      quarantine: this.quarantine,
      onSuspicion: (suspicion) =>
        void this.backendManager.handleSuspicion(suspicion),
      onLeaving: (incarnation, { isRecent }) =>
        this.backendManager.handleStatedLeaving(incarnation, { isRecent }),
      random,
      memoryBytes: settings.memoryBytes,
      onLimitExceeded: (bound) =>
        this.metrics.count("bamboolink_exceeded_response_limits", { bound }),
    });
    this.backendManager = BackendManager.create({
      logger,
      backend: this.backend,
      grants: this.grants,
      grantLimit: ports.backends.grantLimit,
      lease: this.lease,
      evacuation: this.evacuation,
      awaitEarlierReport: () => this.earlierReportQuery.awaitEnd(),
      drainMs: () => this.settings.bounds.drainMs,
      probe: (service) =>
        probeBackend(settings.backendAddress, {
          protocol: ports.backends,
          healthPath:
            this.configuration.inForce?.services.get(service)?.healthPath ??
              DEFAULT_HEALTH_PATH,
        }),
      isKeyed: (service) => this.directory.isKeyed(service),
      isConfigured: (service) =>
        this.configuration.inForce?.services.has(service),
      coldLimit: (service) =>
        coldLimitOf(
          service,
          this.configuration.inForce?.services,
          this.settings.bounds,
        ),
      heartbeatIntervalMs: () => this.settings.heartbeatMs,
      mayGrant: (service) => this.ownership.mayGrant(service),
      onServiceChanged: () => this.ownership.onServiceChanged(),
      onChange: () => this.gossip.announce(),
      onReleased: (released) => this.ownership.handleReleased(released),
      beforeDrain: () => this.ownership.releaseAll(),
      onProcessEnded: (end) => this.quarantine.recordBackendEnd(end),
      beforeGrant: () => this.awaitHandovers(),
      awaitGrantable: (service, delayedMs) =>
        this.ownership.awaitGrantable(service, delayedMs),
    });
    this.members = MemberDirectory.create({
      store: this.store,
      view: this.view,
      logger,
      operatorPrefix: ports.document.prefix,
      onRegistered: (revision) => this.ownership.onRegistered(revision),
      onRecord: (record) => this.directory.updateFromStore(record.key, record),
      onListed: (listing) => this.ownership.onStartListing(listing),
    });
    this.ownership = OwnershipManager.create({
      store: this.store,
      logger,
      view: this.view,
      directory: this.directory,
      inspector,
      registration: this.members.registration,
      grants: this.grants,
      lease: this.lease,
      backend: this.backend,
      backendManager: () => this.backendManager,
      handoverCoordinator: this.handoverCoordinator,
      random: this.ports.random,
      onWritten: (service, record) => this.announceOwnership(service, record),
      onMovesPlanned: (daemon, moves) =>
        this.announcePlannedMoves(daemon, moves),
      onSharedReadNeeded: (reader, request) =>
        this.requestSharedRead(reader, request),
      onPromiseNeeded: (arbiter, request) =>
        this.gossip.sendDatagram({
          kind: "ask_promise",
          sender: this.view.ownReport.address,
          ...request,
        }, arbiter),
    });
    this.configuration = ConfigurationManager.create({
      document: ports.document,
      logger,
      peerClient: this.peerClient,
      onChange: ({ configuration }) => {
        this.directory.configure(configuration);
        this.ingress.setLimits(configuration.limits);
        this.backendManager.onConfigurationChanged();
      },
    });
    this.earlierReportQuery = EarlierReportQuery.create({
      random,
      nowMs: monotonicMs,
      knownAddresses: () => this.view.knownAddresses,
      request: (peer) => this.gossip.requestEarlierReport(peer),
    });
    this.configurationChecker = ConfigurationChecker.create({
      address: settings.gossipAddress,
      logger,
      store: this.store,
      documentKey: ports.document.key,
      configuration: this.configuration,
      evidence: ConfigurationEvidence.create(),
      nowMs: bootMs,
      findReader: () => this.ownership.findReader(),
      findPeerAddress: (daemon) => this.view.find(daemon)?.peerAddress,
      send: (datagram, daemon) => this.gossip.sendDatagram(datagram, daemon),
      awaitEarlierReport: () => this.earlierReportQuery.awaitEnd(),
    });
    this.gossip = GossipNode.create({
      address: settings.gossipAddress,
      view: this.view,
      logger,
      random,
      linkBytesPerSecond: settings.linkBytesPerSecond ?? Infinity,
      describeSelf: () => this.describeSelf(),
      onReports: (reports) => this.handleReports(reports),
      onEarlierReport: ({ statedStatus, configurationVersion }) => {
        this.configuration.recordReportedVersion(configurationVersion);
        if (statedStatus !== null) {
          this.backendManager.restoreStatus(statedStatus);
        }
      },
      onReportsAnswered: (peer) => this.earlierReportQuery.recordAnswer(peer),
      onDatagram: (datagram) => this.handleDatagram(datagram),
      onSent: (...sent) => this.traffic.record(...sent),
    });
    this.forwarder = Forwarder.create({
      logger,
      onLoad: (daemon, { route, load, isCompleted }) => {
        const nowMs = monotonicMs();
        const measuredAtMs = isCompleted ? nowMs : undefined;
        this.loadTracker.recordRouteLoad(daemon, {
          route,
          load,
          nowMs,
          measuredAtMs,
        });
      },
      onUnreachable: (daemon) =>
        this.loadTracker.markUnreachable(daemon, monotonicMs()),
      onBytes: (...transferred) => this.traffic.record(...transferred),
    });
    const { resendRatio, resendExtra, resendWindowMs } = settings.bounds;
    this.retryBudget = FleetRetryBudget.create({
      ratio: resendRatio,
      extra: resendExtra,
      windowMs: resendWindowMs,
    });
    const runner = RequestRunner.create({
      logger,
      view: this.view,
      loadTracker: this.loadTracker,
      directory: this.directory,
      backend: this.backend,
      forwarder: this.forwarder,
      quarantine: this.quarantine,
      budget: this.retryBudget,
      crossZoneMsPerKilobyte: () => this.settings.crossZoneMsPerKilobyte,
      leastUrgentRankOf: (service) =>
        this.configuration.inForce?.leastUrgentRanks.get(service) ?? 0,
      random,
    });
    this.ingress = Ingress.create({
      protocol: ports.callers,
      logger,
      metrics: this.metrics,
      configuration: this.configuration,
      configurationChecker: this.configurationChecker,
      runner,
      lag: this.lag,
      random,
      callerService: () => this.settings.service,
    });
    this.bodies = BodyReceiver.create(
      settings.linkBytesPerSecond ?? Infinity,
      monotonicMs,
    );
    this.linkServer = LinkServer.create({
      logger,
      responses: ResponseSender.create(
        settings.linkBytesPerSecond ?? Infinity,
        monotonicMs,
      ),
      bodies: this.bodies,
      backend: this.backend,
      lag: this.lag,
      nowMs: monotonicMs,
    });
    this.peerServer = PeerServer.create({
      logger,
      configuration: this.configuration,
      directory: this.directory,
      store: this.directStore,
    });
    this.peerConnections = CallerConnections.create(this.peerServer.server);
    this.heartbeatServer = createHeartbeatServer({
      backendManager: this.backendManager,
      protocol: ports.backends,
      logger,
    });
    this.readinessServer = createReadinessServer({
      callers: ports.callers,
      isReady: () =>
        !this.isStopRequested && this.configuration.inForce !== undefined,
    });
    this.watchPolls = WatchPollPlanner.create({
      view: this.view,
      logger,
      random,
      nowMs: monotonicMs,
      reachesStore: () => this.store.isReachable,
      configurationVersion: () => this.configuration.version,
      fetchConfiguration: (peer) => this.configuration.fetch(peer.peerAddress),
      broadcast: (plan) => this.gossip.broadcast(plan),
    });
    this.watcher = this.createWatcher();
    this.createGauges();
  }

  /**
   * Reads the settings and creates a router that is not running yet.
   *
   * @throws BamboolinkError if the settings can't be read.
   */
  static create(ports: RouterPorts): Router {
    const settings = ports.settings.read();
    if (settings.isErr()) {
      throw settings.error;
    }
    return new Router(ports, settings.value);
  }

  /** Starts the servers, the gossip and the control loop. Rejects if an address can't be bound. */
  async start(): Promise<void> {
    const { settings } = this;
    this.watcher.start();
    this.members.start();
    await Promise.all([
      this.gossip.start(),
      listen(this.heartbeatServer, settings.heartbeatAddress),
      listen(this.linkServer.server, settings.gossipAddress),
      listen(this.peerServer.server, settings.peerAddress),
      listen(this.readinessServer, settings.readinessAddress),
      listen(this.ingress.server, settings.callerAddress),
    ]);
    startMetricsServer({
      address: settings.metricsAddress,
      metrics: this.metrics,
      logger: this.logger,
    });
    this.timers.push(
      setInterval(() => this.tick(), TICK_INTERVAL_MS),
      setInterval(() => this.gossip.runRound(), GOSSIP_INTERVAL_MS),
      setInterval(() => this.checkSettings(), SETTINGS_CHECK_INTERVAL_MS),
      setInterval(
        () => this.logLoad(),
        LOAD_LOG_INTERVAL_MS,
      ),
    );
    this.logger.log("process_started", {
      host: settings.host,
      availability_zone: settings.availabilityZone,
      service: settings.service,
    });
  }

  /** Reads the settings again, even if their version has not changed. */
  reload(): void {
    this.settingsVersion = "";
    this.checkSettings();
  }

  /**
   * Shuts down gracefully, within the grace period: withdraws readiness, accepts requests until readiness probes have
   * detected that, announces to other daemons that it is stopping, waits for requests in flight and for keys that are
   * being released, and closes. Further calls wait for the same end.
   */
  stop(): Promise<void> {
    this.stopped ??= this.runStop();
    return this.stopped;
  }

  private async runStop(): Promise<void> {
    const deadlineMs = monotonicMs() + this.settings.bounds.graceMs -
      CLOSE_RESERVE_MS;
    this.isStopRequested = true;
    this.logger.log("process_stopping");
    this.ingress.beginStop();
    await sleep(PRE_STOP_DELAY_MS);
    this.isStopping = true;
    this.gossip.announce();
    this.ingress.stopListening();
    this.ingress.closeIdle();
    await sleep(TICK_INTERVAL_MS);
    this.linkServer.beginStop();
    while (monotonicMs() < deadlineMs && this.hasPendingWork()) {
      await sleep(TICK_INTERVAL_MS / 2);
      this.ingress.closeIdle();
    }
    const remaining = {
      unfinished: this.ingress.activeCount + this.linkServer.activeCount,
      unsent_bytes: this.ingress.unsentBytes,
    };
    await this.close();
    this.logger.log("process_stopped", remaining);
  }

  /**
   * Whether the process must not exit yet. Keys that were released but that the record still assigns to this daemon
   * could be assigned to others only after a takeover, 7 s later or more. If the store is unreachable, it may become
   * reachable again before the process has to exit.
   */
  private hasPendingWork(): boolean {
    const requests = this.ingress.openCount + this.linkServer.activeCount +
      this.peerConnections.busyCount;
    return requests > 0 || this.ownership.mustReleaseKeys ||
      this.gossip.isSending;
  }

  private async close(): Promise<void> {
    this.timers.forEach((timer) => clearInterval(timer));
    this.watcher.stop();
    this.members.stop();
    this.gossip.close();
    await this.linkServer.close();
    this.forwarder.close();
    [this.peerServer.server, this.readinessServer, this.heartbeatServer]
      .forEach(
        (server) => server.close(),
      );
    await Promise.all([this.backend.close(), this.store.close()]);
  }

  private logLoad(): void {
    this.logger.log("backend_load", {
      service: this.backendManager.service,
      ...this.backend.takeLoadSummary(),
      lag_ms: Math.round(this.lag.takeMaxMs()),
    });
  }

  private tick(): void {
    this.lag.recordTick();
    this.backend.tick();
    this.ownership.tick();
    this.linkServer.tick();
    this.forwarder.tick();
    this.quarantine.tick();
    this.evacuation.tick();
    this.earlierReportQuery.tick();
    this.watchPolls.tick();
  }

  private describeSelf(): Partial<MemberReport> {
    return {
      service: this.backendManager.service ?? this.settings.service,
      phase: this.isStopping ? "stopping" : this.backendManager.phase,
      slots: this.backendManager.slots,
      capacity: Math.round(this.backend.capacity * 100) / 100,
      statedStatus: this.backend.statedStatus,
      waitMs: Math.round(this.backend.waitMs),
      serviceMs: Math.round(this.backend.serviceMs),
      utilization: this.ownership.utilization,
      failureShare: this.backend.failureShare,
      configurationVersion: Math.max(0, this.configuration.version),
      ownershipRevision: this.directory.revision,
      reachesStore: this.store.isReachable,
      rankWaitsMs: [],
      lateRankWaitsMs: [],
      bodyWaitMs: Math.min(MAX_WAIT_MS, Math.round(this.bodies.meanWaitMs)),
    };
  }

  private handleReports(reports: readonly MemberReport[]): void {
    const nowMs = monotonicMs();
    reports.forEach((report) => {
      this.loadTracker.recordLoad(report.address, report, nowMs);
      this.configuration.handlePeerReport(report);
      if (report.ownershipRevision > this.directory.revision) {
        this.fetchOwnership(report);
      }
    });
  }

  private handleDatagram(datagram: Datagram): void {
    switch (datagram.kind) {
      case "ownership": {
        const { sender, service, revision, text } = datagram;
        if (text !== undefined) {
          this.directory.updateFromPeer({ service, revision, text });
          return;
        }
        const peer = this.view.find(sender);
        if (peer !== undefined) {
          this.fetchOwnership(peer);
        }
        return;
      }
      case "expect":
        this.handoverCoordinator.expectRanges(
          datagram.sender,
          datagram.ranges.map(([from, to, load]) => ({ from, to, load })),
          monotonicMs(),
        );
        return;
      case "awaiting":
        this.handoverCoordinator.markAwaiting(datagram.sender);
        return;
      case "ask_promise":
        this.handlePromiseRequest(datagram);
        return;
      case "ask_read":
        this.sharedReader.enqueue(datagram.sender, datagram);
        return;
      case "read":
        this.ownership.onSharedRead(datagram);
        return;
      case "ask_configuration":
        void this.configurationChecker.handleRequest(datagram);
        return;
      case "configuration":
        void this.configurationChecker.handleResponse(datagram);
        return;
      case "watch_plan":
        void this.watchPolls.handlePlan(datagram);
        return;
      case "crash_reports":
      case "cleared":
        this.quarantine.applyUpdate(datagram);
        return;
      case "evacuation":
        this.evacuation.applyUpdate(datagram);
        return;
      case "ask_evacuation":
        this.sendEvacuationState(datagram.sender);
        return;
      case "promise":
        if (datagram.service === this.backendManager.service) {
          this.lease.recordPromise(datagram.sender, datagram.askedAtMs);
        }
    }
  }

  /** Fetches the ownership records from a daemon that has newer ones; only one fetch runs at a time. */
  private fetchOwnership({ address, peerAddress: peer }: MemberReport): void {
    if (this.isFetchingOwnership) {
      return;
    }
    this.isFetchingOwnership = true;
    void this.peerClient.fetchOwnershipRecords(peer).match(
      (records) =>
        records.forEach((record) => {
          this.traffic.record(address, "records", record.text.length);
          this.directory.updateFromPeer(record);
        }),
      (cause) => this.logger.log("peer_question_failed", { peer, cause }),
    ).finally(() => {
      this.isFetchingOwnership = false;
    });
  }

  private announceOwnership(service: string, record: OwnershipRecord): void {
    const text = record.encode();
    this.gossip.broadcast({
      kind: "ownership",
      sender: this.view.ownReport.address,
      service,
      revision: record.revision,
      ...(text.length <= MAX_INLINE_RECORD_BYTES ? { text } : {}),
    });
  }

  private handlePromiseRequest(
    request: Extract<Datagram, { kind: "ask_promise" }>,
  ): void {
    const { service, sender: owner, askedAtMs, confirmedRevision } = request;
    if (!this.ownership.mayPromise(service, { owner, confirmedRevision })) {
      this.logger.log("tenure_promise_refused", {
        service,
        peer: owner,
        confirmed_revision: confirmedRevision,
        revision: this.directory.record(service)?.revision,
      });
      return;
    }
    const sender = this.view.ownReport.address;
    this.gossip.sendDatagram(
      { kind: "promise", sender, service, askedAtMs },
      owner,
    );
  }

  /** Sends a read request to the daemon that reads for all owners, which may be this one. */
  private requestSharedRead(reader: string, request: SharedReadRequest): void {
    const sender = this.view.ownReport.address;
    if (reader === sender) {
      this.sharedReader.enqueue(sender, request);
      return;
    }
    this.gossip.sendDatagram({ kind: "ask_read", sender, ...request }, reader);
  }

  private sendSharedReadResponse(
    owner: string,
    response: SharedReadResponse,
  ): void {
    const sender = this.view.ownReport.address;
    if (owner === sender) {
      this.ownership.onSharedRead(response);
      return;
    }
    this.gossip.sendDatagram({ kind: "read", sender, ...response }, owner);
  }

  private announcePlannedMoves(
    daemon: string,
    moves: readonly PlannedMove[],
  ): void {
    const sender = this.view.ownReport.address;
    const ranges = moves.map(({ from, to, load }): [number, number, number] => [
      from,
      to,
      Math.round(load),
    ]);
    this.gossip.sendDatagram({ kind: "expect", sender, ranges }, daemon);
  }

  /** Delays the response to a heartbeat during a handover of keys, so that they are without a holder for less time. */
  private async awaitHandovers(): Promise<void> {
    const { handoverCoordinator, ownership } = this;
    const latestMs = handoverCoordinator.latestResponseMs(monotonicMs());
    if (ownership.areMovesLikely) {
      const isPlanned = () => ownership.hasPlannedMoves;
      await handoverCoordinator.awaitPlan(isPlanned, monotonicMs);
    }
    if (ownership.hasPlannedMoves) {
      // Releasing keys comes first: two daemons that each wait for the other's keys would release none.
      await ownership.beginMoves(latestMs);
      return;
    }
    const sources = handoverCoordinator.expectedSources(monotonicMs());
    if (sources.length === 0) {
      return;
    }
    const sender = this.view.ownReport.address;
    sources.forEach((source) =>
      this.gossip.sendDatagram({ kind: "awaiting", sender }, source)
    );
    await handoverCoordinator.awaitKeys(monotonicMs, latestMs);
  }

  /** Only the shared reader restores them, as it is the first to detect that the store was rolled back. */
  private restoreMembers(): void {
    if (this.ownership.isSharedReader) {
      void this.members.restoreMissing(monotonicMs());
    }
  }

  /** Picks a random alive daemon that can reach the store. */
  private findRelay(): string | undefined {
    const relays = this.view.alive(monotonicMs())
      .filter(({ reachesStore }) => reachesStore);
    const index = Math.floor(this.ports.random() * relays.length);
    return relays[index]?.peerAddress;
  }

  private createWatcher(): StoreWatcher {
    const { logger, random, document } = this.ports;
    return StoreWatcher.create({
      store: this.store,
      logger,
      random,
      prefix: document.prefix,
      firstListing: this.members.operatorListing,
      choosePollTimeoutMs: (endedUnchanged) =>
        this.watchPolls.nextTimeoutMs(endedUnchanged),
      awaitPoll: () => this.watchPolls.awaitDue(),
      onListing: ({ records, revision }) => {
        const zones = records.flatMap(({ key }) =>
          document.readEvacuatedZone(key) ?? []
        );
        this.evacuation.applyListing({ revision, zones });
        records.forEach((record) => this.handleOperatorRecord(record));
      },
      onChange: (change) => {
        const { key, value, revision } = change;
        const zone = document.readEvacuatedZone(key);
        if (zone !== undefined) {
          const isEvacuated = value !== undefined;
          this.evacuation.applyChange({ revision, zone, isEvacuated });
        }
        this.handleOperatorRecord(change);
      },
    });
  }

  private handleOperatorRecord(
    { key, value }: { key: string; value: string | undefined },
  ): void {
    if (key === this.ports.document.key && value !== undefined) {
      this.configuration.applyDocument(value, "store");
    }
  }

  private hasMemberIn(zone: string): boolean {
    const { view } = this;
    return [view.ownReport, ...view.alive(monotonicMs())]
      .some(({ availabilityZone }) => availabilityZone === zone);
  }

  /** Requests the evacuated availability zones from a random alive daemon. */
  private requestEvacuationState(): void {
    const sender = this.view.ownReport.address;
    const alive = this.view.alive(monotonicMs());
    const peer = alive[Math.floor(this.ports.random() * alive.length)];
    if (peer !== undefined) {
      this.gossip.sendDatagram(
        { kind: "ask_evacuation", sender },
        peer.address,
      );
    }
  }

  private sendEvacuationState(peer: string): void {
    const update = this.evacuation.createUpdate();
    if (update !== undefined) {
      this.gossip.sendDatagram(update, peer);
    }
  }

  private createGauges(): void {
    const gauges: Record<string, () => number> = {
      bamboolink_requests_running: () => this.backend.counts.running,
      bamboolink_requests_queued: () => this.backend.counts.waiting,
      bamboolink_backend_limit_per_second: () =>
        this.backend.startRate.limitPerSecond,
      bamboolink_backend_starts_per_second: () =>
        this.backend.startRate.startedPerSecond,
      bamboolink_backend_slowdown: () => this.backend.slowdown,
      bamboolink_backend_cold: () => this.backend.isCold ? 1 : 0,
      bamboolink_cold_key_ms: () => this.backend.keyColdMs,
      bamboolink_configuration_version: () => this.configuration.version,
      bamboolink_members_alive: () => this.view.alive(monotonicMs()).length,
      bamboolink_requests_quarantined: () => this.quarantine.count,
      bamboolink_owned_keys: () => this.grants.ownKeyCount,
      bamboolink_owned_ranges: () => this.grants.ownRanges.length,
      bamboolink_grant_bytes: () =>
        this.grants.measure(this.ports.backends.grantLimit),
      bamboolink_key_moves_begun: () => this.ownership.moveTotals.begun,
      bamboolink_key_moves_dropped: () => this.ownership.moveTotals.dropped,
      bamboolink_moved_keys: () => this.ownership.moveTotals.keys,
      bamboolink_tenure_left_ms: () =>
        Math.max(0, this.lease.expiresAtMs - bootMs()),
      bamboolink_zone_evacuated: () => this.evacuation.isEvacuated ? 1 : 0,
      bamboolink_store_era: () => this.store.era,
      bamboolink_store_reached: () => this.store.isReachable ? 1 : 0,
      bamboolink_follows_records: () => this.watchPolls.isFollower ? 1 : 0,
    };
    Object.entries(gauges).forEach(([name, read]) =>
      this.metrics.gauge(name, read)
    );
    this.metrics.counterFrom(
      "bamboolink_cross_zone_bytes",
      "kind",
      () => this.traffic.bytesByKind,
    );
  }

  /** Applies changed settings; settings that can't be read are logged and ignored. */
  private checkSettings(): void {
    const version = this.ports.settings.readVersion();
    if (version === this.settingsVersion) {
      return;
    }
    this.settingsVersion = version;
    this.ports.settings.read().match(
      (settings) => this.applySettings(settings),
      (cause) => this.logger.log("settings_unreadable", { cause }),
    );
  }

  private applySettings(settings: RouterSettings): void {
    this.settings = { ...settings };
    const { resendRatio, resendExtra, resendWindowMs } = settings.bounds;
    this.retryBudget.setLimits({
      ratio: resendRatio,
      extra: resendExtra,
      windowMs: resendWindowMs,
    });
    this.logger.log("settings_reloaded", { service: settings.service });
  }
}

function createOwnReport(settings: RouterSettings): MemberReport {
  return {
    address: settings.gossipAddress,
    incarnation: 1,
    sequence: 0,
    availabilityZone: settings.availabilityZone,
    peerAddress: settings.peerAddress,
    service: settings.service,
    phase: "absent",
    slots: 0,
    waitMs: 0,
    serviceMs: 0,
    utilization: 0,
    failureShare: 0,
    configurationVersion: 0,
    ownershipRevision: 0,
    reachesStore: false,
    capacity: 0,
    statedStatus: null,
    rankWaitsMs: [],
    lateRankWaitsMs: [],
    bodyWaitMs: 0,
  };
}

function listen(server: ConnectionServer, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once(
      "error",
      (cause) =>
        reject(BamboolinkError.create("invalid", `can't listen at ${address}`, {
          step: "router.listen",
          peer: address,
          cause,
        })),
    );
    server.listen(port, host, () => {
      server.removeAllListeners("error");
      resolve();
    });
  });
}
