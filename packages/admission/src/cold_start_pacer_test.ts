/**
 * Tests of the rate limit of a cold backend server, with replays of loads that would crash one.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { ColdStartPacer } from "./cold_start_pacer.ts";
import { WorkQueue } from "./work_queue.ts";

const SECOND_MS = 1_000;
/** Maximum number of requests in one second. */
const LIMIT = 21;
/** Maximum delay between sending a request and its arrival, in milliseconds. */
const JITTER_MS = 50;
const COLD_MS = 3_000;
const WORK_MS = 100;
const SLOTS = 8;

/** Maximum number of the given times within one second. */
function countInOneSecond(times: readonly number[]): number {
  return Math.max(
    0,
    ...times.map((from) =>
      times.filter((atMs) => atMs >= from && atMs < from + SECOND_MS).length
    ),
  );
}

/** Offers requests to a queue at a steady rate; returns when they started. */
function replay(
  queue: WorkQueue,
  load: { fromMs: number; untilMs: number; perSecond: number },
): number[] {
  const starts: number[] = [];
  const endings: { id: number; endsAtMs: number }[] = [];
  const start = (id: number, nowMs: number) => {
    starts.push(nowMs);
    endings.push({ id, endsAtMs: nowMs + WORK_MS });
  };
  const intervalMs = SECOND_MS / load.perSecond;
  let nextArrivalMs = load.fromMs;
  for (let nowMs = load.fromMs; nowMs < load.untilMs; nowMs += 1) {
    endings.filter(({ endsAtMs }) => endsAtMs === nowMs).forEach(({ id }) =>
      queue.finish(id, nowMs).run.forEach((next) => start(next, nowMs))
    );
    queue.advance(nowMs).run.forEach((id) => start(id, nowMs));
    while (nextArrivalMs <= nowMs) {
      const id = nextArrivalMs;
      const decision = queue.offer({
        id,
        rank: 2,
        objectiveAtMs: nowMs + 400,
        deadlineAtMs: nowMs + SECOND_MS,
        estimateMs: WORK_MS,
        mayEndLate: true,
      }, nowMs);
      if (decision.kind === "run") {
        start(id, nowMs);
      }
      nextArrivalMs += intervalMs;
    }
  }
  return starts;
}

function createQueue(
  startedAtMs: number,
): { queue: WorkQueue; pacer: ColdStartPacer } {
  const pacer = ColdStartPacer.create(startedAtMs);
  const queue = WorkQueue.create(pacer);
  pacer.setLimit(LIMIT);
  queue.setSlots(SLOTS);
  return { queue, pacer };
}

describe("ColdStartPacer", () => {
  describe("without a limit, or at a warm server", () => {
    it("delays nothing", () => {
      const pacer = ColdStartPacer.create(0);
      pacer.setColdUntil(COLD_MS);
      expect(pacer.delayMs(100, 0)).to.equal(0);
      pacer.setLimit(LIMIT);
      expect(pacer.delayMs(100, COLD_MS)).to.equal(0);
      expect(pacer.utilization(COLD_MS)).to.equal(0);
    });
  });

  describe("at a cold server", () => {
    it("returns the delay after which each waiting request may start", () => {
      const pacer = ColdStartPacer.create(-SECOND_MS * 2);
      pacer.setLimit(2);
      pacer.setColdUntil(COLD_MS);
      pacer.recordStart(0);
      pacer.recordStart(100);
      expect(pacer.delayMs(0, 200)).to.equal(SECOND_MS + JITTER_MS - 200);
      expect(pacer.delayMs(1, 200)).to.equal(SECOND_MS + JITTER_MS - 100);
      expect(pacer.delayMs(2, 200)).to.equal(2 * (SECOND_MS + JITTER_MS) - 200);
      expect(pacer.delayMs(9, 200)).to.equal(COLD_MS - 200);
      expect(pacer.utilization(200)).to.equal(1);
    });
  });

  describe("under any sequence of limits, cold periods and requests", () => {
    it("never starts more requests in one second than the current limit", () => {
      const event = fc.record({
        kind: fc.constantFrom("start", "start", "start", "cold", "unlimited"),
        elapsedMs: fc.nat(120),
      });
      const property = fc.property(
        fc.array(event, { maxLength: 200 }),
        (events) => {
          const pacer = ColdStartPacer.create(0);
          pacer.setLimit(LIMIT);
          let nowMs = 0;
          let starts: number[] = Array.from({ length: LIMIT }, () => 0);
          let isLimited = true;
          events.forEach(({ kind, elapsedMs }) => {
            nowMs += elapsedMs;
            if (kind === "unlimited") {
              isLimited = !isLimited;
              pacer.setLimit(isLimited ? LIMIT : 0);
            } else if (kind === "cold") {
              pacer.setColdUntil(nowMs + COLD_MS);
            } else if (pacer.delayMs(0, nowMs) === 0) {
              const isPaced = pacer.isPacing(nowMs);
              pacer.recordStart(nowMs);
              starts = [...starts, nowMs];
              const recent = starts.filter((startedAtMs) =>
                nowMs - startedAtMs < SECOND_MS
              );
              expect(!isPaced || recent.length <= LIMIT).to.equal(true);
            }
          });
        },
      );
      fc.assert(property, { seed: 41, numRuns: 500 });
    });
  });

  // Guards against a zone that returns cold being sent its full traffic, crashing, and returning cold again.
  describe("replaying a server that returns cold at full traffic", () => {
    it("sends it no more than the limit, and more once it is warm", () => {
      const { queue, pacer } = createQueue(-60_000);
      pacer.setColdUntil(COLD_MS);
      const load = { fromMs: 0, untilMs: 5_000, perSecond: 200 };
      const starts = replay(queue, load);
      const cold = starts.filter((startedAtMs) => startedAtMs < COLD_MS);
      expect(countInOneSecond(cold)).to.be.within(LIMIT - 1, LIMIT);
      const warm = starts.filter((startedAtMs) => startedAtMs >= COLD_MS);
      expect(warm.length).to.be.above(2 * cold.length);
    });
  });

  // Guards against a warm server that becomes cold without a restart being sent a full window on top of its traffic.
  describe("replaying a server that becomes cold at full traffic", () => {
    it("counts the requests that were sent before", () => {
      const { queue, pacer } = createQueue(-60_000);
      replay(queue, { fromMs: 0, untilMs: 2_000, perSecond: 60 });
      pacer.setColdUntil(2_000 + COLD_MS);
      const load = { fromMs: 2_000, untilMs: 5_000, perSecond: 60 };
      const starts = replay(queue, load);
      expect(starts[0]).to.be.above(2_000 + SECOND_MS / 2);
      expect(countInOneSecond(starts)).to.be.at.most(LIMIT);
    });
  });

  // Guards against a restarted daemon sending a cold server a full window after its earlier process has sent one.
  describe("replaying a daemon that restarts on the host of a cold server", () => {
    it("counts the requests that its earlier process may have sent", () => {
      const { queue, pacer } = createQueue(0);
      pacer.setColdUntil(COLD_MS);
      const load = { fromMs: 300, untilMs: COLD_MS, perSecond: 200 };
      const earlier = Array.from({ length: LIMIT }, () => 0);
      const starts = replay(queue, load);
      expect(countInOneSecond([...earlier, ...starts])).to.be.at.most(LIMIT);
    });
  });

  // Guards against servers that all return at once being sent their full load in the first second.
  describe("replaying 80 servers that return at once", () => {
    it("sends each no more than the limit, and reports how long a request waits", () => {
      const reportedWaitsMs = Array.from({ length: 80 }, (_, index) => {
        const { queue, pacer } = createQueue(index * 10);
        pacer.setColdUntil(COLD_MS + index * 10);
        const load = { fromMs: index * 10, untilMs: COLD_MS, perSecond: 40 };
        expect(countInOneSecond(replay(queue, load))).to.be.at.most(LIMIT);
        return queue.waitMs(COLD_MS - 100);
      });
      expect(Math.min(...reportedWaitsMs)).to.be.above(0);
    });
  });
});
