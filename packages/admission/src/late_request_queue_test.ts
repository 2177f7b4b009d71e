/**
 * Replays of loads in which a late answer can take the place of a refusal, each beside the same load without
 * the lane for late requests.
 *
 * @module
 */
import { expect } from "chai";
import { WorkQueue } from "./work_queue.ts";

const SLOTS = 12;
const WORK_MS = 250;
/** What the slots can do, in requests a second. */
const CAPACITY = SLOTS * 1_000 / WORK_MS;
const OBJECTIVE_MS = 600;
const DEADLINE_MS = 1_200;
/** How long a caller waits in all, and after which time it comes back once when it was refused. */
const PATIENCE_MS = 2_500;
const RETURN_MS = 650;
/** Steps of the replay, in milliseconds. */
const LENGTH_MS = 20_000;

interface Replayed {
  inTime: number;
  late: number;
  refused: number;
  /** The longest time for which a request waited before it was refused, in milliseconds. */
  longestInVainMs: number;
}

/** One caller. */
interface Caller {
  readonly bornMs: number;
  hasReturned: boolean;
}

/** Plays arrivals through a queue; a deadline that equals the objective switches the lane off. */
function replay(
  perSecondAt: (nowMs: number) => number,
  deadlineMs = DEADLINE_MS,
): Replayed {
  const queue = WorkQueue.create();
  queue.setSlots(SLOTS);
  const callers = new Map<number, Caller>();
  const arrivedMs = new Map<number, number>();
  const ends = new Map<number, number[]>();
  const returns = new Map<number, Caller[]>();
  const counts = { inTime: 0, late: 0, refused: 0, longestInVainMs: 0 };
  let owed = 0;
  let last = 0;
  const start = (id: number, nowMs: number) => {
    const atMs = nowMs + WORK_MS;
    ends.set(atMs, [...ends.get(atMs) ?? [], id]);
  };
  const refuse = (id: number, nowMs: number) => {
    const caller = callers.get(id)!;
    const waitedMs = nowMs - arrivedMs.get(id)!;
    counts.longestInVainMs = Math.max(counts.longestInVainMs, waitedMs);
    if (caller.hasReturned) {
      counts.refused += 1;
      return;
    }
    caller.hasReturned = true;
    const atMs = nowMs + RETURN_MS;
    returns.set(atMs, [...returns.get(atMs) ?? [], caller]);
  };
  const offer = (caller: Caller, nowMs: number) => {
    last += 1;
    callers.set(last, caller);
    arrivedMs.set(last, nowMs);
    const leftMs = caller.bornMs + PATIENCE_MS - nowMs;
    const objectiveAtMs = caller.bornMs + OBJECTIVE_MS;
    const isLaneOff = deadlineMs === OBJECTIVE_MS;
    const verdict = queue.offer({
      id: last,
      rank: 2,
      objectiveAtMs,
      deadlineAtMs: isLaneOff
        ? Math.max(objectiveAtMs, nowMs + WORK_MS)
        : nowMs + Math.min(leftMs, deadlineMs),
      estimateMs: WORK_MS,
      mayEndLate: true,
    }, nowMs);
    if (verdict.kind === "run") {
      start(last, nowMs);
    } else if (verdict.kind === "refuse") {
      refuse(last, nowMs);
    }
  };
  Array.from({ length: LENGTH_MS }, (_, nowMs) => {
    (ends.get(nowMs) ?? []).forEach((id) => {
      const isInTime = nowMs - callers.get(id)!.bornMs <= OBJECTIVE_MS;
      counts[isInTime ? "inTime" : "late"] += 1;
      const { run, refuse: refused } = queue.finish(id, nowMs);
      run.forEach((next) => start(next, nowMs));
      refused.forEach((next) => refuse(next.id, nowMs));
    });
    (returns.get(nowMs) ?? []).forEach((caller) => offer(caller, nowMs));
    owed += perSecondAt(nowMs) / 1_000;
    while (owed >= 1) {
      owed -= 1;
      offer({ bornMs: nowMs, hasReturned: false }, nowMs);
    }
  });
  return counts;
}

describe("late lane", () => {
  describe("replaying waves with valleys between them", () => {
    const wave = (nowMs: number) =>
      CAPACITY * (0.95 + 0.4 * Math.sin(2 * Math.PI * nowMs / 3_000));

    it("serves late most of what would be refused, and no less in time", () => {
      const without = replay(wave, OBJECTIVE_MS);
      const { inTime, refused } = replay(wave);
      expect(refused).to.be.below(without.refused * 0.6);
      expect(inTime).to.be.above(without.inTime * 0.97);
    });
  });

  describe("replaying a steady overload", () => {
    const overload = () => CAPACITY * 1.5;

    it("serves as much in time as without it", () => {
      const without = replay(overload, OBJECTIVE_MS);
      expect(replay(overload).inTime).to.be.above(without.inTime * 0.95);
    });

    it("refuses most at once, and nobody at the last moment", () => {
      const { refused, longestInVainMs } = replay(overload);
      expect(refused).to.be.above(0);
      expect(longestInVainMs).to.be.below(DEADLINE_MS * 0.7);
    });
  });

  describe("replaying a burst of a second", () => {
    const burst = (nowMs: number) =>
      CAPACITY * (nowMs % 5_000 < 1_000 ? 1.6 : 0.7);

    it("serves the burst's rest late", () => {
      const without = replay(burst, OBJECTIVE_MS);
      const { inTime, late, refused } = replay(burst);
      expect(without.refused).to.be.above(40);
      expect(refused).to.be.below(without.refused / 2);
      expect(late).to.be.above(0);
      expect(inTime).to.be.above(without.inTime * 0.97);
    });
  });
});
