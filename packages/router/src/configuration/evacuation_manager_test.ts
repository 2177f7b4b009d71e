/**
 * Tests of when a daemon considers its availability zone evacuated.
 *
 * @module
 */
import { Logger } from "@bamboolink/logger";
import { expect } from "chai";
import {
  EvacuationManager,
  type EvacuationUpdate,
} from "./evacuation_manager.ts";

const EVACUATE_MS = 5_000;
const SECOND_MS = 1_000;

function createManager() {
  let nowMs = 0;
  const broadcasts: EvacuationUpdate[] = [];
  const repeated: EvacuationUpdate[] = [];
  const counts = { requested: 0, changed: 0 };
  const manager = EvacuationManager.create({
    address: "own",
    zone: "a",
    logger: Logger.createRateLimited("test", { level: "error" }),
    nowMs: () => nowMs,
    evacuateMs: () => EVACUATE_MS,
    isKnownZone: (zone) => zone !== "nowhere",
    broadcast: (update) => broadcasts.push(update),
    sendToSome: (update) => repeated.push(update),
    requestUpdate: () => {
      counts.requested += 1;
    },
    onChange: () => {
      counts.changed += 1;
    },
  });
  const advance = (byMs: number) => {
    nowMs += byMs;
    manager.tick();
  };
  return { manager, broadcasts, repeated, counts, advance };
}

describe("EvacuationManager", () => {
  describe("when its zone is evacuated while the daemon runs", () => {
    it("notifies all other daemons and leaves time to hand keys over", () => {
      const { manager, broadcasts, counts, advance } = createManager();
      manager.applyListing({ revision: 1, zones: [] });
      advance(SECOND_MS);
      manager.applyChange({ revision: 2, zone: "a", isEvacuated: true });
      expect(manager.isEvacuated).to.equal(true);
      expect(manager.handoverEndsAtMs).to.be.within(
        SECOND_MS,
        SECOND_MS + EVACUATE_MS / 2,
      );
      expect(broadcasts.at(-1)).to.include({ sender: "own", revision: 2 });
      expect(counts.changed).to.equal(1);
    });

    // Guards against each further evacuation extending the time for the handover.
    it("does not extend the time when another zone is evacuated", () => {
      const { manager, advance } = createManager();
      manager.applyChange({ revision: 2, zone: "a", isEvacuated: true });
      const deadlineMs = manager.handoverEndsAtMs;
      advance(SECOND_MS);
      manager.applyChange({ revision: 3, zone: "b", isEvacuated: true });
      expect(manager.handoverEndsAtMs).to.equal(deadlineMs);
    });
  });

  // Guards against a restarted daemon serving requests in a zone that was evacuated long before.
  describe("when it learns of an evacuation of unknown age", () => {
    it("leaves no time for the handover", () => {
      const fromStore = createManager().manager;
      fromStore.applyListing({ revision: 9, zones: ["a"] });
      const fromPeer = createManager().manager;
      fromPeer.applyUpdate({
        kind: "evacuation",
        sender: "other",
        revision: 9,
        zones: ["a"],
      });
      expect(
        [fromStore, fromPeer].map(({ handoverEndsAtMs }) => handoverEndsAtMs),
      )
        .to.deep.equal([-Infinity, -Infinity]);
    });
  });

  describe("when the evacuation of its zone is cleared", () => {
    it("ends the evacuation and repeats the update to others for a while", () => {
      const { manager, repeated, counts, advance } = createManager();
      manager.applyChange({ revision: 2, zone: "a", isEvacuated: true });
      manager.applyChange({ revision: 3, zone: "a", isEvacuated: false });
      expect(manager.isEvacuated).to.equal(false);
      expect(counts.changed).to.equal(2);
      advance(SECOND_MS);
      expect(repeated.at(-1)).to.deep.include({ revision: 3, zones: [] });
      advance(100 * SECOND_MS);
      const count = repeated.length;
      advance(SECOND_MS);
      expect(repeated).to.have.length(count);
    });
  });

  describe("before it knows the evacuated zones", () => {
    // Guards against a starting daemon sending requests to an evacuated server before it knows the evacuated zones.
    it("assumes nothing yet and requests an update", () => {
      const { manager, counts, advance } = createManager();
      expect(manager.isKnownOrAssumed).to.equal(false);
      advance(SECOND_MS);
      advance(SECOND_MS);
      expect(counts.requested).to.equal(2);
      expect(manager.createUpdate()).to.equal(undefined);
      manager.applyListing({ revision: 0, zones: [] });
      expect(manager.isKnownOrAssumed).to.equal(true);
    });

    // Guards against a fleet that starts while the store is unreachable serving no requests.
    it("assumes that none are evacuated after a timeout", () => {
      const { manager, advance } = createManager();
      advance(4 * SECOND_MS);
      expect(manager.isKnownOrAssumed).to.equal(true);
      expect(manager.isEvacuated).to.equal(false);
    });
  });
});
