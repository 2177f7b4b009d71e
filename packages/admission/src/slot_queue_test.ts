/**
 * Property tests of the queue in front of a backend server's slots.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { SlotQueue, type SlotRequest } from "./slot_queue.ts";

const SEED = 11;
const LIMITS = { slots: 3, length: 5 };

const event = fc.record({
  kind: fc.constantFrom("offer", "finish", "cancel", "advance"),
  priority: fc.constantFrom("interactive" as const, "batch" as const),
  timeMs: fc.nat(20),
  allowedMs: fc.nat(100),
  choice: fc.nat(20),
});

describe("slot queue", () => {
  describe("under any sequence of requests, ends, departures and time", () => {
    it("keeps its bounds, gives each request one end, and runs none past its deadline", () => {
      const property = fc.property(
        fc.array(event, { maxLength: 80 }),
        (events) => {
          const queue = SlotQueue.create(LIMITS);
          const running = new Set<string>();
          const waiting = new Map<string, SlotRequest>();
          const ended = new Set<string>();
          let nowMs = 0;
          const begin = (id: string) => {
            expect(nowMs).to.be.at.most(
              (waiting.get(id) as SlotRequest).deadlineMs,
            );
            waiting.delete(id);
            running.add(id);
          };
          const end = (id: string) => {
            expect(ended.has(id)).to.equal(false);
            waiting.delete(id);
            ended.add(id);
          };
          const apply = (changes: ReturnType<SlotQueue["advance"]>) => {
            changes.run.forEach(begin);
            changes.refuse.forEach(({ id }) => end(id));
          };
          events.forEach(
            ({ kind, priority, timeMs, allowedMs, choice }, index) => {
              nowMs += timeMs;
              if (kind === "offer") {
                const request = {
                  id: String(index),
                  priority,
                  deadlineMs: nowMs + allowedMs,
                };
                const { verdict, displaced } = queue.offer(request, nowMs);
                displaced.forEach(end);
                if (verdict.kind === "run") {
                  running.add(request.id);
                } else if (verdict.kind === "wait") {
                  waiting.set(request.id, request);
                } else {
                  end(request.id);
                }
              } else if (kind === "finish" && running.size > 0) {
                const id = [...running][choice % running.size] as string;
                running.delete(id);
                ended.add(id);
                apply(queue.finish(id, { nowMs, tookMs: timeMs }));
              } else if (kind === "cancel" && waiting.size > 0) {
                const id = [...waiting.keys()][choice % waiting.size] as string;
                expect(queue.cancel(id)).to.equal(true);
                end(id);
              } else if (kind === "advance") {
                apply(queue.advance(nowMs));
              }
              expect(queue.runningCount).to.equal(running.size).and.at.most(
                LIMITS.slots,
              );
              expect(queue.waitingCount).to.equal(waiting.size).and.at.most(
                LIMITS.length,
              );
            },
          );
        },
      );
      fc.assert(property, { seed: SEED, numRuns: 1_000 });
    });
  });

  describe("when it is full", () => {
    it("gives up the last batch request for an interactive one, never the other way", () => {
      const queue = SlotQueue.create({ slots: 1, length: 1 });
      const offer = (id: string, priority: "interactive" | "batch") =>
        queue.offer({ id, priority, deadlineMs: 1_000 }, 0);
      offer("running", "interactive");
      expect(offer("report", "batch").verdict.kind).to.equal("wait");
      expect(offer("quote", "interactive").displaced).to.deep.equal(["report"]);
      expect(offer("late report", "batch").verdict).to.include({
        kind: "refuse",
        reason: "queue_full",
      });
    });
  });

  describe("when the wait would outlast the deadline", () => {
    // Symptom: under overload callers wait their whole time for a refusal.
    // Sequence: the queue is longer than can be served before the newest deadline.
    // Cause: admission that does not look at what stands ahead.
    it("refuses at once and says how long the wait would be", () => {
      const queue = SlotQueue.create({ slots: 1, length: 100 });
      queue.offer(
        { id: "first", priority: "interactive", deadlineMs: 1_000 },
        0,
      );
      queue.finish("first", { nowMs: 100, tookMs: 100 });
      ["a", "b", "c"].forEach((id) =>
        queue.offer({ id, priority: "interactive", deadlineMs: 1_000 }, 100)
      );
      const { verdict } = queue.offer({
        id: "late",
        priority: "interactive",
        deadlineMs: 300,
      }, 100);
      expect(verdict).to.deep.equal({
        kind: "refuse",
        reason: "too_late",
        waitMs: 300,
      });
    });
  });
});
