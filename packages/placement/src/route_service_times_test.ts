/**
 * Tests of learned service times, and a replay of the mix of short and long requests that they are made for.
 *
 * @module
 */
import { expect } from "chai";
import { chooseBackend } from "./choose_backend.ts";
import { RouteServiceTimes } from "./route_service_times.ts";

const SLOTS = 4;

/** Times of both routes at three backend servers; the first is the slowest by a little. */
const SERVICE_MS: Readonly<Record<string, Record<string, number>>> = {
  one: { call: 60, upload: 320 },
  two: { call: 50, upload: 300 },
  three: { call: 55, upload: 310 },
};

describe("route times", () => {
  describe("of a backend server that has run the route", () => {
    it("are what its daemon says", () => {
      const times = RouteServiceTimes.create();
      times.record("one", "upload", { serviceMs: 300, reportedAtMs: 0 });
      expect(times.estimateMs("one", "upload", 100)).to.equal(300);
    });

    it("are forgiven when nothing was heard of them for long", () => {
      const times = RouteServiceTimes.create();
      times.record("one", "upload", { serviceMs: 900, reportedAtMs: 0 });
      times.record("two", "upload", { serviceMs: 300, reportedAtMs: 0 });
      const laterMs = times.estimateMs("one", "upload", 12_000);
      expect(laterMs).to.be.within(600, 650);
    });
  });

  describe("of a backend server that has run other routes only", () => {
    it("follow from its speed at these", () => {
      const times = RouteServiceTimes.create();
      times.record("one", "call", { serviceMs: 100, reportedAtMs: 0 });
      times.record("two", "call", { serviceMs: 50, reportedAtMs: 0 });
      times.record("two", "upload", { serviceMs: 300, reportedAtMs: 0 });
      expect(times.estimateMs("one", "upload", 0)).to.be.closeTo(400, 1);
    });

    it("are unknown before it has run anything", () => {
      expect(RouteServiceTimes.create().estimateMs("one", "upload", 0)).to
        .equal(0);
    });
  });

  describe("replaying short calls beside long requests", () => {
    // Symptom: one backend server of three is full and makes requests wait, the others are idle.
    // Sequence: the first calls go to one of them by chance; its average over all requests falls, those
    // of the others rise with the long requests that are left for them.
    // Cause: servers were compared by averages over different requests.
    it("gives no backend server much more work than the others", () => {
      const times = RouteServiceTimes.create();
      Object.entries(SERVICE_MS).forEach(([backend, routes]) =>
        Object.entries(routes).forEach(([route, serviceMs]) =>
          times.record(backend, route, { serviceMs, reportedAtMs: 0 })
        )
      );
      const busyUntilMs = new Map(
        Object.keys(SERVICE_MS).map((backend) => [backend, [] as number[]]),
      );
      const workMs = new Map<string, number>();
      let state = 7;
      const random = () => {
        state = (state * 16_807) % 2_147_483_647;
        return state / 2_147_483_647;
      };
      Array.from({ length: 2_000 }, (_, index) => {
        const nowMs = index * 10;
        const route = index % 4 === 0 ? "upload" : "call";
        const candidates = [...busyUntilMs].map(([daemon, ends]) => {
          const running = ends.filter((end) => end > nowMs);
          busyUntilMs.set(daemon, running);
          const isFull = running.length >= SLOTS;
          return {
            daemon,
            isLocal: false,
            isSameZone: true,
            slots: SLOTS,
            waitMs: isFull ? Math.min(...running) - nowMs : 0,
            utilization: running.length / SLOTS,
            serviceMs: times.estimateMs(daemon, route, nowMs),
            meanServiceMs: 100,
            transferBytes: 0,
            failureShare: 0,
            reportAgeMs: 0,
            sentSinceReport: 0,
          };
        });
        const { daemon } = chooseBackend(candidates, random)!;
        const took = SERVICE_MS[daemon]![route]!;
        busyUntilMs.get(daemon)!.push(nowMs + took);
        workMs.set(daemon, (workMs.get(daemon) ?? 0) + took);
      });
      const loads = [...workMs.values()];
      const mean = loads.reduce((sum, load) => sum + load, 0) / 3;
      expect(Math.max(...loads) / mean).to.be.below(1.6);
    });
  });
});
