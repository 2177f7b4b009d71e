/**
 * Tests of gossip: what travels, what is believed, and how fast it spreads.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { decodeGossip, encodeGossip } from "./gossip_codec.ts";
import { chooseGossipTargets } from "./gossip_targets.ts";
import type { MemberReport } from "./member.ts";
import { MemberView } from "./member_view.ts";

function report(changes: Partial<MemberReport> = {}): MemberReport {
  return {
    address: "10.0.0.1:7000",
    incarnation: 1,
    sequence: 0,
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

/** Time between two rounds, in milliseconds. */
const ROUND_MS = 500;
/** How long a replay of a large fleet may take on a busy machine, in milliseconds. */
const PLAYED_MS = 120_000;

/** A generator of numbers that is the same in each run. */
function seededRandom(seed: number): () => number {
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
        digests: [{
          addressHash: 2 ** 32 - 1,
          incarnation: 255,
          sequence: 2 ** 32 - 1,
        }],
      };
      const decoded = decodeGossip(encodeGossip(message));
      expect(decoded._unsafeUnwrap()).to.deep.equal({
        ...message,
        skippedReports: 0,
      });
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
      view.merge([report({ sequence: 5, slots: 9 })], 0);
      view.merge([report({ sequence: 4, slots: 1 })], 10);
      expect(view.find("10.0.0.1:7000")?.slots).to.equal(9);
    });
  });

  describe("when a daemon's reports stop", () => {
    it("takes it for silent, and for alive once they go on", () => {
      const view = MemberView.create(report({ address: "own" }));
      view.merge([report({ sequence: 1 })], 0);
      expect(view.alive(view.unresponsiveTimeoutMs)).to.have.length(1);
      expect(view.alive(view.unresponsiveTimeoutMs + 1)).to.have.length(0);
      view.merge([report({ sequence: 2 })], 5_000);
      expect(view.alive(5_000)).to.have.length(1);
    });
  });

  describe("when others still tell of an earlier process at the own address", () => {
    // Symptom: a restarted daemon stays silent to the others for as long as its earlier life was long.
    // Sequence: it restarts and counts its beats from 0; the others know a higher beat.
    // Cause: its reports looked older than what they knew.
    it("goes before them with a new incarnation", () => {
      const restarted = MemberView.create(
        report({ address: "own", sequence: 0 }),
      );
      restarted.merge([report({ address: "own", sequence: 400 })], 0);
      const other = MemberView.create(report({ address: "other" }));
      other.merge([report({ address: "own", sequence: 400 })], 0);
      restarted.updateOwnReport({});
      other.merge([restarted.ownReport], 9_000);
      expect(other.alive(9_000).map(({ address }) => address)).to.deep.equal([
        "own",
      ]);
    });
  });

  /** Plays rounds of gossip among daemons of which a tenth of the datagrams are lost; returns all views. */
  function playGossip(size: number, rounds: number): MemberView[] {
    const random = seededRandom(7);
    const views = Array.from({ length: size }, (_, index) => {
      const view = MemberView.create(
        report({
          address: `d${index}`,
          availabilityZone: `zone-${index % 3}`,
        }),
      );
      Array.from({ length: size }, (_, other) => view.addAddress(`d${other}`));
      return view;
    });
    const byAddress = new Map(
      views.map((view) => [view.ownReport.address, view]),
    );
    const tell = (from: MemberView, to: MemberView, nowMs: number) => {
      to.merge(from.chooseReports({ nowMs, random }), nowMs);
      const lacking = to.mergeDigests(
        from.chooseDigests({ nowMs, random }),
        nowMs,
      );
      to.merge(from.findReports(lacking), nowMs);
    };
    Array.from({ length: rounds }, (_, round) => {
      const nowMs = round * ROUND_MS;
      views.forEach((view) => {
        view.updateOwnReport({});
        chooseGossipTargets(view, { nowMs, random })
          .filter(() => random() > 0.1)
          .forEach((address) => tell(view, byAddress.get(address)!, nowMs));
      });
    });
    return views;
  }

  // Symptom: at 195 daemons a lost one is believed alive for 10 s, and living ones are taken for silent.
  // Sequence: each datagram tells of 8 daemons; of the others one hears again after seconds, by chance.
  // Cause: that a daemon lives was told only together with all that is known of it.
  [72, 195].forEach((size) => {
    describe(`among ${size} daemons in three availability zones`, () => {
      it("takes nobody for silent, although a tenth of the datagrams are lost", function () {
        // Time is played: a busy machine takes longer for the same.
        this.timeout(PLAYED_MS);
        const rounds = 24;
        const views = playGossip(size, rounds);
        const known = views.map((view) =>
          view.alive((rounds - 1) * ROUND_MS).length
        );
        expect(Math.min(...known)).to.equal(size - 1);
      });
    });
  });

  describe("when digests tell of a daemon that is not known", () => {
    it("names it, to be asked for", () => {
      const told = MemberView.create(report({ address: "told" }));
      told.merge([report({ address: "third", sequence: 4 })], 0);
      const other = MemberView.create(report({ address: "other" }));
      const random = seededRandom(3);
      const lacking = other.mergeDigests(
        told.chooseDigests({ nowMs: 0, random }),
        0,
      );
      other.merge(told.findReports(lacking), 0);
      expect(other.find("third")?.sequence).to.equal(4);
    });

    it("takes the beat of an earlier process for nothing", () => {
      const view = MemberView.create(report({ address: "own" }));
      const earlier = MemberView.create(report({ address: "x", sequence: 90 }));
      view.merge([report({ address: "x", incarnation: 2, sequence: 1 })], 0);
      const random = seededRandom(3);
      view.mergeDigests(earlier.chooseDigests({ nowMs: 0, random }), 5_000);
      expect(view.alive(5_000)).to.have.length(0);
    });
  });

  describe("when a daemon starts again after the others took it for silent", () => {
    // Symptom: nobody sends work to a restarted daemon for as long as its earlier process had run.
    // Sequence: it is away for 10 s, is silent to all by then, and counts its beats from 0.
    // Cause: its reports looked older than what was known, and nobody told it of those any more.
    it("hears of its earlier process, and goes before it", () => {
      const random = seededRandom(5);
      const other = MemberView.create(report({ address: "other" }));
      other.merge([report({ address: "back", sequence: 400 })], 0);
      const back = MemberView.create(report({ address: "back" }));
      const nowMs = 10_000;
      back.merge([other.ownReport], nowMs);
      const lacking = back.mergeDigests(
        other.chooseDigests({ nowMs, random }),
        nowMs,
      );
      back.merge(other.findReports(lacking), nowMs);
      back.updateOwnReport({});
      other.merge([back.ownReport], nowMs);
      expect(other.alive(nowMs)).to.have.length(1);
      const settled = back.mergeDigests(
        other.chooseDigests({ nowMs, random }),
        nowMs,
      );
      expect(settled).to.deep.equal([]);
    });
  });
});
