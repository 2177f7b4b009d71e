/**
 * Tests of sampling the backend servers to compare.
 *
 * @module
 */
import { expect } from "chai";
import { sampleBackends, sampleByZone } from "./sample_backends.ts";

describe("sampleBackends", () => {
  const random = () => 0.999;
  const isNear = (backend: number) => backend === 7;

  it("returns all servers where there are few", () => {
    const few = [1, 2, 3, 4, 5];
    expect(sampleBackends(few, { isNear, random })).to.equal(few);
  });

  it("returns a few of many servers, including a near one", () => {
    const many = Array.from({ length: 30 }, (_, index) => index);
    const drawn = sampleBackends(many, { isNear, random });
    expect(drawn).to.have.length(5);
    expect(drawn[0]).to.equal(7);
  });

  it("returns a few of many servers where none is near", () => {
    const many = Array.from({ length: 30 }, (_, index) => index);
    const drawn = sampleBackends(many, { isNear: () => false, random });
    expect(drawn).to.deep.equal([29, 29, 29, 29]);
  });
});

describe("sampleByZone", () => {
  const many = Array.from({ length: 30 }, (_, index) => index);
  const isOwnZone = (backend: number) => backend % 4 === 0;

  // Guards against requests that leave their zone while a server there is free, because too few of it were compared.
  it("returns several distinct servers of the own zone", () => {
    const { own } = sampleByZone(many, { isOwnZone, random: () => 0.5 });
    expect(own).to.have.length(4);
    expect(new Set(own).size).to.equal(4);
    expect(own.every(isOwnZone)).to.equal(true);
  });

  it("returns distinct servers of other zones", () => {
    const { others } = sampleByZone(many, { isOwnZone, random: () => 0 });
    expect(new Set(others).size).to.equal(4);
    expect(others.some(isOwnZone)).to.equal(false);
  });

  it("draws each server of the own zone equally often", () => {
    let state = 3;
    const random = () => {
      state = (state * 16_807) % 2_147_483_647;
      return state / 2_147_483_647;
    };
    const counts = new Map<number, number>();
    Array.from(
      { length: 2_000 },
      () =>
        sampleByZone(many, { isOwnZone, random }).own.forEach((server) =>
          counts.set(server, (counts.get(server) ?? 0) + 1)
        ),
    );
    expect(counts.size).to.equal(8);
    expect(Math.min(...counts.values())).to.be.above(900);
  });
});
