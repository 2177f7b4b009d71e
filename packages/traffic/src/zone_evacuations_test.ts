/**
 * Tests of which availability zones a daemon considers evacuated.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { ZoneEvacuations } from "./zone_evacuations.ts";

describe("ZoneEvacuations", () => {
  it("is unknown until it receives a state, even an empty one", () => {
    const evacuations = ZoneEvacuations.create();
    expect(evacuations.isKnown).to.equal(false);
    expect(evacuations.state).to.equal(undefined);
    expect(evacuations.replace({ revision: 0, zones: [] })).to.equal(false);
    expect(evacuations.isKnown).to.equal(true);
  });

  it("applies a complete state and the changes after it", () => {
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

  // Guards against a delayed update that applies an evacuation that has ended since, or ends one that has begun since.
  it("keeps the state of the highest revision, in whatever order updates arrive", () => {
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
