/**
 * Tests of moves that are planned anew until they begin. The replay of their load is in `hot_key_replay_test.ts`.
 *
 * @module
 */
import { expect } from "chai";
import type { OwnerLoad } from "./balance_loads.ts";
import { LoadProfile } from "./load_profile.ts";
import { type RebalanceInput, RebalancePlanner } from "./rebalance_planner.ts";

const SLOTS = 6;
const OWN_RANGE = { from: 0, to: 9_999 };
const COLD_MS = 3_000;

/** A profile in which `count` keys from `first` on together cause a load in slots, in the steady state. */
function profileOf(loads: readonly { first: number; slots: number }[]) {
  const profile = LoadProfile.create();
  profile.record(OWN_RANGE.to, 0);
  profile.decay(60_000);
  loads.forEach(({ first, slots }) =>
    Array.from(
      { length: 100 },
      (_, index) => profile.record(first + index, slots * 10 / Math.LN2),
    )
  );
  return profile;
}

function ownerOf(daemon: string, utilization: number): OwnerLoad {
  return { daemon, utilization, deviation: 0, slots: SLOTS, serviceMs: 100 };
}

/** Input of an owner with hot keys from 1,000 on, and two others with headroom. */
function inputOf(
  hotSlots: number,
  changes: Partial<RebalanceInput> = {},
): RebalanceInput {
  const profile = profileOf([{ first: 1_000, slots: hotSlots }, {
    first: 5_000,
    slots: 1,
  }]);
  return {
    own: ownerOf("a", profile.loadOf([OWN_RANGE]) / 1_000 / SLOTS),
    others: [ownerOf("b", 0.3), ownerOf("c", 0.4)],
    ranges: [OWN_RANGE],
    profile,
    keyless: new Set(),
    reportAgeMs: 50,
    coldMs: 0,
    ...changes,
  };
}

describe("RebalancePlanner", () => {
  describe("while planned moves can't begin", () => {
    // Guards against moves of a size that was right half a second ago.
    it("plans them anew, and tells the recipients what has changed", () => {
      const planner = RebalancePlanner.create();
      const first = planner.update(inputOf(6), 0);
      const firstLoad = sumOf(planner);
      expect(first.size).to.be.above(0);
      const second = planner.update(inputOf(12), 100);
      expect(sumOf(planner)).to.be.above(1.2 * firstLoad);
      expect(second.size).to.be.above(0);
      second.forEach((moves, daemon) =>
        expect(moves).to.deep.equal(
          planner.plannedMoves.filter((move) => move.daemon === daemon),
        )
      );
    });

    it("tells nobody if nothing has changed", () => {
      const planner = RebalancePlanner.create();
      planner.update(inputOf(9), 0);
      expect(planner.update(inputOf(9), 100).size).to.equal(0);
    });

    it("is due again after an interval", () => {
      const planner = RebalancePlanner.create();
      planner.update(inputOf(9), 1_000);
      expect([planner.isDue(1_050), planner.isDue(1_100)])
        .to.deep.equal([false, true]);
    });
  });

  describe("when the keys are hot no longer", () => {
    // Guards against keys that move, with a store write and a datagram to every daemon, for heat that has ended.
    it("drops the moves, and tells the recipients", () => {
      const planner = RebalancePlanner.create();
      const first = planner.update(inputOf(9), 0);
      const second = planner.update(inputOf(1), 100);
      expect(planner.plannedMoves).to.deep.equal([]);
      expect([...second.keys()]).to.have.members([...first.keys()]);
      expect([...second.values()].flat()).to.deep.equal([]);
    });
  });

  describe("when moves begin", () => {
    it("returns them with the time that they have waited, and plans others", () => {
      const planner = RebalancePlanner.create();
      planner.update(inputOf(9), 1_000);
      planner.update(inputOf(12), 1_100);
      const planned = planner.plannedMoves;
      expect(planner.take(1_600))
        .to.deep.equal({ moves: planned, waitedMs: 600 });
      expect(planner.plannedMoves).to.deep.equal([]);
      planner.update(inputOf(9), 2_000);
      expect(planner.take(2_100).waitedMs).to.equal(100);
    });
  });

  describe("without a report for a second", () => {
    // Guards against a daemon that is cut off and moves its keys to servers that have been full for seconds.
    it("plans no moves, and drops those that are planned", () => {
      const planner = RebalancePlanner.create();
      planner.update(inputOf(9), 0);
      planner.update(inputOf(9, { reportAgeMs: 1_001 }), 100);
      expect(planner.plannedMoves).to.deep.equal([]);
    });
  });

  describe("after a power loss", () => {
    // Guards against 31 moves in 6 s between servers that were all cold, and became eight times as fast together.
    it("plans no moves between servers that are cold", () => {
      const planner = RebalancePlanner.create();
      for (let nowMs = 0; nowMs < COLD_MS; nowMs += 100) {
        planner.update(inputOf(12, { coldMs: COLD_MS - nowMs }), nowMs);
        expect(planner.plannedMoves).to.deep.equal([]);
      }
      planner.update(inputOf(12), COLD_MS);
      expect(planner.plannedMoves).to.have.length.above(0);
    });

    it("moves keys from a cold server to those that have been ready for longer", () => {
      const planner = RebalancePlanner.create();
      planner.update(inputOf(0), 0);
      const cold = inputOf(12, {
        coldMs: COLD_MS,
        others: ["b", "c", "new"].map((daemon) => ownerOf(daemon, 0.3)),
      });
      planner.update(cold, 10_000);
      const recipients = planner.plannedMoves.map(({ daemon }) => daemon);
      expect(recipients).to.have.length.above(0);
      expect(recipients).to.not.include("new");
    });

    it("moves keys from a warm server to one that has just become ready", () => {
      const planner = RebalancePlanner.create();
      planner.update(inputOf(12), 0);
      expect(planner.plannedMoves).to.have.length.above(0);
    });
  });
});

function sumOf({ plannedMoves }: RebalancePlanner): number {
  return plannedMoves.reduce((sum, { load }) => sum + load, 0);
}
