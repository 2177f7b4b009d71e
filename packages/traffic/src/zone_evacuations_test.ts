/**
 * Tests of which availability zones a daemon takes for evacuated.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { ZoneEvacuations } from "./zone_evacuations.ts";

describe("ZoneEvacuations", () => {
  it("knows nothing until it is told, if only that no zone is evacuated", () => {
    const evacuations = ZoneEvacuations.create();
    expect(evacuations.isKnown).to.equal(false);
    expect(evacuations.state).to.equal(undefined);
    expect(evacuations.replace({ revision: 0, zones: [] })).to.equal(false);
    expect(evacuations.isKnown).to.equal(true);
  });

  it("follows a listing and the changes after it", () => {
    const evacuations = ZoneEvacuations.create();
    evacuations.replace({ revision: 7, zones: ["a"] });
    const change = { revision: 8, zone: "b", isEvacuated: true };
    expect(evacuations.apply(change)).to.equal(true);
    expect(["a", "b", "c"].map((zone) => evacuations.has(zone)))
      .to.deep.equal([true, true, false]);
    const back = { revision: 9, zone: "a", isEvacuated: false };
    expect(evacuations.apply(back)).to.equal(true);
    expect(evacuations.state).to.deep.equal({ revision: 9, zones: ["b"] });
  });

  // Guards against a late word of an evacuation that was taken back since, and the reverse.
  it("ends with the newest word, in whatever order words come", () => {
    const anyState = fc.record({
      revision: fc.nat(20),
      zones: fc.uniqueArray(fc.constantFrom("a", "b", "c")),
    });
    const property = fc.property(
      fc.uniqueArray(anyState, {
        minLength: 1,
        selector: ({ revision }) => revision,
      }),
      (states) => {
        const evacuations = ZoneEvacuations.create();
        states.forEach((state) => evacuations.replace(state));
        const newest = states.reduce((left, right) =>
          right.revision > left.revision ? right : left
        );
        expect([...evacuations.state!.zones].sort())
          .to.deep.equal([...newest.zones].sort());
      },
    );
    fc.assert(property, { seed: 43 });
  });
});
