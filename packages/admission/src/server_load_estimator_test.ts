/**
 * Tests of the current slowness of a backend server, with replays of slow phases and of a restart.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { ServerLoadEstimator } from "./server_load_estimator.ts";
import { ServiceTimes } from "./service_times.ts";
import { WorkQueue } from "./work_queue.ts";

const PHASE_MS = 400;
const WORK_MS = 100;
const SLOW = 3;
/** One phase of five is slow. */
const slownessAt = (nowMs: number) =>
  Math.floor(nowMs / PHASE_MS) % 5 === 4 ? SLOW : 1;

/** When work ends that is begun at a time, in steps of a millisecond. */
function endOf(startedAtMs: number, workMs: number): number {
  let doneMs = 0;
  let nowMs = startedAtMs;
  while (doneMs < workMs) {
    doneMs += 1 / slownessAt(nowMs);
    nowMs += 1;
  }
  return nowMs;
}

describe("ServerLoadEstimator", () => {
  describe("for a server that states nothing", () => {
    // Guards against a changed request path of servers that don't report their load.
    it("leaves all times as they are", () => {
      const load = ServerLoadEstimator.create();
      expect(load.factor(50)).to.equal(1);
      expect(load.durationMs(120, 50)).to.equal(120);
      expect(load.meanSpeedMs({ startedAtMs: 10, endedAtMs: 70 })).to.equal(60);
      expect(load.stated(50)).to.equal(undefined);
    });

    it("derives the slowness from running requests that are overdue", () => {
      const load = ServerLoadEstimator.create();
      const running = [0, 250].map((startedAtMs) => ({
        startedAtMs,
        maxTypicalMs: 100,
      }));
      expect(load.overrunFactor(running, 300)).to.equal(2);
      expect(load.overrunFactor([], 300)).to.equal(1);
    });
  });

  describe("when a statement ages", () => {
    it("returns a factor that decays to 1", () => {
      const load = ServerLoadEstimator.create();
      load.record(SLOW, 1_000);
      expect(load.factor(1_000)).to.equal(3);
      expect(load.factor(1_300)).to.be.closeTo(2, 0.001);
      expect(load.factor(9_000)).to.be.closeTo(1, 0.001);
      expect(load.stated(1_200)).to.deep.equal({ slowness: SLOW, ageMs: 200 });
    });

    it("expects work to last between its mean duration and that at the stated speed", () => {
      fc.assert(fc.property(
        fc.double({ min: 0.1, max: 50, noNaN: true }),
        fc.double({ min: 0, max: 10_000, noNaN: true }),
        fc.integer({ min: 0, max: 2_000 }),
        (slowness, workMs, ageMs) => {
          const load = ServerLoadEstimator.create();
          load.record(slowness, 1_000);
          const atMs = 1_000 + ageMs;
          const durationMs = load.durationMs(workMs, atMs);
          const bounds = [workMs, workMs * load.factor(atMs)];
          expect(durationMs).to.be.within(
            Math.min(...bounds) * 0.98 - 1,
            Math.max(...bounds) * 1.02 + 1,
          );
        },
      ));
    });
  });

  describe("for a server that always states the same slowness", () => {
    // Guards against estimates that count the slowness twice: it is in the service times already.
    it("returns 1 after a while", () => {
      const load = ServerLoadEstimator.create();
      for (let nowMs = 0; nowMs <= 100_000; nowMs += 50) {
        load.record(SLOW, nowMs);
      }
      expect(load.factor(100_000)).to.be.closeTo(1, 0.01);
    });
  });

  describe("for a server with slow phases", () => {
    const UNTIL_MS = 60_000;
    const run = () => {
      const load = ServerLoadEstimator.create();
      const times = ServiceTimes.create();
      const plain = ServiceTimes.create();
      const errors = { plain: 0, withLoad: 0, perfect: 0 };
      let nowMs = 0;
      while (nowMs < UNTIL_MS) {
        const endedAtMs = endOf(nowMs, WORK_MS);
        const tookMs = endedAtMs - nowMs;
        const remaining = 1_000;
        if (nowMs > UNTIL_MS / 3) {
          const baseMs = times.estimate("r", remaining);
          errors.plain += Math.abs(plain.estimate("r", remaining) - tookMs);
          errors.withLoad += Math.abs(load.durationMs(baseMs, nowMs) - tookMs);
        }
        // Responses state the slowness of their end; six slots give one about every 25 ms.
        for (let atMs = nowMs; atMs <= endedAtMs; atMs += 25) {
          load.record(slownessAt(atMs), atMs);
        }
        const span = { startedAtMs: nowMs, endedAtMs };
        times.record("r", { tookMs: load.meanSpeedMs(span), endedAtMs });
        plain.record("r", { tookMs, endedAtMs });
        nowMs = endedAtMs;
      }
      return { errors, load, times };
    };

    // Guards against requests that are accepted as on time within a slow phase and are late, and the reverse after it.
    it("estimates durations with less than 0.6 of the error of their average", () => {
      const { errors } = run();
      expect(errors.withLoad).to.be.below(errors.plain * 0.6);
    });

    it("keeps the learned times at the mean speed during a slow phase", () => {
      const { times } = run();
      const meanMs = WORK_MS * 5 / (4 + 1 / SLOW);
      expect(times.averageOf("r")).to.be.within(0.85 * meanMs, 1.15 * meanMs);
    });
  });

  describe("when the server has restarted", () => {
    it("forgets what was stated", () => {
      const load = ServerLoadEstimator.create();
      load.record(SLOW, 0);
      load.clear();
      expect(load.factor(0)).to.equal(1);
      expect(load.meanSpeedMs({ startedAtMs: 0, endedAtMs: 90 })).to.equal(90);
    });
  });

  describe("when responses are handled out of order", () => {
    it("keeps the newest statement", () => {
      const load = ServerLoadEstimator.create();
      load.record(1, 100);
      load.record(SLOW, 50);
      expect(load.factor(100)).to.equal(1);
    });
  });

  describe("in the queue of a server", () => {
    const request = (id: number) => ({
      id,
      rank: 1,
      deadlineAtMs: 400,
      estimateMs: 150,
      blocksOthers: false,
    });
    const queueOf = (load: ServerLoadEstimator) => {
      const queue = WorkQueue.create(undefined, load);
      queue.setSlots(1);
      queue.offer(request(1), 0);
      return queue;
    };

    // Guards against requests that wait for a server that is slow now and then miss their deadline while they run.
    it("reports a longer wait, and refuses a request that won't end in time", () => {
      const load = ServerLoadEstimator.create();
      const queue = queueOf(load);
      expect(queue.waitMs(0)).to.equal(150);
      load.record(SLOW, 0);
      expect(queue.waitMs(0)).to.be.within(250, 450);
      expect(queue.offer(request(2), 0).kind).to.equal("refuse");
    });

    it("accepts the same request while the server is at its mean speed", () => {
      const queue = queueOf(ServerLoadEstimator.create());
      expect(queue.offer(request(2), 0).kind).to.equal("wait");
    });
  });

  // Guards against waits that are not a number, which would be reported to other daemons.
  it("returns finite durations after any change of the stated slowness", () => {
    const slownesses = [0.1, 0.2, 0.5, 1, 3, 10, 50];
    slownesses.forEach((before) =>
      slownesses.forEach((after) => {
        const estimator = ServerLoadEstimator.create();
        estimator.record(before, 0);
        estimator.record(before, 5_000);
        estimator.record(after, 5_010);
        [1, 150, 400, 2_000].forEach((workMs) => {
          const durationMs = estimator.durationMs(workMs, 5_020);
          expect(durationMs).to.be.at.least(0);
          expect(Number.isFinite(durationMs)).to.equal(true);
        });
      })
    );
  });
});
