/**
 * Tests of how fast all daemons of a large fleet receive the state of a request, with a simulated network that loses
 * datagrams.
 *
 * @module
 */
import { expect } from "chai";
import { Logger } from "@bamboolink/logger";
import {
  type QuarantineUpdate,
  RequestQuarantine,
} from "./request_quarantine.ts";
import {
  DAEMON_COUNT,
  DELAY_MS,
  losesAtWeakLink,
  losesFirstBroadcast,
  LossyFleet,
  SEEDS,
} from "../testing/lossy_fleet.ts";
import { SAMPLE_REQUEST } from "../testing/sample_request.ts";

/** All daemons know the state of a request within this time, in milliseconds: a fourth server must not crash. */
const PROPAGATION_MS = 3_000;
/** Time in which a broadcast without losses arrives, in milliseconds. */
const SETTLE_MS = 100;
const LETHAL = { ...SAMPLE_REQUEST, target: "/lethal", brokenConnections: 0 };
/** HTTP status. */
const OK = 200;
const CRASH = { instance: "i-1", proof: "refused" } as const;

type Fleet = LossyFleet<QuarantineUpdate, RequestQuarantine>;

const createFleet = (seed: number): Fleet =>
  LossyFleet.create(seed, (context) =>
    RequestQuarantine.create({
      ...context,
      logger: Logger.createRateLimited("test", { level: "error" }),
    }));

/** Crashes the backend server of a daemon while it runs the request. */
function crash(fleet: Fleet, index: number): void {
  const daemon = fleet.daemons[index]!;
  daemon.recordBrokenConnection(LETHAL, false);
  daemon.recordBackendEnd(CRASH);
}

/** Number of daemons that do not classify the request as expected. */
const countOthers = (fleet: Fleet, kind: string): number =>
  fleet.daemons.filter((daemon) => daemon.classify(LETHAL).kind !== kind)
    .length;

describe("RequestQuarantine in a fleet that loses datagrams", () => {
  // Guards against a request that crashes further servers because a burst of datagrams to all daemons was lost on a slow
  // link: of two crashes, no other daemon ever learns.
  Object.entries({
    "whose first broadcast is lost": losesFirstBroadcast,
    "that loses 90 % at one link": losesAtWeakLink,
  })
    .forEach(([name, loss]) => {
      describe(name, () => {
        it("informs all daemons of a crash in time", () => {
          const uninformed = SEEDS.map((seed) => {
            const fleet = createFleet(seed);
            fleet.startLoss(loss);
            crash(fleet, 0);
            fleet.run(PROPAGATION_MS);
            return countOthers(fleet, "suspect");
          });
          expect(uninformed).to.deep.equal(SEEDS.map(() => 0));
        });

        it("quarantines a request at all daemons in time after the third crash", () => {
          const uninformed = SEEDS.map((seed) => {
            const fleet = createFleet(seed);
            fleet.startLoss(loss);
            [0, 1, 2].forEach((index) => crash(fleet, index));
            fleet.run(PROPAGATION_MS);
            return countOthers(fleet, "quarantined");
          });
          expect(uninformed).to.deep.equal(SEEDS.map(() => 0));
        });

        it("clears an answered request at all daemons in time", () => {
          const uninformed = SEEDS.map((seed) => {
            const fleet = createFleet(seed);
            crash(fleet, 1);
            fleet.run(SETTLE_MS);
            fleet.startLoss(loss);
            fleet.daemons[0]!.recordResponse(LETHAL, OK);
            fleet.run(PROPAGATION_MS);
            return countOthers(fleet, "clear");
          });
          expect(uninformed).to.deep.equal(SEEDS.map(() => 0));
        });
      });
    });

  describe("that loses none", () => {
    it("sends nothing while no server crashes", () => {
      const fleet = createFleet(1);
      fleet.daemons[0]!.recordResponse(LETHAL, OK);
      fleet.run(PROPAGATION_MS);
      expect(fleet.sent).to.have.length(0);
    });

    it("informs all daemons by one broadcast, at once", () => {
      const fleet = createFleet(1);
      crash(fleet, 0);
      expect(fleet.sent).to.have.length(DAEMON_COUNT - 1);
      fleet.run(DELAY_MS);
      expect(countOthers(fleet, "suspect")).to.equal(0);
    });

    it("stops repeating what all daemons know", () => {
      const fleet = createFleet(1);
      crash(fleet, 0);
      fleet.run(2 * PROPAGATION_MS);
      const { length } = fleet.sent;
      fleet.run(PROPAGATION_MS);
      expect(fleet.sent).to.have.length(length);
    });
  });
});
