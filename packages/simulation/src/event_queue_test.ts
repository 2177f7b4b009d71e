/**
 * Tests of the order in which simulated events run.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { EventQueue } from "./event_queue.ts";

describe("event queue", () => {
  // Guards against replays that depend on the order in which a heap keeps events of the same time.
  it("runs events by time, and those of the same time in the order of their addition", () => {
    fc.assert(
      fc.property(fc.array(fc.nat({ max: 9 })), (times) => {
        const events = EventQueue.create();
        const order: number[] = [];
        times.forEach((atMs, index) =>
          events.at(atMs, (nowMs) => {
            expect(nowMs).to.equal(atMs);
            expect(events.nowMs).to.equal(atMs);
            order.push(index);
          })
        );
        events.runAll();
        const expected = [...times.keys()].sort((left, right) =>
          times[left]! - times[right]! || left - right
        );
        expect(order).to.deep.equal(expected);
      }),
      { seed: 1 },
    );
  });

  it("runs periodic events until the given time, and not those after it", () => {
    const events = EventQueue.create();
    const runsAtMs: number[] = [];
    events.every(10, 5, () => runsAtMs.push(events.nowMs));
    events.runUntil(30);
    expect(runsAtMs).to.deep.equal([5, 15, 25]);
    expect(events.nowMs).to.equal(30);
  });

  it("runs events that other events add", () => {
    const events = EventQueue.create();
    const runsAtMs: number[] = [];
    events.after(2, () => {
      events.after(3, (nowMs) => runsAtMs.push(nowMs));
      events.after(1, (nowMs) => runsAtMs.push(nowMs));
    });
    events.runAll();
    expect(runsAtMs).to.deep.equal([3, 5]);
  });
});
