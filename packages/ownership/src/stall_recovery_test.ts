/**
 * Tests of how soon sessions serve again after all of them were paused for longer than a promise is valid.
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
/** One-way latency between two daemons. */
const MESSAGE_LATENCY_MS = 5;
const STORE_LATENCY_MS = 30;
const STALL_MS = 1_200;
const UNRESPONSIVE_TIMEOUT_MS = 100;

interface Event {
  readonly atMs: number;
  readonly run: () => void;
}

/** Simulates twelve daemons that run the real decision code, each with a control loop, and a store with latency. */
class StallSimulation {
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
    return {
      lease,
      ledger,
      nextConfirmAtMs: 0,
      sentRenewals: 0,
      isStopped: false,
    };
  });
  /** Sessions reported as unresponsive, with the witness and the time of the report. */
  readonly suspicions: { witness: string; session: string; atMs: number }[] =
    [];

  /** Number of sessions whose lease is valid. */
  get validCount(): number {
    return this.sessions.filter(({ lease }) => this.now < lease.validUntil)
      .length;
  }

  /** Number of renewals sent so far. */
  get sentCount(): number {
    return this.sessions.reduce(
      (sum, { sentRenewals }) => sum + sentRenewals,
      0,
    );
  }

  /** Current time in milliseconds. */
  get nowMs(): number {
    return this.now;
  }

  /** Stops one daemon. */
  stop(index: number): void {
    this.session(index).isStopped = true;
  }

  /** Advances the clock while all daemons are paused. */
  stall(milliseconds: number): void {
    this.now += milliseconds;
  }

  /**
   * Runs the daemons for a duration.
   *
   * @param options.storeIsUp without the store, no session may promise before its own lease is valid.
   */
  run(milliseconds: number, options = { storeIsUp: true }): void {
    const end = this.now + milliseconds;
    this.sessions.forEach((_, index) =>
      this.schedule(this.now + index * 3, () => this.tick(index, options))
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
    if (session.isStopped) {
      return;
    }
    session.lease.dueRenewals(this.now).forEach((witness) =>
      this.renew(index, witness)
    );
    session.ledger.recordStep(this.now);
    session.ledger.findUnresponsive(this.now, UNRESPONSIVE_TIMEOUT_MS).forEach((
      unresponsive,
    ) =>
      this.suspicions.push({
        witness: String(index),
        session: unresponsive.session,
        atMs: this.now,
      })
    );
    const shouldConfirm = options.storeIsUp &&
      this.now >= session.lease.validUntil &&
      this.now >= session.nextConfirmAtMs;
    if (shouldConfirm) {
      session.nextConfirmAtMs = this.now + DEFAULT_TIMING.promiseMs / 2;
      const sentAtMs = this.now;
      this.schedule(
        this.now + STORE_LATENCY_MS,
        () => session.ledger.confirmOpen(sentAtMs),
      );
    }
    this.schedule(this.now + TICK_MS, () => this.tick(index, options));
  }

  private renew(index: number, witness: string): void {
    const { lease } = this.session(index);
    const peer = this.session(Number(witness));
    const sentAtMs = this.now;
    lease.markSent(witness, sentAtMs);
    this.session(index).sentRenewals += 1;
    this.schedule(this.now + MESSAGE_LATENCY_MS, () => {
      if (peer.isStopped) {
        return;
      }
      const response = peer.ledger.renew(String(index), {
        nowMs: this.now,
        validUntilMs: peer.lease.validUntil,
      });
      this.schedule(this.now + MESSAGE_LATENCY_MS, () => {
        if (response === "promised") {
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

  private schedule(atMs: number, run: () => void): void {
    this.events.push({ atMs, run });
  }
}

describe("recovery after a stall", () => {
  // Guards against owners that refuse all requests for 0.4 s after a pause of the whole machine: the first renewals
  // reach witnesses that have yet to read the store, and the next ones follow only a regular renewal interval later.
  it("lets all sessions serve again before a regular renewal is due", () => {
    const simulation = new StallSimulation();
    simulation.run(3_000);
    expect(simulation.validCount).to.equal(SESSIONS);
    simulation.stall(STALL_MS);
    expect(simulation.validCount).to.equal(0);
    simulation.run(DEFAULT_TIMING.renewIntervalMs / 2);
    expect(simulation.validCount).to.equal(SESSIONS);
  });

  // Guards against a takeover of all daemons of a machine that stalled: each witness finds the promises that it has
  // given expired, before it has read a single renewal, and reports this to the planner.
  it("reports no alive session as unresponsive", () => {
    const simulation = new StallSimulation();
    simulation.run(3_000);
    simulation.stall(STALL_MS);
    simulation.run(5_000);
    expect(simulation.suspicions).to.deep.equal([]);
  });

  it("reports a session lost in the stall by all its witnesses", () => {
    const simulation = new StallSimulation();
    simulation.run(3_000);
    simulation.stop(0);
    simulation.stall(STALL_MS);
    const resumedAtMs = simulation.nowMs;
    simulation.run(2 * DEFAULT_TIMING.promiseMs);
    const timely = simulation.suspicions.filter(({ atMs }) =>
      atMs - resumedAtMs <= 1.5 * DEFAULT_TIMING.promiseMs
    );
    expect(new Set(simulation.suspicions.map(({ session }) => session))).to.deep
      .equal(new Set(["0"]));
    expect(new Set(timely.map(({ witness }) => witness)).size).to.equal(
      WITNESSES,
    );
  });

  it("reports a session lost without a stall as soon as its promises have expired", () => {
    const simulation = new StallSimulation();
    simulation.run(3_000);
    simulation.stop(0);
    simulation.run(1.5 * DEFAULT_TIMING.promiseMs);
    expect(new Set(simulation.suspicions.map(({ witness }) => witness)).size).to
      .equal(WITNESSES);
  });

  it("sends at most three additional renewals to a witness that stays unable to promise", () => {
    const simulation = new StallSimulation();
    simulation.run(10_000, { storeIsUp: false });
    const regular = SESSIONS * WITNESSES *
      (10_000 / DEFAULT_TIMING.renewIntervalMs + 1);
    expect(simulation.validCount).to.equal(0);
    expect(simulation.sentCount).to.be.within(
      1,
      regular + 3 * SESSIONS * WITNESSES,
    );
  });
});
