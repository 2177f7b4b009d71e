/**
 * Tracks the state of the backend server on this host: which incarnation runs, whether it accepts requests, and which
 * keys it is granted.
 *
 * @module
 */
import {
  CLOCK_DRIFT,
  DrainTracker,
  type Grant,
  type GrantLimit,
  type GrantTracker,
  type Incarnation,
  IncarnationTracker,
  MAX_HOLD_MS,
  type OwnershipLease,
  type ProbeResult,
  type Succession,
} from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import type { MemberPhase, StatedStatus } from "@bamboolink/membership";
import { bootMs, monotonicMs } from "../clock.ts";
import { FirstGrantTimer } from "./first_grant_timer.ts";
import type { BackendSuspicion, LocalBackend } from "./local_backend.ts";
import type {
  BackendDeparture,
  BackendHeartbeat,
} from "../ports/backend_protocol.ts";

/** An incarnation without heartbeats for this long, in milliseconds, no longer takes precedence over another one. */
const INCARNATION_TIMEOUT_MS = 2_500;
/** Multiple of the typical heartbeat interval after which a heartbeat is overdue; some arrive a little late. */
const OVERDUE_FACTOR = 1.5;
/** Minimum remaining hold with which a backend server keeps its keys until its next heartbeat response, in ms. */
const MIN_HOLD_MS = 1_200;
/** A backend server that still refuses connections after this time, in milliseconds, has ended. */
const REFUSAL_PROBE_DELAY_MS = 150;
/** Maximum accepted cold time, in milliseconds; longer ones are capped, as each heartbeat reports the rest of it. */
const MAX_COLD_MS = 60_000;

/**
 * Share of the drain time during which queued requests are still forwarded to the backend server; the rest allows for
 * their transmission and for clock differences.
 */
const DRAIN_FORWARD_SHARE = 0.75;

/** Evacuation state of this daemon's availability zone, as operators have set it. */
export interface LocalEvacuation {
  /** Whether the zone is evacuated, so that the backend server on this host is to get no further requests or keys. */
  readonly isEvacuated: boolean;
  /** When the handover of keys and the forwarding of queued requests end, on the monotonic clock, in milliseconds. */
  readonly handoverEndsAtMs: number;
  /** Waits until it is known which zones are evacuated; returns false if that is still unknown. */
  awaitKnown(): Promise<boolean>;
}

/** Dependencies of the backend manager. */
export interface BackendManagerContext {
  readonly logger: Logger;
  readonly backend: LocalBackend;
  readonly grants: GrantTracker;
  /** What the response to a heartbeat can hold. */
  readonly grantLimit: GrantLimit;
  readonly lease: OwnershipLease;
  readonly evacuation: LocalEvacuation;
  /** Waits, for a bounded time, for what an earlier process of this daemon has reported to others. */
  readonly awaitEarlierReport: () => Promise<void>;
  /** Time from the start of a drain until the backend server may get no more requests, in milliseconds. */
  readonly drainMs: () => number;
  /** Probes which incarnation responds at the address of the backend server of a service. */
  readonly probe: (service: string) => Promise<ProbeResult>;
  readonly isKeyed: (service: string) => boolean;
  /** Whether the configuration in force contains a service; `undefined` while none is in force. */
  readonly isConfigured: (service: string) => boolean | undefined;
  /** Maximum requests per second to a cold backend server of a service; 0 if unknown. */
  readonly coldLimit: (service: string) => number;
  /** Typical interval between two heartbeats, in milliseconds. */
  readonly heartbeatIntervalMs: () => number;
  /** Whether keys of a service may be granted: the daemon is registered and knows their owners. */
  readonly mayGrant: (service: string) => boolean;
  /** Called when a backend server of another service has replaced the known one; the lease was reset. */
  readonly onServiceChanged: () => void;
  /** Called when the phase or the incarnation has changed. */
  readonly onChange: () => void;
  /** Called when the backend server has released ranges that are no longer granted to it. */
  readonly onReleased: (
    released: readonly { from: number; to: number; handover: string }[],
  ) => void;
  /**
   * Called after the backend server has announced its drain, or while it is evacuated, before its heartbeat is
   * responded to; returns whether its keys can be reassigned now.
   */
  readonly beforeDrain: () => Promise<boolean>;
  /** Called when the process of an incarnation has ended, or is assumed to have ended. */
  readonly onProcessEnded: (end: BackendProcessEnd) => void;
  /** Called before a grant is decided; it may delay the heartbeat response for a handover. */
  readonly beforeGrant: () => Promise<void>;
  /**
   * Waits before the first grant to a process, for a bounded time, until keys of a service may be granted; `delayedMs` is
   * how long the response has been delayed by then.
   */
  readonly awaitGrantable: (
    service: string,
    delayedMs: number,
  ) => Promise<void>;
}

/** The end of a backend server's process, proved or assumed. */
export interface BackendProcessEnd {
  readonly instance: string | undefined;
  /**
   * Why the process is taken to have ended. "refused": nothing listens at its address; "replaced": another incarnation
   * has taken its place, which is no proof of the end if the succession was only assumed (see `Succession`).
   */
  readonly proof: "refused" | "replaced";
}

/** The response to a heartbeat. */
export type HeartbeatResponse =
  /** Without a grant, no hold is renewed. */
  | { readonly kind: "acknowledged"; readonly grant: Grant | undefined }
  /** Treated as not received, so the backend server sends its state again. */
  | { readonly kind: "unacknowledged" };

/** Tracks the backend server on this host by its heartbeats, and decides its grants. */
export class BackendManager {
  private readonly incarnations = IncarnationTracker.create();
  private lastHeartbeat: BackendHeartbeat | undefined;
  private currentPhase: MemberPhase = "absent";
  private readonly drain = DrainTracker.create();
  private readonly firstGrant = FirstGrantTimer.create();
  /** When all grants to other backend servers at the address have certainly ended, on the boot-time clock. */
  private othersEndedAtMs = Infinity;
  /** End of the cold time that the backend server has reported, on the monotonic clock. */
  private coldEndsAtMs = -Infinity;
  /**
   * Whether a probe of the address is in flight; one is enough, since all requests that ran there are lost together.
   */
  private isProbing = false;

  private constructor(private readonly context: BackendManagerContext) {}

  /** Creates a manager without a known backend server. */
  static create(context: BackendManagerContext): BackendManager {
    return new BackendManager(context);
  }

  /** The phase of the backend server; "absent" while none is known to run. */
  get phase(): MemberPhase {
    return this.currentPhase;
  }

  /** The service that the backend server announced. */
  get service(): string | undefined {
    return this.lastHeartbeat?.service;
  }

  /**
   * The service that the backend server announced, if all grants to other servers at its address have certainly ended:
   * the known one has replaced them, or all holds that they can have been granted have run out.
   */
  get provenService(): string | undefined {
    return bootMs() >= this.othersEndedAtMs ? this.service : undefined;
  }

  /** Maximum number of requests that the backend server runs concurrently. */
  get slots(): number {
    return this.lastHeartbeat?.slots ?? 0;
  }

  /** Remaining time for which the backend server is slow after its start, in milliseconds. */
  get coldRemainingMs(): number {
    return Math.max(0, this.coldEndsAtMs - monotonicMs());
  }

  /** Time since the last heartbeat, in milliseconds. */
  sinceLastHeartbeatMs(): number {
    return bootMs() - this.incarnations.lastHeartbeatAtMs;
  }

  /** Until when requests may be forwarded to a draining or evacuated backend server, on the monotonic clock. */
  get forwardUntilMs(): number {
    const { evacuation, drainMs } = this.context;
    const drainForwardEndMs = this.drain.startedAtMs +
      drainMs() * DRAIN_FORWARD_SHARE;
    return evacuation.isEvacuated
      ? Math.min(drainForwardEndMs, evacuation.handoverEndsAtMs)
      : drainForwardEndMs;
  }

  /** Called when the evacuation of this daemon's availability zone begins or ends. */
  onEvacuationChanged(): void {
    if (this.currentPhase === "ready" || this.currentPhase === "evacuated") {
      this.setPhase(this.undrainedPhase, "evacuation");
    }
  }

  /** Applies the limits of the configuration that is in force now. */
  onConfigurationChanged(): void {
    if (this.currentPhase === "ready" || this.currentPhase === "evacuated") {
      this.setPhase(this.currentPhase, "configuration");
    }
  }

  /** The phase of a backend server that is not draining. */
  private get undrainedPhase(): MemberPhase {
    return this.context.evacuation.isEvacuated ? "evacuated" : "ready";
  }

  /** Handles a heartbeat; returns the response to it. */
  async handleHeartbeat(
    heartbeat: BackendHeartbeat,
  ): Promise<HeartbeatResponse> {
    const { instance, service } = heartbeat;
    const { evacuation, awaitEarlierReport } = this.context;
    this.firstGrant.recordHeartbeat(heartbeat);
    if (
      !await this.firstGrant.measure("evacuation", evacuation.awaitKnown())
    ) {
      // A daemon that has just started must not accept requests for an evacuated backend server.
      return { kind: "unacknowledged" };
    }
    await this.firstGrant.measure("earlier_report", awaitEarlierReport());
    if (this.context.isConfigured(service) === false) {
      this.context.logger.log("heartbeat_of_unknown_service", {
        instance,
        service,
        believed: this.incarnations.current?.instance,
      });
      return { kind: "unacknowledged" };
    }
    const mustDelay = this.mayDelayDrain(heartbeat) &&
      !await this.context.beforeDrain() &&
      this.context.grants.certainHoldMs(bootMs()) > MIN_HOLD_MS;
    if (mustDelay) {
      this.context.logger.log("leaving_not_acknowledged", {
        instance: heartbeat.instance,
        service: heartbeat.service,
      });
      return { kind: "unacknowledged" };
    }
    if (this.hasKeysToMove(heartbeat)) {
      await this.context.beforeDrain();
    }
    return {
      kind: "acknowledged",
      grant: await this.classifyAndGrant(heartbeat),
    };
  }

  /**
   * Whether the drain of the backend server may have to remain unacknowledged for now. Once it is acknowledged, the
   * server gets no requests, and while the store can't be written its keys can't be reassigned; as long as it waits for
   * the acknowledgement, it continues to serve them. Only an acknowledgement renews its hold, so it gets one before the
   * hold expires, and continues to serve within its drain time.
   */
  private mayDelayDrain(heartbeat: BackendHeartbeat): boolean {
    return heartbeat.isDraining && this.currentPhase === "ready" &&
      this.incarnations.isCurrent(heartbeat) &&
      this.context.grants.ownKeyCount > 0;
  }

  private hasKeysToMove(heartbeat: BackendHeartbeat): boolean {
    return (this.currentPhase === "evacuated" || this.isLeaving(heartbeat)) &&
      this.incarnations.isCurrent(heartbeat) &&
      this.context.grants.ownKeyCount > 0;
  }

  private async classifyAndGrant(
    heartbeat: BackendHeartbeat,
  ): Promise<Grant | undefined> {
    const arrival = this.incarnations.classify(heartbeat);
    if (arrival.kind === "current") {
      await this.verifyReturn(heartbeat);
    }
    // Another heartbeat may have overtaken this one meanwhile.
    const status = this.incarnations.classify(heartbeat);
    if (status.kind === "late") {
      return undefined;
    }
    if (status.kind === "current") {
      return this.acceptHeartbeat(heartbeat, undefined);
    }
    const succession = await this.verifySuccession(heartbeat);
    if (succession === "rejected") {
      this.context.logger.log("heartbeat_not_believed", {
        instance: heartbeat.instance,
        born: heartbeat.born,
        believed: this.incarnations.current?.instance,
        believed_born: this.incarnations.current?.born,
        silent_ms: Math.round(this.sinceLastHeartbeatMs()),
      });
      return undefined;
    }
    return this.acceptHeartbeat(heartbeat, succession);
  }

  /** Handles a notification of departure; the backend server drains from then on. */
  handleDeparture(departure: BackendDeparture): void {
    this.beginLeaving(departure, {
      cause: "departure",
      isProven: departure.born !== undefined,
      isRecent: true,
    });
  }

  /**
   * Handles a response that states that its sender is leaving; the backend server drains from then on.
   *
   * @param options.isRecent whether the leaving has just begun. Otherwise its drain time may be over.
   */
  handleStatedLeaving(
    incarnation: Incarnation,
    { isRecent }: { isRecent: boolean },
  ): void {
    this.beginLeaving(incarnation, {
      cause: "response",
      isProven: true,
      isRecent,
    });
  }

  /** Applies what the backend server had stated in responses to an earlier process of this daemon. */
  restoreStatus(status: StatedStatus): void {
    this.context.backend.restoreStatus(status);
    const { current } = this.incarnations;
    if (current !== undefined && this.mustRestoreLeaving(current)) {
      this.handleStatedLeaving(current, { isRecent: false });
    }
  }

  private mustRestoreLeaving(incarnation: Incarnation): boolean {
    return this.context.backend.hasStatedLeaving(incarnation) &&
      !this.isLeaving(incarnation);
  }

  /** Drains an incarnation: neither a delayed heartbeat nor one that reports it ready makes it ready again. */
  private beginLeaving(
    sender: Incarnation,
    announcement: { cause: string; isProven: boolean; isRecent: boolean },
  ): void {
    const { current } = this.incarnations;
    const { cause, isProven, isRecent } = announcement;
    const nowMs = monotonicMs();
    if (current === undefined) {
      // This process has just started; its first heartbeat may be one that was sent before.
      this.drain.recordDeparture(sender, { nowMs, isProven, isRecent });
      return;
    }
    if (!this.isFromCurrent(sender)) {
      return;
    }
    this.drain.recordDeparture(current, { nowMs, isProven, isRecent });
    this.setPhase("draining", cause);
  }

  private isLeaving(incarnation: Incarnation): boolean {
    return this.drain.isLeaving(incarnation);
  }

  /** Checks by a probe whether the sender of a heartbeat has returned after a departure that may not be its own. */
  private async verifyReturn(heartbeat: BackendHeartbeat): Promise<void> {
    if (
      heartbeat.isDraining ||
      !this.drain.mayHaveReturned(heartbeat, monotonicMs())
    ) {
      return;
    }
    const found = await this.context.probe(heartbeat.service);
    if (
      found.kind === "answered" && found.isReady &&
      found.instance === heartbeat.instance &&
      (found.born === undefined || found.born === heartbeat.born)
    ) {
      this.drain.recordReturn(heartbeat, monotonicMs());
    }
  }

  /** Handles outcomes of requests that contradict the assumed state of the backend server. */
  async handleSuspicion(suspicion: BackendSuspicion): Promise<void> {
    if (this.currentPhase === "absent") {
      return;
    }
    if (suspicion === "wrong_instance") {
      // Until the first heartbeat of the new incarnation arrives, no requests are forwarded.
      this.setPhase("absent", suspicion);
      return;
    }
    if (this.isProbing) {
      return;
    }
    this.isProbing = true;
    await this.probeProcessEnd(suspicion).finally(() => {
      this.isProbing = false;
    });
  }

  private async probeProcessEnd(suspicion: BackendSuspicion): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, REFUSAL_PROBE_DELAY_MS));
    const found = await this.context.probe(this.lastHeartbeat?.service ?? "");
    if (found.kind === "refused") {
      // Nothing listens at the address: the process has ended, and all its holds with it.
      this.context.grants.recordProcessEnd();
      const { instance } = this.lastHeartbeat ?? {};
      // Before the phase is announced: crash reports must not wait behind that on a slow network link.
      this.context.onProcessEnded({ instance, proof: "refused" });
      this.setPhase("absent", suspicion);
    }
  }

  /** Whether a notification is from the current incarnation; a departure may omit the start time of its sender. */
  private isFromCurrent({ instance, born }: Incarnation): boolean {
    const { current } = this.incarnations;
    return instance === current?.instance &&
      (born === undefined || born === current.born);
  }

  /**
   * Applies an accepted heartbeat, and decides the grant of its response.
   *
   * @param succession how a new incarnation replaced the known one; `undefined` for the known one.
   */
  private async acceptHeartbeat(
    heartbeat: BackendHeartbeat,
    succession: Succession | undefined,
  ): Promise<Grant | undefined> {
    const { grants, lease, backend, isKeyed } = this.context;
    const isFirst = this.lastHeartbeat === undefined ||
      succession !== undefined;
    const nowMs = bootMs();
    if (succession === undefined) {
      this.incarnations.accept(heartbeat, nowMs);
    } else {
      const { instance } = this.lastHeartbeat ?? {};
      this.context.onProcessEnded({ instance, proof: "replaced" });
      this.incarnations.acceptSuccessor(heartbeat, { succession, nowMs });
    }
    if (isFirst) {
      this.othersEndedAtMs = succession === "proved"
        ? nowMs
        : nowMs + MAX_HOLD_MS * (1 + CLOCK_DRIFT);
    }
    if (
      this.lastHeartbeat !== undefined &&
      this.lastHeartbeat.service !== heartbeat.service
    ) {
      grants.clearKeys();
      lease.reset();
      this.context.onServiceChanged();
    }
    this.lastHeartbeat = heartbeat;
    this.updateColdTime(heartbeat);
    if (succession === undefined) {
      grants.adoptTokens(heartbeat.holds, nowMs);
    } else {
      grants.recordNewIncarnation(succession === "proved");
      this.context.logger.log("backend_replaced", {
        instance: heartbeat.instance,
        born: heartbeat.born,
        service: heartbeat.service,
        succession,
      });
    }
    grants.raiseTokens(heartbeat.holds);
    this.recordHeld(heartbeat);
    const released = grants.recordReleased(heartbeat.freed);
    if (released.length > 0) {
      this.context.onReleased(released);
    }
    if (heartbeat.isDraining && isFirst) {
      // Its drain began before this process knew it, and may be over.
      this.drain.beginUnknown();
    }
    if (this.mustRestoreLeaving(heartbeat)) {
      this.drain.recordDeparture(heartbeat, {
        nowMs: monotonicMs(),
        isProven: true,
        isRecent: false,
      });
    }
    const isDraining = heartbeat.isDraining || this.isLeaving(heartbeat);
    const phase = isDraining ? "draining" : this.undrainedPhase;
    this.setPhase(phase, "heartbeat");
    if (!isDraining && !grants.hasGrantedKeys) {
      const { firstGrant } = this;
      const grantable = this.context.awaitGrantable(
        heartbeat.service,
        firstGrant.sinceHeartbeatMs,
      );
      await firstGrant.measure("lease", grantable);
    }
    if (
      !isKeyed(heartbeat.service) || !this.context.mayGrant(heartbeat.service)
    ) {
      return undefined;
    }
    if (!isDraining) {
      await this.context.beforeGrant();
    }
    if (!this.incarnations.isCurrent(heartbeat)) {
      // The incarnation was replaced meanwhile, so no process receives this response.
      return undefined;
    }
    const respondedAtMs = bootMs();
    // The hold counts from when the heartbeat was sent, so the time since its arrival is deducted.
    const processingMs = respondedAtMs - nowMs;
    const leaseRemainingMs = lease.remainingMs(nowMs);
    const grant = grants.createGrant({
      leaseRemainingMs,
      nowMs: respondedAtMs,
      processingMs,
      size: this.context.grantLimit,
    });
    this.logExcess(grant);
    backend.onKeysGranted();
    this.logFirstGrant(grant);
    return grant.holdMs > 0 ? grant : undefined;
  }

  private recordHeld({ instance, service, holds }: BackendHeartbeat): void {
    const { grants, logger } = this.context;
    const joinedCount = grants.recordHeld(holds);
    if (joinedCount > 0) {
      const ranges = grants.ownRanges.length;
      logger.log("ranges_joined", {
        instance,
        service,
        joined: joinedCount,
        ranges,
      });
    }
  }

  private logExcess({ ranges, excess }: Grant): void {
    if (excess.length > 0) {
      const { instance, service } = this.lastHeartbeat ?? {};
      this.context.logger.log("grant_exceeds_response", {
        instance,
        service,
        ranges: ranges.length,
        released: excess.length,
      });
    }
  }

  private logFirstGrant({ ranges }: Grant): void {
    const waits = ranges.length === 0 ? undefined : this.firstGrant.finish();
    if (waits !== undefined) {
      const { instance, service } = this.lastHeartbeat ?? {};
      const { logger } = this.context;
      logger.log("first_keys_granted", { instance, service, ...waits });
    }
  }

  private updateColdTime(
    { instance, service, coldMs }: BackendHeartbeat,
  ): void {
    const nowMs = monotonicMs();
    if (coldMs > 0 && nowMs >= this.coldEndsAtMs) {
      const most_per_second = this.context.coldLimit(service);
      this.context.logger.log("backend_cold", {
        instance,
        service,
        cold_ms: coldMs,
        most_per_second,
      });
    }
    this.coldEndsAtMs = nowMs + Math.min(coldMs, MAX_COLD_MS);
  }

  private setPhase(phase: MemberPhase, cause: string): void {
    const { backend, logger, isKeyed, onChange } = this.context;
    const { lastHeartbeat } = this;
    if (phase === "draining") {
      this.drain.begin(lastHeartbeat, monotonicMs());
    } else {
      this.drain.end();
    }
    backend.updateIdentity(
      lastHeartbeat === undefined || phase === "absent" ? undefined : {
        instance: lastHeartbeat.instance,
        born: lastHeartbeat.born,
        service: lastHeartbeat.service,
        slots: lastHeartbeat.slots,
        phase,
        isKeyed: isKeyed(lastHeartbeat.service),
        forwardUntilMs: this.forwardUntilMs,
        coldUntilMs: this.coldEndsAtMs,
        coldLimit: this.context.coldLimit(lastHeartbeat.service),
      },
    );
    if (phase !== this.currentPhase) {
      logger.log("backend_phase_changed", {
        from: this.currentPhase,
        to: phase,
        cause,
        instance: lastHeartbeat?.instance,
        sequence: lastHeartbeat?.sequence,
      });
      this.currentPhase = phase;
      onChange();
    }
  }

  /** Checks by a probe of the address whether the sender of a heartbeat has replaced the known incarnation. */
  private async verifySuccession(
    heartbeat: BackendHeartbeat,
  ): Promise<Succession> {
    const arrivedAtMs = bootMs();
    const knownIncarnation = this.incarnations.current;
    const found = await this.context.probe(this.lastHeartbeat?.service ?? "");
    if (knownIncarnation !== this.incarnations.current) {
      // The known incarnation sent a heartbeat meanwhile or was replaced; the sender will repeat its own heartbeat.
      return "rejected";
    }
    return this.incarnations.classifySuccession(heartbeat, found, {
      arrivedAtMs,
      overdueMs: this.context.heartbeatIntervalMs() * OVERDUE_FACTOR,
      unresponsiveMs: INCARNATION_TIMEOUT_MS,
    });
  }
}
