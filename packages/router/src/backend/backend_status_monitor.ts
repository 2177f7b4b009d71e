/**
 * Follows what the backend server on this host states about itself in its responses.
 *
 * @module
 */
import {
  AdvertisedLimitTracker,
  ServerLoadEstimator,
} from "@bamboolink/admission";
import { type Incarnation, isSameIncarnation } from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import type { StatedStatus } from "@bamboolink/membership";
import type { BackendStatus } from "../ports/backend_protocol.ts";

/** Maximum logged length of a value that can't be read, in characters. */
const MAX_LOGGED_LENGTH = 100;

/** The request whose response states a status. */
export interface StatusSource {
  readonly requestId: string;
  /** The incarnation that responded. */
  readonly incarnation: Incarnation;
  /** When the request was sent, on the monotonic clock. */
  readonly sentAtMs: number;
  /** When its response was received, on the monotonic clock. */
  readonly receivedAtMs: number;
}

/** Dependencies of {@link BackendStatusMonitor}. */
export interface BackendStatusMonitorContext {
  readonly logger: Logger;
  /** Called when an incarnation states for the first time that it is leaving. */
  readonly onLeaving: StatedLeavingListener;
}

/**
 * Receives the incarnation that states that it is leaving; `isRecent`: whether an earlier response did not, so that the
 * leaving has just begun.
 */
export type StatedLeavingListener = (
  incarnation: Incarnation,
  options: { isRecent: boolean },
) => void;

/** Holds the stated status of the current incarnation, and logs its changes. */
export class BackendStatusMonitor {
  /** How much longer than usual work takes now. */
  readonly load = ServerLoadEstimator.create();
  /** Whether the newest stated load could not be read; only the first of several in sequence is logged. */
  private isLoadUnreadable = false;
  private limit = AdvertisedLimitTracker.create();
  private isLeaving = false;
  private hasResponded = false;
  private current: Incarnation | undefined;
  /** What was stated to an earlier process of this daemon. */
  private restored: StatedStatus | undefined;

  private constructor(
    private readonly context: BackendStatusMonitorContext,
  ) {}

  /** Creates a monitor that knows no incarnation yet. */
  static create(context: BackendStatusMonitorContext): BackendStatusMonitor {
    return new BackendStatusMonitor(context);
  }

  /** Requests per second that the backend server takes from all hosts together; `undefined` if it states no limit. */
  get limitPerSecond(): number | undefined {
    return this.limit.perSecond;
  }

  /** What is reported to other daemons; `null` if nothing is stated, or if restarts of the server can't be detected. */
  get statedStatus(): StatedStatus | null {
    const { current, isLeaving, limitPerSecond } = this;
    if (current === undefined) {
      return this.restored ?? null;
    }
    const { instance, born } = current;
    return born === undefined || !isLeaving && limitPerSecond === undefined
      ? null
      : { instance, born, isLeaving, limitPerSecond: limitPerSecond ?? null };
  }

  /** Whether an incarnation has stated that it is leaving, to this process or to an earlier one. */
  hasStatedLeaving(incarnation: Incarnation): boolean {
    const { current, restored } = this;
    return this.isLeaving && current !== undefined &&
        isSameIncarnation(incarnation, current) ||
      restored !== undefined && restored.isLeaving &&
        isSameIncarnation(incarnation, restored);
  }

  /**
   * Applies what was stated to an earlier process of this daemon. A limit counts until the first response to this
   * process.
   */
  restore(status: StatedStatus): void {
    const { restored } = this;
    this.restored =
      restored !== undefined && isSameIncarnation(status, restored)
        ? mergeStatus(restored, status)
        : status;
    this.applyRestored();
  }

  /** Sets the incarnation that runs now. What an earlier one stated no longer counts. */
  setIncarnation(incarnation: Incarnation): void {
    const { current } = this;
    if (current === undefined || !isSameIncarnation(incarnation, current)) {
      this.limit = AdvertisedLimitTracker.create();
      this.isLeaving = false;
      this.hasResponded = false;
      this.load.clear();
      this.isLoadUnreadable = false;
    }
    this.current = incarnation;
    this.applyRestored();
  }

  private applyRestored(): void {
    const { current, restored } = this;
    if (
      current === undefined || restored === undefined ||
      !isSameIncarnation(restored, current)
    ) {
      return;
    }
    const perSecond = restored.limitPerSecond ?? Infinity;
    const tightens = !this.hasResponded &&
      perSecond < (this.limitPerSecond ?? Infinity);
    if (tightens) {
      this.limit.record({
        perSecond,
        sentAtMs: -Infinity,
        receivedAtMs: -Infinity,
      });
    }
    const beginsLeaving = restored.isLeaving && !this.isLeaving;
    this.isLeaving ||= restored.isLeaving;
    if (tightens || beginsLeaving) {
      this.context.logger.log("backend_status_restored", {
        instance: current.instance,
        leaving: this.isLeaving,
        limit: this.limitPerSecond,
      });
    }
  }

  /** Records the status in a response; ignores responses of earlier incarnations. */
  record(status: BackendStatus, source: StatusSource): void {
    const { current } = this;
    if (
      current === undefined || !isSameIncarnation(source.incarnation, current)
    ) {
      return;
    }
    this.recordLimit(status, source);
    this.recordLoad(status, source);
    if (status.isLeaving && !this.isLeaving) {
      this.isLeaving = true;
      this.context.logger.log("backend_leaving", {
        instance: current.instance,
        request_id: source.requestId,
      });
      this.context.onLeaving(current, { isRecent: this.hasResponded });
    }
    this.hasResponded = true;
  }

  private recordLoad(
    { load }: BackendStatus,
    { requestId, incarnation, receivedAtMs }: StatusSource,
  ): void {
    if (load.kind === "unreadable" && !this.isLoadUnreadable) {
      this.context.logger.log("backend_load_unreadable", {
        instance: incarnation.instance,
        request_id: requestId,
        value: load.text.slice(0, MAX_LOGGED_LENGTH),
      });
    }
    this.isLoadUnreadable = load.kind === "unreadable";
    if (load.kind === "stated") {
      this.load.record(load.slowness, receivedAtMs);
    }
  }

  private recordLimit(
    { rateLimit }: BackendStatus,
    { requestId, incarnation, sentAtMs, receivedAtMs }: StatusSource,
  ): void {
    const origin = { instance: incarnation.instance, request_id: requestId };
    if (rateLimit.kind === "unreadable") {
      this.context.logger.log("backend_limit_unreadable", {
        ...origin,
        value: rateLimit.text,
        in_force: this.limitPerSecond,
      });
      return;
    }
    const change = this.limit.record({
      perSecond: rateLimit.kind === "stated" ? rateLimit.perSecond : undefined,
      sentAtMs,
      receivedAtMs,
    });
    if (change !== undefined) {
      this.context.logger.log("backend_limit_changed", {
        ...origin,
        before: change.before,
        limit: change.after,
      });
    }
  }
}

/** Reports of one process arrive in any order: leaving can't be taken back, and the strictest limit counts. */
function mergeStatus(left: StatedStatus, right: StatedStatus): StatedStatus {
  const limit = Math.min(
    left.limitPerSecond ?? Infinity,
    right.limitPerSecond ?? Infinity,
  );
  return {
    ...right,
    isLeaving: left.isLeaving || right.isLeaving,
    limitPerSecond: Number.isFinite(limit) ? limit : null,
  };
}
