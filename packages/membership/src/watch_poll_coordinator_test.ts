/**
 * Tests of renewals of store watches that daemons coordinate.
 *
 * @module
 */
import { expect } from "chai";
import { WatchPollCoordinator } from "./watch_poll_coordinator.ts";
import { WatchPollSchedule } from "./watch_poll_schedule.ts";

/** Sizes of fleets that coordinate their renewals, in daemons. */
const FLEET_SIZES = [2, 3, 10, 14, 40];
/** Simulations of each fleet. */
const RUN_COUNT = 50;
/** Simulated time of one run. */
const SIMULATED_MS = 180_000;
/** When daemons that start together have exchanged their first plans. */
const SETTLED_AT_MS = 1_500;
/** When a record changes, which ends all polls. */
const CHANGE_AT_MS = 90_000;
/** When a daemon stops for good. */
const STOP_AT_MS = 120_000;
/** Time after which a stopped daemon counts as dead. */
const DETECTION_MS = 2_000;
/** Time after which a starting daemon knows the others. */
const DISCOVERY_MS = 400;
/** Operators' changes must be in force within 2 s. */
const MAX_GAP_MS = 2_000;
/** Mean time from any moment to the next renewal that is short enough for callers. */
const MAX_MEAN_WAIT_MS = 500;
/** Mean time between two renewals of a fleet without coordination. */
const UNCOORDINATED_INTERVAL_MS = 350;
/** Maximum delay of an announcement. */
const MAX_DELAY_MS = 20;

/** A pseudo-random generator that returns the same numbers in each run. */
function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
}

interface Daemon {
  readonly address: string;
  readonly coordinator: WatchPollCoordinator;
  renewsAtMs: number;
}

interface Announcement {
  readonly sender: string;
  readonly receiver: Daemon;
  readonly arrivesAtMs: number;
  readonly remainingMs: number;
}

/** Times of all renewals of daemons that start together, receive a change, and lose one of them. */
function simulateRenewals(
  daemonCount: number,
  { random, lossShare }: { random: () => number; lossShare: number },
): number[] {
  const daemons = Array.from({ length: daemonCount }, (_, index): Daemon => {
    const address = `host-${String(index).padStart(3, "0")}`;
    const schedule = WatchPollSchedule.create(random);
    const coordinator = WatchPollCoordinator.create(address, schedule);
    return { address, coordinator, renewsAtMs: 0 };
  });
  const stopping = daemons[0]!;
  const renewalsMs: number[] = [];
  let announcements: Announcement[] = [];
  const isRunning = (daemon: Daemon, nowMs: number) =>
    daemon !== stopping || nowMs < STOP_AT_MS;
  const isKnown = (daemon: Daemon, nowMs: number) =>
    nowMs >= DISCOVERY_MS && isRunning(daemon, nowMs - DETECTION_MS);
  const renew = (daemon: Daemon, nowMs: number, endedUnchanged: boolean) => {
    const others = daemons.filter((other) =>
      other !== daemon && isKnown(other, nowMs)
    );
    const remainingMs = daemon.coordinator.nextTimeoutMs({
      nowMs,
      others: others.map(({ address }) => address),
      endedUnchanged,
    });
    daemon.renewsAtMs = nowMs + remainingMs;
    renewalsMs.push(nowMs);
    announcements.push(
      ...others.filter(() => random() >= lossShare).map((receiver) => ({
        sender: daemon.address,
        receiver,
        arrivesAtMs: nowMs + Math.ceil(random() * MAX_DELAY_MS),
        remainingMs,
      })),
    );
  };
  for (let nowMs = 0; nowMs < SIMULATED_MS; nowMs += 1) {
    announcements.filter(({ arrivesAtMs }) => arrivesAtMs === nowMs)
      .forEach(({ sender, receiver, remainingMs }) =>
        receiver.coordinator.recordPlan(sender, nowMs + remainingMs)
      );
    announcements = announcements.filter(({ arrivesAtMs }) =>
      arrivesAtMs > nowMs
    );
    daemons
      .filter((daemon) =>
        isRunning(daemon, nowMs) &&
        (daemon.renewsAtMs === nowMs || nowMs === CHANGE_AT_MS)
      )
      .forEach((daemon) => renew(daemon, nowMs, nowMs !== CHANGE_AT_MS));
  }
  return renewalsMs;
}

function gapsBetween(renewalsMs: readonly number[]): number[] {
  return renewalsMs.slice(1).map((renewedAtMs, index) =>
    renewedAtMs - renewalsMs[index]!
  );
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

describe("coordinated store watches", () => {
  [0, 0.1].forEach((lossShare) => {
    FLEET_SIZES.forEach((daemons) => {
      describe(`of ${daemons} daemons that lose ${lossShare * 100} % of their announcements`, () => {
        const random = seededRandom(daemons);
        const runs = Array.from(
          { length: RUN_COUNT },
          () => simulateRenewals(daemons, { random, lossShare }),
        );
        const settledRuns = runs.map((renewalsMs) =>
          renewalsMs.filter((renewedAtMs) => renewedAtMs >= SETTLED_AT_MS)
        );
        const gaps = settledRuns.flatMap(gapsBetween);

        // Guards against a fleet that receives no changes for longer than they may take.
        it("are never further apart than a change may take", () => {
          expect(Math.max(...gaps)).to.be.at.most(MAX_GAP_MS);
        });

        it("are soon renewed after any moment", () => {
          const meanWaitMs = sum(gaps.map((gap) => gap * gap)) /
            (2 * sum(gaps));
          expect(meanWaitMs).to.be.at.most(MAX_MEAN_WAIT_MS);
        });

        it("are renewed more rarely than without coordination", () => {
          expect(sum(gaps) / gaps.length).to.be.above(
            UNCOORDINATED_INTERVAL_MS,
          );
        });
      });
    });
  });

  describe("of a daemon that hears of no other", () => {
    it("are renewed as without coordination", () => {
      const others = ["b", "c"];
      const coordinator = WatchPollCoordinator.create(
        "a",
        WatchPollSchedule.create(seededRandom(1)),
      );
      const schedule = WatchPollSchedule.create(seededRandom(1));
      [false, true, true].forEach((endedUnchanged) =>
        expect(
          coordinator.nextTimeoutMs({ nowMs: 0, others, endedUnchanged }),
        ).to.equal(schedule.nextTimeoutMs({ daemons: 3, endedUnchanged }))
      );
    });
  });

  describe("after a change", () => {
    it("keep their planned time", () => {
      const coordinator = WatchPollCoordinator.create(
        "a",
        WatchPollSchedule.create(seededRandom(1)),
      );
      coordinator.recordPlan("b", 1_000);
      const next = (nowMs: number, endedUnchanged: boolean) =>
        nowMs + coordinator.nextTimeoutMs({
          nowMs,
          others: ["b"],
          endedUnchanged,
        });
      const plannedAtMs = next(0, true);
      expect(next(plannedAtMs - 500, false)).to.equal(plannedAtMs);
    });
  });
});
