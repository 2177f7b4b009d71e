/**
 * Tests of the evidence that a configuration is current.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import {
  ConfigurationEvidence,
  MAX_EVIDENCE_AGE_MS,
} from "./configuration_evidence.ts";

describe("ConfigurationEvidence", () => {
  it("is missing until an observation was made", () => {
    const evidence = ConfigurationEvidence.create();
    expect(evidence.isRecent(7, 0)).to.equal(false);
    expect(evidence.ageMs(7, 0)).to.equal(Infinity);
  });

  it("expires", () => {
    const evidence = ConfigurationEvidence.create();
    evidence.record({ version: 3, observedAtMs: 500 });
    expect(evidence.isRecent(3, 500 + MAX_EVIDENCE_AGE_MS)).to.equal(true);
    expect(evidence.isRecent(3, 501 + MAX_EVIDENCE_AGE_MS)).to.equal(false);
  });

  // Guards against a daemon that knows of another configuration in the store and denies requests by its own.
  it("supports the observed version only", () => {
    const evidence = ConfigurationEvidence.create();
    evidence.record({ version: 4, observedAtMs: 500 });
    expect(evidence.isRecent(3, 500)).to.equal(false);
    expect(evidence.isRecent(4, 500)).to.equal(true);
    expect(evidence.isRecent(5, 500)).to.equal(false);
  });

  // Guards against a late response of an earlier check that hides a newer version.
  it("keeps the most recent observation, in whatever order they are recorded", () => {
    const observation = fc.record({
      version: fc.nat({ max: 20 }),
      observedAtMs: fc.nat({ max: 5_000 }),
    });
    fc.assert(
      fc.property(fc.array(observation, { minLength: 1 }), (observations) => {
        const evidence = ConfigurationEvidence.create();
        observations.forEach((each) => evidence.record(each));
        const latest = Math.max(
          ...observations.map(({ observedAtMs }) => observedAtMs),
        );
        expect(evidence.observation.observedAtMs).to.equal(latest);
      }),
      { seed: 43 },
    );
  });
});
