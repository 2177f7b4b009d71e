/**
 * Keeps this daemon's session: opens it, renews its promises, changes its witnesses, and starts a new
 * one after it was sealed.
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
import { Background } from "./background.ts";
import { monotonicMs, wallClockMs } from "./clock.ts";
import type { Fleet } from "./fleet.ts";
import { LocalSession } from "./local_session.ts";
import type { PeerClients } from "./peer_clients.ts";
import type { Randomness } from "./randomness.ts";
import { RenewalChannel } from "./renewal_channel.ts";

/** A witness that has been silent for so long is replaced, in milliseconds. */
const UNREACHABLE_MS = 3_000;
/** The least time between two changes of the record, in milliseconds. */
const WRITE_PAUSE_MS = 500;

/** What the keeper needs. */
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
  /** What the backend server announced; `undefined` before it did. */
  readonly announcement: () => Announcement | undefined;
  /** Whether this daemon should own nothing: it stops, or its backend server is away. */
  readonly isDraining: () => boolean;
}

/** Keeps the session of one daemon. */
export class SessionManager {
  private readonly writing: Background;
  private readonly confirming: Background;
  private readonly lastAnswers = new Map<string, number>();
  private readonly lastAnswerKinds = new Map<string, string>();
  private readonly channels = new Map<string, RenewalChannel>();
  private readonly gone = new Set<string>();
  private session: LocalSession | undefined;
  private nextWriteMs = 0;
  private nextConfirmMs = 0;
  private closed = false;

  private constructor(private readonly context: SessionManagerContext) {
    this.writing = Background.create(context.logger, "session_keeper.write");
    this.confirming = Background.create(
      context.logger,
      "session_keeper.confirm",
    );
  }

  /** Creates a keeper without a session. */
  static create(context: SessionManagerContext): SessionManager {
    return new SessionManager(context);
  }

  /** The current session, if there is one. */
  get current(): LocalSession | undefined {
    return this.session;
  }

  /** One step of the control loop. */
  tick(nowMs: number): void {
    this.noticeSeal();
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
    this.noteQuorum(session, nowMs);
    this.reviewRecord(session, nowMs);
  }

  /**
   * Ends the session.
   *
   * @param clean whether nothing of it runs any more. Only then is it written down as ended; otherwise
   *   a takeover has to wait, as for a daemon that was lost.
   */
  async close(clean: boolean): Promise<void> {
    this.closed = true;
    this.closeChannels([]);
    const session = this.session;
    this.session = undefined;
    // Whoever still holds the session may hand nothing over from here on.
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
      !ready || this.closed || this.writing.isRunning ||
      nowMs < this.nextWriteMs
    ) {
      return;
    }
    this.nextWriteMs = nowMs +
      WRITE_PAUSE_MS * (1 + this.context.randomness.next());
    this.writing.start(async () => {
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
      longest_work_ms: this.longestWorkMs(announcement.service),
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

  /** The longest timeout of the service's operations: so long may work run on after it was handed over. */
  private longestWorkMs(service: string): number {
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
        this.takeAnswer(session, { witness, answer, sentAtMs }),
    });
  }

  private takeAnswer(
    session: LocalSession,
    given: { witness: string; answer: RenewResponse_Answer; sentAtMs: number },
  ): void {
    const { witness } = given;
    this.lastAnswers.set(witness, monotonicMs());
    this.lastAnswerKinds.set(
      witness,
      RenewResponse_Answer[given.answer].toLowerCase(),
    );
    switch (given.answer) {
      case RenewResponse_Answer.PROMISED:
        session.lease.recordPromise(witness, given.sentAtMs);
        break;
      case RenewResponse_Answer.REFUSED:
        session.lease.dropPromise(witness);
        this.nextConfirmMs = 0;
        break;
      case RenewResponse_Answer.NOT_PERMITTED:
        session.lease.noteNotPermitted(witness, monotonicMs());
        break;
      case RenewResponse_Answer.NOT_THE_WITNESS:
        this.gone.add(witness);
        break;
    }
  }

  /** Ends the streams to sessions that are not witnesses any more. */
  private closeChannels(witnesses: readonly string[]): void {
    [...this.channels]
      .filter(([witness]) => !witnesses.includes(witness))
      .forEach(([witness, channel]) => {
        channel.close();
        this.channels.delete(witness);
      });
  }

  private noteQuorum(session: LocalSession, nowMs: number): void {
    const held = nowMs < session.lease.validUntil;
    if (session.applyEvent(held ? "QUORUM_HELD" : "QUORUM_LOST")) {
      this.context.logger.log(held ? "session_resumed" : "session_suspended", {
        session: session.id,
        answers: this.describeAnswers(session, nowMs),
      });
    }
    if (!held && nowMs >= this.nextConfirmMs) {
      this.confirming.start(() => this.confirmOpen(session));
    }
  }

  /** The last answer of each witness with its age. */
  private describeAnswers(session: LocalSession, nowMs: number): string[] {
    return session.lease.witnesses.map((witness) => {
      const kind = this.lastAnswerKinds.get(witness) ?? "none";
      const ageMs = Math.round(
        nowMs - (this.lastAnswers.get(witness) ?? nowMs),
      );
      return `${witness} ${kind} ${ageMs} ms ago`;
    });
  }

  /**
   * Reads the own record from the store while suspended: if it is open, this session may promise for
   * a while, so that sessions which were all cut off together can recover together.
   */
  private async confirmOpen(session: LocalSession): Promise<void> {
    const sentAtMs = monotonicMs();
    this.nextConfirmMs = sentAtMs +
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

  private noticeSeal(): void {
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

  /** Writes the record anew where witnesses, the backend server or the drain changed. */
  private reviewRecord(session: LocalSession, nowMs: number): void {
    if (this.writing.isRunning || nowMs < this.nextWriteMs) {
      return;
    }
    const next = this.wantedRecord(session, nowMs);
    if (next === undefined) {
      return;
    }
    this.nextWriteMs = nowMs +
      WRITE_PAUSE_MS * (1 + this.context.randomness.next());
    this.writing.start(() => this.changeRecord(session, next));
  }

  private wantedRecord(
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
        this.longestWorkMs(session.record.service),
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
    const silent = session.record.witnesses.filter((witness) => {
      const last = this.lastAnswers.get(witness);
      if (last === undefined) {
        this.lastAnswers.set(witness, nowMs);
      }
      return last !== undefined && nowMs - last > UNREACHABLE_MS;
    });
    return new Set([...silent, ...this.gone]);
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
   * Writes the record; where the effect is unknown, all sets of witnesses that were proposed go on
   * counting until a later write settles it. Only a record with a newer revision settles it: as long
   * as the old one stands, a write that was sent earlier may still arrive.
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
