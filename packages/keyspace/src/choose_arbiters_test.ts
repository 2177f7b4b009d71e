/**
 * Tests of the choice of arbiters.
 *
 * @module
 */
import { expect } from "chai";
import { type ArbiterCandidate, chooseArbiters } from "./choose_arbiters.ts";

function candidate(
  daemon: string,
  availabilityZone: string,
  isOfService: boolean,
): ArbiterCandidate {
  return { daemon, availabilityZone, isOfService, reachesStore: true };
}

const FLEET = [
  candidate("a", "one", true),
  candidate("b", "one", false),
  candidate("c", "one", false),
  candidate("d", "two", false),
  candidate("e", "two", true),
];

describe("choosing arbiters", () => {
  it("prefers daemons outside the service in different availability zones", () => {
    expect(chooseArbiters([], FLEET)).to.deep.equal(["b", "d"]);
  });

  it("keeps current arbiters that are candidates", () => {
    expect(chooseArbiters(["lost", "c"], FLEET)).to.deep.equal(["c", "d"]);
  });

  it("keeps one that does not reach the store, but chooses no new one that does not", () => {
    const partlyUnreachable = FLEET.map((one) => ({
      ...one,
      reachesStore: !["b", "c"].includes(one.daemon),
    }));
    expect(chooseArbiters(["c"], partlyUnreachable)).to.deep.equal(["c", "d"]);
  });

  it("chooses daemons of the service where there are no others", () => {
    const ofService = FLEET.filter(({ isOfService }) => isOfService);
    expect(chooseArbiters([], ofService)).to.deep.equal(["a", "e"]);
  });

  it("chooses none without candidates", () => {
    expect(chooseArbiters(["lost"], [])).to.deep.equal([]);
  });
});
