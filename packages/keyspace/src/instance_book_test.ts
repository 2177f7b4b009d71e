/**
 * Tests of telling incarnations apart.
 *
 * @module
 */
import { expect } from "chai";
import { InstanceBook } from "./instance_book.ts";

describe("instance book", () => {
  describe("when a heartbeat of an earlier incarnation was held up", () => {
    // Symptom: requests for keys are refused by a healthy backend server for a second.
    // Sequence: a backend server crashes, its successor registers at the same address, and a heartbeat
    // of the first, held up by a cut, arrives last.
    // Cause: the last heartbeat to arrive was taken for the incarnation that runs.
    it("asks who is there before it believes another incarnation", () => {
      const book = InstanceBook.create();
      book.accept({ instance: "second", sequence: 1 }, 0);
      const verdict = book.judge({ instance: "first", sequence: 90 });
      expect(verdict).to.deep.equal({ kind: "unverified" });
      expect(book.current).to.equal("second");
    });
  });

  describe("when heartbeats overtake each other", () => {
    it("takes the older one for late", () => {
      const book = InstanceBook.create();
      book.accept({ instance: "only", sequence: 5 }, 0);
      expect(book.judge({ instance: "only", sequence: 4 }).kind).to.equal(
        "late",
      );
      expect(book.judge({ instance: "only", sequence: 6 }).kind).to.equal(
        "current",
      );
    });
  });
});
