/**
 * Tests of which requests are kept from backend servers, by replays of servers' ends.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { chooseProbationDaemon } from "./choose_probation_daemon.ts";
import type { LostRun } from "./lost_runs.ts";
import { ProbationQueue } from "./probation_queue.ts";
import { PoisonRequestTracker } from "./poison_request_tracker.ts";

const SEED = 20_261_203;
const SECOND_MS = 1_000;
const MINUTE_MS = 60_000;

const lose = (fingerprint: string, isOnProbation = false): LostRun => ({
  requestId: `id-${fingerprint}`,
  fingerprint,
  isOnProbation,
  lostAtMs: 0,
});

/** The end of a server, with a name of its own. */
let lastEnd = 0;
function endOf(...runs: LostRun[]) {
  lastEnd += 1;
  return { id: lastEnd, runs };
}

/** A book that draws no delays. */
const createTracker = () => PoisonRequestTracker.create(() => 0);

/** The requests that a book quarantines. */
const quarantinedIn = (
  tracker: PoisonRequestTracker,
  names: string[],
  nowMs: number,
) =>
  names.filter((name) => tracker.classify(name, nowMs).kind === "quarantined");

describe("PoisonRequestTracker", () => {
  describe("when one server ends", () => {
    it("suspects all that it ran, and quarantines nothing", () => {
      const tracker = createTracker();
      const end = endOf(lose("lethal"), lose("beside"));
      const { reports } = tracker.recordCrash(end, 0);
      const told = { crashes: [end.id], quarantines: 0, remainingMs: 0 };
      expect(reports).to.deep.equal([
        { fingerprint: "lethal", ...told },
        { fingerprint: "beside", ...told },
      ]);
      expect(tracker.classify("lethal", 1).kind).to.equal("suspect");
      expect(tracker.classify("other", 1).kind).to.equal("clear");
    });
  });

  describe("when a further server ends under one of them alone", () => {
    it("quarantines that one, and only suspects what ran beside it", () => {
      const tracker = createTracker();
      tracker.recordCrash(endOf(lose("lethal"), lose("beside")), 0);
      tracker.recordCrash(endOf(lose("lethal", true), lose("later")), 100);
      const names = ["lethal", "beside", "later"];
      expect(quarantinedIn(tracker, names, 101)).to.deep.equal(["lethal"]);
    });

    it("also if the first end is told later, without a second quarantine", () => {
      const tracker = createTracker();
      tracker.recordCrash(endOf(lose("lethal", true)), 100);
      const late = {
        fingerprint: "lethal",
        crashes: [lastEnd + 1],
        quarantines: 0,
        remainingMs: 0,
      };
      expect(tracker.recordReports([late], 200).newReports).to.have.length(1);
      expect(tracker.findQuarantines(200)[0]?.quarantines).to.equal(1);
      expect(tracker.recordReports([late], 300).newReports).to.have.length(0);
    });
  });

  // Guards against a popular request being quarantined because its turn came at a server that had just ended.
  describe("when two suspects are lost one after the other at one end", () => {
    it("quarantines the first only", () => {
      const tracker = createTracker();
      tracker.recordCrash(endOf(lose("lethal"), lose("popular")), 0);
      tracker.recordCrash(
        endOf(lose("lethal", true), lose("popular", true)),
        100,
      );
      expect(quarantinedIn(tracker, ["lethal", "popular"], 101))
        .to.deep.equal(["lethal"]);
    });
  });

  // Guards against a popular request being quarantined, since a copy of the lethal one ran beside it that had been let in
  // before it was suspected.
  describe("when a server ends under one on probation and a copy of another suspect that is not", () => {
    it("quarantines neither, and the lethal one at the next end", () => {
      const tracker = createTracker();
      tracker.recordCrash(endOf(lose("lethal"), lose("popular")), 0);
      tracker.recordCrash(endOf(lose("popular", true), lose("lethal")), 100);
      const names = ["lethal", "popular"];
      expect(quarantinedIn(tracker, names, 101)).to.deep.equal([]);
      tracker.recordCrash(endOf(lose("lethal", true)), 200);
      expect(quarantinedIn(tracker, names, 201)).to.deep.equal(["lethal"]);
    });
  });

  // Many copies of a lethal request may come before the first end is known. None of them was on probation.
  describe("when three servers have ended under one request", () => {
    it("quarantines it, whoever tells of the ends", () => {
      const tracker = createTracker();
      tracker.recordCrash(endOf(lose("lethal"), lose("a")), 0);
      const told = { fingerprint: "lethal", quarantines: 0, remainingMs: 0 };
      tracker.recordReports([{ ...told, crashes: [101] }], 1);
      expect(quarantinedIn(tracker, ["lethal"], 1)).to.deep.equal([]);
      tracker.recordReports([{ ...told, crashes: [101] }], 2);
      expect(quarantinedIn(tracker, ["lethal"], 2)).to.deep.equal([]);
      tracker.recordReports([{ ...told, crashes: [102] }], 3);
      expect(quarantinedIn(tracker, ["lethal", "a"], 3))
        .to.deep.equal(["lethal"]);
    });

    // News of an end may come after the quarantine that it led to is over.
    it("is not quarantined again for an end of before that is told late", () => {
      const tracker = createTracker();
      const told = {
        fingerprint: "lethal",
        quarantines: 1,
        remainingMs: SECOND_MS,
      };
      tracker.recordReports([{ ...told, crashes: [101, 102] }], 0);
      const late = { ...told, quarantines: 0, remainingMs: 0, crashes: [100] };
      tracker.recordReports([late], 2 * SECOND_MS);
      expect(tracker.classify("lethal", 2 * SECOND_MS).kind).to.equal(
        "suspect",
      );
    });

    // A popular request may be there each time, too, before any server has answered it.
    it("quarantines neither of two that were there each time", () => {
      const tracker = createTracker();
      const names = ["lethal", "popular"];
      const tell = (end: number) =>
        names.map((fingerprint) => ({
          fingerprint,
          crashes: [end],
          quarantines: 0,
          remainingMs: 0,
        }));
      [101, 102, 103].forEach((end) => tracker.recordReports(tell(end), 0));
      expect(quarantinedIn(tracker, names, 1)).to.deep.equal([]);
      tracker.recordResponse("popular", 2);
      tracker.recordCrash(endOf(lose("lethal", true)), 3);
      expect(quarantinedIn(tracker, names, 4)).to.deep.equal(["lethal"]);
    });
  });

  // Servers also end in numbers, for reasons that lie elsewhere. What they ran is sent on, once for each attempt.
  describe("when many servers end at once", () => {
    it("quarantines nothing that was there once or twice", () => {
      const tracker = createTracker();
      const names = Array.from({ length: 60 }, (_, index) => `once-${index}`);
      names.forEach((name, index) => {
        const sentOn = names[index - 3] ?? "none";
        tracker.recordCrash(endOf(lose(name), lose(sentOn)), index);
      });
      expect(quarantinedIn(tracker, names, 60)).to.deep.equal([]);
    });
  });

  describe("when a suspect is answered", () => {
    it("clears it, whatever comes late of its reports", () => {
      const tracker = createTracker();
      tracker.recordCrash(endOf(lose("popular")), 0);
      expect(tracker.recordResponse("popular", 50)).to.equal(true);
      const late = {
        fingerprint: "popular",
        crashes: [101, 102, 103],
        quarantines: 1,
        remainingMs: MINUTE_MS,
      };
      expect(tracker.recordReports([late], 60)).to.deep.equal({
        newReports: [],
        cleared: ["popular"],
      });
      expect(tracker.classify("popular", 61).kind).to.equal("clear");
    });

    it("clears it before the end at which it was lost is known", () => {
      const tracker = createTracker();
      tracker.recordResponse("popular", 50);
      const end = endOf(lose("popular"));
      const { cleared, reports } = tracker.recordCrash(end, 200);
      expect(cleared).to.deep.equal(["popular"]);
      expect(reports).to.deep.equal([]);
    });
  });

  describe("when a quarantine is over", () => {
    // A quarantine that never ends would keep a request from servers that have been repaired; one that is as long each
    // time would cost a server each time.
    it("lets it run alone, and makes the next quarantine four times as long", () => {
      const tracker = createTracker();
      const lengths: number[] = [];
      let nowMs = 0;
      tracker.recordCrash(endOf(lose("lethal", true)), nowMs);
      for (let trial = 0; trial < 4; trial += 1) {
        const standing = tracker.classify("lethal", nowMs);
        expect(standing.kind).to.equal("quarantined");
        const remainingMs = standing.kind === "quarantined"
          ? standing.remainingMs
          : 0;
        lengths.push(remainingMs);
        nowMs += remainingMs + SECOND_MS;
        expect(tracker.classify("lethal", nowMs).kind).to.equal("suspect");
        tracker.recordCrash(endOf(lose("lethal", true)), nowMs);
      }
      expect(lengths).to.deep.equal([30_000, 120_000, 480_000, 1_920_000]);
    });

    it("ends it at different times at different daemons", () => {
      const draws = [0, 0.5, 0.99];
      const report = {
        fingerprint: "lethal",
        crashes: [101, 102],
        quarantines: 1,
        remainingMs: 30_000,
      };
      const over = draws.map((draw) => {
        const tracker = PoisonRequestTracker.create(() => draw);
        tracker.recordReports([report], 0);
        const standing = tracker.classify("lethal", 0);
        return standing.kind === "quarantined" ? standing.remainingMs : 0;
      });
      expect(over).to.deep.equal([30_000, 37_500, 44_850]);
    });
  });

  describe("told the same again and again", () => {
    it("ends the quarantine no later for that", () => {
      const tracker = createTracker();
      tracker.recordCrash(endOf(lose("lethal", true)), 0);
      const told = {
        fingerprint: "lethal",
        crashes: [lastEnd],
        quarantines: 1,
        remainingMs: 30_000,
      };
      Array.from({ length: 29 }, (_, index) => (index + 1) * SECOND_MS)
        .forEach((nowMs) => tracker.recordReports([told], nowMs));
      expect(tracker.classify("lethal", 30_001).kind).to.equal("suspect");
    });
  });

  describe("after a time in which nothing came", () => {
    it("is empty again", () => {
      const tracker = createTracker();
      tracker.recordCrash(endOf(lose("beside")), 0);
      tracker.recordCrash(endOf(lose("lethal", true)), 0);
      tracker.prune(2 * MINUTE_MS);
      expect(tracker.classify("lethal", 2 * MINUTE_MS).kind).to.equal(
        "suspect",
      );
      expect(tracker.classify("beside", 2 * MINUTE_MS).kind).to.equal("clear");
      tracker.prune(10 * MINUTE_MS);
      expect(tracker.isEmpty).to.equal(true);
    });
  });

  describe("given news in any order", () => {
    it("agrees among daemons: an answer wins, else ends add up and the latest quarantine counts", () => {
      const anyNews = fc.array(
        fc.oneof(
          fc.record({
            crashes: fc.array(fc.nat(5), { minLength: 1, maxLength: 2 }),
            quarantines: fc.constant(0),
          }),
          fc.record({
            crashes: fc.constant([0, 1, 2]),
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
            const tracker = createTracker();
            sequence.forEach((item) =>
              item === "answer"
                ? tracker.recordResponse("x", 0)
                : tracker.recordReports(
                  [{ fingerprint: "x", remainingMs: 30_000, ...item }],
                  0,
                )
            );
            return tracker;
          });
          expect(one!.classify("x", 1).kind).to.equal(
            other!.classify("x", 1).kind,
          );
          const [mine, theirs] = [one!, other!].map((tracker) =>
            tracker.findQuarantines(1).map((
              { crashes, quarantines, remainingMs },
            ) => ({
              crashes: [...crashes].sort(),
              quarantines,
              remainingMs,
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
    const lane = ProbationQueue.create();
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
    expect(chooseProbationDaemon("lethal", addresses))
      .to.equal(chooseProbationDaemon("lethal", backwards));
  });

  it("uses all daemons for different requests", () => {
    const chosen = Array.from(
      { length: 60 },
      (_, index) => chooseProbationDaemon(`request-${index}`, addresses),
    );
    expect(new Set(chosen).size).to.equal(addresses.length);
  });

  it("chooses nobody where there is nobody", () => {
    expect(chooseProbationDaemon("lethal", [])).to.equal(undefined);
  });
});
