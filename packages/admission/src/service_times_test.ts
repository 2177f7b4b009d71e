/**
 * Tests of the moving averages of service times.
 *
 * @module
 */
import { expect } from "chai";
import { ServiceTimes } from "./service_times.ts";

const ROUTE = "r-quotes";

/** Records requests that take `tookMs` each, one every `intervalMs`. */
function recordAll(
  times: ServiceTimes,
  requests: {
    tookMs: number;
    count: number;
    fromMs: number;
    intervalMs: number;
  },
): void {
  const { tookMs, count, fromMs, intervalMs } = requests;
  Array.from(
    { length: count },
    (_, index) =>
      times.record(ROUTE, { tookMs, endedAtMs: fromMs + index * intervalMs }),
  );
}

describe("ServiceTimes", () => {
  describe("while requests are completed all the time", () => {
    it("changes little with each of them", () => {
      const times = ServiceTimes.create();
      recordAll(times, { tookMs: 100, count: 50, fromMs: 0, intervalMs: 5 });
      recordAll(times, { tookMs: 20, count: 1, fromMs: 250, intervalMs: 5 });
      expect(times.averageOf(ROUTE)).to.be.within(90, 93);
    });
  });

  describe("when no request was completed for seconds", () => {
    // Guards against a server that appears slow for as long as few requests are sent there, which is because of that.
    it("follows a faster one", () => {
      const times = ServiceTimes.create();
      recordAll(times, { tookMs: 400, count: 5, fromMs: 0, intervalMs: 5 });
      recordAll(times, { tookMs: 20, count: 1, fromMs: 8_000, intervalMs: 5 });
      expect(times.averageOf(ROUTE)).to.be.within(20, 45);
      expect(times.averageMs).to.be.within(20, 45);
    });

    it("changes little with a slower one", () => {
      const times = ServiceTimes.create();
      recordAll(times, { tookMs: 20, count: 5, fromMs: 0, intervalMs: 5 });
      recordAll(times, { tookMs: 400, count: 1, fromMs: 8_000, intervalMs: 5 });
      expect(times.averageOf(ROUTE)).to.be.within(55, 60);
    });
  });
});
