/**
 * Tests of where and how late a request is reported to be.
 *
 * @module
 */
import { expect } from "chai";
import { EventLoopDelay } from "./event_loop_delay.ts";
import { RequestProgress } from "./request_progress.ts";

const INTERVAL_MS = 50;

describe("RequestProgress", () => {
  it("describes what the request waits for, and for how long", () => {
    const progress = RequestProgress.create(
      EventLoopDelay.create(INTERVAL_MS),
      1_000,
    );
    progress.enter("owner_daemon", 1_010, "host-1~1");
    progress.enter("retry", 1_020);
    progress.enter("owner_daemon", 1_030, "host-2~1");
    expect(progress.describe(1_100)).to.deep.equal({
      stage: "owner_daemon",
      stage_ms: 70,
      attempts: 2,
      owner: "host-2~1",
      age_ms: 100,
      late_ms: 0,
    });
  });

  it("counts how late the process ran since the request arrived, also in the turn that is overdue", () => {
    const delay = EventLoopDelay.create(INTERVAL_MS);
    [0, 50, 400].forEach((nowMs) => delay.recordTurn(nowMs));
    const progress = RequestProgress.create(delay, 410);
    delay.recordTurn(550);
    expect(progress.describe(800)).to.include({ late_ms: 100 + 200 });
  });
});
