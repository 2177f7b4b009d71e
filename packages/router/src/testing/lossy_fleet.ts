/**
 * Simulates daemons that exchange datagrams over a network with delay and loss.
 *
 * @module
 */
import { sampleWithoutReplacement } from "@bamboolink/membership";

/** Number of simulated daemons. */
export const DAEMON_COUNT = 59;
/** Time that a datagram takes, in milliseconds. */
export const DELAY_MS = 20;
const STEP_MS = 10;
/** Interval between the ticks of one daemon, in milliseconds. */
const TICK_INTERVAL_MS = 50;
/** Number of daemons to which `sendToSome` sends. */
const FANOUT = 2;
/** How long a weak link loses datagrams, and their share. */
const LOSS_PERIOD_MS = 2_000;
const LOSS_SHARE = 0.9;
/** Parameters of a linear congruential generator. */
const LCG = { factor: 1_664_525, increment: 1_013_904_223, modulus: 2 ** 32 };

/** Seeds of the simulations. */
export const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);

/** A datagram that was sent, perhaps lost. */
interface Sent<Update> {
  readonly from: number;
  readonly to: number;
  readonly update: Update;
  readonly sentAtMs: number;
}

/** A datagram's sender and recipient, and the time since the loss began, in milliseconds. */
interface Transmission {
  readonly from: number;
  readonly to: number;
  readonly lossAgeMs: number;
}

/** Whether a datagram is lost; `random` returns a number from 0 to 1. */
export type Loss = (sent: Transmission, random: () => number) => boolean;

/** Loses all datagrams that are sent at the moment at which the loss begins. */
export const losesFirstBroadcast: Loss = ({ lossAgeMs }) => lossAgeMs === 0;

/** Loses most datagrams from and to the first daemon for a while. */
export const losesAtWeakLink: Loss = ({ from, to, lossAgeMs }, random) =>
  (from === 0 || to === 0) && lossAgeMs < LOSS_PERIOD_MS &&
  random() < LOSS_SHARE;

/** The part of a daemon that is simulated. */
export interface SimulatedDaemon<Update> {
  applyUpdate(update: Update): void;
  tick(): void;
}

/** What the simulation provides to a daemon. */
export interface SimulatedContext<Update> {
  readonly address: string;
  readonly random: () => number;
  readonly nowMs: () => number;
  readonly broadcast: (update: Update) => void;
  readonly sendToSome: (update: Update) => void;
  readonly sendTo: (update: Update, address: string) => void;
}

/** Simulated daemons and their network. */
export class LossyFleet<Update, Daemon extends SimulatedDaemon<Update>> {
  readonly daemons: readonly Daemon[];
  readonly sent: Sent<Update>[] = [];
  private nowMs = 0;
  private loss: Loss = () => false;
  private lossStartMs = 0;
  private inFlight: Sent<Update>[] = [];

  private constructor(
    private randomState: number,
    createDaemon: (context: SimulatedContext<Update>) => Daemon,
  ) {
    this.daemons = Array.from(
      { length: DAEMON_COUNT },
      (_, index) => createDaemon(this.createContext(index)),
    );
  }

  /** Creates a fleet without losses. */
  static create<Update, Daemon extends SimulatedDaemon<Update>>(
    seed: number,
    createDaemon: (context: SimulatedContext<Update>) => Daemon,
  ): LossyFleet<Update, Daemon> {
    return new LossyFleet(seed, createDaemon);
  }

  /** Loses datagrams from now on. */
  startLoss(loss: Loss): void {
    this.loss = loss;
    this.lossStartMs = this.nowMs;
  }

  /** Advances the time, in milliseconds. */
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

  private deliver(): void {
    const hasArrived = ({ sentAtMs }: Sent<Update>) =>
      sentAtMs + DELAY_MS <= this.nowMs;
    const arrived = this.inFlight.filter(hasArrived);
    this.inFlight = this.inFlight.filter((sent) => !hasArrived(sent));
    arrived.forEach(({ to, update }) => this.daemons[to]!.applyUpdate(update));
  }

  private createContext(from: number): SimulatedContext<Update> {
    const others = Array.from({ length: DAEMON_COUNT }, (_, index) => index)
      .filter((index) => index !== from);
    const sendToAll = (update: Update, recipients: readonly number[]) =>
      recipients.forEach((to) => this.send({ from, to, update }));
    return {
      address: `${from}`,
      random: this.random,
      nowMs: () => this.nowMs,
      broadcast: (update) => sendToAll(update, others),
      sendToSome: (update) => {
        const options = { count: FANOUT, random: this.random };
        sendToAll(update, sampleWithoutReplacement(others, options));
      },
      sendTo: (update, address) => sendToAll(update, [Number(address)]),
    };
  }

  private send(datagram: { from: number; to: number; update: Update }): void {
    const sent = { ...datagram, sentAtMs: this.nowMs };
    this.sent.push(sent);
    const lossAgeMs = this.nowMs - this.lossStartMs;
    if (!this.loss({ ...datagram, lossAgeMs }, this.random)) {
      this.inFlight.push(sent);
    }
  }

  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  readonly random = (): number => {
    const { factor, increment, modulus } = LCG;
    this.randomState = (this.randomState * factor + increment) % modulus;
    return this.randomState / modulus;
  };
}
