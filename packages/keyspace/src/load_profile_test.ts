/**
 * Tests of how soon the work of keys is known.
 *
 * @module
 */
import { expect } from "chai";
import { LoadProfile } from "./load_profile.ts";

const KEY = { from: 7, to: 7 };
/** Work that arrives every 10 ms, in milliseconds of a slot. */
const EACH_MS = 5;
/** The same, in milliseconds of a slot a second. */
const RATE = EACH_MS * 100;

function feed(profile: LoadProfile, fromMs: number, lengthMs: number): void {
  Array.from({ length: lengthMs / 10 }, (_, index) => {
    profile.decay(fromMs + index * 10);
    profile.note(KEY.from, EACH_MS);
  });
}

describe("load profile", () => {
  describe("half a second after the first request", () => {
    // Symptom: at the start of the traffic one owner refuses most requests for 4 s.
    // Sequence: it was given the busiest keys by chance; after half a second it saw a third of their work, and
    // moved a part of that; a move takes a second, and it needed three of them.
    // Cause: work was averaged over a time in which there had been no traffic yet.
    it("knows the work of keys already", () => {
      const profile = LoadProfile.create();
      profile.decay(5_000);
      feed(profile, 5_000, 500);
      expect(profile.loadOf([KEY])).to.be.closeTo(RATE, RATE * 0.15);
    });
  });

  describe("after a long time", () => {
    it("knows it, too", () => {
      const profile = LoadProfile.create();
      feed(profile, 0, 10_000);
      expect(profile.loadOf([KEY])).to.be.closeTo(RATE, RATE * 0.05);
    });
  });

  describe("given what another owner saw", () => {
    it("counts the keys with that work at once", () => {
      const profile = LoadProfile.create();
      feed(profile, 0, 3_000);
      const taken = { from: 100, to: 199 };
      profile.seed(taken, 800);
      expect(profile.loadOf([taken])).to.be.closeTo(800, 1);
    });
  });
});
