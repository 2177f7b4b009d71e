/**
 * Simulates large request bodies and small messages on the network link of one host.
 *
 * @module
 */
import { EventQueue } from "@bamboolink/simulation";
import { BodyScheduler } from "../body_scheduler.ts";
import { seededRandom } from "@bamboolink/simulation";

/** Bandwidth of a network link of 10 Mbit/s, in bytes per millisecond. */
const LINK_BYTES_PER_MS = 1_250;
/** Delay from one host to the other, in milliseconds. */
const ONE_WAY_MS = 1;
const OBJECTIVE_MS = 800;
const DEADLINE_MS = 2_000;
const SERVICE_MS = 150;
const MEAN_BODY_BYTES = 60_000;
const MAX_BODY_BYTES = 360_000;
const SMALL_BYTES = 600;
const SMALL_INTERVAL_MS = 25;
/** Time within which a small message must arrive, in milliseconds. */
const SMALL_OBJECTIVE_MS = 100;
const TICK_MS = 25;

/** What became of the bodies and of the small messages. */
export interface BodyFigures {
  readonly bodies: number;
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  /** Bodies that neither were refused nor arrived before their deadlines. */
  readonly missed: number;
  /** Refused bodies that were answered later than 50 ms after their offer. */
  readonly refusedLate: number;
  /** Share of the small messages that arrived in time. */
  readonly smallShare: number;
}

interface SimulatedBody {
  readonly offeredAtMs: number;
  readonly bytes: number;
  receivedBytes: number;
}

/** How a sender's body gets onto the link. */
export type BodyPolicy = "scheduled" | "unscheduled";

/** A link that transmits in the order of arrival. */
class SimulatedLink {
  private freeAtMs = 0;

  constructor(private readonly queue: EventQueue) {}

  send(bytes: number, onArrival: (nowMs: number) => void): void {
    const startMs = Math.max(this.freeAtMs, this.queue.nowMs + ONE_WAY_MS);
    this.freeAtMs = startMs + bytes / LINK_BYTES_PER_MS;
    this.queue.at(this.freeAtMs, onArrival);
  }
}

/**
 * Offers bodies at a rate for a time.
 *
 * @param load bytes of bodies relative to what the link carries.
 */
export function simulateBodies(
  policy: BodyPolicy,
  { load, durationMs, seed }: {
    load: number;
    durationMs: number;
    seed: number;
  },
): BodyFigures {
  const random = seededRandom(seed);
  const queue = EventQueue.create();
  const link = new SimulatedLink(queue);
  const scheduler = BodyScheduler.create<SimulatedBody>(
    LINK_BYTES_PER_MS * 1_000,
  );
  const counts = { bodies: 0, onTime: 0, late: 0, refused: 0, refusedLate: 0 };
  const small = { sent: 0, inTime: 0 };

  const complete = (body: SimulatedBody) => {
    const tookMs = queue.nowMs + SERVICE_MS - body.offeredAtMs;
    counts.onTime += tookMs <= OBJECTIVE_MS ? 1 : 0;
    counts.late += tookMs > OBJECTIVE_MS && tookMs <= DEADLINE_MS ? 1 : 0;
  };
  const refuse = (body: SimulatedBody) => {
    counts.refused += 1;
    counts.refusedLate += queue.nowMs - body.offeredAtMs > 50 ? 1 : 0;
  };
  let isTimerSet = false;
  const grant = () => {
    scheduler.takeGrants(queue.nowMs).forEach(({ id, bytes }) =>
      queue.after(ONE_WAY_MS, () =>
        link.send(bytes, (nowMs) => {
          id.receivedBytes += bytes;
          scheduler.recordArrival(id, bytes, nowMs);
          if (id.receivedBytes >= id.bytes) {
            scheduler.remove(id);
            complete(id);
          }
          grant();
        }))
    );
    const delayMs = scheduler.grantDelayMs(queue.nowMs);
    if (scheduler.size > 0 && Number.isFinite(delayMs) && !isTimerSet) {
      isTimerSet = true;
      queue.after(Math.max(1, delayMs), () => {
        isTimerSet = false;
        grant();
      });
    }
  };
  const arrive = () => {
    if (queue.nowMs >= durationMs) {
      return;
    }
    const body = {
      offeredAtMs: queue.nowMs,
      bytes: drawBytes(random),
      receivedBytes: 0,
    };
    counts.bodies += 1;
    if (policy === "unscheduled") {
      link.send(body.bytes, () => complete(body));
    } else {
      const decision = scheduler.offer(body, {
        bytes: body.bytes,
        serviceMs: SERVICE_MS,
        slotWaitMs: 0,
        objectiveAtMs: queue.nowMs + OBJECTIVE_MS,
        deadlineAtMs: queue.nowMs + DEADLINE_MS,
        mayEndLate: true,
      }, queue.nowMs);
      if (decision.kind === "refuse") {
        refuse(body);
      }
      grant();
    }
    const meanIntervalMs = MEAN_BODY_BYTES / (LINK_BYTES_PER_MS * load);
    queue.after(-Math.log(1 - random()) * meanIntervalMs, arrive);
  };
  const sendSmall = () => {
    if (queue.nowMs >= durationMs) {
      return;
    }
    const sentAtMs = queue.nowMs;
    small.sent += 1;
    link.send(SMALL_BYTES, (nowMs) => {
      small.inTime += nowMs - sentAtMs <= SMALL_OBJECTIVE_MS ? 1 : 0;
    });
    queue.after(SMALL_INTERVAL_MS, sendSmall);
  };
  const tick = () => {
    scheduler.takeHopeless(queue.nowMs).forEach(refuse);
    if (queue.nowMs < durationMs + DEADLINE_MS) {
      queue.after(TICK_MS, tick);
    }
  };
  arrive();
  sendSmall();
  tick();
  queue.runAll();
  const { bodies, onTime, late, refused } = counts;
  return {
    ...counts,
    missed: bodies - onTime - late - refused,
    smallShare: small.inTime / small.sent,
  };
}

/** Draws the size of a body: lognormal around the mean, up to a limit. */
function drawBytes(random: () => number): number {
  const sigma = 0.6;
  const normal = Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
  const bytes = MEAN_BODY_BYTES * Math.exp(sigma * normal - sigma ** 2 / 2);
  return Math.round(Math.min(MAX_BODY_BYTES, bytes));
}
