/**
 * Tests of when a daemon takes its availability zone for evacuated.
 *
 * @module
 */
import { Logger } from "@bamboolink/logger";
import { expect } from "chai";
import { EvacuationKeeper, type EvacuationNews } from "./evacuation_keeper.ts";

const EVACUATE_MS = 5_000;
const SECOND_MS = 1_000;

function createKeeper() {
  let nowMs = 0;
  const told: EvacuationNews[] = [];
  const retold: EvacuationNews[] = [];
  const counts = { asked: 0, changed: 0 };
  const keeper = EvacuationKeeper.create({
    address: "own",
    zone: "a",
    logger: Logger.createRateLimited("test", { level: "error" }),
    nowMs: () => nowMs,
    evacuateMs: () => EVACUATE_MS,
    isNamed: (zone) => zone !== "nowhere",
    tellAll: (news) => told.push(news),
    tellSome: (news) => retold.push(news),
    ask: () => {
      counts.asked += 1;
    },
    onChange: () => {
      counts.changed += 1;
    },
  });
  const pass = (byMs: number) => {
    nowMs += byMs;
    keeper.tick();
  };
  return { keeper, told, retold, counts, pass };
}

describe("EvacuationKeeper", () => {
  describe("when its zone is evacuated while it runs", () => {
    it("tells all others, and leaves time to hand keys over", () => {
      const { keeper, told, counts, pass } = createKeeper();
      keeper.takeListing({ revision: 1, zones: [] });
      pass(SECOND_MS);
      keeper.takeChange({ revision: 2, zone: "a", isEvacuated: true });
      expect(keeper.isEvacuated).to.equal(true);
      expect(keeper.handOverUntilMs).to.be.within(
        SECOND_MS,
        SECOND_MS + EVACUATE_MS / 2,
      );
      expect(told.at(-1)).to.include({ sender: "own", revision: 2 });
      expect(counts.changed).to.equal(1);
    });

    // Guards against the time for the handover being extended by each further evacuation.
    it("leaves no more time when another zone is evacuated", () => {
      const { keeper, pass } = createKeeper();
      keeper.takeChange({ revision: 2, zone: "a", isEvacuated: true });
      const untilMs = keeper.handOverUntilMs;
      pass(SECOND_MS);
      keeper.takeChange({ revision: 3, zone: "b", isEvacuated: true });
      expect(keeper.handOverUntilMs).to.equal(untilMs);
    });
  });

  // Guards against a daemon that starts again serving on in a zone that was evacuated long before.
  describe("when it learns of an evacuation of unknown age", () => {
    it("leaves no time", () => {
      const listed = createKeeper().keeper;
      listed.takeListing({ revision: 9, zones: ["a"] });
      const told = createKeeper().keeper;
      told.take({
        kind: "evacuation",
        sender: "other",
        revision: 9,
        zones: ["a"],
      });
      expect([listed, told].map(({ handOverUntilMs }) => handOverUntilMs))
        .to.deep.equal([-Infinity, -Infinity]);
    });
  });

  describe("when the zone is taken back", () => {
    it("is open again, and others that missed it are told for a while", () => {
      const { keeper, retold, counts, pass } = createKeeper();
      keeper.takeChange({ revision: 2, zone: "a", isEvacuated: true });
      keeper.takeChange({ revision: 3, zone: "a", isEvacuated: false });
      expect(keeper.isEvacuated).to.equal(false);
      expect(counts.changed).to.equal(2);
      pass(SECOND_MS);
      expect(retold.at(-1)).to.deep.include({ revision: 3, zones: [] });
      pass(100 * SECOND_MS);
      const count = retold.length;
      pass(SECOND_MS);
      expect(retold).to.have.length(count);
    });
  });

  describe("before it has learned anything", () => {
    // Guards against a daemon that starts giving work to an evacuated server before it has read what is evacuated.
    it("is not settled, and asks", () => {
      const { keeper, counts, pass } = createKeeper();
      expect(keeper.isSettled).to.equal(false);
      pass(SECOND_MS);
      pass(SECOND_MS);
      expect(counts.asked).to.equal(2);
      expect(keeper.describe()).to.equal(undefined);
      keeper.takeListing({ revision: 0, zones: [] });
      expect(keeper.isSettled).to.equal(true);
    });

    // Guards against a fleet that starts while the store is away serving nobody.
    it("is settled after a while all the same", () => {
      const { keeper, pass } = createKeeper();
      pass(4 * SECOND_MS);
      expect(keeper.isSettled).to.equal(true);
      expect(keeper.isEvacuated).to.equal(false);
    });
  });
});
