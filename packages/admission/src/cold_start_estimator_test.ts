/**
 * Tests of the estimates for cold servers and cold keys.
 *
 * @module
 */
import { expect } from "chai";
import { ColdStartEstimator } from "./cold_start_estimator.ts";
import { ServiceTimes } from "./service_times.ts";

const ROUTE = "r-read";
/** Remaining time of a request, in milliseconds. */
const REMAINING_MS = 1_260;
const COLD_KEY = { route: ROUTE, keyColdSinceMs: 0 };
const WARM_KEY = { route: ROUTE, keyColdSinceMs: undefined };

/** An estimator of a server that is cold until 3 s. */
function createEstimator(): ColdStartEstimator {
  const estimator = ColdStartEstimator.create(ServiceTimes.create());
  estimator.setServerColdUntil(3_000);
  return estimator;
}

/** Records a request that starts at a time and takes as long as given. */
function serve(
  estimator: ColdStartEstimator,
  request: { route: string; keyColdSinceMs: number | undefined },
  { startMs, tookMs }: { startMs: number; tookMs: number },
): void {
  const running = estimator.begin(request, startMs);
  estimator.end(running, { nowMs: startMs + tookMs, isServed: true });
}

describe("ColdStartEstimator", () => {
  describe("before any request has ended", () => {
    // Guards against a server that gets no request at all, because by the assumed factors none meets its deadline.
    it("expects that requests can meet their deadlines", () => {
      const { estimateMs, coldEstimate } = createEstimator()
        .estimate(COLD_KEY, REMAINING_MS, 0);
      expect(estimateMs).to.be.within(800, 1_200);
      expect(coldEstimate?.isMeasured(0)).to.equal(false);
    });

    it("expects requests to be faster once keys and server are warm", () => {
      const { coldEstimate } = createEstimator()
        .estimate(COLD_KEY, REMAINING_MS, 0);
      expect(coldEstimate?.warmAtMs).to.deep.equal([2_000, 3_000]);
      const times = [0, 2_000, 3_000].map((atMs) => coldEstimate!.at(atMs));
      expect(times).to.deep.equal(times.toSorted((a, b) => b - a));
    });
  });

  describe("once requests on the cold server have ended", () => {
    it("corrects the estimates of requests that wait", () => {
      const estimator = createEstimator();
      const { coldEstimate } = estimator.estimate(COLD_KEY, REMAINING_MS, 0);
      serve(estimator, COLD_KEY, { startMs: 0, tookMs: 960 });
      expect(coldEstimate?.at(1_000)).to.equal(960);
      expect(coldEstimate?.isMeasured(1_000)).to.equal(true);
      expect(coldEstimate?.at(2_000)).to.equal(240);
      expect(coldEstimate?.at(3_000)).to.equal(120);
    });

    // Guards against a server that is not slow while it is cold being expected to become eight times as fast.
    it("expects no large speed-up of a server that is not slow", () => {
      const estimator = createEstimator();
      serve(estimator, COLD_KEY, { startMs: 0, tookMs: 120 });
      const { coldEstimate } = estimator.estimate(COLD_KEY, REMAINING_MS, 200);
      expect(coldEstimate?.at(3_000)).to.be.within(80, 120);
    });

    // Guards against long waits for a server that has become warm, by the times that it took while it was cold.
    it("keeps their times apart from those of the warm server", () => {
      const estimator = createEstimator();
      serve(estimator, WARM_KEY, { startMs: 0, tookMs: 300 });
      serve(estimator, WARM_KEY, { startMs: 3_000, tookMs: 100 });
      const { estimateMs, coldEstimate } = estimator
        .estimate(WARM_KEY, REMAINING_MS, 3_200);
      expect(estimateMs).to.equal(100);
      expect(coldEstimate).to.equal(undefined);
    });
  });

  describe("for keys whose cold time is not known", () => {
    // Guards against waits that end before the keys are warm, again and again.
    it("extends the cold time when requests started after it run for too long", () => {
      const estimator = createEstimator();
      serve(estimator, COLD_KEY, { startMs: 0, tookMs: 960 });
      estimator.begin(COLD_KEY, 2_100);
      estimator.begin(COLD_KEY, 2_100);
      estimator.checkRunning(2_600);
      expect(estimator.keyColdMs).to.equal(2_000);
      estimator.checkRunning(2_750);
      expect(estimator.keyColdMs).to.equal(5_000);
    });

    // Guards against estimates for cold keys because of a moment in which all work takes longer, or long afterwards.
    it("learns nothing while the whole server is slow, nor from keys that were granted long ago", () => {
      const estimator = createEstimator();
      serve(estimator, COLD_KEY, { startMs: 0, tookMs: 960 });
      estimator.begin(COLD_KEY, 2_100);
      estimator.checkRunning(2_900, 3);
      expect(estimator.keyColdMs).to.equal(2_000);
      serve(estimator, COLD_KEY, { startMs: 6_000, tookMs: 120 });
      serve(estimator, COLD_KEY, { startMs: 7_000, tookMs: 960 });
      expect(estimator.keyColdMs).to.equal(2_000);
    });

    // Guards against keys that count as cold for half a minute because single requests take several times as long as
    // usual, also on servers that are not slow on such keys.
    it("keeps the cold time if only single requests are slow", () => {
      const estimator = createEstimator();
      estimator.estimate(COLD_KEY, REMAINING_MS, 0);
      serve(estimator, COLD_KEY, { startMs: 0, tookMs: 120 });
      [2_100, 2_200, 2_300, 2_400].forEach((startMs) => {
        serve(estimator, COLD_KEY, { startMs, tookMs: 900 });
        serve(estimator, COLD_KEY, { startMs, tookMs: 120 });
      });
      expect(estimator.keyColdMs).to.equal(2_000);
    });

    it("forgets what it has learned when another process of the server runs", () => {
      const estimator = createEstimator();
      serve(estimator, COLD_KEY, { startMs: 0, tookMs: 960 });
      serve(estimator, COLD_KEY, { startMs: 2_100, tookMs: 960 });
      serve(estimator, COLD_KEY, { startMs: 2_100, tookMs: 960 });
      expect(estimator.keyColdMs).to.equal(5_000);
      estimator.reset();
      expect(estimator.keyColdMs).to.equal(2_000);
    });

    it("counts a slow request that was started after it as one for a cold key", () => {
      const estimator = createEstimator();
      serve(estimator, COLD_KEY, { startMs: 0, tookMs: 960 });
      serve(estimator, COLD_KEY, { startMs: 2_100, tookMs: 960 });
      serve(estimator, COLD_KEY, { startMs: 2_100, tookMs: 960 });
      const { estimateMs } = estimator.estimate(COLD_KEY, REMAINING_MS, 3_500);
      expect(estimateMs).to.be.within(470, 490);
    });

    it("shortens the cold time when a request is as fast as with a warm key", () => {
      const estimator = createEstimator();
      serve(estimator, COLD_KEY, { startMs: 0, tookMs: 960 });
      serve(estimator, COLD_KEY, { startMs: 1_000, tookMs: 240 });
      expect(estimator.keyColdMs).to.equal(1_000);
    });
  });

  describe("when a request is cancelled", () => {
    it("learns nothing from it", () => {
      const estimator = createEstimator();
      const running = estimator.begin(COLD_KEY, 0);
      estimator.end(running, { nowMs: 10, isServed: false });
      const { coldEstimate } = estimator.estimate(COLD_KEY, REMAINING_MS, 20);
      expect(coldEstimate?.isMeasured(20)).to.equal(false);
    });
  });
});
