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
      const wait = coordinator.awaitKeys(() => 100);
      coordinator.expectRanges("source", [], 100);
      expect(coordinator.expectedSources(100)).to.deep.equal([]);
      expect(await endsSoon(wait)).to.equal(true);
    });

    it("ends the source's wait once no recipient is left", async () => {
      const coordinator = HandoverCoordinator.create();
      let recipients = ["recipient"];
      const wait = coordinator.awaitRecipients(() => recipients);
      expect(await endsSoon(wait)).to.equal(false);
      recipients = [];
      coordinator.recheck();
      expect(await endsSoon(wait)).to.equal(true);
    });
  });

  describe("when the recipients change while the source waits", () => {
    // Guards against keys without a holder until the next heartbeat of a recipient that was added last.
    it("waits for the recipients of the newest plan", async () => {
      const coordinator = HandoverCoordinator.create();
      let recipients = ["first"];
      const wait = coordinator.awaitRecipients(() => recipients);
      recipients = ["first", "second"];
      coordinator.markAwaiting("first");
      expect(await endsSoon(wait)).to.equal(false);
      coordinator.markAwaiting("second");
      expect(await endsSoon(wait)).to.equal(true);
    });
  });
});
