/**
 * Tests of sampling the backend servers to compare.
 *
 * @module
 */
import { expect } from "chai";
import { sampleBackends } from "./sample_backends.ts";

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
