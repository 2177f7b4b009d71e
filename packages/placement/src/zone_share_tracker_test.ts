/**
 * Tests of the shares that one daemon follows.
 *
 * @module
 */
import { expect } from "chai";
import { type ServerLoad, ZoneShareTracker } from "./zone_share_tracker.ts";

function server(zone: string, utilization: number): ServerLoad {
  return { zone, capacity: 6, utilization, speed: 1 };
}

function createTracker(leftShare: number): ZoneShareTracker {
  const tracker = ZoneShareTracker.create("a");
  Array.from({ length: 100 }, (_, index) =>
    tracker.recordPlaced({
      route: index % 4 === 0 ? "upload" : "small",
      workMs: 100,
      bytes: index % 4 === 0 ? 60_000 : 5_000,
      isOtherZone: index < leftShare * 100,
    }, 0));
  return tracker;
}

describe("ZoneShareTracker", () => {
  it("sends out nothing while the zone is not full", () => {
    const share = createTracker(0).leavingShare(
      "small",
      () => [server("a", 0.8), server("b", 0.2)],
      0,
    );
    expect(share).to.equal(0);
  });

  it("sends out small requests of a full zone", () => {
    const tracker = createTracker(0);
    const servers = () => [server("a", 1.5), server("b", 0.2)];
    expect(tracker.leavingShare("small", servers, 0)).to.be.closeTo(
      1 / 3 / 0.75,
      0.01,
    );
    expect(tracker.leavingShare("upload", servers, 0)).to.equal(0);
  });

  // Guards against a share that falls as soon as it takes effect, because the servers of the zone are no longer full.
  it("keeps the share while it keeps the zone at its capacity", () => {
    const tracker = createTracker(0.25);
    const servers = () => [server("a", 1), server("b", 0.5)];
    expect(tracker.leavingShare("small", servers, 0)).to.be.closeTo(
      0.25 / 0.75,
      0.01,
    );
  });

  it("computes the shares no more often than four times a second", () => {
    const tracker = createTracker(0);
    let reads = 0;
    const servers = () => {
      reads += 1;
      return [server("a", 1.5), server("b", 0.2)];
    };
    [0, 100, 249, 250, 300].forEach((nowMs) =>
      tracker.leavingShare("small", servers, nowMs)
    );
    expect(reads).to.equal(2);
  });

  it("sends out nothing where no server of the zone is known", () => {
    const servers = () => [server("b", 0.2)];
    expect(createTracker(0).leavingShare("small", servers, 0)).to.equal(0);
  });
});
