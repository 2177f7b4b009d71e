/**
 * Tests of how soon sessions serve again after all of them were paused for longer than a promise.
 *
 * @module
 */
import { expect } from "chai";
import { LeaseHolder } from "./lease_holder.ts";
import { DEFAULT_TIMING } from "./timing.ts";
import { WitnessLedger } from "./witness_ledger.ts";

const SESSIONS = 12;
const WITNESSES = 5;
const TICK_MS = 50;
/** One way between two daemons. */
const MESSAGE_MS = 5;
const STORE_MS = 30;
const STALL_MS = 1_200;
const SILENT_MS = 100;

interface Event {
  readonly atMs: number;
  readonly run: () => void;
}

/** Twelve daemons with the real decision code, a control loop each, and a store that answers late. */
class StallWorld {
  private now = 0;
  private events: Event[] = [];
  private readonly sessions = Array.from({ length: SESSIONS }, (_, index) => {
    const lease = LeaseHolder.create(DEFAULT_TIMING);
    lease.setWitnesses(
      Array.from(
        { length: WITNESSES },
        (_, step) => String((index + step + 1) % SESSIONS),
      ),
    );
    const ledger = WitnessLedger.create(DEFAULT_TIMING);
    return { lease, ledger, nextConfirmMs: 0, sent: 0, isLost: false };
  });
  /** Who was called silent, by whom. */
  readonly suspicions: { witness: string; session: string; atMs: number }[] =
    [];

  /** How many sessions may serve. */
  get validCount(): number {
    return this.sessions.filter(({ lease }) => this.now < lease.validUntil)
      .length;
  }

  /** Renewals sent so far. */
  get sentCount(): number {
    return this.sessions.reduce((sum, { sent }) => sum + sent, 0);
  }

  /** The clock. */
  get nowMs(): number {
    return this.now;
  }

  /** Ends one daemon. */
  lose(index: number): void {
    this.session(index).isLost = true;
  }

  /** Time passes while nobody runs. */
  stall(milliseconds: number): void {
    this.now += milliseconds;
  }

  /**
   * Lets daemons work for a while.
   *
   * @param options.storeIsUp without the store no session may promise before it is valid itself.
   */
  run(milliseconds: number, options = { storeIsUp: true }): void {
    const end = this.now + milliseconds;
    this.sessions.forEach((_, index) =>
      this.at(this.now + index * 3, () => this.tick(index, options))
    );
    for (
      let event = this.nextEvent(end);
      event !== undefined;
      event = this.nextEvent(end)
    ) {
      this.now = event.atMs;
      event.run();
    }
    this.events = [];
    this.now = end;
  }

  private nextEvent(end: number): Event | undefined {
    this.events.sort((left, right) => left.atMs - right.atMs);
    return (this.events[0]?.atMs ?? Infinity) <= end
      ? this.events.shift()
      : undefined;
  }

  private tick(index: number, options: { storeIsUp: boolean }): void {
    const session = this.session(index);
    if (session.isLost) {
      return;
    }
    session.lease.dueRenewals(this.now).forEach((witness) =>
      this.renew(index, witness)
    );
    session.ledger.recordStep(this.now);
    session.ledger.findUnresponsive(this.now, SILENT_MS).forEach((silent) =>
      this.suspicions.push({
        witness: String(index),
        session: silent.session,
        atMs: this.now,
      })
    );
    const confirms = options.storeIsUp &&
      this.now >= session.lease.validUntil && this.now >= session.nextConfirmMs;
    if (confirms) {
      session.nextConfirmMs = this.now + DEFAULT_TIMING.promiseMs / 2;
      const sentAtMs = this.now;
      this.at(this.now + STORE_MS, () => session.ledger.confirmOpen(sentAtMs));
    }
    this.at(this.now + TICK_MS, () => this.tick(index, options));
  }

  private renew(index: number, witness: string): void {
    const { lease } = this.session(index);
    const peer = this.session(Number(witness));
    const sentAtMs = this.now;
    lease.markSent(witness, sentAtMs);
    this.session(index).sent += 1;
    this.at(this.now + MESSAGE_MS, () => {
      if (peer.isLost) {
        return;
      }
      const answer = peer.ledger.renew(String(index), {
        nowMs: this.now,
        validUntilMs: peer.lease.validUntil,
      });
      this.at(this.now + MESSAGE_MS, () => {
        if (answer === "promised") {
          lease.recordPromise(witness, sentAtMs);
        } else {
          lease.recordNotPermitted(witness, this.now);
        }
      });
    });
  }

  private session(index: number) {
    return this.sessions[index] as typeof this.sessions[number];
  }

  private at(atMs: number, run: () => void): void {
    this.events.push({ atMs, run });
  }
}

describe("recovery after a stall", () => {
  // Guards against owners that refuse all requests for 0.4 s after a pause of the whole machine: the first
  // renewals meet witnesses that are about to read the store, and the next ones came a regular renewal later.
  it("all serve again before a regular renewal is due", () => {
    const world = new StallWorld();
    world.run(3_000);
    expect(world.validCount).to.equal(SESSIONS);
    world.stall(STALL_MS);
    expect(world.validCount).to.equal(0);
    world.run(DEFAULT_TIMING.renewIntervalMs / 2);
    expect(world.validCount).to.equal(SESSIONS);
  });

  // Guards against a takeover of all daemons of a machine that stood still: each witness found the promises
  // that it had given run out, before it had read a single renewal, and told the planner.
  it("nobody is called silent who lives", () => {
    const world = new StallWorld();
    world.run(3_000);
    world.stall(STALL_MS);
    world.run(5_000);
    expect(world.suspicions).to.deep.equal([]);
  });

  it("who was lost in the stall is called silent by all its witnesses", () => {
    const world = new StallWorld();
    world.run(3_000);
    world.lose(0);
    world.stall(STALL_MS);
    const wokeAtMs = world.nowMs;
    world.run(2 * DEFAULT_TIMING.promiseMs);
    const early = world.suspicions.filter(({ atMs }) =>
      atMs - wokeAtMs <= 1.5 * DEFAULT_TIMING.promiseMs
    );
    expect(new Set(world.suspicions.map(({ session }) => session))).to.deep
      .equal(new Set(["0"]));
    expect(new Set(early.map(({ witness }) => witness)).size).to.equal(
      WITNESSES,
    );
  });

  it("who is lost without a stall is called silent as soon as its promises ran out", () => {
    const world = new StallWorld();
    world.run(3_000);
    world.lose(0);
    world.run(1.5 * DEFAULT_TIMING.promiseMs);
    expect(new Set(world.suspicions.map(({ witness }) => witness)).size).to
      .equal(WITNESSES);
  });

  it("asks witnesses that stay unable to promise at most three times more", () => {
    const world = new StallWorld();
    world.run(10_000, { storeIsUp: false });
    const regular = SESSIONS * WITNESSES *
      (10_000 / DEFAULT_TIMING.renewIntervalMs + 1);
    expect(world.validCount).to.equal(0);
    expect(world.sentCount).to.be.within(
      1,
      regular + 3 * SESSIONS * WITNESSES,
    );
  });
});
