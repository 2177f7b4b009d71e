/**
 * Manages this daemon's session: opens it, renews its promises, replaces its witnesses, and opens a new
 * session after the current one was sealed.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { Logger } from "@bamboolink/logger";
import {
  chooseWitnesses,
  type LeaseTiming,
  reviewWitnesses,
} from "@bamboolink/ownership";
import { RenewResponse_Answer } from "@bamboolink/protocol";
import { type Store, writeAndVerify } from "@bamboolink/store";
import {
  type Announcement,
  sessionKey,
  SessionRecord,
} from "@bamboolink/types";
import { BackgroundTask } from "./background_task.ts";
import { monotonicMs, wallClockMs } from "./clock.ts";
import type { Fleet } from "./fleet.ts";
import { LocalSession } from "./local_session.ts";
import type { PeerClients } from "./peer_clients.ts";
import type { Randomness } from "./randomness.ts";
import { RenewalChannel } from "./renewal_channel.ts";

/** Time without a response after which a witness is replaced, in milliseconds. */
const WITNESS_TIMEOUT_MS = 3_000;
/** Minimum time between two writes of the session record, before jitter, in milliseconds. */
const MIN_WRITE_INTERVAL_MS = 500;

/** Dependencies of the session manager. */
export interface SessionManagerContext {
  readonly store: Store;
  readonly fleet: Fleet;
  readonly clients: PeerClients;
  readonly logger: Logger;
  readonly randomness: Randomness;
  readonly timing: LeaseTiming;
  readonly location: {
    readonly host: string;
    readonly region: string;
    readonly availabilityZone: string;
    readonly controlAddress: string;
    readonly dataAddress: string;
  };
  /** The backend server's announcement; `undefined` before the first one. */
  readonly announcement: () => Announcement | undefined;
  /** Whether this daemon should own no keys: it is stopping, or its backend server is unreachable. */
  readonly isDraining: () => boolean;
}

/** Manages the session of one daemon. */
export class SessionManager {
  private readonly writeTask: BackgroundTask;
  private readonly confirmTask: BackgroundTask;
  private readonly lastResponseAtMs = new Map<string, number>();
  private readonly lastResponses = new Map<string, string>();
  private readonly channels = new Map<string, RenewalChannel>();
  private readonly endedWitnesses = new Set<string>();
  private session: LocalSession | undefined;
  private nextWriteAtMs = 0;
  private nextConfirmAtMs = 0;
  private closed = false;

  private constructor(private readonly context: SessionManagerContext) {
    this.writeTask = BackgroundTask.create(
      context.logger,
      "session_keeper.write",
    );
    this.confirmTask = BackgroundTask.create(
      context.logger,
      "session_keeper.confirm",
    );
  }

  /** Creates a manager without a session. */
  static create(context: SessionManagerContext): SessionManager {
    return new SessionManager(context);
  }

  /** The current session, if there is one. */
  get current(): LocalSession | undefined {
    return this.session;
  }

  /**
   * Runs one step of the control loop.
   *
   * @param nowMs current time on the monotonic clock, in milliseconds.
   */
  tick(nowMs: number): void {
    this.detectSeal();
    const session = this.session;
    if (session === undefined || session.state === "sealed") {
      this.openSession(nowMs);
      return;
    }
    if (session.state === "opening") {
      return;
    }
    session.lease.dueRenewals(nowMs).forEach((witness) =>
      this.renew(session, witness)
    );
    this.closeChannels(session.lease.witnesses);
    this.updateQuorum(session, nowMs);
    this.reviewRecord(session, nowMs);
  }

  /**
   * Ends the session.
   *
   * @param clean whether no request of the session is still running. Only then is its record written as
   *   ended; otherwise a takeover has to wait, as it does for a lost daemon.
   */
  async close(clean: boolean): Promise<void> {
    this.closed = true;
    this.closeChannels([]);
    const session = this.session;
    this.session = undefined;
    // Code that still has a reference to the session must dispatch no more requests under it.
    session?.applyEvent("SEALED");
    if (session === undefined || session.revision === 0 || !clean) {
      return;
    }
    const record: SessionRecord = {
      ...session.record,
      state: "ended",
      sealed_reason: "the daemon stopped",
    };
    await this.writeRecord(session, record);
  }

  private openSession(nowMs: number): void {
    const { fleet } = this.context;
    const announcement = this.context.announcement();
    const ready = announcement !== undefined && fleet.revision > 0 &&
      !this.context.isDraining();
    if (
      !ready || this.closed || this.writeTask.isRunning ||
      nowMs < this.nextWriteAtMs
    ) {
      return;
    }
    this.nextWriteAtMs = nowMs +
      MIN_WRITE_INTERVAL_MS * (1 + this.context.randomness.next());
    this.writeTask.start(async () => {
      const session = LocalSession.create(
        this.makeRecord(announcement),
        this.context.timing,
      );
      const sentAtMs = monotonicMs();
      if (!await this.writeRecord(session, session.record)) {
        return;
      }
      session.ledger.confirmOpen(sentAtMs);
      session.applyEvent("OPENED");
      this.session = session;
      this.context.logger.log("session_started", {
        session: session.id,
        witnesses: session.record.witnesses,
      });
    });
  }

  private makeRecord(announcement: Announcement): SessionRecord {
    const { location, fleet } = this.context;
    const id = `${location.host}~${randomUUID()}`;
    const replaces = fleet.sessions
      .filter((session) =>
        session.host === location.host &&
        session.control_address === location.controlAddress
      )
      .filter((session) => session.state !== "ended")
      .map((session) => session.id);
    const identity = { id, host: location.host, region: location.region };
    return {
      ...identity,
      availability_zone: location.availabilityZone,
      control_address: location.controlAddress,
      data_address: location.dataAddress,
      service: announcement.service,
      slots: announcement.slots,
      checks_fencing: announcement.checks_fencing,
      longest_work_ms: this.maxRequestDurationMs(announcement.service),
      draining: false,
      state: "open",
      witnesses: chooseWitnesses(
        identity,
        fleet.sessions.filter((session) => !replaces.includes(session.id)),
      ),
      replaces,
      declared_lost: false,
      started_at_ms: wallClockMs(),
      sealed_reason: "",
    };
  }

  /** The longest timeout of the service's operations, in milliseconds: how long a dispatched request may run. */
  private maxRequestDurationMs(service: string): number {
    const operations =
      this.context.fleet.configuration?.services.get(service)?.operations ?? [];
    return Math.max(0, ...operations.map((operation) => operation.timeout_ms));
  }

  private renew(session: LocalSession, witness: string): void {
    const known = this.channels.get(witness);
    const channel = known ?? this.createChannel(session, witness);
    this.channels.set(witness, channel);
    session.lease.markSent(witness, monotonicMs());
    channel.renew();
  }

  private createChannel(
    session: LocalSession,
    witness: string,
  ): RenewalChannel {
    const { fleet, clients } = this.context;
    return RenewalChannel.create({
      session: session.id,
      witness,
      client: () => {
        const address = fleet.session(witness)?.control_address;
        return address === undefined ? undefined : clients.clientOf(address);
      },
      onResponse: (answer, sentAtMs) =>
        this.handleResponse(session, { witness, answer, sentAtMs }),
    });
  }

  private handleResponse(
    session: LocalSession,
    response: {
      witness: string;
      answer: RenewResponse_Answer;
      sentAtMs: number;
    },
  ): void {
    const { witness } = response;
    this.lastResponseAtMs.set(witness, monotonicMs());
    this.lastResponses.set(
      witness,
      RenewResponse_Answer[response.answer].toLowerCase(),
    );
    switch (response.answer) {
      case RenewResponse_Answer.PROMISED:
        session.lease.recordPromise(witness, response.sentAtMs);
        break;
      case RenewResponse_Answer.REFUSED:
        session.lease.dropPromise(witness);
        this.nextConfirmAtMs = 0;
        break;
      case RenewResponse_Answer.NOT_PERMITTED:
        session.lease.recordNotPermitted(witness, monotonicMs());
        break;
      case RenewResponse_Answer.NOT_THE_WITNESS:
        this.endedWitnesses.add(witness);
        break;
    }
  }

  /** Closes the streams to sessions that are no longer witnesses. */
  private closeChannels(witnesses: readonly string[]): void {
    [...this.channels]
      .filter(([witness]) => !witnesses.includes(witness))
      .forEach(([witness, channel]) => {
        channel.close();
        this.channels.delete(witness);
      });
  }

  private updateQuorum(session: LocalSession, nowMs: number): void {
    const held = nowMs < session.lease.validUntil;
    if (session.applyEvent(held ? "QUORUM_HELD" : "QUORUM_LOST")) {
      this.context.logger.log(held ? "session_resumed" : "session_suspended", {
        session: session.id,
        answers: this.describeResponses(session, nowMs),
      });
    }
    if (!held && nowMs >= this.nextConfirmAtMs) {
      this.confirmTask.start(() => this.confirmOpen(session));
    }
  }

  /** Lists each witness's last response and its age, for the log. */
  private describeResponses(session: LocalSession, nowMs: number): string[] {
    return session.lease.witnesses.map((witness) => {
      const kind = this.lastResponses.get(witness) ?? "none";
      const ageMs = Math.round(
        nowMs - (this.lastResponseAtMs.get(witness) ?? nowMs),
      );
      return `${witness} ${kind} ${ageMs} ms ago`;
    });
  }

  /**
   * Reads this session's record from the store while suspended. If the record is open, this session may
   * make promises for a limited time, so that sessions that lost their connections together can recover
   * together.
   */
  private async confirmOpen(session: LocalSession): Promise<void> {
    const sentAtMs = monotonicMs();
    this.nextConfirmAtMs = sentAtMs +
      (this.context.timing.promiseMs / 2) *
        (0.75 + this.context.randomness.next() / 2);
    const found = await this.context.store.get(sessionKey(session.id));
    if (found.isErr() || found.value === undefined) {
      return;
    }
    const record = SessionRecord.safeParse(JSON.parse(found.value.value));
    if (record.success && record.data.state === "open") {
      session.ledger.confirmOpen(sentAtMs);
    } else if (record.success) {
      this.seal(session, record.data.sealed_reason);
    }
  }

  private detectSeal(): void {
    const session = this.session;
    const record = session === undefined
      ? undefined
      : this.context.fleet.session(session.id);
    if (
      session !== undefined && record !== undefined && record.state !== "open"
    ) {
      this.seal(session, record.sealed_reason);
    }
  }

  private seal(session: LocalSession, reason: string): void {
    if (session.applyEvent("SEALED")) {
      this.closeChannels([]);
      this.context.logger.log("session_sealed", {
        session: session.id,
        reason,
      });
    }
  }

  /** Rewrites the record if the witnesses, the backend server's slots or the drain state changed. */
  private reviewRecord(session: LocalSession, nowMs: number): void {
    if (this.writeTask.isRunning || nowMs < this.nextWriteAtMs) {
      return;
    }
    const next = this.desiredRecord(session, nowMs);
    if (next === undefined) {
      return;
    }
    this.nextWriteAtMs = nowMs +
      MIN_WRITE_INTERVAL_MS * (1 + this.context.randomness.next());
    this.writeTask.start(() => this.changeRecord(session, next));
  }

  private desiredRecord(
    session: LocalSession,
    nowMs: number,
  ): SessionRecord | undefined {
    const announcement = this.context.announcement();
    const witnesses = reviewWitnesses(session.record, {
      sessions: this.context.fleet.sessions,
      unreachable: this.unreachableWitnesses(session, nowMs),
    });
    const wanted: SessionRecord = {
      ...session.record,
      witnesses: witnesses ?? session.record.witnesses,
      slots: announcement?.slots ?? session.record.slots,
      draining: this.context.isDraining(),
      longest_work_ms: Math.max(
        session.record.longest_work_ms,
        this.maxRequestDurationMs(session.record.service),
      ),
    };
    return JSON.stringify(wanted) === JSON.stringify(session.record)
      ? undefined
      : wanted;
  }

  private unreachableWitnesses(
    session: LocalSession,
    nowMs: number,
  ): Set<string> {
    const unresponsive = session.record.witnesses.filter((witness) => {
      const last = this.lastResponseAtMs.get(witness);
      if (last === undefined) {
        this.lastResponseAtMs.set(witness, nowMs);
      }
      return last !== undefined && nowMs - last > WITNESS_TIMEOUT_MS;
    });
    return new Set([...unresponsive, ...this.endedWitnesses]);
  }

  private async changeRecord(
    session: LocalSession,
    next: SessionRecord,
  ): Promise<void> {
    const before = session.record.witnesses;
    const changed = next.witnesses.join() !== before.join();
    if (changed) {
      session.proposeWitnesses(next.witnesses);
    }
    if (!await this.writeRecord(session, next)) {
      return;
    }
    if (changed) {
      this.context.logger.log("witnesses_changed", {
        session: session.id,
        witnesses: next.witnesses,
      });
    }
  }

  /**
   * Writes the record. If the effect of the write is unknown, a quorum of every proposed set of witnesses
   * stays necessary until a record with a newer revision is written or read: while the old record is in
   * the store, a write that was sent earlier may still be applied.
   *
   * @returns whether the record is certainly in the store.
   */
  private async writeRecord(
    session: LocalSession,
    record: SessionRecord,
  ): Promise<boolean> {
    const written = await writeAndVerify(this.context.store, {
      key: sessionKey(session.id),
      value: JSON.stringify(record),
      expectedRevision: session.revision,
    });
    if (written.isOk()) {
      session.confirmRecord(record, written.value);
      return true;
    }
    if (written.error.code === "conflict") {
      await this.readRecord(session);
    }
    return false;
  }

  private async readRecord(session: LocalSession): Promise<void> {
    const found = await this.context.store.get(sessionKey(session.id));
    const record = found.isOk() && found.value !== undefined
      ? SessionRecord.safeParse(JSON.parse(found.value.value))
      : undefined;
    if (
      found.isErr() || found.value === undefined || record?.success !== true
    ) {
      return;
    }
    if (record.data.state !== "open") {
      this.seal(session, record.data.sealed_reason);
      return;
    }
    session.confirmRecord(record.data, found.value.revision);
  }
}
