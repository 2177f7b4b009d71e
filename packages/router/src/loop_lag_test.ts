/**
 * Tests of the measure of the event loop's lag.
 *
 * @module
 */
import { expect } from "chai";
import { LoopLag } from "./loop_lag.ts";

describe("loop lag", () => {
  describe("while ticks are on time, or nearly", () => {
    it("is none", () => {
      const lag = LoopLag.create(50);
      [50, 52, 61, 80].forEach((passed) => lag.noteTick(passed));
      expect(lag.currentMs).to.equal(0);
    });
  });

  describe("when the process is far behind", () => {
    // Symptom: after a restart of all hosts requests are run for callers that left a second ago.
    // Sequence: processors are small and code is not compiled yet; requests come as fast as ever.
    // Cause: each was read late and run all the same, which made the next one later.
    it("refuses the less urgent first, then all", () => {
      const lag = LoopLag.create(50);
      lag.noteTick(50 + 150);
      expect(lag.isOverloaded(2)).to.equal(true);
      expect(lag.isOverloaded(1)).to.equal(false);
      lag.noteTick(50 + 400);
      expect(lag.isOverloaded(0)).to.equal(true);
    });
  });

  describe("when the process is behind", () => {
    it("is the largest of the last ticks, and is forgotten after some", () => {
      const lag = LoopLag.create(50);
      [1_050, 50, 50].forEach((passed) => lag.noteTick(passed));
      expect(lag.currentMs).to.equal(1_000);
      [50, 50].forEach((passed) => lag.noteTick(passed));
      expect(lag.currentMs).to.equal(0);
    });
  });
});
