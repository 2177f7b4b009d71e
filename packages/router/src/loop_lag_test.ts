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
