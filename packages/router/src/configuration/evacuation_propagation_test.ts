/**
 * Tests of how fast all daemons of a large fleet learn of an evacuation that only one of them hears from the store.
 *
 * @module
 */
import { expect } from "chai";
import { Logger } from "@bamboolink/logger";
import {
  EvacuationManager,
  type EvacuationUpdate,
} from "./evacuation_manager.ts";
import {
  losesAtWeakLink,
  losesFirstBroadcast,
  LossyFleet,
  SEEDS,
} from "../testing/lossy_fleet.ts";

/** Requests may be sent to an evacuated zone for this long, in milliseconds. */
const EVACUATE_MS = 2_000;
/** A daemon whose link loses datagrams for two seconds may take longer. */
const WEAK_LINK_MS = 3_000;

const createFleet = (seed: number) =>
  LossyFleet.create<EvacuationUpdate, EvacuationManager>(
    seed,
    (context) =>
      EvacuationManager.create({
        ...context,
        zone: "a",
        logger: Logger.createRateLimited("test", { level: "error" }),
        evacuateMs: () => EVACUATE_MS,
        isKnownZone: () => true,
        requestUpdate: () => undefined,
        onChange: () => undefined,
      }),
  );

describe("EvacuationManager in a fleet that loses datagrams", () => {
  // Guards against requests that are sent to an evacuated zone, because the connections of all daemons but one to the
  // store are silent and that one's burst of datagrams was lost.
  [
    { name: "a broadcast", loss: losesFirstBroadcast, boundMs: EVACUATE_MS },
    { name: "90 % at one link", loss: losesAtWeakLink, boundMs: WEAK_LINK_MS },
  ].forEach(({ name, loss, boundMs }) =>
    it(`informs all daemons in time if it loses ${name}`, () => {
      const uninformed = SEEDS.map((seed) => {
        const fleet = createFleet(seed);
        fleet.daemons.forEach((daemon) =>
          daemon.applyListing({ revision: 1, zones: [] })
        );
        fleet.startLoss(loss);
        fleet.daemons[0]!.applyChange({
          revision: 2,
          zone: "a",
          isEvacuated: true,
        });
        fleet.run(boundMs);
        return fleet.daemons.filter(({ isEvacuated }) => !isEvacuated).length;
      });
      expect(uninformed).to.deep.equal(SEEDS.map(() => 0));
    })
  );

  it("sends nothing while no zone is or was evacuated", () => {
    const fleet = createFleet(1);
    fleet.daemons.forEach((daemon) =>
      daemon.applyListing({ revision: 1, zones: [] })
    );
    fleet.run(EVACUATE_MS);
    expect(fleet.sent).to.have.length(0);
  });
});
