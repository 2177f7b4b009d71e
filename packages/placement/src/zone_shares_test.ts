/**
 * Tests of the shares of a zone's work that go to other zones.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { computeZoneShares, divideByRoute } from "./zone_shares.ts";

describe("computeZoneShares", () => {
  const others = [
    { zone: "b", capacity: 10, offered: 4 },
    { zone: "c", capacity: 10, offered: 8 },
  ];

  it("keeps all work of a zone whose servers can do it", () => {
    const zones = [{ zone: "a", capacity: 10, offered: 9 }, ...others];
    expect(computeZoneShares({ zone: "a", arrivals: 9 }, zones).size).to
      .equal(0);
  });

  it("sends what the servers of a zone can't do to the others by their room", () => {
    const zones = [{ zone: "a", capacity: 10, offered: 14 }, ...others];
    const shares = computeZoneShares({ zone: "a", arrivals: 14 }, zones);
    expect(shares.get("b")).to.be.closeTo(4 / 14 * 5 / 6, 0.001);
    expect(shares.get("c")).to.be.closeTo(4 / 14 * 1 / 6, 0.001);
  });

  // Guards against full zones that send each other their work: the bytes would be paid for, and nothing gained.
  it("keeps the work of a zone while all others are full", () => {
    const zones = [
      { zone: "a", capacity: 10, offered: 16 },
      { zone: "b", capacity: 10, offered: 12 },
      { zone: "c", capacity: 10, offered: 9.5 },
    ];
    expect(computeZoneShares({ zone: "a", arrivals: 16 }, zones).size).to
      .equal(0);
  });

  // Guards against a large zone that fills a small one, whose own callers then wait.
  it("sends no more than others have room for", () => {
    const zones = [
      { zone: "a", capacity: 100, offered: 150 },
      { zone: "b", capacity: 10, offered: 7 },
    ];
    const shares = computeZoneShares({ zone: "a", arrivals: 150 }, zones);
    expect(shares.get("b")).to.be.closeTo(2 / 150, 0.001);
  });

  it("keeps the work of a zone without reports", () => {
    expect(computeZoneShares({ zone: "a", arrivals: 5 }, others).size).to
      .equal(0);
    expect(computeZoneShares({ zone: "a", arrivals: 5 }, []).size).to.equal(0);
  });

  it("returns shares whose sum is at most 1 for any values", () => {
    const value = fc.oneof(
      fc.double({ min: -10, max: 1e9 }),
      fc.constantFrom(0, NaN, Infinity),
    );
    const zones = fc.array(
      fc.record({
        zone: fc.constantFrom("a", "b", "c"),
        capacity: value,
        offered: value,
      }),
      { maxLength: 4 },
    );
    fc.assert(
      fc.property(zones, value, (loads, arrivals) => {
        const shares = [
          ...computeZoneShares({ zone: "a", arrivals }, loads).values(),
        ];
        const sum = shares.reduce((total, share) => total + share, 0);
        expect(shares.every((share) => share >= 0)).to.equal(true);
        expect(sum).to.be.at.most(1.000_001);
      }),
      { seed: 1, numRuns: 500 },
    );
  });
});

describe("divideByRoute", () => {
  const routes = [
    { route: "upload", arrivals: 3, bytesPerWork: 400 },
    { route: "small", arrivals: 7, bytesPerWork: 30 },
  ];

  it("sends out the routes with the fewest bytes first", () => {
    const shares = divideByRoute(0.35, routes);
    expect(shares.get("small")).to.be.closeTo(0.5, 0.001);
    expect(shares.get("upload")).to.equal(0);
  });

  it("sends out uploads once all small requests leave", () => {
    const shares = divideByRoute(0.85, routes);
    expect(shares.get("small")).to.equal(1);
    expect(shares.get("upload")).to.be.closeTo(0.5, 0.001);
  });

  it("sends out nothing without requests", () => {
    expect(divideByRoute(0.5, []).size).to.equal(0);
  });
});
