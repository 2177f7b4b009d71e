/**
 * Replays of loads in which a wait can replace a refusal, each compared with the same load without waiting.
 *
 * @module
 */
import { expect } from "chai";
import { WorkQueue } from "./work_queue.ts";

const SLOTS = 12;
const WORK_MS = 250;
/** Throughput of the slots, in requests per second. */
const CAPACITY = SLOTS * 1_000 / WORK_MS;
const DEADLINE_MS = 1_200;
/** How long a caller waits in total, and the delay after which it retries once if it was refused. */
const MAX_WAIT_MS = 2_500;
const RETRY_DELAY_MS = 650;
/** Duration of the replay, in milliseconds. */
const DURATION_MS = 20_000;

interface ReplayResult {
  served: number;
  refused: number;
  /** Longest wait of a request that was then refused, in milliseconds. */
  maxWaitBeforeRefusalMs: number;
}

interface Caller {
  readonly arrivedAtMs: number;
  hasRetried: boolean;
}

/** Replays arrivals through a queue; with a deadline that equals the work, no request can wait. */
function replay(
  perSecondAt: (nowMs: number) => number,
  deadlineMs = DEADLINE_MS,
): ReplayResult {
  const queue = WorkQueue.create();
  queue.setSlots(SLOTS);
  const callers = new Map<number, Caller>();
  const offeredAtMs = new Map<number, number>();
  const endsByTime = new Map<number, number[]>();
  const retriesByTime = new Map<number, Caller[]>();
  const counts = { served: 0, refused: 0, maxWaitBeforeRefusalMs: 0 };
  let pendingArrivals = 0;
  let lastId = 0;
  const start = (id: number, nowMs: number) => {
    const dueAtMs = nowMs + WORK_MS;
    endsByTime.set(dueAtMs, [...endsByTime.get(dueAtMs) ?? [], id]);
  };
  const refuse = (id: number, nowMs: number) => {
    const caller = callers.get(id)!;
    const waitedMs = nowMs - offeredAtMs.get(id)!;
    counts.maxWaitBeforeRefusalMs = Math.max(
      counts.maxWaitBeforeRefusalMs,
      waitedMs,
    );
    if (caller.hasRetried) {
      counts.refused += 1;
      return;
    }
    caller.hasRetried = true;
    const dueAtMs = nowMs + RETRY_DELAY_MS;
    retriesByTime.set(dueAtMs, [...retriesByTime.get(dueAtMs) ?? [], caller]);
  };
  const offer = (caller: Caller, nowMs: number) => {
    lastId += 1;
    callers.set(lastId, caller);
    offeredAtMs.set(lastId, nowMs);
    const remainingMs = caller.arrivedAtMs + MAX_WAIT_MS - nowMs;
    const decision = queue.offer({
      id: lastId,
      rank: 2,
      deadlineAtMs: nowMs + Math.min(remainingMs, deadlineMs),
      estimateMs: WORK_MS,
      blocksOthers: false,
    }, nowMs);
    if (decision.kind === "run") {
      start(lastId, nowMs);
    } else if (decision.kind === "refuse") {
      refuse(lastId, nowMs);
    }
  };
  Array.from({ length: DURATION_MS }, (_, nowMs) => {
    (endsByTime.get(nowMs) ?? []).forEach((id) => {
      counts.served += 1;
      const { run, refuse: refused } = queue.finish(id, nowMs);
      run.forEach((next) => start(next, nowMs));
      refused.forEach((next) => refuse(next.id, nowMs));
    });
    (retriesByTime.get(nowMs) ?? []).forEach((caller) => offer(caller, nowMs));
    pendingArrivals += perSecondAt(nowMs) / 1_000;
    while (pendingArrivals >= 1) {
      pendingArrivals -= 1;
      offer({ arrivedAtMs: nowMs, hasRetried: false }, nowMs);
    }
  });
  return counts;
}

describe("WorkQueue beside callers that repeat once", () => {
  describe("replaying load peaks with quieter periods between them", () => {
    const peaks = (nowMs: number) =>
      CAPACITY * (0.95 + 0.4 * Math.sin(2 * Math.PI * nowMs / 3_000));

    it("serves most requests that would be refused", () => {
      const without = replay(peaks, WORK_MS);
      const { served, refused } = replay(peaks);
      expect(refused).to.be.below(without.refused * 0.6);
      expect(served).to.be.above(without.served);
    });
  });

  describe("replaying a steady overload", () => {
    const overload = () => CAPACITY * 1.5;

    it("serves as many requests as without waiting", () => {
      const without = replay(overload, WORK_MS);
      expect(replay(overload).served).to.be.above(without.served * 0.95);
    });

    it("refuses most requests at once, and none shortly before its deadline", () => {
      const { refused, maxWaitBeforeRefusalMs } = replay(overload);
      expect(refused).to.be.above(0);
      expect(maxWaitBeforeRefusalMs).to.be.below(DEADLINE_MS * 0.7);
    });
  });

  describe("replaying bursts of 1 s", () => {
    const burst = (nowMs: number) =>
      CAPACITY * (nowMs % 5_000 < 1_000 ? 1.6 : 0.7);

    it("serves the rest of the burst after a wait", () => {
      const without = replay(burst, WORK_MS);
      const { served, refused } = replay(burst);
      expect(without.refused).to.be.above(40);
      expect(refused).to.be.below(without.refused / 2);
      expect(served).to.be.above(without.served);
    });
  });
});
