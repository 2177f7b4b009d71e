/**
 * Tests of the plans of a daemon's watch polls, and of what it learns from the plans of others.
 *
 * @module
 */
import { expect } from "chai";
import type { Logger } from "@bamboolink/logger";
import { type MemberReport, MemberView } from "@bamboolink/membership";
import { monotonicMs } from "../clock.ts";
import { createMemberReport } from "../testing/sample_member_report.ts";
import { type WatchPlan, WatchPollPlanner } from "./watch_poll_planner.ts";

const FLEET_SIZE = 29;
/** The first addresses are the last ones to become followers. */
const OWN_ADDRESS = "10.0.0.100:7000";

function createReport(index: number): MemberReport {
  const host = `10.0.0.${100 + index}`;
  return createMemberReport(`${host}:7000`, {
    availabilityZone: index % 2 === 0 ? "a" : "b",
    peerAddress: `${host}:7001`,
  });
}

function createOthers(fleetSize: number, sequence = 1): MemberReport[] {
  return Array.from(
    { length: fleetSize - 1 },
    (_, index) => ({ ...createReport(index + 1), sequence }),
  );
}

function createPlanner(fleetSize: number, nowMs = monotonicMs) {
  const view = MemberView.create(createReport(0));
  view.merge(createOthers(fleetSize), nowMs());
  const fetchedFrom: string[] = [];
  const announced: WatchPlan[] = [];
  let version = 4;
  const planner = WatchPollPlanner.create({
    view,
    logger: { log: () => undefined } as unknown as Logger,
    random: () => 0.5,
    nowMs,
    reachesStore: () => true,
    configurationVersion: () => version,
    fetchConfiguration: ({ address }) => {
      fetchedFrom.push(address);
      return Promise.resolve();
    },
    broadcast: (plan) => announced.push(plan),
  });
  const setVersion = (newer: number) => {
    version = newer;
  };
  return { planner, view, fetchedFrom, announced, setVersion };
}

function createPlan(index: number, changes: Partial<WatchPlan>): WatchPlan {
  return {
    kind: "watch_plan",
    sender: createReport(index).address,
    remainingMs: 5_000,
    observationAgeMs: 0,
    configurationVersion: 4,
    ...changes,
  };
}

describe("WatchPollPlanner", () => {
  describe("of a daemon that is no follower", () => {
    it("fetches a newer configuration from a follower of its zone", async () => {
      const { planner, fetchedFrom } = createPlanner(FLEET_SIZE);
      const plan = createPlan(28, { configurationVersion: 5 });
      await planner.handlePlan(plan);
      expect(fetchedFrom).to.deep.equal([plan.sender]);
    });

    it("fetches it from another zone if its own announces nothing", async () => {
      const { planner, fetchedFrom } = createPlanner(FLEET_SIZE);
      const plan = createPlan(27, { configurationVersion: 5 });
      await planner.handlePlan(plan);
      expect(fetchedFrom).to.deep.equal([plan.sender]);
    });

    it("fetches nothing if it has the announced version", async () => {
      const { planner, fetchedFrom } = createPlanner(FLEET_SIZE);
      await planner.handlePlan(createPlan(28, {}));
      expect(fetchedFrom).to.deep.equal([]);
    });

    // Guards against plans of daemons of an earlier version that are rejected or taken for responses of the store.
    it("accepts plans without an observation", async () => {
      const { planner, fetchedFrom } = createPlanner(FLEET_SIZE);
      await planner.handlePlan({
        kind: "watch_plan",
        sender: createReport(28).address,
        remainingMs: 5_000,
      });
      expect(fetchedFrom).to.deep.equal([]);
    });

    // Guards against a daemon that polls as often as it did when all daemons followed the records.
    it("waits while followers announce responses of the store", async () => {
      const { planner } = createPlanner(FLEET_SIZE);
      let isDue = false;
      void planner.awaitDue().then(() => {
        isDue = true;
      });
      await planner.handlePlan(createPlan(28, {}));
      planner.tick();
      expect(planner.isFollower).to.equal(false);
      expect(isDue).to.equal(false);
    });

    // Guards against a daemon that misses changes for as long as it would have waited for the followers, after it was
    // cut off from all other daemons.
    it("polls once no heartbeat of another daemon has arrived for a second", async () => {
      let nowMs = monotonicMs();
      const { planner } = createPlanner(FLEET_SIZE, () => nowMs);
      let isDue = false;
      void planner.awaitDue().then(() => {
        isDue = true;
      });
      nowMs += 900;
      planner.tick();
      await Promise.resolve();
      expect(isDue).to.equal(false);
      nowMs += 300;
      planner.tick();
      await Promise.resolve();
      expect(isDue).to.equal(true);
    });

    // Guards against a change that the others learn of only with the next poll of the daemon that replaces a follower.
    it("announces a newer version that it gets in place of a follower", () => {
      let nowMs = monotonicMs();
      const { planner, view, announced, setVersion } = createPlanner(
        FLEET_SIZE,
        () => nowMs,
      );
      void planner.awaitDue();
      expect(announced).to.have.length(0);
      nowMs += 20_000;
      planner.tick();
      setVersion(5);
      view.merge(createOthers(FLEET_SIZE, 2), nowMs);
      void planner.awaitDue();
      expect(announced.map(({ configurationVersion }) => configurationVersion))
        .to.deep.equal([5]);
    });
  });

  describe("of a follower", () => {
    it("announces the version in force and the age of the store's response", async () => {
      const { planner, announced } = createPlanner(3);
      await planner.awaitDue();
      planner.nextTimeoutMs(false);
      expect(announced).to.have.length(1);
      const [plan] = announced;
      expect(plan?.sender).to.equal(OWN_ADDRESS);
      expect(plan?.configurationVersion).to.equal(4);
      expect(plan?.observationAgeMs).to.be.at.least(0);
    });

    // Guards against fetches from others of a change that the follower's own poll returns at the same time.
    it("fetches no newer configuration from others", async () => {
      const { planner, fetchedFrom } = createPlanner(3);
      await planner.handlePlan(createPlan(2, { configurationVersion: 5 }));
      expect(fetchedFrom).to.deep.equal([]);
    });
  });
});
