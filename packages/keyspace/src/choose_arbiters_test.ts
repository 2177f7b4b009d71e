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
  it("prefers daemons without keys in different availability zones", () => {
    expect(chooseArbiters([], FLEET)).to.deep.equal(["b", "d"]);
  });

  it("keeps present arbiters that are candidates", () => {
    expect(chooseArbiters(["lost", "c"], FLEET)).to.deep.equal(["c", "d"]);
  });

  it("keeps one that does not reach the store, but chooses no new one that does not", () => {
    const partlyUnreachable = FLEET.map((one) => ({
      ...one,
      reachesStore: !["b", "c"].includes(one.daemon),
    }));
    expect(chooseArbiters(["c"], partlyUnreachable)).to.deep.equal(["c", "d"]);
  });

  it("chooses owners where there are no other daemons", () => {
    const owners = FLEET.filter(({ isOfService }) => isOfService);
    expect(chooseArbiters([], owners)).to.deep.equal(["a", "e"]);
  });

  it("chooses none without candidates", () => {
    expect(chooseArbiters(["lost"], [])).to.deep.equal([]);
  });
});
