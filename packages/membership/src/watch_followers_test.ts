/**
 * Tests of the choice of the daemons that follow the store's records, and of the others' fallback.
 *
 * @module
 */
import { expect } from "chai";
import { type FollowerCandidate, WatchFollowers } from "./watch_followers.ts";

const ZONES = ["a", "b", "c", "d"];
/** A time at which heartbeats of other daemons have just arrived. */
const at = (nowMs: number) => ({ nowMs, peerSilenceMs: 100 });

function createMembers(count: number): FollowerCandidate[] {
  return Array.from({ length: count }, (_, index) => ({
    address: `10.0.0.${100 + index}:7000`,
    availabilityZone: ZONES[index % ZONES.length]!,
    phase: "ready",
    reachesStore: true,
  }));
}

function findFollowers(
  members: readonly FollowerCandidate[],
): FollowerCandidate[] {
  return members.filter(({ address }) =>
    WatchFollowers.create(address).findFellowFollowers(members) !== undefined
  );
}

/** A daemon that is no follower, at a position in the order in which these poll if no follower does. */
function findOther(
  members: readonly FollowerCandidate[],
  position: number,
): WatchFollowers {
  const followers = findFollowers(members);
  const others = members.filter((member) => !followers.includes(member))
    .toReversed();
  return WatchFollowers.create(others[position]!.address);
}

describe("WatchFollowers", () => {
  describe("in a small fleet", () => {
    it("has all daemons follow the records", () => {
      const members = createMembers(15);
      expect(findFollowers(members)).to.deep.equal(members);
      const { address } = members[0]!;
      expect(WatchFollowers.create(address).holdMs(members, at(0))).to.equal(0);
    });
  });

  describe("in a large fleet", () => {
    it("has two daemons of each zone follow the records", () => {
      const followers = findFollowers(createMembers(29));
      expect(followers).to.have.length(8);
      expect(new Set(followers.map(({ availabilityZone }) => availabilityZone)))
        .to.have.length(4);
    });

    it("has more followers where each would serve too many daemons", () => {
      expect(findFollowers(createMembers(470))).to.have.length(40);
    });

    it("shares the renewals among the followers only", () => {
      const members = createMembers(29);
      const [first] = findFollowers(members);
      const fellows = WatchFollowers.create(first!.address)
        .findFellowFollowers(members);
      expect(fellows).to.have.length(7).and.not.include(first!.address);
    });

    // Guards against followers that announce nothing, because they can't reach the store or are stopping.
    it("replaces followers that can't reach the store or are stopping", () => {
      const members = createMembers(29);
      const [first, second] = findFollowers(members);
      const changed = members.map((member) => ({
        ...member,
        reachesStore: member !== first,
        phase: member === second ? "stopping" as const : member.phase,
      }));
      const addresses = findFollowers(changed).map(({ address }) => address);
      expect(addresses).to.have.length(8);
      expect(addresses).to.not.include(first!.address);
      expect(addresses).to.not.include(second!.address);
    });
  });

  describe("of a daemon that is no follower", () => {
    const members = createMembers(29);

    it("doesn't poll while responses of the store are announced", () => {
      const other = findOther(members, 0);
      other.recordObservation(10_000);
      expect(other.holdMs(members, at(10_000))).to.equal(1_400);
      other.recordObservation(11_000);
      expect(other.holdMs(members, at(11_399))).to.be.above(0);
    });

    it("polls at once if it knows of no response", () => {
      expect(findOther(members, 20).holdMs(members, at(10_000))).to.equal(0);
    });

    // Guards against a fleet that learns of no change because all followers are cut off from the store.
    it("polls soon after the last announced response", () => {
      const other = findOther(members, 0);
      other.recordObservation(10_000);
      expect(other.holdMs(members, at(11_400))).to.equal(0);
    });

    // Guards against all daemons of a fleet that poll at the same time when the store is down.
    it("polls later than those before it", () => {
      const fleet = createMembers(20);
      const holdsMs = [0, 1, 2].map((position) => {
        const other = findOther(fleet, position);
        other.recordObservation(10_000);
        return other.holdMs(fleet, at(11_400));
      });
      expect(holdsMs).to.deep.equal([0, 650, 1_300]);
    });

    // Guards against a daemon that waits for followers from which it is cut off.
    it("polls by itself once the other daemons don't respond any more", () => {
      const other = findOther(members, 20);
      other.recordObservation(10_000);
      const alone = members.slice(0, 1);
      expect(other.holdMs(alone, at(10_100))).to.be.at.most(1_400);
      expect(other.holdMs(alone, at(11_400))).to.equal(0);
    });

    // Guards against a change that a daemon misses for as long as it takes others for alive from which it is cut off.
    it("polls at once when no heartbeat of another daemon arrives any more", () => {
      const other = findOther(members, 20);
      other.recordObservation(10_000);
      const now = { nowMs: 11_100, peerSilenceMs: 1_100 };
      expect(other.holdMs(members, now)).to.equal(0);
    });

    // Guards against daemons of a large fleet that wait for a minute if no follower responds to them.
    it("polls within ten seconds in any fleet", () => {
      const large = createMembers(470);
      const holdsMs = [0, 200, 429].map((position) => {
        const other = findOther(large, position);
        other.recordObservation(10_000);
        return other.holdMs(large, at(10_000));
      });
      expect(Math.max(...holdsMs)).to.be.at.most(9_400);
    });

    // Guards against upgraded daemons that rely on those of an earlier version, which announce no changes.
    it("relies on no follower that announces no responses of the store", () => {
      const [own, silent] = findFollowers(members)
        .map(({ address }) => address);
      const follower = WatchFollowers.create(own!);
      expect(follower.findFellowFollowers(members)).to.include(silent);
      follower.recordAnnouncement(silent!, false);
      const fellows = follower.findFellowFollowers(members);
      expect(fellows).to.have.length(7).and.not.include(silent);
      follower.recordAnnouncement(silent!, true);
      expect(follower.findFellowFollowers(members)).to.include(silent);
    });
  });
});
