/**
 * Puts the parts of the router together.
 *
 * @module
 */
import type { Server } from "node:http";
import type { Server as ConnectionServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { FleetRetryBudget } from "@bamboolink/admission";
import { ServerConnections } from "@bamboolink/connections";
import { BamboolinkError } from "@bamboolink/errors";
import {
  GrantTracker,
  OwnershipLease,
  type OwnershipRecord,
  type PlannedMove,
} from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import {
  type MemberReport,
  MemberView,
  WatchWaits,
} from "@bamboolink/membership";
import { Metrics } from "@bamboolink/metrics";
import type { Store } from "@bamboolink/store";
import { ResponseSender } from "./response_sender.ts";
import { BackendLoadTracker } from "./backend_load_tracker.ts";
import { BackendManager } from "./backend_manager.ts";
import { bootMs, steadyMs } from "./clock.ts";
import { ConfigurationKeeper } from "./configuration_keeper.ts";
import type { Datagram } from "./datagram_codec.ts";
import { EvacuationKeeper } from "./evacuation_keeper.ts";
import { Forwarder } from "./forwarder.ts";
import { GossipNode, ROUND_MS, splitAddress } from "./gossip_node.ts";
import { createHeartbeatServer } from "./heartbeat_server.ts";
import { HandoverCoordinator } from "./handover_coordinator.ts";
import { Ingress } from "./ingress.ts";
import { LinkServer } from "./link_server.ts";
import { LocalBackend } from "./local_backend.ts";
import { LoopLag } from "./loop_lag.ts";
import { startMetricsServer } from "./metrics_server.ts";
import { MemberDirectory } from "./member_directory.ts";
import { OwnershipDirectory } from "./ownership_directory.ts";
import { OwnershipManager } from "./ownership_manager.ts";
import { PeerQuestions } from "./peer_questions.ts";
import { PeerServer } from "./peer_server.ts";
import type { BackendProtocol } from "./ports/backend_protocol.ts";
import type { CallerProtocol } from "./ports/caller_protocol.ts";
import type { ConfigurationDocument } from "./ports/configuration_document.ts";
import type {
  RouterSettings,
  SettingsSource,
} from "./ports/router_settings.ts";
import { probeBackend } from "./probe_backend.ts";
import { createReadinessServer } from "./readiness_server.ts";
import { RelayedStore } from "./relayed_store.ts";
import { RecordInspector } from "./record_inspector.ts";
import { RequestQuarantine } from "./request_quarantine.ts";
import { RequestRunner } from "./request_runner.ts";
import {
  SharedReader,
  type SharedReadRequest,
  type SharedReadResponse,
} from "./shared_reader.ts";
import { StoreWatcher } from "./store_watcher.ts";

/** Time between two steps of the control loop, in milliseconds. */
const TICK_MS = 50;
/** Time between two lines of the log on how busy the backend server is, in milliseconds. */
const LOAD_LINE_MS = 2_000;
/** Time between two looks at the settings, in milliseconds. */
const SETTINGS_MS = 1_000;
/**
 * After the request to stop, how long requests are taken as before, in milliseconds: until then those
 * who asked for readiness have been told twice that there is none.
 */
const LEAVE_MS = 2_300;
/** Time kept for closing before the process would be killed, in milliseconds. */
const CLOSING_MS = 700;
/**
 * Records up to this size travel with the news of them, in bytes. Larger ones are asked for, by all
 * daemons at once; a datagram of a few pieces is cheaper, and one that is lost is asked for, too.
 */
const LARGEST_NEWS_BYTES = 4_096;
/** The health check of a service that no configuration names. */
const USUAL_HEALTH_PATH = "/healthz";

/** What the router meets outside, each through its port. */
export interface RouterPorts {
  readonly settings: SettingsSource;
  readonly createStore: (address: string) => Store;
  readonly document: ConfigurationDocument;
  readonly callers: CallerProtocol;
  readonly backends: BackendProtocol;
  readonly logger: Logger;
  readonly random: () => number;
}

/** The router beside one backend server. */
export class Router {
  private readonly metrics = Metrics.create();
  private readonly grants = GrantTracker.create(bootMs());
  private readonly tenure = OwnershipLease.create(bootMs());
  private readonly board = BackendLoadTracker.create();
  private readonly questions = PeerQuestions.create();
  private readonly desk = HandoverCoordinator.create();
  private readonly lag = LoopLag.create(TICK_MS, steadyMs);
  private readonly logger: Logger;
  private readonly directStore: Store;
  private readonly store: RelayedStore;
  private readonly view: MemberView;
  private readonly directory: OwnershipDirectory;
  private readonly reader: SharedReader;
  private readonly quarantine: RequestQuarantine;
  private readonly evacuation: EvacuationKeeper;
  private readonly backend: LocalBackend;
  private readonly keeper: BackendManager;
  private readonly ownership: OwnershipManager;
  private readonly configuration: ConfigurationKeeper;
  private readonly members: MemberDirectory;
  private readonly gossip: GossipNode;
  private readonly forwarder: Forwarder;
  private readonly budget: FleetRetryBudget;
  private readonly ingress: Ingress;
  private readonly linkServer: LinkServer;
  private readonly peerServer: PeerServer;
  private readonly peerConnections: ServerConnections;
  private readonly heartbeats: Server;
  private readonly readiness: Server;
  private readonly watcher: StoreWatcher;
  private readonly timers: NodeJS.Timeout[] = [];
  private settingsVersion: string;
  private isAskingOwnership = false;
  private isLeaving = false;
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
    this.store = RelayedStore.create({
      direct: this.directStore,
      peerClient: this.questions,
      logger,
      findRelay: () => this.findHelper(),
      onRolledBack: () => this.restoreMembers(),
    });
    this.directory = OwnershipDirectory.create(logger);
    const inspector = RecordInspector.create({
      logger,
      directory: this.directory,
      era: () => this.store.era,
    });
    this.reader = SharedReader.create({
      store: this.directStore,
      logger,
      inspector,
      onResponse: (owner, answer) => this.answerRead(owner, answer),
    });
    this.quarantine = RequestQuarantine.create({
      address: settings.gossipAddress,
      logger,
      random,
      nowMs: steadyMs,
      broadcast: (news) => this.gossip.spread(news),
      sendToSome: (news) => this.gossip.spreadToSome(news),
    });
    this.evacuation = EvacuationKeeper.create({
      address: settings.gossipAddress,
      zone: settings.availabilityZone,
      logger,
      nowMs: steadyMs,
      evacuateMs: () => this.settings.bounds.evacuateMs,
      isNamed: (zone) => this.hasMemberIn(zone),
      tellAll: (news) => this.gossip.spread(news),
      tellSome: (news) => this.gossip.spreadToSome(news),
      ask: () => this.askEvacuation(),
      onChange: () => this.keeper.onEvacuationChanged(),
    });
    this.backend = LocalBackend.create({
      address: settings.backendAddress,
      protocol: ports.backends,
      logger,
      grants: this.grants,
      quarantine: this.quarantine,
      onSuspicion: (suspicion) => void this.keeper.handleSuspicion(suspicion),
    });
    this.keeper = BackendManager.create({
      logger,
      backend: this.backend,
      grants: this.grants,
      lease: this.tenure,
      evacuation: this.evacuation,
      drainMs: () => this.settings.bounds.drainMs,
      probe: (service) =>
        probeBackend(settings.backendAddress, {
          protocol: ports.backends,
          healthPath:
            this.configuration.inForce?.services.get(service)?.healthPath ??
              USUAL_HEALTH_PATH,
        }),
      isKeyed: (service) => this.directory.isKeyed(service),
      isConfigured: (service) =>
        this.configuration.inForce?.services.has(service),
      coldLimit: (service) => this.coldLimitOf(service),
      heartbeatIntervalMs: () => this.settings.heartbeatMs,
      mayGrant: (service) => this.ownership.mayGrant(service),
      onChange: () => this.gossip.announce(),
      onFreed: (freed) => this.ownership.handleFreed(freed),
      beforeDrain: () => this.ownership.releaseAll(),
      onProcessEnded: (end) => this.quarantine.recordBackendEnd(end),
      beforeGrant: () => this.meetHandovers(),
    });
    this.ownership = OwnershipManager.create({
      store: this.store,
      logger,
      view: this.view,
      directory: this.directory,
      inspector,
      grants: this.grants,
      lease: this.tenure,
      backend: this.backend,
      backendManager: () => this.keeper,
      handoverCoordinator: this.desk,
      random: this.ports.random,
      onWritten: (service, record) => this.tellOwnership(service, record),
      onMovesPlanned: (daemon, moves) => this.tellExpected(daemon, moves),
      onSharedReadNeeded: (reader, question) => this.askRead(reader, question),
      onPromiseNeeded: (arbiter, question) =>
        this.gossip.sendDatagram({
          kind: "ask_promise",
          sender: this.view.ownReport.address,
          ...question,
        }, arbiter),
    });
    this.configuration = ConfigurationKeeper.create({
      document: ports.document,
      logger,
      questions: this.questions,
      onChange: ({ configuration }) => {
        this.directory.configure(configuration);
        this.ingress.setLimits(configuration.limits);
      },
    });
    this.members = MemberDirectory.create({
      store: this.store,
      view: this.view,
      logger,
      onRegistered: (revision) => this.ownership.onRegistered(revision),
      onRecord: (record) => this.directory.updateFromStore(record.key, record),
    });
    this.gossip = GossipNode.create({
      address: settings.gossipAddress,
      view: this.view,
      logger,
      random,
      describe: () => this.describe(),
      onReports: (reports) => this.noteReports(reports),
      onDatagram: (datagram) => this.takeDatagram(datagram),
    });
    this.forwarder = Forwarder.create({
      logger,
      onLoad: (daemon, route, load) =>
        this.board.recordRouteLoad(daemon, { route, load, nowMs: steadyMs() }),
      onUnreachable: (daemon) => this.board.markUnreachable(daemon, steadyMs()),
    });
    const { resendRatio, resendExtra, resendWindowMs } = settings.bounds;
    this.budget = FleetRetryBudget.create({
      ratio: resendRatio,
      extra: resendExtra,
      windowMs: resendWindowMs,
    });
    const runner = RequestRunner.create({
      logger,
      view: this.view,
      loadTracker: this.board,
      directory: this.directory,
      backend: this.backend,
      forwarder: this.forwarder,
      quarantine: this.quarantine,
      budget: this.budget,
      random,
    });
    this.ingress = Ingress.create({
      protocol: ports.callers,
      logger,
      metrics: this.metrics,
      configuration: this.configuration,
      runner,
      lag: this.lag,
      random,
      callerService: () => this.settings.service,
    });
    this.linkServer = LinkServer.create({
      logger,
      responses: ResponseSender.create(
        settings.linkBytesPerSecond ?? Infinity,
        steadyMs,
      ),
      backend: this.backend,
      lag: this.lag,
      nowMs: steadyMs,
    });
    this.peerServer = PeerServer.create({
      logger,
      configuration: this.configuration,
      directory: this.directory,
      store: this.directStore,
    });
    this.peerConnections = ServerConnections.create(this.peerServer.server);
    this.heartbeats = createHeartbeatServer({
      backendManager: this.keeper,
      protocol: ports.backends,
      logger,
    });
    this.readiness = createReadinessServer({
      callers: ports.callers,
      isReady: () =>
        !this.isLeaving && this.configuration.inForce !== undefined,
    });
    this.watcher = this.createWatcher();
    this.createGauges();
  }

  /** Reads the settings and creates a router that does not run yet. */
  static create(ports: RouterPorts): Router {
    const settings = ports.settings.read();
    if (settings.isErr()) {
      throw settings.error;
    }
    return new Router(ports, settings.value);
  }

  /** Opens the addresses and begins to work. */
  async start(): Promise<void> {
    const { settings } = this;
    this.watcher.start();
    this.members.start();
    await Promise.all([
      this.gossip.start(),
      listen(this.heartbeats, settings.heartbeatAddress),
      listen(this.linkServer.server, settings.gossipAddress),
      listen(this.peerServer.server, settings.peerAddress),
      listen(this.readiness, settings.readinessAddress),
      listen(this.ingress.server, settings.callerAddress),
    ]);
    startMetricsServer({
      address: settings.metricsAddress,
      metrics: this.metrics,
      logger: this.logger,
    });
    this.timers.push(
      setInterval(() => this.tick(), TICK_MS),
      setInterval(() => this.gossip.round(), ROUND_MS),
      setInterval(() => this.checkSettings(), SETTINGS_MS),
      setInterval(
        () => this.logLoad(),
        LOAD_LINE_MS,
      ),
    );
    this.logger.log("process_started", {
      host: settings.host,
      availability_zone: settings.availabilityZone,
      service: settings.service,
    });
  }

  /** Reads the settings again, because somebody said that they changed. */
  reload(): void {
    this.settingsVersion = "";
    this.checkSettings();
  }

  /**
   * Stops without cutting anything: readiness goes first; requests are taken until nobody new comes;
   * then the daemon takes itself out, ends what is under way, and closes.
   */
  async stop(): Promise<void> {
    if (this.isLeaving) {
      return;
    }
    const untilMs = steadyMs() + this.settings.bounds.graceMs - CLOSING_MS;
    this.isLeaving = true;
    this.logger.log("process_stopping");
    this.ingress.beginStop();
    await sleep(LEAVE_MS);
    this.isStopping = true;
    this.gossip.announce();
    this.ingress.stopListening();
    this.ingress.closeIdle();
    await sleep(TICK_MS);
    this.linkServer.beginStop();
    while (steadyMs() < untilMs && this.hasDuties()) {
      await sleep(TICK_MS / 2);
      this.ingress.closeIdle();
    }
    const left = {
      unfinished: this.ingress.activeCount + this.linkServer.activeCount,
      unsent_bytes: this.ingress.unsentBytes,
    };
    await this.close();
    this.logger.log("process_stopped", left);
  }

  /**
   * Whether the process must not end yet. Keys that were given up and are still its own in the record would be
   * free only after a takeover, 7 s later or more; while the store is away, it may come back before the process has to
   * end.
   */
  private hasDuties(): boolean {
    const requests = this.ingress.busyCount + this.linkServer.activeCount +
      this.peerConnections.busyCount;
    return requests > 0 || this.ownership.isReleasingKeys;
  }

  private async close(): Promise<void> {
    this.timers.forEach((timer) => clearInterval(timer));
    this.watcher.stop();
    this.members.stop();
    this.gossip.close();
    await this.linkServer.close();
    this.forwarder.close();
    [this.peerServer.server, this.readiness, this.heartbeats].forEach(
      (server) => server.close(),
    );
    await Promise.all([this.backend.close(), this.store.close()]);
  }

  private logLoad(): void {
    this.logger.log("backend_load", {
      service: this.keeper.service,
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
  }

  private describe(): Partial<MemberReport> {
    return {
      service: this.keeper.service ?? this.settings.service,
      phase: this.isStopping ? "stopping" : this.keeper.phase,
      slots: this.keeper.slots,
      waitMs: Math.round(this.backend.waitMs),
      serviceMs: Math.round(this.backend.serviceMs),
      utilization: this.ownership.utilization,
      failureShare: this.backend.failureShare,
      configurationVersion: Math.max(0, this.configuration.version),
      ownershipRevision: this.directory.revision,
      reachesStore: this.store.isReachable,
    };
  }

  private noteReports(reports: readonly MemberReport[]): void {
    const nowMs = steadyMs();
    reports.forEach((report) => {
      this.board.recordLoad(report.address, report, nowMs);
      this.configuration.notePeer(report);
      if (report.ownershipRevision > this.directory.revision) {
        this.askOwnership(report.forwardAddress);
      }
    });
  }

  private takeDatagram(datagram: Datagram): void {
    switch (datagram.kind) {
      case "ownership": {
        const { sender, service, revision, text } = datagram;
        if (text !== undefined) {
          this.directory.updateFromPeer({ service, revision, text });
          return;
        }
        const address = this.view.find(sender)?.forwardAddress;
        if (address !== undefined) {
          this.askOwnership(address);
        }
        return;
      }
      case "expect":
        this.desk.expectRanges(
          datagram.sender,
          datagram.ranges.map(([from, to, load]) => ({ from, to, load })),
          steadyMs(),
        );
        return;
      case "awaiting":
        this.desk.markAwaiting(datagram.sender);
        return;
      case "ask_promise":
        this.answerPromiseQuestion(datagram);
        return;
      case "ask_read":
        this.reader.enqueue(datagram.sender, datagram);
        return;
      case "read":
        this.ownership.onSharedRead(datagram);
        return;
      case "crash_reports":
      case "cleared":
        this.quarantine.applyUpdate(datagram);
        return;
      case "evacuation":
        this.evacuation.take(datagram);
        return;
      case "ask_evacuation":
        this.answerEvacuation(datagram.sender);
        return;
      case "promise":
        if (datagram.service === this.keeper.service) {
          this.tenure.recordPromise(datagram.sender, datagram.askedAtMs);
        }
    }
  }

  /** Asks a daemon that knows newer records of ownership, one question at a time. */
  private askOwnership(peer: string): void {
    if (this.isAskingOwnership) {
      return;
    }
    this.isAskingOwnership = true;
    void this.questions.askOwnership(peer).match(
      (records) =>
        records.forEach((news) => this.directory.updateFromPeer(news)),
      (cause) => this.logger.log("peer_question_failed", { peer, cause }),
    ).finally(() => {
      this.isAskingOwnership = false;
    });
  }

  private tellOwnership(service: string, record: OwnershipRecord): void {
    const text = record.encode();
    this.gossip.spread({
      kind: "ownership",
      sender: this.view.ownReport.address,
      service,
      revision: record.revision,
      ...(text.length <= LARGEST_NEWS_BYTES ? { text } : {}),
    });
  }

  private answerPromiseQuestion(
    question: Extract<Datagram, { kind: "ask_promise" }>,
  ): void {
    const { service, sender: owner, askedAtMs, confirmedRevision } = question;
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

  /** Asks the daemon that reads for all owners, which may be the own one. */
  private askRead(reader: string, question: SharedReadRequest): void {
    const sender = this.view.ownReport.address;
    if (reader === sender) {
      this.reader.enqueue(sender, question);
      return;
    }
    this.gossip.sendDatagram({ kind: "ask_read", sender, ...question }, reader);
  }

  private answerRead(owner: string, answer: SharedReadResponse): void {
    const sender = this.view.ownReport.address;
    if (owner === sender) {
      this.ownership.onSharedRead(answer);
      return;
    }
    this.gossip.sendDatagram({ kind: "read", sender, ...answer }, owner);
  }

  private tellExpected(daemon: string, moves: readonly PlannedMove[]): void {
    const sender = this.view.ownReport.address;
    const ranges = moves.map(({ from, to, load }): [number, number, number] => [
      from,
      to,
      Math.round(load),
    ]);
    this.gossip.sendDatagram({ kind: "expect", sender, ranges }, daemon);
  }

  /** Holds back the answer to a heartbeat while keys come or go, so that they have a holder sooner. */
  private async meetHandovers(): Promise<void> {
    if (this.ownership.hasPlannedMoves) {
      // Giving goes first: daemons that wait for each other's keys would give none.
      await this.ownership.beginMoves();
      return;
    }
    const givers = this.desk.expectedSenders(steadyMs());
    if (givers.length === 0) {
      return;
    }
    const sender = this.view.ownReport.address;
    givers.forEach((giver) =>
      this.gossip.sendDatagram({ kind: "awaiting", sender }, giver)
    );
    await this.desk.awaitKeys(steadyMs);
  }

  /** Most requests in one second that a cold backend server of a service may get; 0 where that is not known. */
  private coldLimitOf(service: string): number {
    const { coldRatio, coldExtra } = this.settings.bounds;
    const perSecond = this.configuration.inForce?.services.get(service)
      ?.coldRequestsPerSecond;
    return perSecond === undefined
      ? 0
      : Math.max(1, Math.floor(perSecond * coldRatio + coldExtra));
  }

  /** The daemon that reads for all sees first that the store went back. */
  private restoreMembers(): void {
    if (this.ownership.isSharedReader) {
      void this.members.restoreLost(steadyMs());
    }
  }

  /** A living daemon that reaches the store, any one. */
  private findHelper(): string | undefined {
    const helpers = this.view.alive(steadyMs())
      .filter(({ reachesStore }) => reachesStore);
    const index = Math.floor(this.ports.random() * helpers.length);
    return helpers[index]?.forwardAddress;
  }

  private createWatcher(): StoreWatcher {
    const { logger, random, document } = this.ports;
    const waits = WatchWaits.create(random);
    return StoreWatcher.create({
      store: this.store,
      logger,
      random,
      prefix: document.prefix,
      chooseWaitMs: (hasRunOut) => {
        const daemons = this.view.alive(steadyMs()).length + 1;
        return waits.next({ daemons, hasRunOut });
      },
      onListing: ({ records, revision }) => {
        const zones = records.flatMap(({ key }) =>
          document.readEvacuatedZone(key) ?? []
        );
        this.evacuation.takeListing({ revision, zones });
        records.forEach((record) => this.takeOperatorRecord(record));
      },
      onChange: (change) => {
        const { key, value, revision } = change;
        const zone = document.readEvacuatedZone(key);
        if (zone !== undefined) {
          const isEvacuated = value !== undefined;
          this.evacuation.takeChange({ revision, zone, isEvacuated });
        }
        this.takeOperatorRecord(change);
      },
    });
  }

  private takeOperatorRecord(
    { key, value }: { key: string; value: string | undefined },
  ): void {
    if (key === this.ports.document.key && value !== undefined) {
      this.configuration.take(value, "store");
    }
  }

  private hasMemberIn(zone: string): boolean {
    const { view } = this;
    return [view.ownReport, ...view.alive(steadyMs())]
      .some(({ availabilityZone }) => availabilityZone === zone);
  }

  /** Asks one living daemon which zones are evacuated. */
  private askEvacuation(): void {
    const sender = this.view.ownReport.address;
    const alive = this.view.alive(steadyMs());
    const asked = alive[Math.floor(this.ports.random() * alive.length)];
    if (asked !== undefined) {
      this.gossip.sendDatagram(
        { kind: "ask_evacuation", sender },
        asked.address,
      );
    }
  }

  private answerEvacuation(peer: string): void {
    const news = this.evacuation.describe();
    if (news !== undefined) {
      this.gossip.sendDatagram(news, peer);
    }
  }

  private createGauges(): void {
    const gauges: Record<string, () => number> = {
      bamboolink_requests_running: () => this.backend.counts.running,
      bamboolink_requests_queued: () => this.backend.counts.waiting,
      bamboolink_configuration_version: () => this.configuration.version,
      bamboolink_members_alive: () => this.view.alive(steadyMs()).length,
      bamboolink_requests_quarantined: () => this.quarantine.count,
      bamboolink_owned_keys: () => this.grants.ownKeyCount,
      bamboolink_tenure_left_ms: () =>
        Math.max(0, this.tenure.expiresAtMs - bootMs()),
      bamboolink_zone_evacuated: () => this.evacuation.isEvacuated ? 1 : 0,
      bamboolink_store_era: () => this.store.era,
      bamboolink_store_reached: () => this.store.isReachable ? 1 : 0,
    };
    Object.entries(gauges).forEach(([name, read]) =>
      this.metrics.gauge(name, read)
    );
  }

  /** Takes over changed settings; those that can't be read leave all as it is. */
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
    this.budget.setLimits({
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
    beat: 0,
    availabilityZone: settings.availabilityZone,
    forwardAddress: settings.peerAddress,
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
