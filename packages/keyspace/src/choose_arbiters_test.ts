/**
 * Tests of choosing arbiters.
 *
 * @module
 */
import { expect } from "chai";
import { type ArbiterCandidate, chooseArbiters } from "./choose_arbiters.ts";

function candidate(
  daemon: string,
  availabilityZone: string,
  isOwner: boolean,
): ArbiterCandidate {
  return { daemon, availabilityZone, isOwner, reachesStore: true };
}

const FLEET = [
  candidate("a", "one", true),
  candidate("b", "one", false),
  candidate("c", "one", false),
  candidate("d", "two", false),
  candidate("e", "two", true),
];

describe("choosing arbiters", () => {
  it("takes daemons without keys, in different zones", () => {
    expect(chooseArbiters([], FLEET)).to.deep.equal(["b", "d"]);
  });

  it("keeps those that live", () => {
    expect(chooseArbiters(["lost", "c"], FLEET)).to.deep.equal(["c", "d"]);
  });

  it("keeps one that the store turns away, but names no such one", () => {
    const away = FLEET.map((one) => ({
      ...one,
      reachesStore: !["b", "c"].includes(one.daemon),
    }));
    expect(chooseArbiters(["c"], away)).to.deep.equal(["c", "d"]);
  });

  it("takes owners where there is nobody else", () => {
    const owners = FLEET.filter(({ isOwner }) => isOwner);
    expect(chooseArbiters([], owners)).to.deep.equal(["a", "e"]);
  });

  it("takes nobody where nobody is there", () => {
    expect(chooseArbiters(["lost"], [])).to.deep.equal([]);
  });
});
