/**
 * Keeps what is believed of the backend server on this host: which incarnation runs, whether it takes
 * work, and what it is granted.
 *
 * @module
 */
import {
  type Grant,
  type GrantBook,
  InstanceBook,
  type Tenure,
} from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import type { MemberPhase } from "@bamboolink/membership";
import { Cancellation } from "./cancellation.ts";
import { bootMs, steadyMs } from "./clock.ts";
import { Connection } from "./exchange.ts";
import type { LocalBackend } from "./local_backend.ts";
import type {
  BackendDeparture,
  BackendHeartbeat,
  BackendProtocol,
} from "./ports/backend_protocol.ts";

/** How long the backend server may take to say which incarnation it is, in milliseconds. */
const PROBE_TIMEOUT_MS = 400;
/** An incarnation that was silent for so long is no longer believed against another, in milliseconds. */
const SILENT_MS = 2_500;
/** What a backend server must hold for at least until its next heartbeat is answered, in milliseconds. */
const LEAST_HOLD_MS = 1_200;
/** A backend server that refuses connections for so long is gone, in milliseconds. */
const REFUSED_MS = 150;

/**
 * Share of the drain's bound in which requests that wait already are still handed over; the rest is for
 * their way to the backend server and for differences of clocks.
 */
const DRAIN_SHARE = 0.75;

/** What the keeper needs. */
export interface BackendKeeperContext {
  readonly address: string;
  readonly protocol: BackendProtocol;
  readonly logger: Logger;
  readonly backend: LocalBackend;
  readonly grants: GrantBook;
  readonly tenure: Tenure;
  /** From the word that the backend server leaves until it may get nothing more, in milliseconds. */
  readonly drainMs: () => number;
  /** Path of the health check of a service. */
  readonly healthPath: (service: string) => string;
  readonly isKeyed: (service: string) => boolean;
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
  readonly beforeLeaving: () => Promise<boolean>;
  /** Called before a grant is decided; it may hold the answer back for a handover. */
  readonly beforeGrant: () => Promise<void>;
}

/** How a heartbeat is answered. */
export type HeartbeatAnswer =
  /** Without a grant nothing is renewed. */
  | { readonly kind: "acknowledged"; readonly grant: Grant | undefined }
  /** As if it had not arrived: the backend server says the same again. */
  | { readonly kind: "unacknowledged" };

/** The state of the backend server on this host. */
export class BackendKeeper {
  private readonly instances = InstanceBook.create();
  private last: BackendHeartbeat | undefined;
  private current: MemberPhase = "absent";
  private drainingSinceMs = Infinity;

  private constructor(private readonly context: BackendKeeperContext) {}

  /** Creates a keeper that knows of no backend server. */
  static create(context: BackendKeeperContext): BackendKeeper {
    return new BackendKeeper(context);
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
  silentMs(): number {
    return bootMs() - this.instances.lastHeardMs;
  }

  /** Until when requests may be handed over to a backend server that leaves, on the steady clock. */
  get handOverUntilMs(): number {
    return this.drainingSinceMs + this.context.drainMs() * DRAIN_SHARE;
  }

  /** Takes a heartbeat; returns how it is to be answered. */
  async takeHeartbeat(heartbeat: BackendHeartbeat): Promise<HeartbeatAnswer> {
    const isHeldBack = this.isHeldBack(heartbeat) &&
      !await this.context.beforeLeaving() &&
      this.context.grants.heldForMs(bootMs()) > LEAST_HOLD_MS;
    if (isHeldBack) {
      this.context.logger.log("leaving_not_acknowledged", {
        instance: heartbeat.instance,
        service: heartbeat.service,
      });
      return { kind: "unacknowledged" };
    }
    return { kind: "acknowledged", grant: await this.takeGrant(heartbeat) };
  }

  /**
   * Whether a backend server must not be told yet that its leaving is known. From then on it gets no requests,
   * and while the store can't be written nobody else can be given its keys: for as long as it waits for the
   * acknowledgement, it goes on serving them. Only an acknowledgement renews its hold, so it gets one before
   * that runs out, and serves on within the bound of its drain.
   */
  private isHeldBack({ isDraining, instance }: BackendHeartbeat): boolean {
    return isDraining && this.current === "ready" &&
      instance === this.instances.current &&
      this.context.grants.ownCount > 0;
  }

  private async takeGrant(
    heartbeat: BackendHeartbeat,
  ): Promise<Grant | undefined> {
    const verdict = this.instances.judge(heartbeat);
    if (verdict.kind === "late") {
      return undefined;
    }
    if (verdict.kind === "unverified" && !await this.verify(heartbeat)) {
      this.context.logger.log("heartbeat_not_believed", {
        instance: heartbeat.instance,
        believed: this.instances.current,
      });
      return undefined;
    }
    return this.accept(heartbeat, verdict.kind === "unverified");
  }

  /** Takes the word of a backend server that it leaves. */
  takeDeparture(departure: BackendDeparture): void {
    if (departure.instance === this.instances.current) {
      this.setPhase("draining", "departure");
    }
  }

  /** Requests contradict what is believed. */
  async suspect(suspicion: "refused" | "wrong_instance"): Promise<void> {
    if (this.current === "absent") {
      return;
    }
    if (suspicion === "wrong_instance") {
      // The new incarnation's first heartbeat is on its way; until then nothing is handed over.
      this.setPhase("absent", suspicion);
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, REFUSED_MS));
    const found = await this.probe();
    if (found === "refused") {
      // Nobody listens at the address: the process has ended, and whatever it held with it.
      this.context.grants.noteEnded();
      this.setPhase("absent", suspicion);
    }
  }

  private async accept(
    heartbeat: BackendHeartbeat,
    isNewIncarnation: boolean,
  ): Promise<Grant | undefined> {
    const { grants, tenure, backend, isKeyed } = this.context;
    const nowMs = bootMs();
    this.instances.accept(heartbeat, nowMs);
    if (this.last !== undefined && this.last.service !== heartbeat.service) {
      grants.forgetKeys();
      tenure.forget();
    }
    this.last = heartbeat;
    const keyed = isKeyed(heartbeat.service);
    if (isNewIncarnation) {
      grants.noteNewIncarnation();
      this.context.logger.log("backend_replaced", {
        instance: heartbeat.instance,
        service: heartbeat.service,
      });
    } else {
      grants.adoptHeld(heartbeat.holds, nowMs);
    }
    const freed = grants.noteFreed(heartbeat.freed);
    if (freed.length > 0) {
      this.context.onFreed(freed);
    }
    this.setPhase(heartbeat.isDraining ? "draining" : "ready", "heartbeat");
    if (!keyed || !this.context.mayGrant(heartbeat.service)) {
      return undefined;
    }
    if (!heartbeat.isDraining) {
      await this.context.beforeGrant();
    }
    if (this.instances.current !== heartbeat.instance) {
      // Another incarnation was found meanwhile; this answer reaches nobody.
      return undefined;
    }
    const answeredMs = bootMs();
    // The hold counts from when the heartbeat was sent, which was before it arrived.
    const spentMs = answeredMs - nowMs;
    const longestHoldMs = tenure.longestHoldMs(nowMs);
    const grant = grants.answer({ longestHoldMs, nowMs: answeredMs, spentMs });
    backend.noteGranted();
    return grant.holdMs > 0 ? grant : undefined;
  }

  private setPhase(phase: MemberPhase, cause: string): void {
    const { backend, logger, isKeyed, onChange } = this.context;
    const { last } = this;
    const isDraining = phase === "draining";
    this.drainingSinceMs = isDraining
      ? Math.min(this.drainingSinceMs, steadyMs())
      : Infinity;
    backend.identify(
      last === undefined || phase === "absent" ? undefined : {
        instance: last.instance,
        service: last.service,
        slots: last.slots,
        phase,
        isKeyed: isKeyed(last.service),
        handOverUntilMs: this.handOverUntilMs,
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

  /** Whether the sender of a heartbeat is the one that answers at the address. */
  private async verify(heartbeat: BackendHeartbeat): Promise<boolean> {
    const found = await this.probe();
    if (found === heartbeat.instance) {
      return true;
    }
    const isUnanswered = found === "refused" || found === undefined;
    return isUnanswered && this.silentMs() > SILENT_MS;
  }

  /** Asks at the address who is there: an incarnation, nobody (`refused`), or no word (`undefined`). */
  private async probe(): Promise<string | undefined> {
    const { address, protocol, healthPath } = this.context;
    const connection = Connection.create(address);
    const result = await connection.exchange({
      method: "GET",
      target: healthPath(this.last?.service ?? ""),
      headers: ["host", address],
      body: undefined,
    }, {
      cancellation: Cancellation.createAfter(PROBE_TIMEOUT_MS),
      nowMs: steadyMs,
    });
    void connection.destroy();
    if (result.kind === "answer") {
      return protocol.readInstance(result.headers);
    }
    return result.kind === "unsent" && result.isRefused ? "refused" : undefined;
  }
}
