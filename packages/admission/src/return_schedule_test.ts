/**
 * Tests of the times at which refused callers come back.
 *
 * @module
 */
import { expect } from "chai";
import { type ReturnQuery, ReturnSchedule } from "./return_schedule.ts";

function query(changes: Partial<ReturnQuery> = {}): ReturnQuery {
  return {
    resource: "rooms",
    rank: 1,
    waitMs: 100,
    remainingMs: 1_500,
    workMs: 120,
    slots: 6,
    ...changes,
  };
}

describe("ReturnSchedule", () => {
  describe("while there is room soon", () => {
    it("returns the expected wait", () => {
      expect(ReturnSchedule.create(() => 0).reserve(query(), 0)).to.equal(100);
    });

    // Guards against callers that are refused together and come back together: the slots serve one of them, and the
    // only retry of the others is refused, too.
    it("spaces callers by the slot time that each of them needs", () => {
      const schedule = ReturnSchedule.create(() => 0);
      const delays = [0, 0, 0].map(() => schedule.reserve(query(), 0));
      expect(delays).to.deep.equal([100, 120, 140]);
      expect(schedule.countAt(0)).to.equal(3);
    });

    it("spaces them further if this daemon's callers use only a share of the slots", () => {
      const schedule = ReturnSchedule.create(() => 0);
      const delays = [0, 0].map(() => schedule.reserve(query({ slots: 2 }), 0));
      expect(delays).to.deep.equal([100, 160]);
    });

    it("uses a gap between earlier reservations", () => {
      const schedule = ReturnSchedule.create(() => 0);
      schedule.reserve(query({ waitMs: 200 }), 0);
      expect(schedule.reserve(query({ waitMs: 150 }), 0)).to.equal(150);
    });

    it("keeps the reservations of different owners apart", () => {
      const schedule = ReturnSchedule.create(() => 0);
      schedule.reserve(query(), 0);
      expect(schedule.reserve(query({ resource: "other" }), 0)).to.equal(100);
    });

    it("returns no shorter delay than callers need to find any change", () => {
      const schedule = ReturnSchedule.create(() => 0);
      expect(schedule.reserve(query({ waitMs: 0 }), 0)).to.equal(40);
    });
  });

  describe("for callers of different ranks", () => {
    it("makes the less urgent one come after the more urgent one, and not the reverse", () => {
      const schedule = ReturnSchedule.create(() => 0);
      schedule.reserve(query({ rank: 1 }), 0);
      expect(schedule.reserve(query({ rank: 2 }), 0)).to.equal(120);
      expect(schedule.reserve(query({ rank: 0 }), 0)).to.equal(100);
    });
  });

  describe("without room within the time that callers accept", () => {
    it("returns the latest time that they accept, a little spread, and reserves nothing", () => {
      const draw = (random: number) => {
        const schedule = ReturnSchedule.create(() => random);
        const delayMs = schedule.reserve(query({ waitMs: 600 }), 0);
        expect(schedule.countAt(0)).to.equal(0);
        return delayMs;
      };
      expect(draw(0)).to.equal(480);
      expect(draw(1)).to.equal(432);
    });

    it("stays within the time that is left to a caller past its deadline", () => {
      const schedule = ReturnSchedule.create(() => 0);
      expect(schedule.reserve(query({ remainingMs: -5 }), 0)).to.equal(0);
    });
  });

  describe("once a reservation is past", () => {
    it("no longer counts it", () => {
      const schedule = ReturnSchedule.create(() => 0);
      schedule.reserve(query(), 0);
      expect(schedule.countAt(100)).to.equal(0);
      expect(schedule.reserve(query({ waitMs: 0 }), 130)).to.equal(40);
    });
  });
});
