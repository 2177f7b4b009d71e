/**
 * Tests of telling incarnations apart.
 *
 * @module
 */
import { expect } from "chai";
import { IncarnationTracker } from "./incarnation_tracker.ts";

describe("instance book", () => {
  describe("when a heartbeat of an earlier incarnation was held up", () => {
    // Symptom: requests for keys are refused by a healthy backend server for a second.
    // Sequence: a backend server crashes, its successor registers at the same address, and a heartbeat
    // of the first, held up by a cut, arrives last.
    // Cause: the last heartbeat to arrive was taken for the incarnation that runs.
    it("asks who is there before it believes another incarnation", () => {
      const book = IncarnationTracker.create();
      book.accept({ instance: "second", born: 1, sequence: 1 }, 0);
      const verdict = book.classify({
        instance: "first",
        born: 2,
        sequence: 90,
      });
      expect(verdict).to.deep.equal({ kind: "unverified" });
      expect(book.current?.instance).to.equal("second");
    });
  });

  describe("when heartbeats overtake each other", () => {
    it("takes the older one for late", () => {
      const book = IncarnationTracker.create();
      book.accept({ instance: "only", born: 1, sequence: 5 }, 0);
      expect(book.classify({ instance: "only", born: 1, sequence: 4 }).kind).to
        .equal(
          "late",
        );
      expect(book.classify({ instance: "only", born: 1, sequence: 6 }).kind).to
        .equal(
          "current",
        );
    });
  });

  describe("when a server starts again under its id", () => {
    const former = { instance: "same", born: 1_000, sequence: 40 };
    const next = { instance: "same", born: 900, sequence: 1 };
    const somebody = {
      kind: "answered" as const,
      instance: "same",
      born: undefined,
    };
    const patience = { overdueMs: 1_300, unresponsiveMs: 2_500 };

    function createBook(): IncarnationTracker {
      const book = IncarnationTracker.create();
      book.accept(former, 0);
      return book;
    }

    // Symptom: keys of a restarted backend server are not served for as long as its former process ran.
    // Sequence: it crashes and starts again under its id, its clock has stepped back, and its count begins anew.
    // Cause: heartbeats were told apart by id and count, so those of the new process were late.
    it("takes its heartbeats for those of another process", () => {
      expect(createBook().classify(next).kind).to.equal("unverified");
    });

    // Symptom: requests for keys are refused by the server that is believed to hold them.
    // Sequence: the same, and the daemon has missed so many heartbeats that the new count is above the old one.
    // Cause: a higher count under the known id passed for the former process.
    it("does not take a higher count for the former process", () => {
      const verdict = createBook().classify({ ...next, sequence: 90 });
      expect(verdict.kind).to.equal("unverified");
    });

    it("believes at once whom the answer at the address names", () => {
      const book = createBook();
      const found = { ...somebody, born: 900 };
      const limits = { ...patience, arrivedMs: 10 };
      const succession = book.classifySuccession(next, found, limits);
      expect(succession).to.equal("proved");
      book.acceptSuccessor(next, { succession, nowMs: 10 });
      expect(book.classify({ ...former, sequence: 99 }).kind).to.equal("late");
    });

    // Symptom: a living server loses its grant to a process that is gone.
    // Sequence: it starts again under its id; a heartbeat of the former process was held back and comes last;
    // the answer at the address names the id that both have.
    // Cause: that answer was taken for proof.
    it("rejects a held-back heartbeat while the living one is heard", () => {
      const book = IncarnationTracker.create();
      book.accept(next, 0);
      const limits = { ...patience, arrivedMs: 900 };
      expect(book.classifySuccession(former, somebody, limits)).to.equal(
        "rejected",
      );
    });

    it("assumes a new process once the former one is overdue, and proves nothing by it", () => {
      const book = createBook();
      const limits = { ...patience, arrivedMs: 1_301 };
      const succession = book.classifySuccession(next, somebody, limits);
      expect(succession).to.equal("assumed");
      book.acceptSuccessor(next, { succession, nowMs: 1_301 });
      expect(book.classify({ ...former, sequence: 41 }).kind).to.equal(
        "unverified",
      );
    });
  });
});
