/**
 * Tests of which requests are withheld from backend servers, by replaying server crashes.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { chooseProbationDaemon } from "./choose_probation_daemon.ts";
import type { InterruptedRun } from "./interrupted_runs.ts";
import { ProbationQueue } from "./probation_queue.ts";
import { PoisonRequestTracker } from "./poison_request_tracker.ts";

const SEED = 20_261_203;
const SECOND_MS = 1_000;
const MINUTE_MS = 60_000;
/** Ids of as many crashes as are kept of one request. */
const CRASHES = Array.from({ length: 16 }, (_, index) => index);

const createRun = (
  fingerprint: string,
  isOnProbation = false,
): InterruptedRun => ({
  requestId: `id-${fingerprint}`,
  fingerprint,
  isOnProbation,
  interruptedAtMs: 0,
});

let lastCrashId = 0;
/** A server crash with a unique id. */
function createCrash(...runs: InterruptedRun[]) {
  lastCrashId += 1;
  return { id: lastCrashId, runs };
}

/** A tracker without jitter. */
const createTracker = () => PoisonRequestTracker.create(() => 0);

/** Which of the given requests are quarantined. */
const quarantinedIn = (
  tracker: PoisonRequestTracker,
  names: string[],
  nowMs: number,
) =>
  names.filter((name) => tracker.classify(name, nowMs).kind === "quarantined");

describe("PoisonRequestTracker", () => {
  describe("when one server crashes", () => {
    it("suspects all requests that it was running, and quarantines none", () => {
      const tracker = createTracker();
      const crash = createCrash(createRun("lethal"), createRun("beside"));
      const { reports } = tracker.recordCrash(crash, 0);
      const reportFields = {
        crashes: [crash.id],
        quarantines: 0,
        remainingMs: 0,
      };
      expect(reports).to.deep.equal([
        { fingerprint: "lethal", ...reportFields },
        { fingerprint: "beside", ...reportFields },
      ]);
      expect(tracker.classify("lethal", 1).kind).to.equal("suspect");
      expect(tracker.classify("other", 1).kind).to.equal("clear");
    });
  });

  describe("when another server crashes while only one suspect runs there", () => {
    it("quarantines that one, and only suspects the others that ran there", () => {
      const tracker = createTracker();
      tracker.recordCrash(
        createCrash(createRun("lethal"), createRun("beside")),
        0,
      );
      tracker.recordCrash(
        createCrash(createRun("lethal", true), createRun("later")),
        100,
      );
      const names = ["lethal", "beside", "later"];
      expect(quarantinedIn(tracker, names, 101)).to.deep.equal(["lethal"]);
    });

    it("quarantines it only once if the first crash is reported later", () => {
      const tracker = createTracker();
      tracker.recordCrash(createCrash(createRun("lethal", true)), 100);
      const lateReport = {
        fingerprint: "lethal",
        crashes: [lastCrashId + 1],
        quarantines: 0,
        remainingMs: 0,
      };
      expect(tracker.recordReports([lateReport], 200).newReports).to.have
        .length(1);
      expect(tracker.findQuarantines(200)[0]?.quarantines).to.equal(1);
      expect(tracker.recordReports([lateReport], 300).newReports).to.have
        .length(0);
    });
  });

  // Guards against quarantining a popular request that is started on probation just after the server has crashed.
  describe("when the runs of two suspects are interrupted one after the other at one crash", () => {
    it("quarantines the first only", () => {
      const tracker = createTracker();
      tracker.recordCrash(
        createCrash(createRun("lethal"), createRun("popular")),
        0,
      );
      tracker.recordCrash(
        createCrash(createRun("lethal", true), createRun("popular", true)),
        100,
      );
      expect(quarantinedIn(tracker, ["lethal", "popular"], 101))
        .to.deep.equal(["lethal"]);
    });
  });

  // Guards against quarantining a popular request when a copy of the lethal one, started before it became a suspect,
  // runs at the same time.
  describe("when a server crashes with one suspect on probation and a copy of another that is not", () => {
    it("quarantines neither, and the lethal one at the next crash", () => {
      const tracker = createTracker();
      tracker.recordCrash(
        createCrash(createRun("lethal"), createRun("popular")),
        0,
      );
      tracker.recordCrash(
        createCrash(createRun("popular", true), createRun("lethal")),
        100,
      );
      const names = ["lethal", "popular"];
      expect(quarantinedIn(tracker, names, 101)).to.deep.equal([]);
      tracker.recordCrash(createCrash(createRun("lethal", true)), 200);
      expect(quarantinedIn(tracker, names, 201)).to.deep.equal(["lethal"]);
    });
  });

  // Guards against a lethal request that is never quarantined: many copies of it may arrive before the first crash is
  // known, and none of them is on probation.
  describe("when three servers have crashed while running one request", () => {
    it("quarantines it, whichever daemon reports the crashes", () => {
      const tracker = createTracker();
      tracker.recordCrash(createCrash(createRun("lethal"), createRun("a")), 0);
      const reportFields = {
        fingerprint: "lethal",
        quarantines: 0,
        remainingMs: 0,
      };
      tracker.recordReports([{ ...reportFields, crashes: [101] }], 1);
      expect(quarantinedIn(tracker, ["lethal"], 1)).to.deep.equal([]);
      tracker.recordReports([{ ...reportFields, crashes: [101] }], 2);
      expect(quarantinedIn(tracker, ["lethal"], 2)).to.deep.equal([]);
      tracker.recordReports([{ ...reportFields, crashes: [102] }], 3);
      expect(quarantinedIn(tracker, ["lethal", "a"], 3))
        .to.deep.equal(["lethal"]);
    });

    // Guards against a second quarantine for the same crashes: the report of a crash may arrive after the quarantine
    // that it led to has expired.
    it("does not quarantine it again for an earlier crash that is reported late", () => {
      const tracker = createTracker();
      const reportFields = {
        fingerprint: "lethal",
        quarantines: 1,
        remainingMs: SECOND_MS,
      };
      tracker.recordReports([{ ...reportFields, crashes: [101, 102] }], 0);
      const lateReport = {
        ...reportFields,
        quarantines: 0,
        remainingMs: 0,
        crashes: [100],
      };
      tracker.recordReports([lateReport], 2 * SECOND_MS);
      expect(tracker.classify("lethal", 2 * SECOND_MS).kind).to.equal(
        "suspect",
      );
    });

    // Guards against quarantining a popular request: it may also be running at each crash, before any server has
    // answered it.
    it("quarantines neither of two requests that were running at each crash", () => {
      const tracker = createTracker();
      const names = ["lethal", "popular"];
      const createReports = (crash: number) =>
        names.map((fingerprint) => ({
          fingerprint,
          crashes: [crash],
          quarantines: 0,
          remainingMs: 0,
        }));
      [101, 102, 103].forEach((crash) =>
        tracker.recordReports(createReports(crash), 0)
      );
      expect(quarantinedIn(tracker, names, 1)).to.deep.equal([]);
      tracker.recordResponse("popular", 2);
      tracker.recordCrash(createCrash(createRun("lethal", true)), 3);
      expect(quarantinedIn(tracker, names, 4)).to.deep.equal(["lethal"]);
    });
  });

  // Guards against quarantining harmless requests: many servers may crash at once for other reasons, and the requests
  // that they were running are retried elsewhere, once per attempt of the caller.
  describe("when many servers crash at once", () => {
    it("quarantines no request that was running at one or two crashes", () => {
      const tracker = createTracker();
      const names = Array.from({ length: 60 }, (_, index) => `once-${index}`);
      names.forEach((name, index) => {
        const retried = names[index - 3] ?? "none";
        tracker.recordCrash(
          createCrash(createRun(name), createRun(retried)),
          index,
        );
      });
      expect(quarantinedIn(tracker, names, 60)).to.deep.equal([]);
    });
  });

  describe("when a suspect is answered", () => {
    it("clears it and ignores delayed reports of it", () => {
      const tracker = createTracker();
      tracker.recordCrash(createCrash(createRun("popular")), 0);
      expect(tracker.recordResponse("popular", 50)).to.equal(true);
      const lateReport = {
        fingerprint: "popular",
        crashes: [101, 102, 103],
        quarantines: 1,
        remainingMs: MINUTE_MS,
      };
      expect(tracker.recordReports([lateReport], 60)).to.deep.equal({
        newReports: [],
        cleared: ["popular"],
      });
      expect(tracker.classify("popular", 61).kind).to.equal("clear");
    });

    it("does not suspect it for a crash that becomes known later", () => {
      const tracker = createTracker();
      tracker.recordResponse("popular", 50);
      const crash = createCrash(createRun("popular"));
      const { cleared, reports } = tracker.recordCrash(crash, 200);
      expect(cleared).to.deep.equal(["popular"]);
      expect(reports).to.deep.equal([]);
    });
  });

  describe("when a quarantine has expired", () => {
    // Guards against withholding a request from servers that have been fixed, as a quarantine without end would, and
    // against crashing a server at every expiry, as one of constant length would.
    it("runs it on probation, and makes the next quarantine four times as long", () => {
      const tracker = createTracker();
      const durations: number[] = [];
      let nowMs = 0;
      tracker.recordCrash(createCrash(createRun("lethal", true)), nowMs);
      for (let round = 0; round < 4; round += 1) {
        const classification = tracker.classify("lethal", nowMs);
        expect(classification.kind).to.equal("quarantined");
        const remainingMs = classification.kind === "quarantined"
          ? classification.remainingMs
          : 0;
        durations.push(remainingMs);
        nowMs += remainingMs + SECOND_MS;
        expect(tracker.classify("lethal", nowMs).kind).to.equal("suspect");
        tracker.recordCrash(createCrash(createRun("lethal", true)), nowMs);
      }
      expect(durations).to.deep.equal([30_000, 120_000, 480_000, 1_920_000]);
    });

    it("ends at different times at different daemons", () => {
      const jitterDraws = [0, 0.5, 0.99];
      const report = {
        fingerprint: "lethal",
        crashes: [101, 102],
        quarantines: 1,
        remainingMs: 30_000,
      };
      const remainingTimes = jitterDraws.map((jitterDraw) => {
        const tracker = PoisonRequestTracker.create(() => jitterDraw);
        tracker.recordReports([report], 0);
        const classification = tracker.classify("lethal", 0);
        return classification.kind === "quarantined"
          ? classification.remainingMs
          : 0;
      });
      expect(remainingTimes).to.deep.equal([30_000, 37_500, 44_850]);
    });
  });

  describe("when the same report is repeated", () => {
    it("does not extend the quarantine", () => {
      const tracker = createTracker();
      tracker.recordCrash(createCrash(createRun("lethal", true)), 0);
      const reportFields = {
        fingerprint: "lethal",
        crashes: [lastCrashId],
        quarantines: 1,
        remainingMs: 30_000,
      };
      Array.from({ length: 29 }, (_, index) => (index + 1) * SECOND_MS)
        .forEach((nowMs) => tracker.recordReports([reportFields], nowMs));
      expect(tracker.classify("lethal", 30_001).kind).to.equal("suspect");
    });
  });

  // Guards against daemons that repeat reports of one request to each other without end, each with crashes that the other
  // has dropped.
  describe("when more crashes are reported than are kept", () => {
    it("takes none of them for new", () => {
      const tracker = createTracker();
      const createReport = (crash: number) => ({
        fingerprint: "popular",
        crashes: [crash],
        quarantines: 0,
        remainingMs: 0,
      });
      const countNew = (crash: number) =>
        tracker.recordReports([createReport(crash)], 0).newReports.length;
      expect(CRASHES.map(countNew)).to.deep.equal(CRASHES.map(() => 1));
      expect([...CRASHES, ...CRASHES].map((crash) => countNew(crash + 100)))
        .to.deep.equal([...CRASHES, ...CRASHES].map(() => 0));
    });
  });

  describe("after a period without reports", () => {
    it("is empty again", () => {
      const tracker = createTracker();
      tracker.recordCrash(createCrash(createRun("beside")), 0);
      tracker.recordCrash(createCrash(createRun("lethal", true)), 0);
      tracker.prune(2 * MINUTE_MS);
      expect(tracker.classify("lethal", 2 * MINUTE_MS).kind).to.equal(
        "suspect",
      );
      expect(tracker.classify("beside", 2 * MINUTE_MS).kind).to.equal("clear");
      tracker.prune(10 * MINUTE_MS);
      expect(tracker.isEmpty).to.equal(true);
    });
  });

  describe("given reports in any order", () => {
    it("is in the same state at all daemons: a response clears, otherwise crashes add up and the latest quarantine applies", () => {
      const anyReports = fc.array(
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
        fc.property(anyReports, fc.infiniteStream(fc.nat()), (items, order) => {
          const sortKeys = items.map(() => order.next().value);
          const shuffled = items.map((item, index) => ({ item, index }))
            .sort((left, right) =>
              sortKeys[left.index]! - sortKeys[right.index]!
            )
            .map(({ item }) => item);
          const [one, other] = [items, shuffled].map((sequence) => {
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
          const [oneQuarantines, otherQuarantines] = [one!, other!].map((
            tracker,
          ) =>
            tracker.findQuarantines(1).map((
              { crashes, quarantines, remainingMs },
            ) => ({
              crashes: [...crashes].sort(),
              quarantines,
              remainingMs,
            }))
          );
          expect(oneQuarantines).to.deep.equal(otherQuarantines);
        }),
        { seed: SEED },
      );
    });
  });
});

describe("ProbationQueue", () => {
  it("runs one at a time, in order of arrival", () => {
    const queue = ProbationQueue.create();
    expect(queue.enter(1)).to.equal(true);
    expect(queue.enter(2)).to.equal(false);
    expect(queue.enter(3)).to.equal(false);
    expect(queue.leave(2)).to.equal(undefined);
    expect(queue.leave(1)).to.equal(3);
    expect(queue.leave(3)).to.equal(undefined);
    expect(queue.length).to.equal(0);
  });
});

describe("chooseProbationDaemon", () => {
  const addresses = ["10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"];

  it("chooses the same daemon whatever the order of the addresses", () => {
    const reversed = [...addresses].reverse();
    expect(chooseProbationDaemon("lethal", addresses))
      .to.equal(chooseProbationDaemon("lethal", reversed));
  });

  it("spreads different requests over all daemons", () => {
    const chosen = Array.from(
      { length: 60 },
      (_, index) => chooseProbationDaemon(`request-${index}`, addresses),
    );
    expect(new Set(chosen).size).to.equal(addresses.length);
  });

  it("returns undefined without daemons", () => {
    expect(chooseProbationDaemon("lethal", [])).to.equal(undefined);
  });
});
