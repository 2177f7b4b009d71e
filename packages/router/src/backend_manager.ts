/**
 * Keeps what is believed of the backend server on this host: which incarnation runs, whether it takes
 * work, and what it is granted.
 *
 * @module
 */
import {
  type Grant,
  type GrantTracker,
  type Incarnation,
  IncarnationTracker,
  type OwnershipLease,
  type ProbeResult,
  type Succession,
} from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import type { MemberPhase } from "@bamboolink/membership";
import { bootMs, steadyMs } from "./clock.ts";
import type { BackendSuspicion, LocalBackend } from "./local_backend.ts";
import type {
  BackendDeparture,
  BackendHeartbeat,
} from "./ports/backend_protocol.ts";

/** An incarnation that was silent for so long is no longer believed against another, in milliseconds. */
const SILENT_MS = 2_500;
/**
 * Share of the usual pause between two heartbeats after which the next one is overdue; it arrives a little late at
 * times.
 */
const OVERDUE_SHARE = 1.5;
/** What a backend server must hold for at least until its next heartbeat is answered, in milliseconds. */
const LEAST_HOLD_MS = 1_200;
/** A backend server that refuses connections for so long is gone, in milliseconds. */
const REFUSED_MS = 150;
/** Each heartbeat says anew how long the server stays cold, so longer times are not believed, in milliseconds. */
const LONGEST_COLD_MS = 60_000;

/**
 * Share of the drain's bound in which requests that wait already are still handed over; the rest is for
 * their way to the backend server and for differences of clocks.
 */
const DRAIN_SHARE = 0.75;

/** What operators say of the own availability zone. */
export interface EvacuationState {
  /** Whether the backend server here is to get nothing. */
  readonly isEvacuated: boolean;
  /** Until when keys are handed over and waiting requests run, on the steady clock. */
  readonly handOverUntilMs: number;
  /** Waits until it is known what is evacuated; returns whether that is so. */
  awaitSettled(): Promise<boolean>;
}

/** What the keeper needs. */
export interface BackendManagerContext {
  readonly logger: Logger;
  readonly backend: LocalBackend;
  readonly grants: GrantTracker;
  readonly lease: OwnershipLease;
  /** What operators say of the own availability zone. */
  readonly evacuation: EvacuationState;
  /** From the word that the backend server leaves until it may get nothing more, in milliseconds. */
  readonly drainMs: () => number;
  /** Asks at the address of a backend server of a service who is there. */
  readonly probe: (service: string) => Promise<ProbeResult>;
  readonly isKeyed: (service: string) => boolean;
  /** Whether the configuration in force names a service; `undefined` while none is in force. */
  readonly isConfigured: (service: string) => boolean | undefined;
  /** Most requests in one second that a cold backend server of a service may get; 0 where that is not known. */
  readonly coldLimit: (service: string) => number;
  /** Usual pause between two heartbeats, in milliseconds. */
  readonly heartbeatIntervalMs: () => number;
  /** Whether keys may be granted: the daemon has seen who owns what. */
  readonly mayGrant: (service: string) => boolean;
  /** Called when the phase or the incarnation has changed. */
  readonly onChange: () => void;
  /** Called when the backend server has given back ranges that were asked for. */
  readonly onFreed: (
    freed: readonly { from: number; to: number; handover: string }[],
  ) => void;
  /**
   * Called when the backend server has said that it leaves, before it is answered; returns whether its keys can
   * be given to others now.
   */
  readonly beforeDrain: () => Promise<boolean>;
  /** Called when the process of an incarnation has ended. */
  readonly onProcessEnded: (end: BackendProcessEnd) => void;
  /** Called before a grant is decided; it may hold the answer back for a handover. */
  readonly beforeGrant: () => Promise<void>;
}

/** The end of a backend server's process. */
export interface BackendProcessEnd {
  readonly instance: string | undefined;
  /** Nobody listens at its address, or another incarnation has taken its place. */
  readonly proof: "refused" | "replaced";
}

/** How a heartbeat is answered. */
export type HeartbeatResponse =
  /** Without a grant nothing is renewed. */
  | { readonly kind: "acknowledged"; readonly grant: Grant | undefined }
  /** As if it had not arrived: the backend server says the same again. */
  | { readonly kind: "unacknowledged" };

/** The state of the backend server on this host. */
export class BackendManager {
  private readonly instances = IncarnationTracker.create();
  private last: BackendHeartbeat | undefined;
  private current: MemberPhase = "absent";
  private drainingSinceMs = Infinity;
  /** Until when the backend server said that it is cold, on the steady clock. */
  private coldUntilMs = -Infinity;
  /** Whether somebody is asking at the address already: all that ran there is lost together. */
  private isAsking = false;

  private constructor(private readonly context: BackendManagerContext) {}

  /** Creates a keeper that knows of no backend server. */
  static create(context: BackendManagerContext): BackendManager {
    return new BackendManager(context);
  }

  /** Whether the backend server takes work. */
  get phase(): MemberPhase {
    return this.current;
  }

  /** The service that the backend server announced. */
  get service(): string | undefined {
    return this.last?.service;
  }

  /** How many requests it runs at a time. */
  get slots(): number {
    return this.last?.slots ?? 0;
  }

  /** For how long the backend server has said nothing, in milliseconds. */
  sinceLastHeartbeatMs(): number {
    return bootMs() - this.instances.lastHeartbeatMs;
  }

  /** Until when requests may be handed over to a backend server that leaves, on the steady clock. */
  get handOverUntilMs(): number {
    const { evacuation, drainMs } = this.context;
    const drainedMs = this.drainingSinceMs + drainMs() * DRAIN_SHARE;
    return evacuation.isEvacuated
      ? Math.min(drainedMs, evacuation.handOverUntilMs)
      : drainedMs;
  }

  /** The own availability zone was evacuated or taken back. */
  onEvacuationChanged(): void {
    if (this.current === "ready" || this.current === "evacuated") {
      this.setPhase(this.openPhase, "evacuation");
    }
  }

  /** The phase of a backend server that does not leave. */
  private get openPhase(): MemberPhase {
    return this.context.evacuation.isEvacuated ? "evacuated" : "ready";
  }

  /** Takes a heartbeat; returns how it is to be answered. */
  async handleHeartbeat(
    heartbeat: BackendHeartbeat,
  ): Promise<HeartbeatResponse> {
    const { instance, service } = heartbeat;
    if (!await this.context.evacuation.awaitSettled()) {
      // A daemon that has just started must not take work for a server that has been evacuated.
      return { kind: "unacknowledged" };
    }
    if (this.context.isConfigured(service) === false) {
      this.context.logger.log("heartbeat_of_unknown_service", {
        instance,
        service,
        believed: this.instances.current?.instance,
      });
      return { kind: "unacknowledged" };
    }
    const isHeldBack = this.isHeldBack(heartbeat) &&
      !await this.context.beforeDrain() &&
      this.context.grants.remainingHoldMs(bootMs()) > LEAST_HOLD_MS;
    if (isHeldBack) {
      this.context.logger.log("leaving_not_acknowledged", {
        instance: heartbeat.instance,
        service: heartbeat.service,
      });
      return { kind: "unacknowledged" };
    }
    if (this.hasKeysToEvacuate(heartbeat)) {
      await this.context.beforeDrain();
    }
    return { kind: "acknowledged", grant: await this.takeGrant(heartbeat) };
  }

  /**
   * Whether a backend server must not be told yet that its leaving is known. From then on it gets no requests,
   * and while the store can't be written nobody else can be given its keys: for as long as it waits for the
   * acknowledgement, it goes on serving them. Only an acknowledgement renews its hold, so it gets one before
   * that runs out, and serves on within the bound of its drain.
   */
  private isHeldBack(heartbeat: BackendHeartbeat): boolean {
    return heartbeat.isDraining && this.current === "ready" &&
      this.instances.isCurrent(heartbeat) &&
      this.context.grants.ownKeyCount > 0;
  }

  private hasKeysToEvacuate(heartbeat: BackendHeartbeat): boolean {
    return this.current === "evacuated" &&
      this.instances.isCurrent(heartbeat) &&
      this.context.grants.ownKeyCount > 0;
  }

  private async takeGrant(
    heartbeat: BackendHeartbeat,
  ): Promise<Grant | undefined> {
    const verdict = this.instances.classify(heartbeat);
    if (verdict.kind === "late") {
      return undefined;
    }
    if (verdict.kind === "current") {
      return this.accept(heartbeat, undefined);
    }
    const succession = await this.verify(heartbeat);
    if (succession === "rejected") {
      this.context.logger.log("heartbeat_not_believed", {
        instance: heartbeat.instance,
        born: heartbeat.born,
        believed: this.instances.current?.instance,
        believed_born: this.instances.current?.born,
        silent_ms: Math.round(this.sinceLastHeartbeatMs()),
      });
      return undefined;
    }
    return this.accept(heartbeat, succession);
  }

  /** Takes the word of a backend server that it leaves. */
  handleDeparture(departure: BackendDeparture): void {
    if (this.isOfCurrent(departure)) {
      this.setPhase("draining", "departure");
    }
  }

  /** Requests contradict what is believed. */
  async handleSuspicion(suspicion: BackendSuspicion): Promise<void> {
    if (this.current === "absent") {
      return;
    }
    if (suspicion === "wrong_instance") {
      // The new incarnation's first heartbeat is on its way; until then nothing is handed over.
      this.setPhase("absent", suspicion);
      return;
    }
    if (this.isAsking) {
      return;
    }
    this.isAsking = true;
    await this.askWhetherEnded(suspicion).finally(() => {
      this.isAsking = false;
    });
  }

  private async askWhetherEnded(suspicion: BackendSuspicion): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, REFUSED_MS));
    const found = await this.context.probe(this.last?.service ?? "");
    if (found.kind === "refused") {
      // Nobody listens at the address: the process has ended, and whatever it held with it.
      this.context.grants.recordProcessEnd();
      this.setPhase("absent", suspicion);
      const { instance } = this.last ?? {};
      this.context.onProcessEnded({ instance, proof: "refused" });
    }
  }

  /** A departure may leave out when its sender started. */
  private isOfCurrent({ instance, born }: Incarnation): boolean {
    const { current } = this.instances;
    return instance === current?.instance &&
      (born === undefined || born === current.born);
  }

  /**
   * Takes over what a believed heartbeat says, and decides the grant with which it is answered.
   *
   * @param succession how a new incarnation took the place of the known one; `undefined` for the known one.
   */
  private async accept(
    heartbeat: BackendHeartbeat,
    succession: Succession | undefined,
  ): Promise<Grant | undefined> {
    const { grants, lease, backend, isKeyed } = this.context;
    const nowMs = bootMs();
    if (succession === undefined) {
      this.instances.accept(heartbeat, nowMs);
    } else {
      const { instance } = this.last ?? {};
      this.context.onProcessEnded({ instance, proof: "replaced" });
      this.instances.acceptSuccessor(heartbeat, { succession, nowMs });
    }
    if (this.last !== undefined && this.last.service !== heartbeat.service) {
      grants.clearKeys();
      lease.reset();
    }
    this.last = heartbeat;
    this.noteCold(heartbeat);
    const keyed = isKeyed(heartbeat.service);
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
    const freed = grants.recordFreed(heartbeat.freed);
    if (freed.length > 0) {
      this.context.onFreed(freed);
    }
    const phase = heartbeat.isDraining ? "draining" : this.openPhase;
    this.setPhase(phase, "heartbeat");
    if (!keyed || !this.context.mayGrant(heartbeat.service)) {
      return undefined;
    }
    if (!heartbeat.isDraining) {
      await this.context.beforeGrant();
    }
    if (!this.instances.isCurrent(heartbeat)) {
      // Another incarnation was found meanwhile; this answer reaches nobody.
      return undefined;
    }
    const answeredMs = bootMs();
    // The hold counts from when the heartbeat was sent, which was before it arrived.
    const processingMs = answeredMs - nowMs;
    const maxHoldMs = lease.maxHoldMs(nowMs);
    const grant = grants.createGrant({
      maxHoldMs,
      nowMs: answeredMs,
      processingMs,
    });
    backend.onKeysGranted();
    return grant.holdMs > 0 ? grant : undefined;
  }

  private noteCold({ instance, service, coldMs }: BackendHeartbeat): void {
    const nowMs = steadyMs();
    if (coldMs > 0 && nowMs >= this.coldUntilMs) {
      const most_per_second = this.context.coldLimit(service);
      this.context.logger.log("backend_cold", {
        instance,
        service,
        cold_ms: coldMs,
        most_per_second,
      });
    }
    this.coldUntilMs = nowMs + Math.min(coldMs, LONGEST_COLD_MS);
  }

  private setPhase(phase: MemberPhase, cause: string): void {
    const { backend, logger, isKeyed, onChange } = this.context;
    const { last } = this;
    const isDraining = phase === "draining";
    this.drainingSinceMs = isDraining
      ? Math.min(this.drainingSinceMs, steadyMs())
      : Infinity;
    backend.updateIdentity(
      last === undefined || phase === "absent" ? undefined : {
        instance: last.instance,
        born: last.born,
        service: last.service,
        slots: last.slots,
        phase,
        isKeyed: isKeyed(last.service),
        forwardUntilMs: this.handOverUntilMs,
        coldUntilMs: this.coldUntilMs,
        coldLimit: this.context.coldLimit(last.service),
      },
    );
    if (phase !== this.current) {
      logger.log("backend_phase_changed", {
        from: this.current,
        to: phase,
        cause,
        instance: last?.instance,
        sequence: last?.sequence,
      });
      this.current = phase;
      onChange();
    }
  }

  /** Whether the sender of a heartbeat has taken the place of the known incarnation, by who is at the address. */
  private async verify(heartbeat: BackendHeartbeat): Promise<Succession> {
    const arrivedMs = bootMs();
    const believed = this.instances.current;
    const found = await this.context.probe(this.last?.service ?? "");
    if (believed !== this.instances.current) {
      // The known incarnation was heard meanwhile, or another one was found: the sender says the same again.
      return "rejected";
    }
    return this.instances.classifySuccession(heartbeat, found, {
      arrivedMs,
      overdueMs: this.context.heartbeatIntervalMs() * OVERDUE_SHARE,
      unresponsiveMs: SILENT_MS,
    });
  }
}
