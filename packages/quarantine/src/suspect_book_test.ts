/**
 * Tests of which requests are kept from backend servers, by replays of servers' ends.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { chooseProbation } from "./choose_probation.ts";
import type { LostRun } from "./lost_runs.ts";
import { ProbationLane } from "./probation_lane.ts";
import { SuspectBook } from "./suspect_book.ts";

const SEED = 20_261_203;
const SECOND_MS = 1_000;
const MINUTE_MS = 60_000;

const lose = (fingerprint: string, isOnProbation = false): LostRun => ({
  requestId: `id-${fingerprint}`,
  fingerprint,
  isOnProbation,
  atMs: 0,
});

/** The end of a server, with a name of its own. */
let lastEnd = 0;
function endOf(...runs: LostRun[]) {
  lastEnd += 1;
  return { name: lastEnd, runs };
}

/** A book that draws no delays. */
const createBook = () => SuspectBook.create(() => 0);

/** The requests that a book quarantines. */
const quarantinedIn = (book: SuspectBook, names: string[], nowMs: number) =>
  names.filter((name) => book.judge(name, nowMs).kind === "quarantined");

describe("SuspectBook", () => {
  describe("when one server ends", () => {
    it("suspects all that it ran, and quarantines nothing", () => {
      const book = createBook();
      const end = endOf(lose("lethal"), lose("beside"));
      const { accusations } = book.noteEnd(end, 0);
      const told = { ends: [end.name], quarantines: 0, leftMs: 0 };
      expect(accusations).to.deep.equal([
        { fingerprint: "lethal", ...told },
        { fingerprint: "beside", ...told },
      ]);
      expect(book.judge("lethal", 1).kind).to.equal("suspect");
      expect(book.judge("other", 1).kind).to.equal("clear");
    });
  });

  describe("when a further server ends under one of them alone", () => {
    it("quarantines that one, and only suspects what ran beside it", () => {
      const book = createBook();
      book.noteEnd(endOf(lose("lethal"), lose("beside")), 0);
      book.noteEnd(endOf(lose("lethal", true), lose("later")), 100);
      const names = ["lethal", "beside", "later"];
      expect(quarantinedIn(book, names, 101)).to.deep.equal(["lethal"]);
    });

    it("also if the first end is told later, without a second quarantine", () => {
      const book = createBook();
      book.noteEnd(endOf(lose("lethal", true)), 100);
      const late = {
        fingerprint: "lethal",
        ends: [lastEnd + 1],
        quarantines: 0,
        leftMs: 0,
      };
      expect(book.noteAccusations([late], 200).news).to.have.length(1);
      expect(book.findQuarantines(200)[0]?.quarantines).to.equal(1);
      expect(book.noteAccusations([late], 300).news).to.have.length(0);
    });
  });

  // Guards against a popular request being quarantined because its turn came at a server that had just ended.
  describe("when two suspects are lost one after the other at one end", () => {
    it("quarantines the first only", () => {
      const book = createBook();
      book.noteEnd(endOf(lose("lethal"), lose("popular")), 0);
      book.noteEnd(endOf(lose("lethal", true), lose("popular", true)), 100);
      expect(quarantinedIn(book, ["lethal", "popular"], 101))
        .to.deep.equal(["lethal"]);
    });
  });

  // Guards against a popular request being quarantined, since a copy of the lethal one ran beside it that had been let in
  // before it was suspected.
  describe("when a server ends under one on probation and a copy of another suspect that is not", () => {
    it("quarantines neither, and the lethal one at the next end", () => {
      const book = createBook();
      book.noteEnd(endOf(lose("lethal"), lose("popular")), 0);
      book.noteEnd(endOf(lose("popular", true), lose("lethal")), 100);
      const names = ["lethal", "popular"];
      expect(quarantinedIn(book, names, 101)).to.deep.equal([]);
      book.noteEnd(endOf(lose("lethal", true)), 200);
      expect(quarantinedIn(book, names, 201)).to.deep.equal(["lethal"]);
    });
  });

  // Many copies of a lethal request may come before the first end is known. None of them was on probation.
  describe("when three servers have ended under one request", () => {
    it("quarantines it, whoever tells of the ends", () => {
      const book = createBook();
      book.noteEnd(endOf(lose("lethal"), lose("a")), 0);
      const told = { fingerprint: "lethal", quarantines: 0, leftMs: 0 };
      book.noteAccusations([{ ...told, ends: [101] }], 1);
      expect(quarantinedIn(book, ["lethal"], 1)).to.deep.equal([]);
      book.noteAccusations([{ ...told, ends: [101] }], 2);
      expect(quarantinedIn(book, ["lethal"], 2)).to.deep.equal([]);
      book.noteAccusations([{ ...told, ends: [102] }], 3);
      expect(quarantinedIn(book, ["lethal", "a"], 3))
        .to.deep.equal(["lethal"]);
    });

    // News of an end may come after the quarantine that it led to is over.
    it("is not quarantined again for an end of before that is told late", () => {
      const book = createBook();
      const told = { fingerprint: "lethal", quarantines: 1, leftMs: SECOND_MS };
      book.noteAccusations([{ ...told, ends: [101, 102] }], 0);
      const late = { ...told, quarantines: 0, leftMs: 0, ends: [100] };
      book.noteAccusations([late], 2 * SECOND_MS);
      expect(book.judge("lethal", 2 * SECOND_MS).kind).to.equal("suspect");
    });

    // A popular request may be there each time, too, before any server has answered it.
    it("quarantines neither of two that were there each time", () => {
      const book = createBook();
      const names = ["lethal", "popular"];
      const tell = (end: number) =>
        names.map((fingerprint) => ({
          fingerprint,
          ends: [end],
          quarantines: 0,
          leftMs: 0,
        }));
      [101, 102, 103].forEach((end) => book.noteAccusations(tell(end), 0));
      expect(quarantinedIn(book, names, 1)).to.deep.equal([]);
      book.noteAnswer("popular", 2);
      book.noteEnd(endOf(lose("lethal", true)), 3);
      expect(quarantinedIn(book, names, 4)).to.deep.equal(["lethal"]);
    });
  });

  // Servers also end in numbers, for reasons that lie elsewhere. What they ran is sent on, once for each attempt.
  describe("when many servers end at once", () => {
    it("quarantines nothing that was there once or twice", () => {
      const book = createBook();
      const names = Array.from({ length: 60 }, (_, index) => `once-${index}`);
      names.forEach((name, index) => {
        const sentOn = names[index - 3] ?? "none";
        book.noteEnd(endOf(lose(name), lose(sentOn)), index);
      });
      expect(quarantinedIn(book, names, 60)).to.deep.equal([]);
    });
  });

  describe("when a suspect is answered", () => {
    it("acquits it, whatever comes late of its accusations", () => {
      const book = createBook();
      book.noteEnd(endOf(lose("popular")), 0);
      expect(book.noteAnswer("popular", 50)).to.equal(true);
      const late = {
        fingerprint: "popular",
        ends: [101, 102, 103],
        quarantines: 1,
        leftMs: MINUTE_MS,
      };
      expect(book.noteAccusations([late], 60)).to.deep.equal({
        news: [],
        acquitted: ["popular"],
      });
      expect(book.judge("popular", 61).kind).to.equal("clear");
    });

    it("acquits it before the end at which it was lost is known", () => {
      const book = createBook();
      book.noteAnswer("popular", 50);
      const end = endOf(lose("popular"));
      const { acquitted, accusations } = book.noteEnd(end, 200);
      expect(acquitted).to.deep.equal(["popular"]);
      expect(accusations).to.deep.equal([]);
    });
  });

  describe("when a quarantine is over", () => {
    // A quarantine that never ends would keep a request from servers that have been repaired; one that is as long each
    // time would cost a server each time.
    it("lets it run alone, and makes the next quarantine four times as long", () => {
      const book = createBook();
      const lengths: number[] = [];
      let nowMs = 0;
      book.noteEnd(endOf(lose("lethal", true)), nowMs);
      for (let trial = 0; trial < 4; trial += 1) {
        const standing = book.judge("lethal", nowMs);
        expect(standing.kind).to.equal("quarantined");
        const leftMs = standing.kind === "quarantined" ? standing.leftMs : 0;
        lengths.push(leftMs);
        nowMs += leftMs + SECOND_MS;
        expect(book.judge("lethal", nowMs).kind).to.equal("suspect");
        book.noteEnd(endOf(lose("lethal", true)), nowMs);
      }
      expect(lengths).to.deep.equal([30_000, 120_000, 480_000, 1_920_000]);
    });

    it("ends it at different times at different daemons", () => {
      const draws = [0, 0.5, 0.99];
      const accusation = {
        fingerprint: "lethal",
        ends: [101, 102],
        quarantines: 1,
        leftMs: 30_000,
      };
      const over = draws.map((draw) => {
        const book = SuspectBook.create(() => draw);
        book.noteAccusations([accusation], 0);
        const standing = book.judge("lethal", 0);
        return standing.kind === "quarantined" ? standing.leftMs : 0;
      });
      expect(over).to.deep.equal([30_000, 37_500, 44_850]);
    });
  });

  describe("told the same again and again", () => {
    it("ends the quarantine no later for that", () => {
      const book = createBook();
      book.noteEnd(endOf(lose("lethal", true)), 0);
      const told = {
        fingerprint: "lethal",
        ends: [lastEnd],
        quarantines: 1,
        leftMs: 30_000,
      };
      Array.from({ length: 29 }, (_, index) => (index + 1) * SECOND_MS)
        .forEach((nowMs) => book.noteAccusations([told], nowMs));
      expect(book.judge("lethal", 30_001).kind).to.equal("suspect");
    });
  });

  describe("after a time in which nothing came", () => {
    it("is empty again", () => {
      const book = createBook();
      book.noteEnd(endOf(lose("beside")), 0);
      book.noteEnd(endOf(lose("lethal", true)), 0);
      book.prune(2 * MINUTE_MS);
      expect(book.judge("lethal", 2 * MINUTE_MS).kind).to.equal("suspect");
      expect(book.judge("beside", 2 * MINUTE_MS).kind).to.equal("clear");
      book.prune(10 * MINUTE_MS);
      expect(book.isEmpty).to.equal(true);
    });
  });

  describe("given news in any order", () => {
    it("agrees among daemons: an answer wins, else ends add up and the latest quarantine counts", () => {
      const anyNews = fc.array(
        fc.oneof(
          fc.record({
            ends: fc.array(fc.nat(5), { minLength: 1, maxLength: 2 }),
            quarantines: fc.constant(0),
          }),
          fc.record({
            ends: fc.constant([0, 1, 2]),
            quarantines: fc.integer({ min: 1, max: 3 }),
          }),
          fc.constant("answer" as const),
        ),
        { minLength: 1, maxLength: 8 },
      );
      fc.assert(
        fc.property(anyNews, fc.infiniteStream(fc.nat()), (news, order) => {
          const keys = news.map(() => order.next().value);
          const shuffled = news.map((item, index) => ({ item, index }))
            .sort((left, right) => keys[left.index]! - keys[right.index]!)
            .map(({ item }) => item);
          const [one, other] = [news, shuffled].map((sequence) => {
            const book = createBook();
            sequence.forEach((item) =>
              item === "answer"
                ? book.noteAnswer("x", 0)
                : book.noteAccusations(
                  [{ fingerprint: "x", leftMs: 30_000, ...item }],
                  0,
                )
            );
            return book;
          });
          expect(one!.judge("x", 1).kind).to.equal(other!.judge("x", 1).kind);
          const [mine, theirs] = [one!, other!].map((book) =>
            book.findQuarantines(1).map(({ ends, quarantines, leftMs }) => ({
              ends: [...ends].sort(),
              quarantines,
              leftMs,
            }))
          );
          expect(mine).to.deep.equal(theirs);
        }),
        { seed: SEED },
      );
    });
  });
});

describe("ProbationLane", () => {
  it("lets one run at a time, in the order in which they came", () => {
    const lane = ProbationLane.create();
    expect(lane.enter(1)).to.equal(true);
    expect(lane.enter(2)).to.equal(false);
    expect(lane.enter(3)).to.equal(false);
    expect(lane.leave(2)).to.equal(undefined);
    expect(lane.leave(1)).to.equal(3);
    expect(lane.leave(3)).to.equal(undefined);
    expect(lane.length).to.equal(0);
  });
});

describe("chooseProbation", () => {
  const addresses = ["10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"];

  it("chooses the same daemon in any order of them", () => {
    const backwards = [...addresses].reverse();
    expect(chooseProbation("lethal", addresses))
      .to.equal(chooseProbation("lethal", backwards));
  });

  it("uses all daemons for different requests", () => {
    const chosen = Array.from(
      { length: 60 },
      (_, index) => chooseProbation(`request-${index}`, addresses),
    );
    expect(new Set(chosen).size).to.equal(addresses.length);
  });

  it("chooses nobody where there is nobody", () => {
    expect(chooseProbation("lethal", [])).to.equal(undefined);
  });
});
