/**
 * Tests of learning how long a caller has waited.
 *
 * @module
 */
import { expect } from "chai";
import { CallerPatience } from "./caller_patience.ts";

describe("caller patience", () => {
  describe("when most requests of a route begin with one deadline", () => {
    it("tells how long one that comes back has waited", () => {
      const patience = CallerPatience.create();
      Array.from({ length: 50 }, () => patience.note("quotes", 800));
      expect(patience.note("quotes", 800)).to.equal(0);
      expect(patience.note("quotes", 550)).to.equal(250);
    });

    it("is not misled by a few that wait longer", () => {
      const patience = CallerPatience.create();
      Array.from(
        { length: 190 },
        (_, index) => patience.note("quotes", index % 20 === 19 ? 2_500 : 800),
      );
      Array.from({ length: 20 }, () => patience.note("quotes", 800));
      expect(patience.note("quotes", 800)).to.equal(0);
    });
  });

  describe("when deadlines change for good", () => {
    it("learns the new one", () => {
      const patience = CallerPatience.create();
      Array.from({ length: 300 }, () => patience.note("quotes", 800));
      Array.from({ length: 400 }, () => patience.note("quotes", 500));
      expect(patience.note("quotes", 500)).to.equal(0);
    });
  });
});
