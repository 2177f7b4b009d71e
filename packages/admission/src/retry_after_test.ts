/**
 * Tests of the retry-after delays of refused callers.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { createRetryAfterSampler, drawReturnMs } from "./retry_after.ts";

const ROOM = {
  roomMs: 200,
  uncertaintyMs: 300,
  remainingMs: 2_000,
  serviceMs: 100,
};

describe("drawReturnMs", () => {
  describe("for a caller that can come back when there is room", () => {
    it("returns a time from the expected one on, spread as widely as it is uncertain", () => {
      expect(drawReturnMs(ROOM, () => 0))
        .to.deep.equal({ returnMs: 200, isHonoured: true });
      expect(drawReturnMs(ROOM, () => 0.999).returnMs).to.be.within(499, 500);
    });

    it("returns no later time than the caller honours", () => {
      const room = { ...ROOM, uncertaintyMs: Infinity };
      expect(drawReturnMs(room, () => 0.999).returnMs)
        .to.be.within(660, 2_000 / 3);
    });

    it("leaves the caller the time that its request takes", () => {
      const room = { ...ROOM, uncertaintyMs: Infinity, serviceMs: 1_700 };
      expect(drawReturnMs(room, () => 0.999).returnMs).to.be.within(299, 300);
    });
  });

  describe("for a caller whose time ends before there is room", () => {
    // Guards against retry-after delays that end before there is capacity.
    it("returns the time at which there is room", () => {
      const room = { ...ROOM, roomMs: 900 };
      expect(drawReturnMs(room, () => 0.5))
        .to.deep.equal({ returnMs: 900, isHonoured: false });
    });
  });

  // Guards against delays that contain a figure of one deployment.
  it("returns times that scale with all times", () => {
    const time = fc.integer({ min: 0, max: 10_000 });
    const property = fc.property(
      fc.record({
        roomMs: time,
        uncertaintyMs: time,
        remainingMs: time,
        serviceMs: time,
      }),
      fc.double({ min: 0, max: 0.999, noNaN: true }),
      (room, chance) => {
        const tenfold = {
          roomMs: room.roomMs * 10,
          uncertaintyMs: room.uncertaintyMs * 10,
          remainingMs: room.remainingMs * 10,
          serviceMs: room.serviceMs * 10,
        };
        expect(drawReturnMs(tenfold, () => chance).returnMs)
          .to.be.closeTo(drawReturnMs(room, () => chance).returnMs * 10, 1e-6);
      },
    );
    fc.assert(property, { seed: 66 });
  });
});

describe("createRetryAfterSampler", () => {
  describe("while the time until the cause has ended is known", () => {
    it("spreads retries of callers that are refused together, none before that time", () => {
      let state = 0;
      const sample = createRetryAfterSampler(() => (state += 0.1) % 1);
      const delays = Array.from(
        { length: 10 },
        () => sample({ waitMs: 300, remainingMs: 2_000 }),
      );
      expect(Math.min(...delays)).to.be.at.least(300);
      expect(Math.max(...delays) - Math.min(...delays)).to.be.above(200);
    });
  });

  describe("while it is unknown", () => {
    it("spreads retries over all the time that callers honour", () => {
      const draw = (chance: number) =>
        createRetryAfterSampler(() => chance)({
          waitMs: 0,
          remainingMs: 1_500,
        });
      expect(draw(0)).to.equal(0);
      expect(draw(0.5)).to.equal(250);
      expect(draw(0.999)).to.be.below(500);
    });
  });

  describe("for a caller whose time is over", () => {
    it("returns the time until the cause has ended", () => {
      const sample = createRetryAfterSampler(() => 0.5);
      expect(sample({ waitMs: 300, remainingMs: -20 })).to.equal(300);
      expect(sample({ waitMs: 0, remainingMs: -20 })).to.equal(0);
    });
  });
});
