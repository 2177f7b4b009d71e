/**
 * Replays of loads in which a late response can replace a refusal, each compared with the same load without the queue
 * for late requests.
 *
 * @module
 */
import { expect } from "chai";
import { LateRequestQueue } from "./late_request_queue.ts";
import { WorkQueue } from "./work_queue.ts";
import type { WorkRequest } from "./work_request.ts";

const SLOTS = 12;
const WORK_MS = 250;
/** Throughput of the slots, in requests per second. */
const CAPACITY = SLOTS * 1_000 / WORK_MS;
const OBJECTIVE_MS = 600;
const DEADLINE_MS = 1_200;
/** How long a caller waits in total, and the delay after which it retries once if it was refused. */
const MAX_WAIT_MS = 2_500;
const RETRY_DELAY_MS = 650;
/** Duration of the replay, in milliseconds. */
const DURATION_MS = 20_000;

interface ReplayResult {
  onTime: number;
  late: number;
  refused: number;
  /** Longest wait of a request that was then refused, in milliseconds. */
  maxWaitBeforeRefusalMs: number;
}

interface Caller {
  readonly arrivedAtMs: number;
  hasRetried: boolean;
}

/** Replays arrivals through a queue; a deadline that equals the objective disables the queue for late requests. */
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
  const counts = { onTime: 0, late: 0, refused: 0, maxWaitBeforeRefusalMs: 0 };
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
    const objectiveAtMs = caller.arrivedAtMs + OBJECTIVE_MS;
    const isLateQueueDisabled = deadlineMs === OBJECTIVE_MS;
    const decision = queue.offer({
      id: lastId,
      rank: 2,
      objectiveAtMs,
      deadlineAtMs: isLateQueueDisabled
        ? Math.max(objectiveAtMs, nowMs + WORK_MS)
        : nowMs + Math.min(remainingMs, deadlineMs),
      estimateMs: WORK_MS,
      mayEndLate: true,
    }, nowMs);
    if (decision.kind === "run") {
      start(lastId, nowMs);
    } else if (decision.kind === "refuse") {
      refuse(lastId, nowMs);
    }
  };
  Array.from({ length: DURATION_MS }, (_, nowMs) => {
    (endsByTime.get(nowMs) ?? []).forEach((id) => {
      const isOnTime = nowMs - callers.get(id)!.arrivedAtMs <= OBJECTIVE_MS;
      counts[isOnTime ? "onTime" : "late"] += 1;
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

function lateRequest(id: number, changes: Partial<WorkRequest>): WorkRequest {
  return {
    id,
    rank: 2,
    objectiveAtMs: -100,
    deadlineAtMs: 1_000,
    estimateMs: 100,
    mayEndLate: true,
    ...changes,
  };
}

describe("LateRequestQueue", () => {
  describe("while slots are expected to become free only after the deadline", () => {
    it("refuses a request at once", () => {
      const queue = LateRequestQueue.create();
      const forecast = { nowMs: 0, startMs: 2_000 };
      expect(queue.offer(lateRequest(1, {}), forecast)).to.equal(false);
    });
  });

  describe("replaying load peaks with quieter periods between them", () => {
    const peaks = (nowMs: number) =>
      CAPACITY * (0.95 + 0.4 * Math.sin(2 * Math.PI * nowMs / 3_000));

    it("serves most requests late that would be refused, and no fewer on time", () => {
      const without = replay(peaks, OBJECTIVE_MS);
      const { onTime, refused } = replay(peaks);
      expect(refused).to.be.below(without.refused * 0.6);
      expect(onTime).to.be.above(without.onTime * 0.97);
    });
  });

  describe("replaying a steady overload", () => {
    const overload = () => CAPACITY * 1.5;

    it("serves as many requests on time as without it", () => {
      const without = replay(overload, OBJECTIVE_MS);
      expect(replay(overload).onTime).to.be.above(without.onTime * 0.95);
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

    it("serves the rest of the burst late", () => {
      const without = replay(burst, OBJECTIVE_MS);
      const { onTime, late, refused } = replay(burst);
      expect(without.refused).to.be.above(40);
      expect(refused).to.be.below(without.refused / 2);
      expect(late).to.be.above(0);
      expect(onTime).to.be.above(without.onTime * 0.97);
    });
  });
});
