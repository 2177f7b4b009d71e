/**
 * Tests of the synchronization of the two heartbeats of a handover.
 *
 * @module
 */
import { expect } from "chai";
import { HandoverCoordinator } from "./handover_coordinator.ts";

const RANGE = { from: 10, to: 20, load: 400 };

/** Whether a wait ends within some milliseconds. */
async function endsSoon(wait: Promise<void>): Promise<boolean> {
  const timeout = new Promise<false>((resolve) =>
    setTimeout(() => resolve(false), 50)
  );
  return await Promise.race([wait.then(() => true), timeout]);
}

describe("HandoverCoordinator", () => {
  describe("when announced moves are dropped", () => {
    // Guards against a heartbeat response that is held back for three quarters of a second for keys that don't come.
    it("ends the recipient's wait", async () => {
      const coordinator = HandoverCoordinator.create();
      coordinator.expectRanges("source", [RANGE], 0);
      expect(coordinator.expectedSources(100)).to.deep.equal(["source"]);
      const wait = coordinator.awaitKeys(() => 100, 850);
      coordinator.expectRanges("source", [], 100);
      expect(coordinator.expectedSources(100)).to.deep.equal([]);
      expect(await endsSoon(wait)).to.equal(true);
    });

    it("ends the source's wait once no recipient is left", async () => {
      const coordinator = HandoverCoordinator.create();
      let recipients = ["recipient"];
      const wait = coordinator.awaitRecipients(() => recipients, 750);
      expect(await endsSoon(wait)).to.equal(false);
      recipients = [];
      coordinator.recheck();
      expect(await endsSoon(wait)).to.equal(true);
    });
  });

  describe("while moves are likely", () => {
    const now = () => 0;

    // Guards against a move that waits for the next heartbeats of both servers although it could begin at once.
    it("delays a response until moves are planned, announced or done", async () => {
      let isPlanned = false;
      const source = HandoverCoordinator.create();
      const sourceWait = source.awaitPlan(() => isPlanned, now);
      const recipient = HandoverCoordinator.create();
      const recipientWait = recipient.awaitPlan(() => false, now);
      const assigned = HandoverCoordinator.create();
      const assignedWait = assigned.awaitPlan(() => false, now);
      expect(await endsSoon(Promise.race([sourceWait, recipientWait])))
        .to.equal(false);
      isPlanned = true;
      source.recheck();
      recipient.expectRanges("source", [RANGE], 0);
      assigned.takeArrived(() => true);
      expect(
        await endsSoon(
          Promise.all([sourceWait, recipientWait, assignedWait]).then(() => {}),
        ),
      ).to.equal(true);
    });

    // Guards against heartbeats that a backend server considers lost: it waits a second for a response.
    it("delays it for 300 ms at most, and for 750 ms with the handover", async () => {
      const coordinator = HandoverCoordinator.create();
      const startedAtMs = performance.now();
      await coordinator.awaitPlan(() => false, now);
      expect(performance.now() - startedAtMs).to.be.within(290, 700);
      coordinator.expectRanges("source", [RANGE], 0);
      expect(coordinator.latestResponseMs(1_000)).to.equal(1_750);
      const isDone = coordinator.awaitKeys(() => 1_300, 1_310);
      expect(await endsSoon(isDone)).to.equal(true);
    });
  });

  describe("when the recipients change while the source waits", () => {
    // Guards against keys without a holder until the next heartbeat of a recipient that was added last.
    it("waits for the recipients of the newest plan", async () => {
      const coordinator = HandoverCoordinator.create();
      let recipients = ["first"];
      const wait = coordinator.awaitRecipients(() => recipients, 750);
      recipients = ["first", "second"];
      coordinator.markAwaiting("first");
      expect(await endsSoon(wait)).to.equal(false);
      coordinator.markAwaiting("second");
      expect(await endsSoon(wait)).to.equal(true);
    });
  });
});
