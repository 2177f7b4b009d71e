/**
 * Tests of gossip: what travels, what is believed, and how fast it spreads.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { decodeGossip, encodeGossip } from "./gossip_codec.js";
import { chooseGossipTargets } from "./gossip_targets.js";
import { MemberView } from "./member_view.js";
function report(changes = {}) {
  return {
    address: "10.0.0.1:7000",
    incarnation: 1,
    beat: 0,
    availabilityZone: "zone-a",
    forwardAddress: "10.0.0.1:8000",
    service: "quotes",
    phase: "ready",
    slots: 6,
    waitMs: 0,
    serviceMs: 90,
    utilization: 0.5,
    failureShare: 0,
    configurationVersion: 3,
    ownershipRevision: 8,
    reachesStore: true,
    ...changes,
  };
}
/** A generator of numbers that is the same in each run. */
function seededRandom(seed) {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
}
describe("gossip codec", () => {
  describe("for a message", () => {
    it("brings back what was sent", () => {
      const message = {
        sender: "10.0.0.9:7000",
        reports: [report()],
        beats: [{ name: 2 ** 32 - 1, incarnation: 255, beat: 2 ** 32 - 1 }],
      };
      const decoded = decodeGossip(encodeGossip(message));
      expect(decoded._unsafeUnwrap()).to.deep.equal(message);
    });
  });
  describe("for bytes from anywhere", () => {
    it("refuses them without throwing", () => {
      const property = fc.property(
        fc.uint8Array({ maxLength: 60 }),
        (bytes) => {
          decodeGossip(bytes);
        },
      );
      fc.assert(property, { seed: 1, numRuns: 300 });
    });
  });
});
describe("member view", () => {
  describe("when reports overtake each other", () => {
    it("keeps the newer one", () => {
      const view = MemberView.create(report({ address: "own" }));
      view.merge([report({ beat: 5, slots: 9 })], 0);
      view.merge([report({ beat: 4, slots: 1 })], 10);
      expect(view.find("10.0.0.1:7000")?.slots).to.equal(9);
    });
  });
  describe("when a daemon's reports stop", () => {
    it("takes it for silent, and for alive once they go on", () => {
      const view = MemberView.create(report({ address: "own" }));
      view.merge([report({ beat: 1 })], 0);
      expect(view.alive(view.silentAfterMs)).to.have.length(1);
      expect(view.alive(view.silentAfterMs + 1)).to.have.length(0);
      view.merge([report({ beat: 2 })], 5_000);
      expect(view.alive(5_000)).to.have.length(1);
    });
  });
  describe("when others still tell of an earlier process at the own address", () => {
    // Symptom: a restarted daemon stays silent to the others for as long as its earlier life was long.
    // Sequence: it restarts and counts its beats from 0; the others know a higher beat.
    // Cause: its reports looked older than what they knew.
    it("goes before them with a new incarnation", () => {
      const restarted = MemberView.create(report({ address: "own", beat: 0 }));
      restarted.merge([report({ address: "own", beat: 400 })], 0);
      const other = MemberView.create(report({ address: "other" }));
      other.merge([report({ address: "own", beat: 400 })], 0);
      restarted.beat({});
      other.merge([restarted.ownReport], 9_000);
      expect(other.alive(9_000).map(({ address }) => address)).to.deep.equal([
        "own",
      ]);
    });
  });
  describe("among 72 daemons in three availability zones", () => {
    it("takes hardly anybody for silent, although a tenth of the datagrams are lost", () => {
      const random = seededRandom(7);
      const views = Array.from({ length: 72 }, (_, index) => {
        const view = MemberView.create(report({
          address: `d${index}`,
          availabilityZone: `zone-${index % 3}`,
        }));
        Array.from({ length: 72 }, (_, other) => view.name(`d${other}`));
        return view;
      });
      const byAddress = new Map(
        views.map((view) => [view.ownReport.address, view]),
      );
      Array.from({ length: 60 }, (_, round) => {
        const nowMs = round * 250;
        views.forEach((view) => {
          view.beat({});
          chooseGossipTargets(view, { nowMs, random })
            .filter(() => random() > 0.1)
            .forEach((address) =>
              byAddress.get(address).merge(
                view.chooseReports({ nowMs, random }),
                nowMs,
              )
            );
        });
      });
      const known = views.map((view) => view.alive(59 * 250).length);
      expect(Math.min(...known)).to.be.at.least(68);
    });
  });
});
//# sourceMappingURL=membership_test.js.map
