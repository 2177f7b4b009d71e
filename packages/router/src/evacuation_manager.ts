/**
 * Follows which availability zones operators have evacuated, by the store and by other daemons.
 *
 * @module
 */
import type { Logger } from "@bamboolink/logger";
import {
  type EvacuationChange,
  type EvacuationState,
  ZoneEvacuations,
} from "@bamboolink/traffic";
import type { Datagram } from "./datagram_codec.ts";

/** Time between two questions to other daemons while nothing is known, in milliseconds. */
const ASK_MS = 200;
/** Time between two retellings of what is evacuated, in milliseconds. */
const RETELL_MS = 1_000;
/** A change is retold for so long, in milliseconds: a daemon may have missed that a zone was taken back. */
const RETOLD_FOR_MS = 60_000;
/**
 * A daemon that can't learn for so long what is evacuated, in milliseconds, works as if nothing was: else a fleet that
 * starts while the store is away would serve nobody.
 */
const LONGEST_UNKNOWN_MS = 3_000;
/** An acknowledgement of a heartbeat may be held back so long, in milliseconds; its sender waits for a second. */
const LONGEST_HOLD_BACK_MS = 800;
/**
 * Share of the evacuation's bound in which keys are handed over and waiting requests still run; the rest is for the news
 * of it, and for the way to the backend server.
 */
const HANDOVER_SHARE = 0.3;

/** What daemons tell each other of evacuations. */
export type EvacuationUpdate = Extract<Datagram, { kind: "evacuation" }>;

/** What the keeper needs. */
export interface EvacuationManagerContext {
  /** Address of the own daemon, which names it to others. */
  readonly address: string;
  /** The own availability zone. */
  readonly zone: string;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** From the word of an evacuation until nothing may be sent any more, in milliseconds. */
  readonly evacuateMs: () => number;
  /** Whether any daemon is known in a zone. */
  readonly isKnownZone: (zone: string) => boolean;
  readonly broadcast: (news: EvacuationUpdate) => void;
  readonly sendToSome: (news: EvacuationUpdate) => void;
  /** Asks a living daemon what it knows. */
  readonly requestUpdate: () => void;
  /** Called when the own zone was evacuated or taken back. */
  readonly onChange: () => void;
}

/** The evacuations as one daemon knows them. */
export class EvacuationManager {
  private readonly evacuations = ZoneEvacuations.create();
  private readonly startedAtMs: number;
  private askedAtMs = -Infinity;
  private retoldAtMs = -Infinity;
  private changedAtMs = -Infinity;
  private handOverUntil = Infinity;
  private wasEvacuated = false;

  private constructor(private readonly context: EvacuationManagerContext) {
    this.startedAtMs = context.nowMs();
  }

  /** Creates a keeper that has not been told anything. */
  static create(context: EvacuationManagerContext): EvacuationManager {
    return new EvacuationManager(context);
  }

  /** Whether the backend server here is to get nothing. */
  get isEvacuated(): boolean {
    return this.evacuations.has(this.context.zone);
  }

  /** Until when keys are handed over and waiting requests run, on the steady clock. */
  get handOverUntilMs(): number {
    return this.handOverUntil;
  }

  /** Whether it is known what is evacuated, or can't be for now. */
  get isSettled(): boolean {
    return this.evacuations.isKnown ||
      this.context.nowMs() - this.startedAtMs > LONGEST_UNKNOWN_MS;
  }

  /** Waits until it is known what is evacuated; returns whether that is so. */
  async awaitSettled(): Promise<boolean> {
    const untilMs = this.context.nowMs() + LONGEST_HOLD_BACK_MS;
    while (!this.isSettled && this.context.nowMs() < untilMs) {
      await new Promise((resolve) => setTimeout(resolve, ASK_MS / 4));
    }
    return this.isSettled;
  }

  /** Takes all that the store lists; how old each evacuation is, isn't known. */
  applyListing(state: EvacuationState): void {
    this.note(this.evacuations.replace(state), { source: "store" });
  }

  /** Takes a change as it happens. */
  applyChange(change: EvacuationChange): void {
    const isFresh = true;
    this.note(this.evacuations.apply(change), { source: "store", isFresh });
  }

  /** Takes what another daemon tells. */
  applyUpdate({ sender, revision, zones }: EvacuationUpdate): void {
    this.note(this.evacuations.replace({ revision, zones }), {
      source: sender,
    });
  }

  /** What to answer a daemon that asks; `undefined` where nothing is known. */
  createUpdate(): EvacuationUpdate | undefined {
    const { state } = this.evacuations;
    return state === undefined ? undefined : {
      kind: "evacuation",
      sender: this.context.address,
      revision: state.revision,
      zones: [...state.zones],
    };
  }

  /** Asks while nothing is known, and retells what others may have missed. */
  tick(): void {
    const nowMs = this.context.nowMs();
    if (!this.isSettled && nowMs - this.askedAtMs >= ASK_MS) {
      this.askedAtMs = nowMs;
      this.context.requestUpdate();
    }
    if (nowMs - this.retoldAtMs < RETELL_MS) {
      return;
    }
    this.retoldAtMs = nowMs;
    const news = this.createUpdate();
    const isRetold = news !== undefined &&
      (news.zones.length > 0 || nowMs - this.changedAtMs < RETOLD_FOR_MS);
    if (isRetold) {
      this.context.sendToSome(news);
    }
  }

  private note(
    hasChanged: boolean,
    { source, isFresh = false }: { source: string; isFresh?: boolean },
  ): void {
    const { state } = this.evacuations;
    if (!hasChanged || state === undefined) {
      return;
    }
    const { nowMs, evacuateMs, logger, isKnownZone, onChange, broadcast } =
      this.context;
    const { revision, zones } = state;
    this.changedAtMs = nowMs();
    logger.log("zones_evacuated", { revision, zones, source });
    zones.filter((zone) => !isKnownZone(zone)).forEach((zone) =>
      logger.log("evacuation_of_unknown_zone", { zone, revision })
    );
    if (source === "store") {
      broadcast(this.createUpdate()!);
    }
    if (this.isEvacuated !== this.wasEvacuated) {
      this.wasEvacuated = this.isEvacuated;
      this.handOverUntil = isFresh
        ? nowMs() + evacuateMs() * HANDOVER_SHARE
        : -Infinity;
      onChange();
    }
  }
}
