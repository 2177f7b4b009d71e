/**
 * Tests of how fast all daemons of a large fleet receive the state of a request, with a simulated network that loses
 * datagrams.
 *
 * @module
 */
import { expect } from "chai";
import { Logger } from "@bamboolink/logger";
import { sampleWithoutReplacement } from "@bamboolink/membership";
import {
  type QuarantineUpdate,
  RequestQuarantine,
} from "./request_quarantine.ts";
import { SAMPLE_REQUEST } from "./testing/sample_request.ts";

const DAEMON_COUNT = 59;
/** All daemons know the state of a request within this time, in milliseconds: a fourth server must not crash. */
const PROPAGATION_MS = 3_000;
/** Time that a datagram takes, in milliseconds. */
const DELAY_MS = 20;
const STEP_MS = 10;
/** Interval between the ticks of one daemon, in milliseconds. */
const TICK_INTERVAL_MS = 50;
/** Number of daemons to which `sendToSome` sends. */
const FANOUT = 2;
/** How long a link loses datagrams, and their share. */
const LOSS_PERIOD_MS = 2_000;
const LOSS_SHARE = 0.9;
/** Time in which a broadcast without losses arrives, in milliseconds. */
const SETTLE_MS = 100;
const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);
/** Parameters of a linear congruential generator. */
const LCG = { factor: 1_664_525, increment: 1_013_904_223, modulus: 2 ** 32 };

interface Sent {
  readonly from: number;
  readonly to: number;
  readonly sentAtMs: number;
  /** Time since the loss began, in milliseconds. */
  readonly lossAgeMs: number;
  readonly update: QuarantineUpdate;
}

/** Whether a datagram is lost; `random` returns a number from 0 to 1. */
type Loss = (datagram: Sent, random: () => number) => boolean;

const LETHAL = { ...SAMPLE_REQUEST, target: "/lethal", brokenConnections: 0 };
const CRASH = { instance: "i-1", proof: "refused" } as const;

/** Daemons that exchange datagrams over a network with delay and loss. */
class LossyFleet {
  readonly daemons: readonly RequestQuarantine[];
  readonly sent: Sent[] = [];
  private nowMs = 0;
  private loss: Loss = () => false;
  private lossStartMs = 0;
  private inFlight: Sent[] = [];

  private constructor(private state: number) {
    this.daemons = Array.from(
      { length: DAEMON_COUNT },
      (_, index) => this.createDaemon(index),
    );
  }

  static create(seed: number): LossyFleet {
    return new LossyFleet(seed);
  }

  /** Loses datagrams from now on. */
  startLoss(loss: Loss): void {
    this.loss = loss;
    this.lossStartMs = this.nowMs;
  }

  /** Crashes the backend server of a daemon while it runs a request. */
  crash(index: number, request = LETHAL): void {
    const daemon = this.daemons[index]!;
    daemon.recordBrokenConnection(request, false);
    daemon.recordBackendEnd(CRASH);
  }

  run(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += STEP_MS;
      this.deliver();
      this.daemons.forEach((daemon, index) => {
        if ((this.nowMs + index * STEP_MS) % TICK_INTERVAL_MS === 0) {
          daemon.tick();
        }
      });
    }
  }

  /** Number of daemons that do not classify a request as expected. */
  countOthers(kind: string, request = LETHAL): number {
    return this.daemons.filter((daemon) =>
      daemon.classify(request).kind !== kind
    ).length;
  }

  private deliver(): void {
    const arrived = this.inFlight.filter(({ sentAtMs }) =>
      sentAtMs + DELAY_MS <= this.nowMs
    );
    this.inFlight = this.inFlight.filter((datagram) =>
      !arrived.includes(datagram)
    );
    arrived.forEach(({ to, update }) => this.daemons[to]!.applyUpdate(update));
  }

  private createDaemon(from: number): RequestQuarantine {
    const others = Array.from({ length: DAEMON_COUNT }, (_, index) => index)
      .filter((index) => index !== from);
    const sendTo = (update: QuarantineUpdate, to: number) => {
      const { nowMs: sentAtMs } = this;
      const lossAgeMs = sentAtMs - this.lossStartMs;
      const datagram = { from, to, update, sentAtMs, lossAgeMs };
      this.sent.push(datagram);
      if (!this.loss(datagram, this.random)) {
        this.inFlight.push(datagram);
      }
    };
    return RequestQuarantine.create({
      address: `${from}`,
      logger: Logger.createRateLimited("test", { level: "error" }),
      random: this.random,
      nowMs: () => this.nowMs,
      broadcast: (update) => others.forEach((to) => sendTo(update, to)),
      sendToSome: (update) =>
        sampleWithoutReplacement(others, {
          count: FANOUT,
          random: this.random,
        }).forEach((to) => sendTo(update, to)),
      sendTo: (update, to) => sendTo(update, Number(to)),
    });
  }

  private readonly random = (): number => {
    const { factor, increment, modulus } = LCG;
    this.state = (this.state * factor + increment) % modulus;
    return this.state / modulus;
  };
}

/** Loses all datagrams that are sent at the moment at which the loss begins. */
const firstBroadcast: Loss = ({ lossAgeMs }) => lossAgeMs === 0;
/** Loses most datagrams from and to the first daemon. */
const weakLink: Loss = ({ from, to, lossAgeMs }, random) =>
  (from === 0 || to === 0) && lossAgeMs < LOSS_PERIOD_MS &&
  random() < LOSS_SHARE;

describe("RequestQuarantine in a fleet that loses datagrams", () => {
  // Guards against a request that crashes further servers because a burst of datagrams to all daemons was lost on a slow
  // link: of two crashes, no other daemon ever learns.
  Object.entries({
    "whose first broadcast is lost": firstBroadcast,
    "that loses 90 % at one link": weakLink,
  })
    .forEach(([name, loss]) => {
      describe(name, () => {
        it("informs all daemons of a crash in time", () => {
          const uninformed = SEEDS.map((seed) => {
            const fleet = LossyFleet.create(seed);
            fleet.startLoss(loss);
            fleet.crash(0);
            fleet.run(PROPAGATION_MS);
            return fleet.countOthers("suspect");
          });
          expect(uninformed).to.deep.equal(SEEDS.map(() => 0));
        });

        it("quarantines a request at all daemons in time after the third crash", () => {
          const uninformed = SEEDS.map((seed) => {
            const fleet = LossyFleet.create(seed);
            fleet.startLoss(loss);
            [0, 1, 2].forEach((index) => fleet.crash(index));
            fleet.run(PROPAGATION_MS);
            return fleet.countOthers("quarantined");
          });
          expect(uninformed).to.deep.equal(SEEDS.map(() => 0));
        });

        it("clears an answered request at all daemons in time", () => {
          const uninformed = SEEDS.map((seed) => {
            const fleet = LossyFleet.create(seed);
            fleet.crash(1);
            fleet.run(SETTLE_MS);
            fleet.startLoss(loss);
            fleet.daemons[0]!.recordResponse(LETHAL);
            fleet.run(PROPAGATION_MS);
            return fleet.countOthers("clear");
          });
          expect(uninformed).to.deep.equal(SEEDS.map(() => 0));
        });
      });
    });

  describe("that loses none", () => {
    it("sends nothing while no server crashes", () => {
      const fleet = LossyFleet.create(1);
      fleet.daemons[0]!.recordResponse(LETHAL);
      fleet.run(PROPAGATION_MS);
      expect(fleet.sent).to.have.length(0);
    });

    it("informs all daemons by one broadcast, at once", () => {
      const fleet = LossyFleet.create(1);
      fleet.crash(0);
      expect(fleet.sent).to.have.length(DAEMON_COUNT - 1);
      fleet.run(DELAY_MS);
      expect(fleet.countOthers("suspect")).to.equal(0);
    });

    it("stops repeating what all daemons know", () => {
      const fleet = LossyFleet.create(1);
      fleet.crash(0);
      fleet.run(2 * PROPAGATION_MS);
      const { length } = fleet.sent;
      fleet.run(PROPAGATION_MS);
      expect(fleet.sent).to.have.length(length);
    });
  });
});
