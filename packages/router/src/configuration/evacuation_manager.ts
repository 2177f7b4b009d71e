/**
 * Tracks which availability zones operators have evacuated, from the store and from other daemons.
 *
 * @module
 */
import type { Logger } from "@bamboolink/logger";
import { RepeatSchedule } from "@bamboolink/membership";
import {
  type EvacuationChange,
  type EvacuationState,
  ZoneEvacuations,
} from "@bamboolink/traffic";
import type { Datagram } from "../members/datagram_codec.ts";

/** Interval between requests to other daemons while the evacuated zones are unknown, in milliseconds. */
const UPDATE_REQUEST_INTERVAL_MS = 200;
/** Interval between repeated updates to other daemons, in milliseconds. */
const REPEAT_INTERVAL_MS = 1_000;
/** Identifies the evacuated zones, the only item that is repeated. */
const ZONES_KEY = "zones";
/**
 * How long updates are repeated after a change, in milliseconds: a daemon may have missed that an evacuation was
 * cleared.
 */
const REPEAT_PERIOD_MS = 60_000;
/**
 * A daemon that can't learn the evacuated zones within this time, in milliseconds, assumes that none are evacuated.
 * Otherwise a fleet that starts while the store is unreachable would serve no requests.
 */
const MAX_UNKNOWN_MS = 3_000;
/** Maximum delay of a heartbeat's acknowledgement, in milliseconds; its sender waits for a second. */
const MAX_ACKNOWLEDGEMENT_DELAY_MS = 800;
/**
 * Share of the evacuation's time limit in which keys are handed over and waiting requests still run. The rest is for
 * propagating the evacuation to other daemons, and for the transmission to the backend server.
 */
const HANDOVER_SHARE = 0.3;

/** The datagram that carries the evacuated zones. */
export type EvacuationUpdate = Extract<Datagram, { kind: "evacuation" }>;

/** Dependencies of an evacuation manager. */
export interface EvacuationManagerContext {
  /** Address that identifies this daemon to others. */
  readonly address: string;
  /** This daemon's availability zone. */
  readonly zone: string;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Time from the notice of an evacuation until nothing more may be sent to the zone, in milliseconds. */
  readonly evacuateMs: () => number;
  /** Whether any known daemon is in a zone. */
  readonly isKnownZone: (zone: string) => boolean;
  /** Sends an update to all alive daemons. */
  readonly broadcast: (update: EvacuationUpdate) => void;
  /** Sends an update to a few alive daemons. */
  readonly sendToSome: (update: EvacuationUpdate) => void;
  /** Requests an update from an alive daemon. */
  readonly requestUpdate: () => void;
  /** Called when this daemon's zone was evacuated or its evacuation was cleared. */
  readonly onChange: () => void;
}

/** The evacuated zones as known to one daemon. */
export class EvacuationManager {
  private readonly evacuations = ZoneEvacuations.create();
  /** Repeats a change at short intervals, for daemons that missed the broadcast. */
  private readonly changes = RepeatSchedule.create();
  private readonly startedAtMs: number;
  private requestedAtMs = -Infinity;
  private repeatedAtMs = -Infinity;
  private changedAtMs = -Infinity;
  private handoverEndMs = Infinity;
  private wasEvacuated = false;

  private constructor(private readonly context: EvacuationManagerContext) {
    this.startedAtMs = context.nowMs();
  }

  /** Creates a manager that does not know the evacuated zones yet. */
  static create(context: EvacuationManagerContext): EvacuationManager {
    return new EvacuationManager(context);
  }

  /** Whether this daemon's zone is evacuated, so that its backend server must receive nothing. */
  get isEvacuated(): boolean {
    return this.evacuations.has(this.context.zone);
  }

  /** Until when keys are handed over and waiting requests still run, in milliseconds on the monotonic clock. */
  get handoverEndsAtMs(): number {
    return this.handoverEndMs;
  }

  /** Whether the evacuated zones are known, or assumed to be none after `MAX_UNKNOWN_MS`. */
  get isKnownOrAssumed(): boolean {
    return this.evacuations.isKnown ||
      this.context.nowMs() - this.startedAtMs > MAX_UNKNOWN_MS;
  }

  /** Waits up to `MAX_ACKNOWLEDGEMENT_DELAY_MS` until `isKnownOrAssumed`; returns whether it is. */
  async awaitKnown(): Promise<boolean> {
    const deadlineMs = this.context.nowMs() + MAX_ACKNOWLEDGEMENT_DELAY_MS;
    while (!this.isKnownOrAssumed && this.context.nowMs() < deadlineMs) {
      await new Promise((resolve) =>
        setTimeout(resolve, UPDATE_REQUEST_INTERVAL_MS / 4)
      );
    }
    return this.isKnownOrAssumed;
  }

  /** Applies a full listing of the store, in which the age of each evacuation is unknown. */
  applyListing(state: EvacuationState): void {
    this.handleChange(this.evacuations.replace(state), { source: "store" });
  }

  /** Applies a change that the store has just reported. */
  applyChange(change: EvacuationChange): void {
    const isRecent = true;
    this.handleChange(this.evacuations.apply(change), {
      source: "store",
      isRecent,
    });
  }

  /** Applies an update of another daemon, in which the age of each evacuation is unknown. */
  applyUpdate({ sender, revision, zones }: EvacuationUpdate): void {
    this.handleChange(this.evacuations.replace({ revision, zones }), {
      source: sender,
    });
  }

  /** Creates an update for other daemons; `undefined` if the evacuated zones are unknown. */
  createUpdate(): EvacuationUpdate | undefined {
    const { state } = this.evacuations;
    return state === undefined ? undefined : {
      kind: "evacuation",
      sender: this.context.address,
      revision: state.revision,
      zones: [...state.zones],
    };
  }

  /** Requests an update while the evacuated zones are unknown, and repeats updates that others may have missed. */
  tick(): void {
    const nowMs = this.context.nowMs();
    if (
      !this.isKnownOrAssumed &&
      nowMs - this.requestedAtMs >= UPDATE_REQUEST_INTERVAL_MS
    ) {
      this.requestedAtMs = nowMs;
      this.context.requestUpdate();
    }
    const hasChanged = this.changes.takeDue(nowMs, 1).length > 0;
    if (!hasChanged && nowMs - this.repeatedAtMs < REPEAT_INTERVAL_MS) {
      return;
    }
    this.repeatedAtMs = nowMs;
    const update = this.createUpdate();
    const mustRepeat = update !== undefined &&
      (update.zones.length > 0 ||
        nowMs - this.changedAtMs < REPEAT_PERIOD_MS);
    if (mustRepeat) {
      this.context.sendToSome(update);
    }
  }

  private handleChange(
    hasChanged: boolean,
    { source, isRecent = false }: { source: string; isRecent?: boolean },
  ): void {
    const { state } = this.evacuations;
    if (!hasChanged || state === undefined) {
      return;
    }
    const { nowMs, evacuateMs, logger, isKnownZone, onChange, broadcast } =
      this.context;
    const { revision, zones } = state;
    this.changedAtMs = nowMs();
    this.changes.add(ZONES_KEY, this.changedAtMs);
    logger.log("zones_evacuated", { revision, zones, source });
    zones.filter((zone) => !isKnownZone(zone)).forEach((zone) =>
      logger.log("evacuation_of_unknown_zone", { zone, revision })
    );
    if (source === "store") {
      broadcast(this.createUpdate()!);
    }
    if (this.isEvacuated !== this.wasEvacuated) {
      this.wasEvacuated = this.isEvacuated;
      this.handoverEndMs = isRecent
        ? nowMs() + evacuateMs() * HANDOVER_SHARE
        : -Infinity;
      onChange();
    }
  }
}
