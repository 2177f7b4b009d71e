/**
 * Decides when other daemons may send the large bodies of their requests to this host, and which of them to refuse.
 *
 * Designed for hosts whose network link carries fewer bodies than their backend server could process. Bodies that are
 * sent without regard to the link fill its queue: they arrive after their deadlines, and so does everything behind them,
 * including acknowledgements, gossip and the responses of the store. Only the receiving host knows what all others send
 * to it, so it grants the bodies piece by piece, and refuses those that would arrive too late before a byte is sent.
 *
 * @module
 */

/** A body that another daemon offers to send. */
export interface OfferedBody {
  readonly bytes: number;
  /** Expected time from the arrival of the body until the response is sent, in milliseconds. */
  readonly serviceMs: number;
  /** Expected wait for a slot, in milliseconds from now; the body is sent meanwhile. */
  readonly slotWaitMs: number;
  readonly objectiveAtMs: number;
  readonly deadlineAtMs: number;
  /** Whether a response after the objective is of use. */
  readonly mayEndLate: boolean;
}

/** Whether an offered body is accepted. */
export type BodyDecision =
  | { readonly kind: "accept" }
  /** `waitMs`: time until such a body would be accepted. */
  | { readonly kind: "refuse"; readonly waitMs: number };

/** Permission to send the next part of a body. */
export interface BodyGrant<Id> {
  readonly id: Id;
  readonly bytes: number;
}

/** Share of the network link's bandwidth for large bodies; the rest is for small messages and for callers' bodies. */
const LARGE_BODY_SHARE = 0.85;
/** Part of a body that is granted at a time, in bytes: small messages wait for at most a few. */
const GRANT_BYTES = 16_384;
/** How far ahead of the network link parts are granted, in milliseconds: keeps it busy while the event loop lags. */
const GRANT_AHEAD_MS = 30;
/**
 * Granted parts that have not arrived, in milliseconds of the network link: more than a round trip to senders whose
 * event loops lag. It is reached while other traffic takes more of the link than its share.
 */
const MAX_GRANTED_MS = 60;
/** A granted part that has not arrived for this long no longer counts as on its way, in milliseconds. */
const GRANT_TIMEOUT_MS = 250;
/** A body counts as on time only if it would be with this share of its expected time in addition. */
const ESTIMATE_MARGIN = 0.5;
/**
 * A late body is accepted only while those that were accepted before arrive within this time, in milliseconds: on a link
 * in constant use it would be overtaken until its deadline.
 */
const MAX_LATE_BACKLOG_MS = 100;

/** Half-life of the average wait, in milliseconds: reports reach other daemons up to 2 s after they were made. */
const WAIT_HALF_LIFE_MS = 500;

interface TrackedBody<Id> extends OfferedBody {
  readonly id: Id;
  readonly slotFreeAtMs: number;
  ungrantedBytes: number;
  /** Granted bytes that have not arrived. */
  grantedBytes: number;
  grantedAtMs: number;
}

/** The accepted bodies that have not arrived completely at one host. */
export class BodyScheduler<Id> {
  /** In the order of their objectives. */
  private bodies: TrackedBody<Id>[] = [];
  private linkFreeAtMs = -Infinity;
  private averageWaitMs = 0;
  private averagedAtMs = -Infinity;

  private constructor(private readonly bytesPerMs: number) {}

  /**
   * Creates the scheduler of an idle network link.
   *
   * @param linkBytesPerSecond bandwidth of the host's network link.
   */
  static create<Id>(linkBytesPerSecond: number): BodyScheduler<Id> {
    return new BodyScheduler(linkBytesPerSecond * LARGE_BODY_SHARE / 1_000);
  }

  /** Number of bodies that have not arrived completely. */
  get size(): number {
    return this.bodies.length;
  }

  /** Bytes that have been accepted and have not arrived. */
  get pendingBytes(): number {
    return sumBytes(this.bodies);
  }

  /** Accepts or refuses a body. */
  offer(id: Id, offered: OfferedBody, nowMs: number): BodyDecision {
    const body: TrackedBody<Id> = {
      ...offered,
      id,
      slotFreeAtMs: nowMs + offered.slotWaitMs,
      ungrantedBytes: offered.bytes,
      grantedBytes: 0,
      grantedAtMs: -Infinity,
    };
    if (!this.isAcceptable(body, nowMs)) {
      return { kind: "refuse", waitMs: this.returnWaitMs(body, nowMs) };
    }
    const index = this.bodies.findIndex(({ objectiveAtMs }) =>
      objectiveAtMs > body.objectiveAtMs
    );
    this.bodies.splice(index < 0 ? this.bodies.length : index, 0, body);
    return { kind: "accept" };
  }

  /** Grants the parts that may be sent now. */
  takeGrants(nowMs: number): BodyGrant<Id>[] {
    const grants: BodyGrant<Id>[] = [];
    while (this.grantDelayMs(nowMs) === 0) {
      const body = this.findNext(nowMs);
      if (body === undefined) {
        break;
      }
      const bytes = Math.min(GRANT_BYTES, body.ungrantedBytes);
      body.ungrantedBytes -= bytes;
      body.grantedBytes += bytes;
      body.grantedAtMs = nowMs;
      this.linkFreeAtMs = Math.max(this.linkFreeAtMs, nowMs) +
        bytes / this.bytesPerMs;
      grants.push({ id: body.id, bytes });
    }
    return grants;
  }

  /**
   * Delay until the next part may be granted, in milliseconds: 0 if it may be now, infinite if that depends on the
   * arrival of parts that were granted before.
   */
  grantDelayMs(nowMs: number): number {
    if (this.bytesOnTheWay(nowMs) >= MAX_GRANTED_MS * this.bytesPerMs) {
      return Infinity;
    }
    return Math.max(0, this.linkFreeAtMs - nowMs - GRANT_AHEAD_MS);
  }

  /** Records the arrival of a part. */
  recordArrival(id: Id, bytes: number, nowMs: number): void {
    const body = this.bodies.find((other) => other.id === id);
    if (body !== undefined) {
      body.grantedBytes = Math.max(0, body.grantedBytes - bytes);
      body.grantedAtMs = nowMs;
    }
  }

  /** Removes a body that has arrived or is no longer needed. */
  remove(id: Id): void {
    this.bodies = this.bodies.filter((body) => body.id !== id);
  }

  /** Removes the bodies that can no longer arrive before their deadlines; returns their ids. */
  takeHopeless(nowMs: number): Id[] {
    const hopeless = this.bodies.filter((body) =>
      this.endsAtMs(body, this.bytesBefore(body, nowMs), nowMs) >
        body.deadlineAtMs
    ).map(({ id }) => id);
    hopeless.forEach((id) => this.remove(id));
    return hopeless;
  }

  /** Recent average time until a body that is offered begins to arrive, in milliseconds. */
  get meanWaitMs(): number {
    return this.averageWaitMs;
  }

  /** Updates the average wait; must be called periodically. */
  recordWait(nowMs: number): void {
    const weight = 0.5 ** ((nowMs - this.averagedAtMs) / WAIT_HALF_LIFE_MS);
    this.averagedAtMs = nowMs;
    this.averageWaitMs = this.averageWaitMs * weight +
      this.estimateDelayMs(0) * (1 - weight);
  }

  /** Expected time until a body that is offered now would have arrived, in milliseconds. */
  estimateDelayMs(bytes: number): number {
    return (this.pendingBytes + bytes) / this.bytesPerMs;
  }

  private isAcceptable(body: TrackedBody<Id>, nowMs: number): boolean {
    const onTimeMs = this.endsAtMs(
      body,
      this.bytesBefore(body, nowMs, true),
      nowMs,
    ) - nowMs;
    if (nowMs + onTimeMs * (1 + ESTIMATE_MARGIN) <= body.objectiveAtMs) {
      return true;
    }
    const lateMs = this.endsAtMs(body, this.pendingBytes, nowMs) - nowMs;
    return body.mayEndLate &&
      this.estimateDelayMs(0) <= MAX_LATE_BACKLOG_MS &&
      nowMs + lateMs * (1 + ESTIMATE_MARGIN) <= body.deadlineAtMs;
  }

  /** Time until a body of this size would be on time again, at least that of one part. */
  private returnWaitMs(body: TrackedBody<Id>, nowMs: number): number {
    const spareMs = Math.max(0, body.objectiveAtMs - nowMs) /
        (1 + ESTIMATE_MARGIN) - body.serviceMs;
    const excessMs = this.estimateDelayMs(body.bytes) - Math.max(0, spareMs);
    return Math.max(
      GRANT_BYTES / this.bytesPerMs,
      Math.min(excessMs, this.estimateDelayMs(0)),
    );
  }

  /** Bytes that arrive before a body: those of earlier objectives and, before a late body, all that are on time. */
  private bytesBefore(
    body: TrackedBody<Id>,
    nowMs: number,
    isOnTime = this.isOnTime(body, nowMs),
  ): number {
    return sumBytes(
      this.bodies.filter((other) =>
        other !== body &&
        (this.isOnTime(other, nowMs) === isOnTime
          ? other.objectiveAtMs <= body.objectiveAtMs
          : !isOnTime)
      ),
    );
  }

  private endsAtMs(
    body: TrackedBody<Id>,
    bytesBefore: number,
    nowMs: number,
  ): number {
    const bytes = bytesBefore + body.ungrantedBytes + body.grantedBytes;
    const arrivesAtMs = nowMs + bytes / this.bytesPerMs;
    return Math.max(arrivesAtMs, body.slotFreeAtMs) + body.serviceMs;
  }

  private isOnTime(body: TrackedBody<Id>, nowMs: number): boolean {
    return this.endsAtMs(body, 0, nowMs) <= body.objectiveAtMs;
  }

  /** Bodies that can still be on time go before those that can't, or all would be late as soon as the link is full. */
  private findNext(nowMs: number): TrackedBody<Id> | undefined {
    const waiting = this.bodies.filter((body) =>
      body.ungrantedBytes > 0 && !isOverdue(body, nowMs)
    );
    return waiting.find((body) => this.isOnTime(body, nowMs)) ?? waiting[0];
  }

  private bytesOnTheWay(nowMs: number): number {
    return this.bodies.filter((body) => !isOverdue(body, nowMs))
      .reduce((sum, { grantedBytes }) => sum + grantedBytes, 0);
  }
}

/** Whether the sender of a body has not sent what it was granted, for example because its own link is full. */
function isOverdue(
  { grantedBytes, grantedAtMs }: TrackedBody<unknown>,
  nowMs: number,
): boolean {
  return grantedBytes > 0 && nowMs - grantedAtMs > GRANT_TIMEOUT_MS;
}

function sumBytes(bodies: readonly TrackedBody<unknown>[]): number {
  return bodies.reduce(
    (sum, { ungrantedBytes, grantedBytes }) =>
      sum + ungrantedBytes + grantedBytes,
    0,
  );
}
